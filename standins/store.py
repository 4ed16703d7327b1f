"""
Stand-in for the rate-limited weight store.

``POST /reservations`` books the reading of one model's weights and returns the
seconds until the reading may begin; the budget is ``bytes_per_s``.
"""

import time
import typing

import blacksheep
from blacksheep.server.responses import json as json_response

from standins import base

DEFAULT_WEIGHT_BYTES = 2_000_000_000


class WeightStoreStandIn(base.StandIn):
    """Hands out reading time; faults: ``outage``, ``bytes_per_s``."""

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
        given = await base.read_json(request)
        size = given.get("bytes", DEFAULT_WEIGHT_BYTES)
        now = time.monotonic()
        begin = max(now, self._free_at)
        self._free_at = begin + size / self.faults["bytes_per_s"]
        self._counts["reads"] += 1
        self._counts["bytes"] += size
        return json_response({"wait_s": begin - now, "bytes": size})
