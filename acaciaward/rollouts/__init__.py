"""Moves a service's traffic to another version of its endpoints' software, in steps."""
