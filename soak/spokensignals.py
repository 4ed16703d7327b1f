"""
Lets servers say that they leave or ask to back off, and change their records meanwhile.

What a server has said binds whatever its record says. That shows only where there are
calls which a build that forgot it would send there: while a server speaks and its
record goes and comes, callers of the fault's own ask for its service.
"""

import asyncio
import itertools
import time
import typing
from collections import abc

from soak import callers, disturber, world
from standins import edgeserver

# How much longer than its drain time a server goes on that says it leaves.
SAID_LEAVING_RANGE_S = (3.0, 8.0)
# How long servers ask to back off, and for how long they refuse requests.
BACKOFF_RANGE_S = (1.0, 6.0)

# How often a record changes in a row, for how long, and the time in between.
RECORD_CHANGES_RANGE = (1, 5)
RECORD_CHANGE_RANGE_S = (0.1, 2.0)
RECORD_PAUSE_RANGE_S = (0.3, 2.0)
# What becomes of a record; with the first two, the server is listed no more.
CHANGES = ("gone", "unreadable", "without start")

# Time in which each entry gets an answer of a server that speaks.
TELLING_S = 1.0
# For how long the record of a server that has spoken changes, and stays as it was.
SPOKEN_CHANGE_RANGE_S = (0.3, 0.6)
SPOKEN_PAUSE_RANGE_S = (0.8, 1.2)
# Callers that ask for the service of a server that has spoken, by service.
CALLER_COUNT = 3
KINDS: abc.Mapping[str, callers.RequestKind] = {
    "app": callers.RequestKind("idempotent", "/p/", "calm", 1.5, 1.0),
    "llm": callers.RequestKind("stream", "/o/", "calm", 3.0, 1.0, 8),
}
# Time over which a server's requests are counted.
RECENT_S = 2.0


class Way(typing.Protocol):
    """How a server speaks."""

    async def __call__(self, server: edgeserver.EdgeServer) -> None:
        """Let a server speak, and return once what it said binds no more."""


class SpokenSignals(disturber.Disturber):
    """Lets servers speak in their answers, and changes their records."""

    def __init__(self, system: world.SystemUnderTest):
        super().__init__(system)
        ways: tuple[Way, ...] = (self._refuse_at_first, self._say_leaving)
        # In turn, so that a short soak has both.
        self._ways = itertools.cycle(ways)
        self._speaking: set[edgeserver.EdgeServer] = set()

    def _candidates(self, services: abc.Container[str]) -> list[edgeserver.EdgeServer]:
        return [
            server
            for server in self._system.servers.values()
            if server.left_at is None
            and server.behaviour == "pass"
            and server.service in services
        ]

    def _choose_server(self) -> edgeserver.EdgeServer | None:
        candidates = self._candidates(KINDS)
        return self._random.choice(candidates) if candidates else None

    def _choose_busy_server(self) -> edgeserver.EdgeServer | None:
        """Return the server of some service that gets most and doesn't speak yet."""
        candidates = [
            server
            for server in self._candidates((self._random.choice(tuple(KINDS)),))
            if server not in self._speaking and server.says_leaving is None
        ]
        since = time.monotonic() - RECENT_S
        arrivals = self._system.recorder.count_arrivals(since)
        return max(candidates, key=lambda server: arrivals[server.name], default=None)

    async def let_server_say_leaving(self) -> None:
        """Let a server say in its answers that it leaves; its record says ready."""
        server = self._choose_server()
        if server is not None:
            await self._say_leaving(server)

    async def _say_leaving(self, server: edgeserver.EdgeServer) -> None:
        await self._system.add_server(server.service, "south")
        statuses = self._random.choice(({200, 500, 503}, {200}))
        server.says_leaving = lambda request, status: status in statuses
        drain_s = self._system.bounds.drain_s
        await asyncio.sleep(drain_s + self._random.uniform(*SAID_LEAVING_RANGE_S))
        await self._system.stop_server(server)

    async def ask_to_back_off(self) -> None:
        """Let a server refuse some or all requests and name how long it wants none."""
        server = self._choose_server()
        if server is None:
            return
        server.share = self._random.choice((0.2, 0.6, 1.0))
        server.backoff = f"{self._random.uniform(*BACKOFF_RANGE_S):.2f}"
        server.behaviour = "refuse"
        await asyncio.sleep(self._random.uniform(*BACKOFF_RANGE_S))
        server.behaviour = "pass"

    async def _refuse_at_first(self, server: edgeserver.EdgeServer) -> None:
        """Let a server ask each entry to back off, and then take what it is sent."""
        _, backoff_s = BACKOFF_RANGE_S
        server.share, server.backoff = 1.0, f"{backoff_s:.2f}"
        server.behaviour = "refuse"
        await asyncio.sleep(TELLING_S)
        server.behaviour = "pass"
        await asyncio.sleep(backoff_s - TELLING_S)

    async def change_record(self) -> None:
        """Let the record of a server go, be unreadable or name no start, in a row."""
        servers = [
            server for server in self._system.servers.values() if server.left_at is None
        ]
        if not servers:
            return
        server = self._random.choice(servers)
        for _ in range(self._random.randint(*RECORD_CHANGES_RANGE)):
            change = self._random.choice(CHANGES)
            await self._change_record_once(server, change, RECORD_CHANGE_RANGE_S)
            await asyncio.sleep(self._random.uniform(*RECORD_PAUSE_RANGE_S))

    async def _change_record_once(
        self,
        server: edgeserver.EdgeServer,
        change: str,
        range_s: tuple[float, float],
    ) -> None:
        if not self._is_running(server):
            return
        self._system.record_event(f"record of {server.name}: {change}")
        server.renews_record = False
        if change == "without start":
            server.record_fields = {"born": None}
            server.renew()
        else:
            value = b"" if change == "gone" else b"\xff"
            self._system.store.put(edgeserver.SERVERS, server.name, value)
        await asyncio.sleep(self._random.uniform(*range_s))
        server.record_fields = {}
        server.renews_record = True
        if self._is_running(server):
            server.renew()

    def _is_running(self, server: edgeserver.EdgeServer) -> bool:
        is_known = self._system.servers.get(server.name) is server
        return is_known and server.left_at is None

    async def speak_while_record_changes(self) -> None:
        """Let a server leave or ask to back off while its record changes."""
        server = self._choose_busy_server()
        if server is None:
            return
        speak = next(self._ways)
        self._system.record_event(f"{server.name}: {speak.__name__}")
        self._speaking.add(server)
        own_callers = self._system.start_callers([KINDS[server.service]], CALLER_COUNT)
        speaking = asyncio.create_task(speak(server))
        await asyncio.wait([speaking], timeout=TELLING_S)
        changes = itertools.cycle(CHANGES)
        while not speaking.done():
            await self._change_record_once(server, next(changes), SPOKEN_CHANGE_RANGE_S)
            pause_s = self._random.uniform(*SPOKEN_PAUSE_RANGE_S)
            await asyncio.wait([speaking], timeout=pause_s)
        await speaking
        for caller in own_callers:
            caller.is_stopping = True
        self._speaking.discard(server)
