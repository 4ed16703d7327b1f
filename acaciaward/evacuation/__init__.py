"""Evacuation: moves streams off endpoints that are about to be reclaimed."""
