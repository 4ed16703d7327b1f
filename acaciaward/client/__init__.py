"""An asyncio client library for callers of the system."""
