"""The HTTP gateway: forwards requests unmodified and returns one endpoint's answer."""
