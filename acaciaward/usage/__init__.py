"""Counts the requests that began to run, and reports them once a window."""
