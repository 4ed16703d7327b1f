"""
Follows a topic of the store in which each key has a newest value.

A whole listing comes first, then each change in order; after a gap in what the
store retains, a listing again.
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

# Pauses after a failed call, in seconds: they double, and are drawn at random so
# that entries don't come back together.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# How often a follower that is fed looks whether it still is, in seconds.
FED_POLL_S = 0.1


class Change(typing.NamedTuple):
    """A key's new value, or None if the key was dropped."""

    key: str
    value: bytes | None


class Listing(typing.NamedTuple):
    """All keys with their values, and where to go on."""

    values: abc.Mapping[str, bytes]
    next_offset: int


class Page(typing.NamedTuple):
    """Changes in order, and where to go on; ``end`` is the end of the topic."""

    changes: abc.Sequence[Change]
    next_offset: int
    end: int


class Source(typing.Protocol):
    """One topic of the store."""

    async def listing(self) -> Listing:
        """Return all keys; may raise ``PlatformError``."""

    async def changes(self, start: int, *, wait_s: float) -> Page:
        """Return changes from an offset on; may raise ``PlatformError``."""


class Follower:
    """
    Feeds one topic to its user until cancelled.

    ``wait_s`` lets the store hold a call until there is news, ``pause_s`` is a
    pause between calls for topics that never rest. While ``is_fed`` says that the
    news come another way, nothing is read; a listing comes first afterwards.
    """

    def __init__(
        self,
        source: Source,
        *,
        name: str,
        on_listing: abc.Callable[[abc.Mapping[str, bytes]], None],
        on_change: abc.Callable[[Change], None],
        on_outage: abc.Callable[[], None] = lambda: None,
        wait_s: float = 0.0,
        pause_s: float = 0.0,
        is_fed: abc.Callable[[], bool] = lambda: False,
    ):
        self._source = source
        self._name = name
        self._on_listing = on_listing
        self._on_change = on_change
        self._on_outage = on_outage
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._is_fed = is_fed
        self._next: int | None = None
        self._failures = 0
        self.is_listed = asyncio.Event()
        self.read_at = -math.inf

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.is_listed.is_set() and self._is_fed():
                self._next = None
                await asyncio.sleep(FED_POLL_S)
                continue
            try:
                await self._read_once()
            except errors.RecordsExpiredError as error:
                log.info(
                    "records expired unread",
                    extra=logs.fields(topic=self._name, first=error.first_offset),
                )
                self._next = None
            except errors.PlatformError as error:
                self._note_failure(error)
                highest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
                await asyncio.sleep(random.uniform(highest / 2, highest))
            else:
                self._note_success()
                await asyncio.sleep(self._pause_s)

    async def _read_once(self) -> None:
        if self._next is None:
            listing = await self._source.listing()
            self._on_listing(listing.values)
            self._next = listing.next_offset
            self.is_listed.set()
        began = time.monotonic()
        page = await self._source.changes(self._next, wait_s=self._wait_s)
        if page.end < self._next:
            log.warning("topic was cut", extra=logs.fields(topic=self._name))
            self._next = None
            return
        for change in page.changes:
            self._on_change(change)
        self._next = page.next_offset
        self.read_at = began

    def _note_failure(self, error: errors.PlatformError) -> None:
        if not self._failures:
            log.warning("store lost", extra=logs.fields(topic=self._name, reason=error))
        self._failures = min(self._failures + 1, 8)
        self._on_outage()

    def _note_success(self) -> None:
        if self._failures:
            log.info("store regained", extra=logs.fields(topic=self._name))
        self._failures = 0
