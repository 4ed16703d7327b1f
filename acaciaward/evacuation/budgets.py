"""Byte budgets of KV transfers: a token bucket for each endpoint."""

import asyncio
import time


class ByteBudget:
    """
    Spreads transfers so that an endpoint's link carries a bounded rate.

    ``reserve`` takes the bytes at once and returns when they may be sent.
    """

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._free_at: dict[str, float] = {}

    @property
    def bytes_per_s(self) -> float:
        """The rate of each endpoint."""
        return self._bytes_per_s

    def wait_s(self, endpoint: str) -> float:
        """Return the seconds until the endpoint's link is free."""
        return max(0.0, self._free_at.get(endpoint, 0.0) - time.monotonic())

    async def reserve(self, endpoint: str, size: int) -> None:
        """Take ``size`` bytes of the endpoint's link and wait for its turn."""
        wait_s = self.wait_s(endpoint)
        start = time.monotonic() + wait_s
        self._free_at[endpoint] = start + size / self._bytes_per_s
        if wait_s:
            await asyncio.sleep(wait_s)
