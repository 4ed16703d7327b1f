"""Moves streams away from endpoints that are being reclaimed."""
