"""Log lines, metrics and burn-rate arithmetic."""
