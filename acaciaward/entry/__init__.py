"""Assembles an entry, the process that callers connect to, from the other packages."""
