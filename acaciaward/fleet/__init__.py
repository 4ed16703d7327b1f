"""What to rent, load and release, and what it costs."""
