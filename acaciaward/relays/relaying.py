"""
Sends reports to the reader, and relays from it.

The reader of a data centre reads the store for the others and sums what they tell.
An entry that has had no relay for a while reads the store itself, and counts on no
one but itself.
"""

import asyncio
import logging
import math
import time
import typing
import zlib
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.membership import (
    gossip,
    interfaces as membership_interfaces,
    rendezvous,
)
from acaciaward.observability import logs
from acaciaward.quarantine import suspects
from acaciaward.relays import hub, messages

log = logging.getLogger(__name__)

State = membership_interfaces.PeerState

# How often entries report and readers relay, in seconds. A relay to each of 20 entries
# is up to 8 KB, and a reader's link may carry 5 Mbit/s only.
TICK_S = 0.25
# An entry whose endpoints were read longer ago reads the store itself, in seconds:
# a leaving endpoint must be known to all in less than two.
STALE_S = 1.3
# Without a relay for this long, an entry counts on no one but itself, in seconds.
SILENT_S = 1.2
# Relays in a row whose digest differs before the store is read itself.
MOST_MISMATCHES = 3


class Told(typing.NamedTuple):
    """What this entry has to tell."""

    now: float
    use: dict[str, float]
    load: dict[str, tuple[float, float]]
    demand: dict[str, tuple[float, ...]]
    crashes: suspects.Told
    windows: dict[int, dict[str, int]]
    levels: dict[str, float]


class Heard(typing.NamedTuple):
    """
    What a reader told: the sums over all other entries, and its quotas' levels.

    ``source`` is the reader's start, which ``is_fresh`` if that was a moment ago.
    """

    source: str
    is_fresh: bool
    sums: hub.Sums
    levels: dict[str, float]


class Listener(typing.Protocol):
    """Who needs what relays bring."""

    def tell(self) -> Told:
        """Return what this entry has to tell."""

    def hear(self, heard: Heard) -> None:
        """Take in what a reader told."""

    def hear_time(self, now: float) -> None:
        """Take in the majority's Unix time."""

    def hear_version(self, version: int) -> None:
        """Take in the version in force at the reader."""


