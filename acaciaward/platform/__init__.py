"""Clients of the platform: log, cloud, weight store, instance list."""
