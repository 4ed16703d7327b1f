"""Relays: what entries report continuously, through one reader in each data centre."""
