"""Numbered configuration agreed by the order of log records."""
