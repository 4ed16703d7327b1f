"""
Lets servers stand still, as processes do that a signal has stopped, and go on.

A server that stands still is sound, and so are those that refuse streams or leave.
"""

import asyncio
import itertools
import typing

from soak import disturber, world
from standins import edgeserver

# The service of the streams that may go on at another server.
SERVICE = "llm"
# With fewer servers, hardly one would be asked in place of those that stand still.
LEAST_SERVERS = 6
# Streams that are sent before servers stand still.
STREAM_COUNT = 24
# Time in which entries get to know new servers, and in which streams begin.
WARM_UP_S = 0.5
# A stream that lasts twice as long as others still outlasts a standstill by its
# deadline.
EVENT_INTERVAL_S = 2 * edgeserver.EVENT_INTERVAL_S
# Shares of the servers that stand still at once, in turn; 0 is one of them.
SHARES = (1 / 3, 1.0, 2 / 3, 0.0, 1 / 3)
TIMES = (1, 1, 2, 3)
STANDSTILL_RANGE_S = (0.5, 2.0)
# Time from one standstill to the next.
PAUSE_RANGE_S = (0.1, 1.0)
# Time until the others refuse or leave. Much earlier, entries know it before they ask
# them for streams that are silent, and have spent their retry budgets on new ones.
CHANGE_DELAY_RANGE_S = (0.2, 0.45)
# How much longer than its drain time a server that leaves keeps serving, so that it
# ends what it has begun.
AFTER_DRAIN_S = 4.0
LAPSE_S = edgeserver.LAPSE_HEARTBEATS * edgeserver.HEARTBEAT_S


class WayOn(typing.Protocol):
    """What each of the other servers does while some stand still."""

    async def __call__(
        self, server: edgeserver.EdgeServer, seconds: float, change_s: float
    ) -> None:
        """Let a server do it from ``change_s`` on until ``seconds`` have passed."""


class Standstills(disturber.Disturber):
    """Lets a part of the servers of streams stand still while the others go on."""

    def __init__(self, system: world.SystemUnderTest):
        super().__init__(system)
        self._is_active = False
        ways: tuple[WayOn, ...] = (
            self._refuse,
            self._go_on,
            self._refuse,
            self._leave,
        )
        # In turn, so that a short soak has each of them, and each share with each way.
        self._ways = itertools.cycle(ways)
        self._shares = itertools.cycle(SHARES)

    async def stand_still(self) -> None:
        """Let one to all servers stand still, once or several times in a row."""
        if self._is_active:
            return
        self._is_active = True
        async with asyncio.TaskGroup() as group:
            for _ in range(self._random.choice(TIMES)):
                await self._add_servers()
                self._system.send_streams(STREAM_COUNT)
                await asyncio.sleep(WARM_UP_S)
                await self._stand_still_once(group)
                await asyncio.sleep(self._random.uniform(*PAUSE_RANGE_S))
            self._is_active = False

    def _running_servers(self) -> list[edgeserver.EdgeServer]:
        return [
            server
            for server in self._system.servers.values()
            if server.service == SERVICE and server.left_at is None
        ]

    async def _add_servers(self) -> None:
        missing = LEAST_SERVERS - len(self._running_servers())
        for _ in range(missing):
            data_centre = self._random.choice(world.DATA_CENTRES)
            await self._system.add_server(SERVICE, data_centre)
        for server in self._running_servers():
            server.event_interval_s = EVENT_INTERVAL_S
        if missing > 0:
            await asyncio.sleep(WARM_UP_S)

    async def _stand_still_once(self, group: asyncio.TaskGroup) -> None:
        share, go_on = next(self._shares), next(self._ways)
        # Streams with prompts alike run at few of the servers.
        stream_counts = self._system.recorder.count_runs()
        servers = sorted(
            self._running_servers(), key=lambda server: -stream_counts[server.name]
        )
        count = max(1, round(share * len(servers)))
        still, others = servers[:count], servers[count:]
        seconds = self._random.uniform(*STANDSTILL_RANGE_S)
        change_s = min(self._random.uniform(*CHANGE_DELAY_RANGE_S), seconds)
        names = ", ".join(server.name for server in still)
        self._system.record_event(
            f"{names} stand still for {seconds:.2f} s; {go_on.__name__} by"
            f" {len(others)} others"
        )
        for server in others:
            if server.behaviour == "pass":
                group.create_task(go_on(server, seconds, change_s))
        await asyncio.gather(*(self._stop_for(server, seconds) for server in still))

    async def _stop_for(self, server: edgeserver.EdgeServer, seconds: float) -> None:
        """Let a server stand still; its record lapses as it sends no heartbeats."""
        standstill = asyncio.create_task(server.stand_still(seconds))
        await asyncio.wait([standstill], timeout=LAPSE_S)
        if not standstill.done() and server.left_at is None:
            self._system.store.drop(edgeserver.SERVERS, server.name)
        await standstill

    async def _go_on(
        self, server: edgeserver.EdgeServer, seconds: float, change_s: float
    ) -> None:
        """Let a server take what it is sent."""

    async def _refuse(
        self, server: edgeserver.EdgeServer, seconds: float, change_s: float
    ) -> None:
        """Let a server refuse all that is new."""
        await asyncio.sleep(change_s)
        if server.behaviour != "pass":
            return
        server.behaviour, server.share = "refuse", 1.0
        server.backoff = self._random.choice((None, f"{seconds:.2f}"))
        await asyncio.sleep(seconds - change_s)
        server.behaviour = "pass"

    async def _leave(
        self, server: edgeserver.EdgeServer, seconds: float, change_s: float
    ) -> None:
        """Let a server say that it leaves, and end once its streams have ended."""
        await asyncio.sleep(change_s)
        if server.left_at is not None:
            return
        server.leave()
        await asyncio.sleep(self._system.bounds.drain_s + AFTER_DRAIN_S)
        await self._system.stop_server(server)
