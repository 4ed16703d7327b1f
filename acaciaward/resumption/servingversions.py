"""
Keeps in the store which software versions may have begun the streams that still run.

An entry passes on the first event of a stream only once the store has a record of its
endpoint's version, so the records of a service name every version that a stream may
have begun at. They outlive all entries: where a service has one record, a stream whose
origin no entry remembers began at that version.

    await versions.ensure(Origin("service", "v2"))
    await versions.read("service")  # frozenset({'v1', 'v2'})

One entry, the recorder, writes the records for all, and removes that of a version whose
last endpoint has left for longer than a stream may run.

The records are taken for complete only if the store says so, in the era in which they
were written: a store that is new or was restored from an older copy lacks versions that
have begun streams. An entry says so that has known the endpoints for as long as streams
run and has recorded all their versions.
"""

import asyncio
import collections
import hashlib
import itertools
import logging
import math
import time
import typing
from collections import abc

import msgspec

from acaciaward import decoding, errors
from acaciaward.catalogue import sharedread, topicfollower
from acaciaward.membership import interfaces
from acaciaward.observability import logs
from acaciaward.resumption import messages

log = logging.getLogger(__name__)

# A version without endpoints is kept for longer than callers take up its streams.
RETENTION_S = 60.0
# How often the recorder compares the records with the endpoints that are listed.
SWEEP_INTERVAL_S = 5.0
# The same with a version that lacks its record. An entry that becomes the recorder
# waits as long, since it may just have started and not know the others yet.
URGENT_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 0.25
# A stream's first event waits this long for the record of its version.
MAX_WAIT_S = 0.15
REQUEST_TIMEOUT_S = 0.3
# After a failure, streams of that version don't wait for as long.
FAILURE_PAUSE_S = 1.0
# Recorded like a version of a service that shares a route with others: then its
# streams are in the store, and no version counts as the only one.
SHARED = "(shared)"
# The key of what says that the records are complete; others are hexadecimal digits.
COMPLETE_KEY = "complete"


class Origin(typing.NamedTuple):
    """The service and the version of its software that began a stream."""

    service: str
    version: str


class Record(typing.NamedTuple):
    """
    The store's record of one version.

    ``mark`` differs for each write. The record counts only in the store's ``era`` in
    which it was written, as others may have been lost with the store's last seconds.
    """

    service: str
    version: str
    era: int
    mark: str


class Complete(typing.NamedTuple):
    """Says that the records of an era name all versions that began running streams."""

    era: int


class Topic(typing.Protocol):
    """A keyed topic of the store; calls may raise ``PlatformError``."""

    async def read_all(self) -> topicfollower.Listing:
        """Return the newest value of each key."""

    async def set(self, key: str, value: bytes) -> None:
        """Set the value of a key."""

    async def remove(self, key: str, *, expected_end: int) -> None:
        """Remove a key if the topic ends at an offset."""


class Network(interfaces.PeerNetwork, typing.Protocol):
    """Requests to the other entries."""

    @property
    def name(self) -> str:
        """The name of this entry."""


