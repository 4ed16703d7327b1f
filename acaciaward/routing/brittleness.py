"""
Bounds what brittle endpoints are made to turn away: they fall over if it is too much.

The places of a brittle endpoint are divided among the entries, so that all together
have no more requests there than it runs at a time, whatever each knows of the others.
A place counts as taken for a while after a request was given up, as the endpoint may go
on with it. Where others' reports show that all places are taken, none is used.
``announcements`` tells how entries learn which endpoints are brittle.

    brittle = Brittleness(known_entries)
    brittle.announcements.record(endpoint, 3, sent_at)
    brittle.has_room(endpoint, running=2, others=5.0)

All endpoints of a service are brittle at the same times. So one that hasn't answered
yet, as it has just started, counts as brittle if another one of its service is.
"""

import logging
import random
import time
import typing
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.membership import rendezvous
from acaciaward.observability import logs
from acaciaward.routing import announcements, health

log = logging.getLogger(__name__)

# What an endpoint announced longer ago says nothing of the others of its service.
SERVICE_MEMORY_S = 10.0
# The span in which endpoints count what they turn away.
WINDOW_S = 1.0
# For how long an entry sends nothing after it was turned away, at most.
MAX_PAUSE_S = 10.0
# For how long a place counts as taken after a request was given up, at most.
MAX_HOLD_S = 1.0
# How often the entries' places are counted anew.
SHARE_INTERVAL_S = 0.25

# After these the endpoint may still run the request.
GIVEN_UP = frozenset(
    {health.Outcome.FAILED, health.Outcome.SILENT, health.Outcome.UNDECIDED}
)


class Entries(typing.Protocol):
    """The entries that the places are divided among."""

    @property
    def name(self) -> str:
        """The name of this entry."""

    @property
    def names(self) -> frozenset[str]:
        """The names that are known, this entry's included."""

    def count(self) -> int:
        """Return how many there may be."""


class Alone:
    """Implements ``Entries`` for an entry that has no peers."""

    name = ""
    names = frozenset({""})

    def count(self) -> int:
        """Return 1."""
        return 1


class Room(typing.NamedTuple):
    """
    What brittle endpoints of a service leave for this entry.

    ``is_free`` tells whether a request may be sent now, ``places`` how many this entry
    may have there at a time, and ``holders`` names the entries that may have any.
    """

    is_free: bool
    places: int
    holders: frozenset[str]


class _Share(typing.NamedTuple):
    """This entry's places at an endpoint, and the names of those that have any."""

    places: int
    holders: frozenset[str]
    counted_at: float


