"""Counts the requests that started to run and reports each window's counts once."""
