"""Limits the byte rate of KV cache transfers, for each endpoint."""

import asyncio
import time


class ByteBudget:
    """
    Delays transfers so that each endpoint's network link carries a bounded rate.

    ``reserve`` books the bytes immediately and returns once they may be sent.
    """

    def __init__(self, bytes_per_s: float):
        self._bytes_per_s = bytes_per_s
        self._free_at: dict[str, float] = {}

    @property
    def bytes_per_s(self) -> float:
        """The maximum rate of each endpoint."""
        return self._bytes_per_s

    def wait_s(self, endpoint: str) -> float:
        """Return the seconds until the endpoint's earlier transfers are over."""
        return max(0.0, self._free_at.get(endpoint, 0.0) - time.monotonic())

    async def reserve(self, endpoint: str, size_bytes: int) -> None:
        """Book bytes on the endpoint's link and wait until they may be sent."""
        wait_s = self.wait_s(endpoint)
        starts_at = time.monotonic() + wait_s
        self._free_at[endpoint] = starts_at + size_bytes / self._bytes_per_s
        if wait_s:
            await asyncio.sleep(wait_s)
