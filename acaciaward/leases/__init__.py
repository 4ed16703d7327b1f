"""Leases that give a duty to one entry at a time; fences follow the log's order."""
