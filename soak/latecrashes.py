"""Sends a request again and again that crashes servers some time into its answer."""

import asyncio
import itertools
import time

from soak import callers, disturber, world

# An answer has gone on for this long as its server crashes; later than an early crash.
DELAY_RANGE_S = (0.6, 0.7)
# For how long the request is sent, and the time between two answers. Copies at the same
# time would meet each other's crashes, early ones, too.
DURATION_S = 13.0
PAUSE_RANGE_S = (0.05, 0.15)
# Takes longer than all runs of one attempt until they crash.
KIND = callers.RequestKind("resumable", "/s/", "calm", 5.0, 1.0, 300)
BODY = b"crashes servers"
SERVICE = "llm"
# With fewer servers, the request would soon find none.
LEAST_SERVERS = 6


class LateCrashes(disturber.Disturber):
    """Lets one request at a time crash the servers that answer it."""

    def __init__(self, system: world.SystemUnderTest):
        super().__init__(system)
        self._numbers = itertools.count(1)
        self._is_active = False

    async def crash_late(self) -> None:
        """Send a request that crashes each server well into its answer."""
        if self._is_active:
            return
        self._is_active = True
        count = sum(
            server.service == SERVICE and server.left_at is None
            for server in self._system.servers.values()
        )
        for _ in range(LEAST_SERVERS - count):
            data_centre = self._random.choice(world.DATA_CENTRES)
            await self._system.add_server(SERVICE, data_centre)
        path = f"/s/poison-{next(self._numbers)}"
        delay_s = self._random.uniform(*DELAY_RANGE_S)
        self._system.record_event(f"{path} crashes servers after {delay_s:.2f} s")
        self._system.poison.add(path, delay_s)
        deadline = time.monotonic() + DURATION_S
        while time.monotonic() < deadline:
            await self._system.send(KIND, path=path, body=BODY)
            await asyncio.sleep(self._random.uniform(*PAUSE_RANGE_S))
        self._system.poison.remove(path)
        self._is_active = False
