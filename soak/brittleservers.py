"""
Lets the servers of a service be brittle, and counts how often they would have fallen.

They say ``Server-Brittle`` in their answers, have one place each, and let nothing wait
from the contact time on. A server that turns too many requests away in a second has
fallen; it goes on all the same, so that the fall disturbs nothing else.
"""

import asyncio
import collections
import itertools
import time
import typing
from collections import abc

from soak import conditions, disturber, ledger
from standins import edgeserver, edgewire, rooms

# How long servers are brittle after the contact time.
BRITTLE_RANGE_S = (4.0, 8.0)
# How many requests a second they bear to turn away.
REJECTIONS_RANGE = (0, 2)
SLOTS = 1
QUEUE = 8
# How long a server that has fallen is down.
DOWN_S = 3.0
# Time for entries to learn that servers are brittle no longer.
AFTERWARDS_S = 2.0
# Servers of a service, at least, that are brittle.
MIN_SERVERS = 2


class Rejection(typing.NamedTuple):
    """A request that a server turned away, and the entry that sent it, if known."""

    at: float
    server: str
    entry: str | None


class Spell(typing.NamedTuple):
    """A time in which the servers of a service are brittle, from ``begin`` on."""

    service: str
    servers: frozenset[str]
    bears: int
    begin: float
    rejections: list[Rejection]

    @property
    def allowed_falls(self) -> float:
        """How often the servers may fall."""
        return 2 + 0.1 * len(self.servers)


class BrittleServers(disturber.Disturber):
    """Lets servers be brittle, and keeps what they turned away."""

    def __init__(self, system):
        super().__init__(system)
        self.spells: list[Spell] = []

    async def be_brittle(self) -> None:
        """Let all servers of a service be brittle for a while."""
        servers = self._choose_servers()
        if not servers:
            return
        spell = Spell(
            servers[0].service,
            frozenset(server.name for server in servers),
            self._random.randint(*REJECTIONS_RANGE),
            time.monotonic() + rooms.SHRINK_AFTER_S,
            [],
        )
        self.spells.append(spell)

        def record(server: edgeserver.EdgeServer, request: edgewire.Request) -> None:
            sender = self._system.find_sender(server, request.peer_port)
            entry = None if sender is None else sender[0]
            spell.rejections.append(Rejection(time.monotonic(), server.name, entry))

        for server in servers:
            server.room = rooms.Room(SLOTS, QUEUE)
            server.room.rejections = spell.bears
            server.on_rejection = record
            server.slots = SLOTS
        brittle_s = rooms.SHRINK_AFTER_S + self._random.uniform(*BRITTLE_RANGE_S)
        await asyncio.sleep(brittle_s)
        for server in servers:
            server.room.rejections = None
        await asyncio.sleep(AFTERWARDS_S)
        for server in servers:
            server.room = server.on_rejection = None
            server.slots = edgeserver.SLOTS

    def _choose_servers(self) -> list[edgeserver.EdgeServer]:
        by_service = collections.defaultdict(list)
        for server in self._system.servers.values():
            is_running = server.left_at is None and not server.has_crashed
            if server.room is None and is_running:
                by_service[server.service].append(server)
        found = [one for one in by_service.values() if len(one) >= MIN_SERVERS]
        return self._random.choice(found) if found else []

    def check(
        self,
        recorder: ledger.Recorder,
        disturbances: conditions.Disturbances,
        contact_s: float,
    ) -> None:
        """Record the spells in which servers have fallen too often."""
        for spell in self.spells:

            def is_in_touch(rejection: Rejection) -> bool:
                span = (rejection.at - contact_s, rejection.at)
                return rejection.entry is not None and all(
                    disturbances.is_undisturbed(name, *span)
                    for name in (rejection.entry, rejection.server)
                )

            falls = find_falls(spell, is_in_touch)
            if len(falls) > spell.allowed_falls:
                detail = (
                    f"{len(spell.servers)} servers of {spell.service} that bear"
                    f" {spell.bears} rejections a second fell {len(falls)} times"
                )
                recorder.record_violation("LIMIT", detail, falls[0])


def find_falls(
    spell: Spell, is_in_touch: abc.Callable[[Rejection], bool]
) -> list[float]:
    """Return when servers fell mostly because of entries that were in touch."""
    falls = []
    ordered = sorted(spell.rejections, key=lambda one: (one.server, one.at))
    for _, group in itertools.groupby(ordered, key=lambda one: one.server):
        window: list[Rejection] = []
        up_at = spell.begin
        for rejection in group:
            if rejection.at < up_at:
                continue
            window = [one for one in window if one.at > rejection.at - rooms.WINDOW_S]
            window.append(rejection)
            if len(window) <= spell.bears:
                continue
            if 2 * sum(map(is_in_touch, window)) > len(window):
                falls.append(rejection.at)
            window, up_at = [], rejection.at + DOWN_S
    return sorted(falls)
