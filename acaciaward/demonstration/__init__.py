"""Runs a complete system with stand-ins in one process, as a demonstration."""
