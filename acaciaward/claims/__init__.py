"""At-most-once claims for non-idempotent requests."""
