"""
Lets entries that know no address of each other find one another in the store.

A few entries of each group, its contacts, keep a record in the store: where they
listen, and whom they know. An entry that knows nobody reads the records, tries their
addresses, and keeps a record, too. So do the contacts now and then, which joins groups
that have lost sight of each other.

    contacts = Contacts(topic, membership, known, era=lambda: store.era, now=time.time)
    await contacts.run()
"""

import asyncio
import logging
import math
import random
import time
import typing
from collections import abc

import msgspec
import prometheus_client

from acaciaward import decoding, errors
from acaciaward.catalogue import topicfollower
from acaciaward.membership import (
    entrycount,
    interfaces,
    messages,
    peertable,
    rendezvous,
)
from acaciaward.observability import logs

log = logging.getLogger(__name__)

CONTACT_COUNT = 3
# The records of an entry that starts among others cost nothing if it waits until
# gossip has told it of them.
START_DELAY_RANGE_S = (0.5, 1.0)
CHECK_INTERVAL_S = 0.25
# How often a contact reads and writes, and an entry that knows nobody reads.
READ_INTERVAL_S = 3.0
LONE_READ_INTERVAL_S = 1.0
WRITE_INTERVAL_S = 10.0
# Shortest time between two writes, and two reads for silent peers.
MIN_INTERVAL_S = 1.0
# Addresses that are tried after a read: the newest, and others at random.
NEWEST_TRIED = 2
OTHERS_TRIED = 2
# A record that its entry hasn't renewed for this long is removed.
RETENTION_S = 300.0
# Between the clocks of two instances.
MAX_CLOCK_SKEW_S = 2.0
MAX_RECORD_BYTES = 262_144
MAX_SHOWN_CHARACTERS = 80

RECORDS = prometheus_client.Counter(
    "acaciaward_entry_records_total",
    "Records by which entries find each other: reads of all, and records that were"
    " written, removed, skipped as invalid, or led to an entry",
    ["result"],
)

State = interfaces.PeerState
_HEARD_STATES = frozenset({State.JOINING, State.LIVE, State.LEAVING})


class Record(typing.TypedDict):
    """What a contact wrote at a Unix time: itself, and the names that it heard from."""

    at: float
    own: messages.PeerFields
    heard: list[str]


class Topic(typing.Protocol):
    """A keyed topic of the store; calls may raise ``PlatformError``."""

    async def read_all(self) -> topicfollower.Listing:
        """Return the newest value of each key."""

    async def set(self, key: str, value: bytes) -> None:
        """Set the value of a key."""

    async def remove(self, key: str, *, expected_end: int) -> None:
        """Remove a key if the topic ends at an offset."""


class Membership(typing.Protocol):
    """The entries that this one knows."""

    @property
    def name(self) -> str:
        """The name of this entry."""

    @property
    def own_fields(self) -> messages.PeerFields:
        """This entry in the form of messages."""

    def peers(self) -> list[interfaces.Peer]:
        """Return all known entries, this one included."""

    async def join(self, record: peertable.PeerRecord) -> bool:
        """Exchange what both know with an entry; return whether it was reached."""


class _Found(typing.NamedTuple):
    """A valid record: its entry, when it was written, and whom it names."""

    entry: peertable.PeerRecord
    at: float
    heard: list[str]


