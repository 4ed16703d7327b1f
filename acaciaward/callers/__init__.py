"""The callers' HTTP API: discovery, requests, streams and resume."""
