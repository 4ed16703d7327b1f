"""Gossip between entries and the hints that it carries."""