class Contacts:
    """Reads the records, and keeps this entry's while it is a contact."""

    def __init__(
        self,
        topic: Topic,
        membership: Membership,
        known: entrycount.EntryCount,
        *,
        era: abc.Callable[[], int],
        now: abc.Callable[[], float],
        clock: abc.Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ):
        self._topic = topic
        self._membership = membership
        self._known = known
        self._era = era
        self._now = now
        self._clock = clock
        self._rng = rng or random.Random()
        self._tried_to_write_at = self._tried_to_read_at = -math.inf
        # When and in which era this entry's record was written, None if it must be.
        self._written: tuple[float, int] | None = None
        self._heard: frozenset[str] = frozenset()
        self._contacts: list[str] = []
        self._read_interval_s = 0.0
        # Keys and values that were logged as invalid.
        self._invalid: dict[str, bytes] = {}

    async def run(self) -> None:
        """Read and write until cancelled."""
        await asyncio.sleep(self._rng.uniform(*START_DELAY_RANGE_S))
        while True:
            try:
                await self.check()
            except errors.PlatformError as error:
                log.info(
                    "can't find entries in the store", extra=logs.fields(reason=error)
                )
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    async def check(self) -> None:
        """Read and write as far as it is due; may raise ``PlatformError``."""
        self._choose_contacts()
        now = self._clock()
        if self._is_read_due(now):
            self._tried_to_read_at = now
            await self._read()
        if self._is_write_due(now):
            self._tried_to_write_at = now
            await self._write()

    def _choose_contacts(self) -> None:
        heard = frozenset(
            peer.name
            for peer in self._membership.peers()
            if peer.state in _HEARD_STATES
        ) | {self._membership.name}
        if heard != self._heard:
            self._heard = heard
            self._contacts = rendezvous.choose("contacts", heard, CONTACT_COUNT)

    @property
    def _is_alone(self) -> bool:
        return len(self._heard) == 1

    @property
    def _is_contact(self) -> bool:
        return self._membership.name in self._contacts

    def _is_read_due(self, now: float) -> bool:
        since_s = now - self._tried_to_read_at
        if self._is_alone:
            return since_s >= LONE_READ_INTERVAL_S
        if since_s >= MIN_INTERVAL_S and self._known.needs_read:
            return True
        return self._is_contact and since_s >= self._read_interval_s

    def _is_write_due(self, now: float) -> bool:
        if not self._is_contact or now - self._tried_to_write_at < MIN_INTERVAL_S:
            return False
        if self._written is None:
            return True
        at, era = self._written
        return now - at >= WRITE_INTERVAL_S or era != self._era()

    async def _write(self) -> None:
        record: Record = {
            "at": self._now(),
            "own": self._membership.own_fields,
            "heard": sorted(self._heard),
        }
        at, era = self._clock(), self._era()
        await self._topic.set(self._membership.name, msgspec.json.encode(record))
        self._written = (at, era)
        RECORDS.labels("written").inc()

    async def _read(self) -> None:
        self._read_interval_s = READ_INTERVAL_S * self._rng.uniform(0.75, 1.0)
        began_at, unix_time = self._clock(), self._now()
        listing = await self._topic.read_all()
        RECORDS.labels("read").inc()
        if self._membership.name not in listing.values:
            self._written = None
        found = self._decode_all(listing)
        strangers = [
            record for record in found if record.entry.peer.name not in self._heard
        ]
        heard_at: dict[str, float] = {}
        groups: set[str] = set()
        for record in strangers:
            age_s = unix_time - record.at
            if age_s >= -MAX_CLOCK_SKEW_S:
                if self._heard.isdisjoint(record.heard):
                    groups |= set(record.heard)
                for name in record.heard:
                    at = began_at - max(0.0, age_s)
                    heard_at[name] = max(at, heard_at.get(name, -math.inf))
        is_own_shown = self._written is not None
        self._known.record_read(
            heard_at, began_at, groups=groups, is_own_shown=is_own_shown
        )
        await self._join(strangers)
        await self._remove_one(strangers, unix_time, listing.next_offset)

    async def _join(self, strangers: list[_Found]) -> None:
        ranked = sorted(strangers, key=lambda record: record.at, reverse=True)
        others = ranked[NEWEST_TRIED:]
        tried = ranked[:NEWEST_TRIED] + self._rng.sample(
            others, min(OTHERS_TRIED, len(others))
        )
        reached = await asyncio.gather(
            *(self._membership.join(record.entry) for record in tried)
        )
        for record, is_reached in zip(tried, reached, strict=True):
            if is_reached:
                RECORDS.labels("joined").inc()
                log.info(
                    "entry found in the store",
                    extra=logs.fields(
                        peer=record.entry.peer.name, known=len(self._heard)
                    ),
                )

    async def _remove_one(
        self, strangers: list[_Found], unix_time: float, end_offset: int
    ) -> None:
        """Remove the record of an entry that seems to have ended, for all contacts."""
        if not self._contacts or self._contacts[0] != self._membership.name:
            return
        for record in strangers:
            if unix_time - record.at > RETENTION_S:
                name = record.entry.peer.name
                await self._topic.remove(name, expected_end=end_offset)
                RECORDS.labels("removed").inc()
                log.info("record of an entry removed", extra=logs.fields(peer=name))
                return

    def _decode_all(self, listing: topicfollower.Listing) -> list[_Found]:
        found = []
        invalid = {}
        for key, value in listing.values.items():
            if key == self._membership.name:
                continue
            try:
                found.append(_decode(key, value))
            except errors.DecodingError as error:
                invalid[key] = value
                if self._invalid.get(key) != value:
                    RECORDS.labels("invalid").inc()
                    log.warning(
                        "record of an entry is invalid",
                        extra=logs.fields(key=key[:MAX_SHOWN_CHARACTERS], reason=error),
                    )
        self._invalid = invalid
        return found


def _decode(key: str, value: bytes) -> _Found:
    """Return a valid record, or raise ``DecodingError``."""
    if len(value) > MAX_RECORD_BYTES:
        raise errors.DecodingError(f"{len(value)} bytes")
    record = decoding.from_json(value, Record)
    entry = peertable.from_fields(record["own"])
    if entry is None or entry.peer.name != key:
        raise errors.DecodingError("its entry is out of bounds")
    if not math.isfinite(record["at"]):
        raise errors.DecodingError("its time isn't a number")
    names = record["heard"]
    is_in_bounds = len(names) <= peertable.MAX_PEERS and all(
        0 < len(name) <= peertable.MAX_NAME_CHARACTERS for name in names
    )
    if not is_in_bounds:
        raise errors.DecodingError("its names are out of bounds")
    return _Found(entry, record["at"], names)