class Brittleness:
    """The brittle endpoints, and this entry's places at each."""

    def __init__(
        self,
        known_entries: Entries,
        *,
        rng: random.Random,
        clock: abc.Callable[[], float] = time.monotonic,
        unix_time: abc.Callable[[], float] = time.time,
    ):
        self._known_entries = known_entries
        self._random = rng
        self._clock = clock
        self.announcements = announcements.Announcements(
            clock=clock, unix_time=unix_time
        )
        self._listed: dict[str, endpoints.Endpoint] = {}
        # The names of the endpoints that were logged to be brittle.
        self._logged: frozenset[str] = frozenset()
        self._brittle_services: frozenset[str] = frozenset()
        self._shares: dict[str, _Share] = {}
        # Until when this entry sends nothing, since it was turned away.
        self._paused_until: dict[str, float] = {}
        # Until when places count as taken by requests that were given up.
        self._held_until: dict[str, list[float]] = {}

    @property
    def is_any(self) -> bool:
        """Whether any endpoint is brittle, as of the last update."""
        return bool(self._logged)

    def is_brittle(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint falls over if it turns too many requests away."""
        return (
            self.announcements.find(endpoint) is not None
            or endpoint.service in self._brittle_services
        )

    def has_room(
        self, endpoint: endpoints.Endpoint, running: int, others: float
    ) -> bool:
        """
        Return whether this entry may send a brittle endpoint one more request.

        ``running`` counts its own there, ``others`` those that other entries report.
        """
        now = self._clock()
        name = endpoint.name
        if now < self._paused_until.get(name, 0.0):
            return False
        held = sum(until > now for until in self._held_until.get(name, ()))
        taken = running + held
        return taken < self.places(endpoint) and taken + others < _slots(endpoint)

    def room(
        self,
        known: abc.Collection[endpoints.Endpoint],
        has_room: abc.Callable[[endpoints.Endpoint], bool],
    ) -> Room | None:
        """Return what endpoints leave, None if none of them is brittle."""
        brittle = [endpoint for endpoint in known if self.is_brittle(endpoint)]
        if not brittle:
            return None
        return Room(
            is_free=any(map(has_room, known)),
            places=sum(map(self.places, brittle)),
            holders=frozenset().union(*map(self.holders, brittle)),
        )

    def places(self, endpoint: endpoints.Endpoint) -> int:
        """Return how many requests this entry may have at a brittle endpoint."""
        return self._share(endpoint).places

    def holders(self, endpoint: endpoints.Endpoint) -> frozenset[str]:
        """Return the names of the entries that have places at a brittle endpoint."""
        return self._share(endpoint).holders

    def _share(self, endpoint: endpoints.Endpoint) -> _Share:
        now = self._clock()
        share = self._shares.get(endpoint.name)
        if share is None or now - share.counted_at >= SHARE_INTERVAL_S:
            share = self._shares[endpoint.name] = self._count(endpoint, now)
        return share

    def _count(self, endpoint: endpoints.Endpoint, now: float) -> _Share:
        names = set(self._known_entries.names)
        count = max(len(names), self._known_entries.count())
        # Those that aren't known by name have places, too.
        names |= {f"unknown {number}" for number in range(count - len(names))}
        each, left = divmod(_slots(endpoint), count)
        favoured = frozenset(rendezvous.choose(f"places/{endpoint.name}", names, left))
        return _Share(
            each + (self._known_entries.name in favoured),
            frozenset(names) if each else favoured,
            now,
        )

    def record_end(
        self, endpoint: endpoints.Endpoint, outcome: health.Outcome, service_s: float
    ) -> None:
        """Record the end of a request at an endpoint; one takes ``service_s``."""
        if not self.is_brittle(endpoint):
            return
        now = self._clock()
        name = endpoint.name
        if outcome in GIVEN_UP:
            held = [until for until in self._held_until.get(name, ()) if until > now]
            held.append(now + min(service_s, MAX_HOLD_S))
            self._held_until[name] = held
        if outcome is health.Outcome.REFUSED:
            self._paused_until[name] = now + self._pause_s(endpoint)

    def _pause_s(self, endpoint: endpoints.Endpoint) -> float:
        """
        Return how long an endpoint that turned a request away gets none.

        If all entries come back after that, about half as many are turned away in a
        second as the endpoint bears.
        """
        bearable = self.announcements.find(endpoint) or 0.0
        windows = max(1.0, 2 * self._known_entries.count() / (1 + bearable))
        return min(MAX_PAUSE_S, WINDOW_S * windows * self._random.uniform(0.75, 1.25))

    def record_restart(self, name: str) -> None:
        """Drop what requests at the former start of an endpoint have brought about."""
        self._paused_until.pop(name, None)
        self._held_until.pop(name, None)

    def follow(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        """Take note of which endpoints are listed."""
        self.announcements.follow(before, after)
        if after is not None:
            self._listed[after.name] = after
        elif before is not None:
            self._listed.pop(before.name, None)

    def update(self) -> int:
        """
        Log which endpoints became brittle or ceased to be; return how many say so.

        Called periodically.
        """
        brittle = {}
        for endpoint in self._listed.values():
            rejections = self.announcements.find(endpoint)
            if rejections is not None:
                brittle[endpoint.name] = rejections
        for name in brittle.keys() - self._logged:
            log.info(
                "endpoint is brittle",
                extra=logs.fields(endpoint=name, bears_rejections_per_s=brittle[name]),
            )
        for name in self._logged - brittle.keys():
            log.info("endpoint is brittle no longer", extra=logs.fields(endpoint=name))
        self._logged = frozenset(brittle)
        self._brittle_services = frozenset(
            endpoint.service
            for endpoint in self._listed.values()
            if self.announcements.is_recent(endpoint, SERVICE_MEMORY_S)
        )
        self._forget()
        return len(brittle)

    def _forget(self) -> None:
        """Forget the pauses, places and shares of endpoints that are gone."""
        now = self._clock()
        self._shares = {
            name: share for name, share in self._shares.items() if name in self._listed
        }
        self._paused_until = {
            name: until for name, until in self._paused_until.items() if until > now
        }
        self._held_until = {
            name: held for name, held in self._held_until.items() if max(held) > now
        }


def _slots(endpoint: endpoints.Endpoint) -> int:
    return max(1, endpoint.slots)
