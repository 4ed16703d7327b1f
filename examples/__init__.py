"""Settings and first patches of deployments, as examples."""
