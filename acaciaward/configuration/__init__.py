"""Versioned configuration; the order of the log's records decides each version."""
