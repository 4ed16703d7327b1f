"""The known routes, organisations, services and endpoints, followed in the store."""
