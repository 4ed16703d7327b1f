"""
Stores what was counted in the window that runs, in case all entries are lost.

A window's counts are stored when it has ended. If all entries end before that, what
they counted would be lost. So a reader, the entry that reads the store for its data
centre, also keeps the counts of the running window in a keyed topic, under a key of its
own run. The entry that decides on the window adds what only that topic has.
"""

import asyncio
import logging
import math
import typing
from collections import abc

import msgspec

from acaciaward import decoding, errors
from acaciaward.catalogue import topicfollower
from acaciaward.observability import logs
from acaciaward.usage import counting

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
# A loss of all entries loses about as much; each reader appends once in this time while
# requests run.
STORE_INTERVAL_S = 1.0
# How long a window's counts are kept here after its end; by then they are stored for
# good.
KEPT_AFTER_END_S = 1.5
# An entry that has been a reader for less may only have lost its reader for a moment.
MIN_READER_S = 2.0
# Records of runs that have stored nothing in so many windows are removed.
RETAINED_WINDOWS = 12

CountsByStart = dict[str, counting.Counts]


class Record(typing.NamedTuple):
    """Counts by window and run of an entry, as one reader knows them."""

    windows: dict[int, CountsByStart]


class Topic(typing.Protocol):
    """A keyed topic of the store; calls may raise ``PlatformError``."""

    async def read_all(self) -> topicfollower.Listing:
        """Return the newest value of each key."""

    async def set(self, key: str, value: bytes) -> None:
        """Set the value of a key."""

    async def remove(self, key: str, *, expected_end: int) -> None:
        """Remove a key if the topic ends at an offset."""


class RunningCounts:
    """
    Stores the counts of the running window, and reads those of all readers.

    ``received`` returns the counts of a window by run as this entry knows them, or None
    if it isn't a reader.
    """

    def __init__(
        self,
        topic: Topic,
        counter: counting.UsageCounter,
        *,
        process_run: str,
        received: abc.Callable[[int], CountsByStart | None],
    ):
        self._topic = topic
        self._counter = counter
        self._process_run = process_run
        self._received = received
        self._reader_since = math.inf
        self._stored: dict[int, CountsByStart] = {}
        self._tried_at = -math.inf

    async def run(self) -> None:
        """Store until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                await self.store()
            except errors.PlatformError as error:
                log.info("running usage not stored", extra=logs.fields(reason=error))

    async def store(self) -> None:
        """Store the counts if they have changed and it is time to."""
        now, current = self._counter.now(), self._counter.current_window()
        if self._received(current) is None:
            self._reader_since = math.inf
            return
        self._reader_since = min(self._reader_since, now)
        is_early = now < self._tried_at + STORE_INTERVAL_S
        if is_early or now < self._reader_since + MIN_READER_S:
            return
        windows = {
            window: {
                start: counts
                for start, counts in (self._received(window) or {}).items()
                if counts
            }
            for window in (current - 1, current)
            if self._counter.time_since_end_s(window) < KEPT_AFTER_END_S
        }
        if all(counts == self._stored.get(w, {}) for w, counts in windows.items()):
            return
        self._tried_at = now
        await self._topic.set(self._process_run, msgspec.json.encode(Record(windows)))
        self._stored = windows

    async def read(self) -> counting.Ledger:
        """Return what all readers have stored, and remove one outdated record."""
        listing = await self._topic.read_all()
        ledger = counting.Ledger()
        oldest_window = self._counter.current_window() - RETAINED_WINDOWS
        outdated = None
        for key, value in listing.values.items():
            windows = _decode(key, value)
            if max(windows, default=-1) < oldest_window:
                outdated = key
                continue
            for window, counts_by_start in windows.items():
                for start, counts in counts_by_start.items():
                    ledger.merge(start, window, counts)
        if outdated is not None:
            await self._remove(outdated, listing.next_offset)
        return ledger

    async def _remove(self, key: str, expected_end: int) -> None:
        try:
            await self._topic.remove(key, expected_end=expected_end)
        except errors.PlatformError as error:
            # Another record was written meanwhile, or the store is away.
            log.info("outdated usage not removed", extra=logs.fields(reason=error))


def _decode(key: str, value: bytes) -> dict[int, CountsByStart]:
    try:
        return decoding.from_json(value, Record).windows
    except errors.DecodingError as error:
        log.warning(
            "invalid running usage skipped", extra=logs.fields(run=key, reason=error)
        )
        return {}
