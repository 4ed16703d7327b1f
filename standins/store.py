"""
Stand-in for the rate-limited weight store.

``POST /reservations`` reserves read bandwidth for one model's weights and returns
the seconds until that read may begin; ``bytes_per_s`` is the store's bandwidth.
"""

import time
import typing

import blacksheep
from blacksheep.server.responses import json as json_response

from standins import base

DEFAULT_WEIGHT_BYTES = 2_000_000_000


class WeightStoreStandIn(base.StandIn):
    """Schedules reads one after another; faults: ``outage``, ``bytes_per_s``."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0):
        super().__init__(address, port)
        self.faults = {"outage": False, "bytes_per_s": 1e9}
        self._free_at = 0.0
        self._counts = {"reads": 0, "bytes": 0}
        self.add_route("POST", "/reservations", self._reserve)

    def stats(self) -> dict[str, typing.Any]:
        """Return the counters of reads and bytes."""
        return dict(self._counts)

    async def _reserve(self, request: blacksheep.Request) -> blacksheep.Response:
        if self.faults["outage"]:
            return base.refusal_response(503, "weight store is out")
        body = await base.read_json(request)
        size_bytes = body.get("bytes", DEFAULT_WEIGHT_BYTES)
        now = time.monotonic()
        begin_at = max(now, self._free_at)
        self._free_at = begin_at + size_bytes / self.faults["bytes_per_s"]
        self._counts["reads"] += 1
        self._counts["bytes"] += size_bytes
        return json_response({"wait_s": begin_at - now, "bytes": size_bytes})
