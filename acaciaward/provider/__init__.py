"""Interfaces of the platform's services; reading of and appending to its log."""
