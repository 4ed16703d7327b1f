"""Log lines, metrics, and burn rates of service-level objectives."""
