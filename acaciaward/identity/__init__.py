"""Keys of organisations and operators, TLS, CURVE and token signing."""
