"""
Keeps suspicions in the store, and reads them when an entry starts.

The saved suspicions matter only after all entries have ended at once: an entry that
starts among others learns them there. One entry, the writer, saves for all, and only
when something has changed: one value with the requests and parts of prompts that have
met several crashes. Two entries may take themselves for the writer for a while; what
they write is nearly the same.

    {"requests": [["d4e6", 1764929255.0, ["i-1/5", "i-2/7"], []]], "parts": []}
"""

import asyncio
import logging
import typing
from collections import abc

import msgspec

from acaciaward import decoding, errors
from acaciaward.catalogue import topicfollower
from acaciaward.observability import logs
from acaciaward.quarantine import crashreports, partreports, promptparts, suspects

log = logging.getLogger(__name__)

KEY = "suspicions"
# How often the writer compares what it knows with what it wrote. An entry that becomes
# the writer waits as long, since it may just have started and not know the others yet.
SAVE_INTERVAL_S = 1.0
# Pauses between tries to read: the first one, and the longest.
FIRST_READ_PAUSE_S = 0.5
MAX_READ_PAUSE_S = 8.0
# Requests and parts in the value, those with most crashes first.
MAX_SAVED = 16
# A value with more than this isn't decoded.
MAX_VALUE_BYTES = 65536
# Chance crashes are met by many requests; those that met only one aren't saved.
MIN_CRASHES = 2
# Between the clocks of two instances.
MAX_CLOCK_SKEW_S = 5.0

Identity = abc.Hashable


class RequestRecord(typing.NamedTuple):
    """A request, the Unix time of its last crash, and its crashed endpoints."""

    name: str
    at: float
    early: list[str]
    later: list[str]

    @property
    def identity(self) -> Identity:
        """What makes the record worth writing."""
        return self.name, frozenset(self.early), frozenset(self.later)


class PartRecord(typing.NamedTuple):
    """
    A part of prompts, the Unix times of its crashes, and what all calls there had.

    ``served_at`` is when it was last served, None if that isn't known.
    """

    name: str
    crashed_at: dict[str, float]
    common: list[str]
    served_at: float | None = None

    @property
    def identity(self) -> Identity:
        """What makes the record worth writing."""
        return self.name, frozenset(self.crashed_at), frozenset(self.common)


class _Value(typing.TypedDict):
    requests: list[msgspec.Raw]
    parts: list[msgspec.Raw]


class Suspicions(typing.NamedTuple):
    """All that is saved."""

    requests: list[RequestRecord]
    parts: list[PartRecord]

    @property
    def identity(self) -> Identity:
        """What makes the records worth writing."""
        return (
            frozenset(record.identity for record in self.requests),
            frozenset(record.identity for record in self.parts),
        )


class Topic(typing.Protocol):
    """A keyed topic of the store; calls may raise ``PlatformError``."""

    async def read_all(self) -> topicfollower.Listing:
        """Return the newest value of each key."""

    async def set(self, key: str, value: bytes) -> None:
        """Set the value of a key."""


Record = typing.TypeVar("Record", RequestRecord, PartRecord)


def decode(value: bytes | None) -> Suspicions:
    """Return the records of a value; those that can't be decoded are skipped."""
    if value is None:
        return Suspicions([], [])
    try:
        if len(value) > MAX_VALUE_BYTES:
            raise errors.DecodingError(f"{len(value)} bytes")
        lists = decoding.from_json(value, _Value)
    except errors.DecodingError as error:
        log.warning("saved suspicions are invalid", extra=logs.fields(reason=error))
        return Suspicions([], [])
    requests = _decode_each(lists["requests"], RequestRecord, _is_request_valid)
    parts = _decode_each(lists["parts"], PartRecord, _is_part_valid)
    skipped = sum(map(len, lists.values())) - len(requests) - len(parts)
    if skipped:
        log.warning("saved suspicions are invalid", extra=logs.fields(count=skipped))
    return Suspicions(requests, parts)


def _decode_each(
    items: abc.Iterable[msgspec.Raw],
    record_type: type[Record],
    is_valid: abc.Callable[[Record], bool],
) -> list[Record]:
    records = []
    for item in items:
        try:
            record = decoding.from_json(bytes(item), record_type)
        except errors.DecodingError:
            # The caller counts and logs what is missing.
            continue
        if is_valid(record):
            records.append(record)
    return records[:MAX_SAVED]


