"""A small asyncio caller of the system."""
