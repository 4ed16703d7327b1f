"""Duty leases and fencing numbers taken from log order."""
