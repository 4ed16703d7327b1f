"""
Follows a keyed topic of the store, in which only the newest value of a key counts.

Reads a complete listing first, then each change in order. It starts over with a listing
if changes have expired in the store before they were read, or if the store was restored
from an older copy: offsets of an earlier era may belong to other records.
"""

import asyncio
import logging
import math
import random
import time
import typing
from collections import abc

from acaciaward import errors
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Backoff after a failed call, in seconds: it doubles, with jitter so that entries
# don't retry at the same time.
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
# How often ``is_relayed`` is checked again while it holds, in seconds.
RELAYED_CHECK_INTERVAL_S = 0.1


class Change(typing.NamedTuple):
    """A key's new value, or None if the key was removed."""

    key: str
    value: bytes | None


class Listing(typing.NamedTuple):
    """
    All keys with their values, and the offset of the next change.

    ``era`` is the store's era at that offset, 0 if unknown.
    """

    values: abc.Mapping[str, bytes]
    next_offset: int
    era: int = 0


class Page(typing.NamedTuple):
    """
    Changes in order, and the next offset.

    ``end_offset`` is the end of the topic, ``era`` the store's era, 0 if unknown.
    """

    changes: abc.Sequence[Change]
    next_offset: int
    end_offset: int
    era: int = 0


class Source(typing.Protocol):
    """One topic of the store."""

    async def read_all(self) -> Listing:
        """Return all keys with their values; may raise ``PlatformError``."""

    async def read_changes(self, start: int, *, wait_s: float) -> Page:
        """Return changes from an offset on; may raise ``PlatformError``."""


class Follower:
    """
    Reads one topic until cancelled and calls back with listings and changes.

    ``wait_s`` is the long-poll timeout: the store may hold a call until there is a
    change, or until what was read is that old. ``pause_s`` is the time between the
    beginnings of two calls, for topics that change all the time. Both bound the age of
    what was read to that time and one round trip more. While ``is_relayed`` returns
    True, updates arrive another way and nothing is read; afterwards, a listing is read
    first. ``on_read`` is called after each read with the monotonic time whose state it
    showed, and whether every change since the read before was among its changes.
    """

    def __init__(
        self,
        source: Source,
        *,
        name: str,
        on_listing: abc.Callable[[abc.Mapping[str, bytes]], None],
        on_change: abc.Callable[[Change], None],
        on_outage: abc.Callable[[], None] = lambda: None,
        on_read: abc.Callable[[float, bool], None] = lambda began_at, is_continuous: (
            None
        ),
        wait_s: float = 0.0,
        pause_s: float = 0.0,
        is_relayed: abc.Callable[[], bool] = lambda: False,
    ):
        self._source = source
        self._name = name
        self._on_listing = on_listing
        self._on_change = on_change
        self._on_outage = on_outage
        self._on_read = on_read
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._is_relayed = is_relayed
        self._next_offset: int | None = None
        # The store's era in which the next offset was obtained.
        self._era = 0
        self._failures = 0
        self.listed = asyncio.Event()
        # The monotonic time whose state of the topic was read last.
        self.read_at = -math.inf

    @property
    def _age_s(self) -> float:
        return time.monotonic() - self.read_at

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.listed.is_set() and self._is_relayed():
                self._next_offset = None
                await asyncio.sleep(RELAYED_CHECK_INTERVAL_S)
                continue
            try:
                await self._read_once()
            except errors.RecordsExpiredError as error:
                log.info(
                    "next offset doesn't exist any more; listing the topic again",
                    extra=logs.fields(topic=self._name, first=error.first_offset),
                )
                self._next_offset = None
            except errors.PlatformError as error:
                self._record_failure(error)
                await self._back_off()
            except Exception as error:
                # Whatever one answer holds, the topic has to be followed further.
                log.error(
                    "applying an answer of the store failed; listing the topic again",
                    extra=logs.fields(topic=self._name),
                    exc_info=error,
                )
                self._next_offset = None
                self._record_failure(error)
                await self._back_off()
            else:
                self._record_success()
                await asyncio.sleep(max(0.0, self._pause_s - self._age_s))

    async def _read_once(self) -> None:
        if self._next_offset is None:
            listing_requested_at = time.monotonic()
            listing = await self._source.read_all()
            if listing.era > self._era and self.listed.is_set():
                # The copy may lack keys that will be written again.
                self._on_outage()
            self._on_listing(listing.values)
            self._next_offset = listing.next_offset
            self._era = listing.era
            self._record_read(listing_requested_at, is_continuous=False)
            self.listed.set()
        requested_at = time.monotonic()
        # After a failure the first answer is needed at once, also if nothing changed.
        wait_s = 0.0 if self._failures else max(0.0, self._wait_s - self._age_s)
        page = await self._source.read_changes(self._next_offset, wait_s=wait_s)
        if page.era > self._era or page.end_offset < self._next_offset:
            log.warning(
                "store was restored from an older copy; listing the topic again",
                extra=logs.fields(
                    topic=self._name,
                    next=self._next_offset,
                    end=page.end_offset,
                    era=page.era,
                    before=self._era,
                ),
            )
            self._next_offset = None
            return
        for change in page.changes:
            self._on_change(change)
        is_empty = page.end_offset == page.next_offset == self._next_offset
        self._next_offset = page.next_offset
        if is_empty and time.monotonic() - requested_at >= wait_s:
            # The store answers an unchanged topic when the wait ends, not before.
            requested_at += wait_s
        self._record_read(requested_at, is_continuous=True)

    def _record_read(self, began_at: float, *, is_continuous: bool) -> None:
        self.read_at = began_at
        self._on_read(began_at, is_continuous)

    async def _back_off(self) -> None:
        max_backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self._failures)
        await asyncio.sleep(random.uniform(max_backoff_s / 2, max_backoff_s))

    def _record_failure(self, error: Exception) -> None:
        if not self._failures:
            log.warning(
                "store unavailable", extra=logs.fields(topic=self._name, reason=error)
            )
        self._failures = min(self._failures + 1, 8)
        self._on_outage()

    def _record_success(self) -> None:
        if self._failures:
            log.info("store available again", extra=logs.fields(topic=self._name))
        self._failures = 0