class ServingVersions:
    """
    The records of all services' versions.

    ``listed`` returns the versions of the endpoints that are listed, and ``running``
    those that began the streams which may be taken up now, None if that isn't known.
    ``recorder`` returns the name of the entry that writes the records, and ``shared``
    the services that share a route, now or until a moment ago. Before a
    service's second version gets its record, ``store_streams`` stores the streams that
    this entry remembers.
    """

    def __init__(
        self,
        topic: Topic,
        network: Network,
        *,
        listed: abc.Callable[[], abc.Set[Origin]],
        running: abc.Callable[[], abc.Set[Origin] | None],
        recorder: abc.Callable[[], str],
        shared: abc.Callable[[], abc.Set[str]] = frozenset,
        era: abc.Callable[[], int],
        process_run: str,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._topic = topic
        self._network = network
        self._listed = listed
        self._running = running
        self._recorder = recorder
        self._shared = shared
        self._era = era
        self._process_run = process_run
        self._clock = clock
        self._writes = itertools.count(1)
        # Versions whose record this entry knows to be in the store.
        self._recorded: set[Origin] = set()
        self._recordings: dict[Origin, asyncio.Task] = {}
        self._failed_at: dict[Origin, float] = {}
        # When a record without endpoints was first seen, by its key and mark.
        self._unlisted_since: dict[tuple[str, str], float] = {}
        self._listing = sharedread.SharedRead(lambda: topic.read_all(), clock=clock)
        # The era in which the records are complete, as known to the recorder.
        self._complete_era: int | None = None
        # The versions that have a record, as known to the recorder, and when that was
        # last known: in the future while it's being written.
        self._serving: dict[Origin, float] = {}
        self.store_streams: abc.Callable[[str], abc.Awaitable[None]] = _store_nothing
        network.handle("version_serves", self._answer)

    def has_several(self, service: str) -> bool:
        """Return whether a service has several versions, as known to the recorder."""
        return sum(origin.service == service for origin in self._serving) > 1

    def needs_streams(self, service: str) -> bool:
        """Return whether only the store's record of a stream tells its version."""
        is_known = self._serving and self._complete_era == self._era()
        return not is_known or self.has_several(service)

    async def ensure(self, origin: Origin) -> None:
        """
        Wait until the store has a version's record, but not for long.

        If the store doesn't take it in time, the record is written later.
        """
        if origin.service in self._shared():
            await self._ensure_recorded(Origin(origin.service, SHARED))
        await self._ensure_recorded(origin)

    async def _ensure_recorded(self, origin: Origin) -> None:
        if origin in self._recorded:
            return
        recording = self._recordings.get(origin)
        if recording is None:
            failed_s = self._clock() - self._failed_at.get(origin, -math.inf)
            if failed_s < FAILURE_PAUSE_S:
                return
            recording = asyncio.create_task(self._record(origin))
            self._recordings[origin] = recording
        await asyncio.wait([recording], timeout=MAX_WAIT_S)

    async def _record(self, origin: Origin) -> None:
        try:
            if not await self._ask_recorder(origin):
                await self._write(origin)
            self._recorded.add(origin)
        except errors.PlatformError as error:
            self._failed_at[origin] = self._clock()
            log.warning(
                "could not record a version in the store",
                extra=logs.fields(
                    service=origin.service,
                    endpoint_version=origin.version,
                    reason=error,
                ),
            )
        finally:
            del self._recordings[origin]

    async def _ask_recorder(self, origin: Origin) -> bool:
        recorder = self._recorder()
        if recorder == self._network.name:
            return False
        body: messages.VersionServes = {
            "sender": self._network.name,
            **origin._asdict(),
        }
        try:
            answer = await self._network.request(
                recorder, "version_serves", body, timeout_s=REQUEST_TIMEOUT_S
            )
        except errors.PeerUnreachableError as error:
            log.info(
                "recorder of versions doesn't answer",
                extra=logs.fields(peer=recorder, reason=error),
            )
            return False
        return answer["is_recorded"]

    async def _answer(
        self, sender: str, body: messages.VersionServes
    ) -> messages.VersionServesAnswer:
        origin = Origin(body["service"], body["version"])
        await self._ensure_recorded(origin)
        return {"is_recorded": origin in self._recorded}

    async def _write(self, origin: Origin) -> None:
        if not self._serving:
            await self._add_known(await self._topic.read_all())
        await self._add_serving(origin, until=math.inf)
        record = Record(
            origin.service,
            origin.version,
            self._era(),
            f"{self._process_run}/{next(self._writes)}",
        )
        try:
            await self._topic.set(_key(origin), msgspec.json.encode(record))
        finally:
            # Whether a write that failed has been carried out isn't known. Another
            # entry may have become the recorder meanwhile.
            if origin in self._serving:
                self._serving[origin] = self._clock()
        log.info(
            "version recorded in the store",
            extra=logs.fields(
                service=origin.service, endpoint_version=origin.version, era=record.era
            ),
        )

    async def read(self, service: str) -> frozenset[str]:
        """Return the versions that may have begun streams; empty if not known."""
        read = await self._listing.get()
        return _trusted_versions(read.value).get(service, frozenset())

    async def run(self) -> None:
        """Keep the records in line with the endpoints that are listed."""
        # None unless this entry is the recorder.
        compared_at: float | None = None
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            listed = self._listed()
            # A version that comes back needs a record that may have been removed.
            self._recorded &= listed
            if self._recorder() != self._network.name:
                self._unlisted_since.clear()
                self._serving.clear()
                compared_at = None
                continue
            now = self._clock()
            if compared_at is None:
                compared_at = now
            interval_s = (
                URGENT_INTERVAL_S if self._has_new(listed) else SWEEP_INTERVAL_S
            )
            if not listed or now - compared_at < interval_s:
                continue
            compared_at = now
            try:
                await self.sweep(listed)
            except errors.PlatformError as error:
                log.info(
                    "could not compare the versions in the store",
                    extra=logs.fields(reason=error),
                )

    def _has_new(self, listed: abc.Set[Origin]) -> bool:
        """Return whether a version lacks its record, or all can be called complete."""
        can_declare = self._complete_era != self._era() and self._running() is not None
        return can_declare or not listed <= self._serving.keys()

    async def sweep(self, listed: abc.Set[Origin]) -> None:
        """Write the records that are missing, and remove one that is out of use."""
        read_at = self._clock()
        listing = await self._topic.read_all()
        known = await self._add_known(listing)
        # The listing may lack versions that were written meanwhile.
        self._serving = {
            origin: known_at
            for origin, known_at in self._serving.items()
            if origin in known or known_at >= read_at
        }
        running = self._running()
        missing = (listed | (running or frozenset())) - known
        for origin in missing:
            await self._write(origin)
        self._recorded |= listed
        self._note_unlisted(listing, listed)
        if not _is_complete(listing) and running is not None:
            await self._declare_complete(listing.era)
            return
        if not missing:
            await self._remove_unused(listing.next_offset)

    async def _declare_complete(self, era: int) -> None:
        """Let entries rely on the records of an era of the store."""
        await self._topic.set(COMPLETE_KEY, msgspec.json.encode(Complete(era)))
        self._complete_era = era
        log.info("versions in the store are complete", extra=logs.fields(era=era))

    async def _add_known(self, listing: topicfollower.Listing) -> frozenset[Origin]:
        """Add the versions that have a record, and return them."""
        if _is_complete(listing):
            self._complete_era = listing.era
        known = _serving(listing)
        for origin in known:
            await self._add_serving(origin, until=self._clock())
        return known

    async def _add_serving(self, origin: Origin, *, until: float) -> None:
        """Store the streams of a service that has several versions from now on."""
        had_several = self.has_several(origin.service)
        self._serving[origin] = max(until, self._serving.get(origin, -math.inf))
        if not had_several and self.has_several(origin.service):
            await self.store_streams(origin.service)

    def _note_unlisted(
        self, listing: topicfollower.Listing, listed: abc.Set[Origin]
    ) -> None:
        """Note since when records have had no endpoint."""
        now = self._clock()
        unlisted = {
            (key, record.mark)
            for key, record in _decode_all(listing).items()
            if Origin(record.service, record.version) not in listed
        }
        self._unlisted_since = {
            found: self._unlisted_since.get(found, now) for found in unlisted
        }

    async def _remove_unused(self, end_offset: int) -> None:
        """Remove one record that is out of use, if the topic still ends there."""
        now = self._clock()
        for (key, mark), since in self._unlisted_since.items():
            if now - since < RETENTION_S:
                continue
            await self._topic.remove(key, expected_end=end_offset)
            log.info("version removed from the store", extra=logs.fields(mark=mark))
            return


async def _store_nothing(service: str) -> None:
    """Do nothing."""


def _serving(listing: topicfollower.Listing) -> frozenset[Origin]:
    """Return the versions that have a record of the store's era."""
    return frozenset(
        Origin(record.service, record.version)
        for record in _decode_all(listing).values()
        if record.era == listing.era
    )


def _key(origin: Origin) -> str:
    hasher = hashlib.blake2b(digest_size=16)
    hasher.update(f"{len(origin.service)}:{origin.service}{origin.version}".encode())
    return hasher.hexdigest()


def _decode_all(listing: topicfollower.Listing) -> dict[str, Record]:
    records = {}
    for key, value in listing.values.items():
        if key == COMPLETE_KEY:
            continue
        try:
            records[key] = decoding.from_json(value, Record)
        except errors.DecodingError as error:
            log.warning(
                "record of a version is invalid",
                extra=logs.fields(key=key, reason=error),
            )
    return records


def _is_complete(listing: topicfollower.Listing) -> bool:
    """Return whether the records of the store's era name all versions."""
    value = listing.values.get(COMPLETE_KEY)
    if value is None:
        return False
    try:
        return decoding.from_json(value, Complete).era == listing.era
    except errors.DecodingError as error:
        log.warning(
            "record is invalid", extra=logs.fields(key=COMPLETE_KEY, reason=error)
        )
        return False


def _trusted_versions(listing: topicfollower.Listing) -> dict[str, frozenset[str]]:
    """Return the versions of each service, of none if the records aren't complete."""
    has_invalid = len(_decode_all(listing)) < len(listing.values) - 1
    if not _is_complete(listing) or has_invalid:
        return {}
    versions: dict[str, set[str]] = collections.defaultdict(set)
    for origin in _serving(listing):
        versions[origin.service].add(origin.version)
    return {service: frozenset(found) for service, found in versions.items()}
