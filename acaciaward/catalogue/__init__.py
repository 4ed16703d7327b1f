"""What requests may be sent where: routes, organisations, services, endpoints."""
