"""
Replaces entries by others at new addresses, and uses an organisation's quota at all.

Entries can be cut off from each other; a message between two that are cut gets lost.
"""

import asyncio
import itertools
import time
import typing

from acaciaward import errors
from acaciaward.catalogue.features import delivery
from acaciaward.membership import interfaces

ORGANISATION = "org-1"
RATE = 600.0
BURST = 600.0
# What callers ask for, in multiples of the quota.
DEMAND = 3.0
INTERVAL_S = 0.05
WINDOW_S = 10.0
# How long entries that have just started are left to settle.
SETTLE_S = 4.0
LIVE = interfaces.PeerState.LIVE


class Taken(typing.NamedTuple):
    """Units that an entry admitted at a monotonic time."""

    at: float
    entry: str
    units: float


class ChangingWorld(delivery.World):
    """Entries that come and go at new addresses; each knows only the first ones."""

    def __init__(self, data_centres: int, entries_each: int, seed: int = 1):
        tenant = {"Name": ORGANISATION, "ApiKeys": ["k"]}
        tenant |= {"RatePerS": RATE, "Burst": BURST}
        super().__init__(
            data_centres, entries_each, seed, configuration={"Tenants": [tenant]}
        )
        self.taken: list[Taken] = []
        self._names = itertools.count(1)
        self._names_by_port: dict[int, str] = {}
        # Groups of names between which messages are lost.
        self._sides: list[set[str]] = []
        self._taking: asyncio.Task | None = None

    def prepare(self, entry: delivery.Entry) -> None:
        """Let an entry's messages to others pass the cut."""
        self._names_by_port[entry.ports["Control"]] = entry.name
        transport = entry.gateway._transport
        request, notify = transport.request, transport.notify

        async def request_if_connected(address, kind, body, *, timeout_s):
            if self._is_cut(entry.name, address.port):
                await asyncio.sleep(timeout_s)
                raise errors.PeerUnreachableError(address.url)
            return await request(address, kind, body, timeout_s=timeout_s)

        def notify_if_connected(address, kind, body):
            if not self._is_cut(entry.name, address.port):
                notify(address, kind, body)

        transport.request, transport.notify = request_if_connected, notify_if_connected

    def _is_cut(self, name: str, port: int) -> bool:
        other = self._names_by_port.get(port)
        return any((name in side) != (other in side) for side in self._sides)

    def cut_peers(self, entries: list[delivery.Entry]) -> None:
        """Lose all messages between these entries and the others."""
        self._sides.append({entry.name for entry in entries})

    def heal_peers(self) -> None:
        """Let all messages between entries pass."""
        self._sides.clear()

    def add(self, data_centre: str) -> delivery.Entry:
        """Return a new entry at addresses of its own, not started yet."""
        entry = delivery.Entry(f"new-{next(self._names)}", data_centre)
        self.entries.append(entry)
        return entry

    async def remove(self, entry: delivery.Entry) -> None:
        """End an entry for good, without draining."""
        self.entries.remove(entry)
        entry.gateway._is_leaving = True
        await self.end_entry(entry)

    async def replace(self, entry: delivery.Entry) -> delivery.Entry:
        """End an entry, and start another one instead."""
        await self.remove(entry)
        new = self.add(entry.data_centre)
        await self.start_entry(new)
        return new

    def group_sizes(self) -> dict[str, int]:
        """Return how many running entries each entry knows to be live."""
        names = {entry.name for entry in self.entries}
        return {
            entry.name: len(
                names
                & {
                    peer.name
                    for peer in entry.gateway._membership.peers()
                    if peer.state is LIVE
                }
            )
            for entry in self.entries
        }

    def is_whole(self) -> bool:
        """Return whether every entry knows all others."""
        return set(self.group_sizes().values()) == {len(self.entries)}

    def begin_taking(self) -> None:
        """Ask for more than the quota, evenly at all entries, until stopped."""
        self._taking = asyncio.create_task(self._take())

    async def _take(self) -> None:
        begun_at = time.monotonic()
        asked = 0.0
        while True:
            await asyncio.sleep(INTERVAL_S)
            due = DEMAND * RATE * (time.monotonic() - begun_at)
            entries = [entry for entry in self.entries if entry.gateway]
            each = (due - asked) / len(entries)
            asked = due
            for entry in entries:
                self._ask(entry, each)

    def _ask(self, entry: delivery.Entry, units: float) -> None:
        gateway = entry.gateway
        share = gateway._reporting_share()
        for _ in range(int(units) + 1):
            amount = units / (int(units) + 1)
            if gateway._entry_quotas.quotas.admit(ORGANISATION, amount, share) is None:
                self.taken.append(Taken(time.monotonic(), entry.name, amount))

    async def stop(self) -> None:
        """Stop callers, entries and store."""
        if self._taking is not None:
            self._taking.cancel()
            await asyncio.gather(self._taking, return_exceptions=True)
        await super().stop()

    def taken_by_window(self, since: float) -> list[float]:
        """Return the units that were taken in each window."""
        end = self.taken[-1].at
        windows = []
        start = since
        while start + WINDOW_S <= end:
            units = sum(
                taken.units
                for taken in self.taken
                if start <= taken.at < start + WINDOW_S
            )
            windows.append(units)
            start += 0.5
        return windows
