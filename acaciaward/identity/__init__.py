"""API keys, TLS certificates, CURVE key pairs and signed resume tokens."""