def _is_request_valid(record: RequestRecord) -> bool:
    endpoints = [*record.early, *record.later]
    return decoding.is_in_range(record.at) and crashreports.is_valid(
        record.name, endpoints
    )


def _is_part_valid(record: PartRecord) -> bool:
    times = [*record.crashed_at.values(), record.served_at or 0.0]
    return bool(record.crashed_at) and (
        partreports.is_valid(record.name, dict.fromkeys(record.crashed_at, 0.0))
        and partreports.is_valid(record.name, {}, record.common)
        and all(map(decoding.is_in_range, times))
    )


class SuspicionStore:
    """
    Restores suspicions once, then saves them while ``is_writer()`` is true.

    ``era`` rises when the store was restored from an older copy.
    """

    def __init__(
        self,
        topic: Topic,
        known_suspects: suspects.Suspects,
        prompt_parts: promptparts.PromptParts,
        *,
        is_writer: abc.Callable[[], bool],
        now: abc.Callable[[], float],
        era: abc.Callable[[], int],
    ):
        self._topic = topic
        self._suspects = known_suspects
        self._prompt_parts = prompt_parts
        self._is_writer = is_writer
        self._now = now
        self._era = era
        # What the store has, with its era; None unless this entry writes it.
        self._saved: Identity | None = None

    async def run(self) -> None:
        """Restore, then save until cancelled."""
        pause_s = FIRST_READ_PAUSE_S
        while not await self._try(self.restore):
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_READ_PAUSE_S)
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            if not self._is_writer():
                self._saved = None
            elif self._saved is None:
                await self._try(self.compare)
            else:
                await self._try(self.save)

    @staticmethod
    async def _try(act: abc.Callable[[], abc.Awaitable[None]]) -> bool:
        try:
            await act()
        except errors.PlatformError as error:
            log.info("cannot reach saved suspicions", extra=logs.fields(reason=error))
            return False
        return True

    async def restore(self) -> None:
        """Add what was saved last to what this entry knows."""
        found = decode((await self._topic.read_all()).values.get(KEY))
        latest = self._now() + MAX_CLOCK_SKEW_S
        requests = [
            suspects.Suspicion(
                record.name, self._age_s(record.at), record.early, record.later
            )
            for record in found.requests
            if record.at <= latest
        ]
        parts = [
            record
            for record in found.parts
            if max(record.crashed_at.values()) <= latest
        ]
        self._suspects.restore(requests)
        self._prompt_parts.receive(
            {
                "crashes": {
                    record.name: {
                        "ages": {
                            endpoint: self._age_s(at)
                            for endpoint, at in record.crashed_at.items()
                        },
                        "common": record.common,
                    }
                    for record in parts
                },
                "served": {
                    record.name: self._age_s(record.served_at)
                    for record in parts
                    if record.served_at is not None
                },
            }
        )
        if requests or parts:
            log.info(
                "suspicions restored",
                extra=logs.fields(requests=len(requests), parts=len(parts)),
            )

    async def compare(self) -> None:
        """Read what the store has, to write only what differs."""
        listing = await self._topic.read_all()
        self._saved = (listing.era, decode(listing.values.get(KEY)).identity)

    async def save(self) -> None:
        """Write what this entry knows, unless the store has the same."""
        known = self._known()
        identity = (self._era(), known.identity)
        if identity == self._saved:
            return
        await self._topic.set(KEY, msgspec.json.encode(known._asdict()))
        self._saved = identity
        log.info(
            "suspicions saved",
            extra=logs.fields(requests=len(known.requests), parts=len(known.parts)),
        )

    def _age_s(self, at: float) -> float:
        return max(0.0, self._now() - at)

    def _known(self) -> Suspicions:
        now = self._now()
        requests = [
            RequestRecord(name, now - age_s, early, later)
            for name, age_s, early, later in self._suspects.suspicions(MIN_CRASHES)
        ]
        report = self._prompt_parts.known(MIN_CRASHES)
        parts = [
            PartRecord(
                part,
                {endpoint: now - age_s for endpoint, age_s in found["ages"].items()},
                found["common"],
                now - report["served"][part] if part in report["served"] else None,
            )
            for part, found in report["crashes"].items()
        ]
        return Suspicions(requests[:MAX_SAVED], parts[:MAX_SAVED])
