"""Serves language models and plain services on reclaimable instances."""

__version__ = "0.1.0"
