"""Runs the whole system with stand-ins in one process."""
