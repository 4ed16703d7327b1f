"""Assembles the project's packages into one entry process."""