class Relaying:
    """One entry's side: a member of its data centre, and its reader when chosen."""

    def __init__(
        self,
        membership: gossip.GossipMembership,
        directory: endpoints.Directory,
        listener: Listener,
        *,
        start: str,
        data_centre: str,
        read_at: abc.Callable[[], float],
        version: abc.Callable[[], int],
    ):
        self._membership = membership
        self._directory = directory
        self._listener = listener
        self._start = start
        self._began = time.monotonic()
        self._data_centre = data_centre
        self._read_at = read_at
        self._version = version
        self._hub = hub.Hub(time.monotonic)
        self._changed: dict[str, endpoints.Endpoint | None] = {}
        self._relayed_at = -math.inf
        self._told_read_at = -math.inf
        self._mismatches = 0
        self._heard = 1
        self._reader = ""
        directory.subscribe(self._note_change)
        membership.handle("report", self._take_report)
        membership.handle("summary", self._take_summary)
        membership.handle("relay", self._take_relay)

    @property
    def heard(self) -> int:
        """How many entries are behind the newest sums, this one included."""
        is_fresh = time.monotonic() - self._relayed_at < SILENT_S
        return max(1, self._heard) if is_fresh else 1

    @property
    def told_read_at(self) -> float:
        """The monotonic moment at which the reader last read the endpoints."""
        return self._told_read_at

    @property
    def is_behind(self) -> bool:
        """Whether relays show that this entry has missed changes."""
        return self._mismatches >= MOST_MISMATCHES

    @property
    def is_fed(self) -> bool:
        """Whether another entry reads the store for this one."""
        is_reader = self._reader in ("", self._membership.name)
        is_fresh = time.monotonic() - self._told_read_at < STALE_S
        return not is_reader and is_fresh and not self.is_behind

    def reports(self) -> dict[str, messages.Report]:
        """Return the last reports of this data centre's entries, for its reader."""
        if self._reader != self._membership.name:
            return {}
        return self._hub.reports()

    async def run(self) -> None:
        """Tell and relay until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    def tick(self) -> None:
        """Tell the reader, or relay as the reader."""
        self._choose_reader()
        told = self._listener.tell()
        report = self._report(told)
        if self._reader == self._membership.name:
            self._hub.take_report(report)
            self._send_relays(told)
        else:
            self._membership.notify(self._reader, "report", report)

    def _choose_reader(self) -> None:
        names = {
            peer.name for peer in self._live() if peer.data_centre == self._data_centre
        } | {self._membership.name}
        (reader,) = rendezvous.choose("reader", names, 1)
        if reader != self._reader:
            log.info("reader chosen", extra=logs.fields(reader=reader, of=len(names)))
            self._reader = reader

    def _live(self) -> list[membership_interfaces.Peer]:
        states = (State.LIVE, State.JOINING, State.LEAVING)
        return [peer for peer in self._membership.peers() if peer.state in states]

    def _report(self, told: Told) -> messages.Report:
        fields = told._asdict()
        del fields["levels"]
        return {
            "sender": self._membership.name,
            "start": self._start,
            "uptime_s": self._uptime_s,
            **fields,
        }

    @property
    def _uptime_s(self) -> float:
        return time.monotonic() - self._began

    def _send_relays(self, told: Told) -> None:
        summary = self._hub.summary()
        own: messages.Summary = {
            "sender": self._start,
            "uptime_s": self._uptime_s,
            "data_centre": self._data_centre,
            **summary._asdict(),
        }
        by_data_centre: dict[str, list[str]] = {}
        for peer in self._live():
            by_data_centre.setdefault(peer.data_centre, []).append(peer.name)
        for data_centre, names in by_data_centre.items():
            if data_centre != self._data_centre:
                (reader,) = rendezvous.choose("reader", names, 1)
                self._membership.notify(reader, "summary", own)
        changes = self._take_changes()
        names = by_data_centre.get(self._data_centre, [])
        for name, sums in self._hub.sums_for_each(names).items():
            relay = self._relay(sums, changes, told)
            if name == self._membership.name:
                self._hear(relay)
            else:
                self._membership.notify(name, "relay", relay)

    def _take_changes(self) -> tuple[list[messages.EndpointFields], list[str]]:
        changed, self._changed = self._changed, {}
        present = [_to_fields(one) for one in changed.values() if one is not None]
        removed = [name for name, one in changed.items() if one is None]
        return present, removed

    def _relay(
        self,
        sums: hub.Sums,
        changes: tuple[list[messages.EndpointFields], list[str]],
        told: Told,
    ) -> messages.Relay:
        return {
            "sender": self._membership.name,
            "start": self._start,
            "uptime_s": self._uptime_s,
            "age_s": time.monotonic() - self._read_at(),
            "now": self._hub.true_now(told.now),
            "version": self._version(),
            "endpoints": changes[0],
            "removed": changes[1],
            "lapsed": self._directory.held_back,
            "digest": digest(self._directory.all()),
            "levels": told.levels,
            **sums._asdict(),
        }

    async def _take_report(self, sender: str, report: messages.Report) -> None:
        self._hub.take_report(report)

    async def _take_summary(self, sender: str, summary: messages.Summary) -> None:
        self._hub.take_summary(summary)

    async def _take_relay(self, sender: str, relay: messages.Relay) -> None:
        if relay["sender"] != self._reader:
            return
        if relay["age_s"] < STALE_S:
            self._take_endpoints(relay)
        self._hear(relay)

    def _take_endpoints(self, relay: messages.Relay) -> None:
        for fields in relay["endpoints"]:
            self._directory.put(_from_fields(fields))
        for name in relay["removed"]:
            self._directory.remove_now(name, "its reader says so")
        self._directory.hold_back(relay["lapsed"])
        is_same = relay["digest"] == digest(self._directory.all())
        self._mismatches = 0 if is_same else self._mismatches + 1

    def _hear(self, relay: messages.Relay) -> None:
        self._relayed_at = time.monotonic()
        self._told_read_at = self._relayed_at - relay["age_s"]
        self._heard = relay["heard"]
        sums = hub.Sums(*(relay[field] for field in hub.Sums._fields))
        is_fresh = relay["uptime_s"] < hub.FRESH_START_S
        self._listener.hear(Heard(relay["start"], is_fresh, sums, relay["levels"]))
        self._listener.hear_time(relay["now"])
        self._listener.hear_version(relay["version"])

    def note_listed(self) -> None:
        """Trust relays again once the store was read itself."""
        self._mismatches = 0

    def _note_change(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        name = after.name if after is not None else before.name
        self._changed[name] = after


def digest(known: abc.Iterable[endpoints.Endpoint]) -> int:
    """Return a number that is equal where the endpoints and their states are."""
    combined = 0
    for one in known:
        key = (one.name, one.born, one.state.value, one.address, one.port)
        combined ^= zlib.crc32(repr(key).encode())
    return combined


def _to_fields(endpoint: endpoints.Endpoint) -> messages.EndpointFields:
    return {**endpoint._asdict(), "state": endpoint.state.value}


def _from_fields(fields: messages.EndpointFields) -> endpoints.Endpoint:
    state = endpoints.EndpointState(fields["state"])
    return endpoints.Endpoint(**{**fields, "state": state})
