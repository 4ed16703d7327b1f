"""Reads and checks the JSON settings file."""
