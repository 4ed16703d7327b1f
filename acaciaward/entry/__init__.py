"""Assembles the slices into one entry process."""
