"""
Saves the levels of quotas in the store, and reads them at an entry's start.

Whoever holds the duties saves. What is saved matters only when all entries have ended
at once: an entry that starts among others takes over their levels.
"""

import asyncio
import logging
import math
import typing
from collections import abc

import msgspec

from acaciaward import errors
from acaciaward.admission import quotas
from acaciaward.catalogue import following
from acaciaward.observability import logs

log = logging.getLogger(__name__)

KEY = "levels"
# What was saved longer ago says nothing of what was admitted since, in seconds:
# an outage of a few seconds, a start, and clocks that differ.
MOST_AGE_S = 10.0
# Clocks of two instances may differ by this much, in seconds.
CLOCKS_DIFFER_S = 2.0


class Record(typing.NamedTuple):
    """Levels at a Unix time, and how many entries there were."""

    at: float
    entries: int
    levels: dict[str, float]


class Topic(typing.Protocol):
    """A topic with a newest value of each key; calls may raise ``PlatformError``."""

    async def listing(self) -> following.Listing:
        """Return all keys."""

    async def set(self, key: str, value: bytes) -> None:
        """Give a key a new value."""


class Saver:
    """Reads once, and saves while ``is_chosen`` says that this entry does."""

    def __init__(
        self,
        topic: Topic,
        shared: quotas.Quotas,
        *,
        is_chosen: abc.Callable[[], bool],
        now: abc.Callable[[], float],
        entries: abc.Callable[[], int],
    ):
        self._topic = topic
        self._quotas = shared
        self._is_chosen = is_chosen
        self._now = now
        self._entries = entries
        self.entries_before = 0

    async def run(self) -> None:
        """Restore, then save until cancelled."""
        try:
            await self.restore()
        except errors.PlatformError as error:
            log.info("quotas not restored", extra=logs.fields(reason=error))
        while True:
            await asyncio.sleep(quotas.SAVE_S)
            if not self._is_chosen():
                continue
            try:
                await self.save()
            except errors.PlatformError as error:
                log.info("quotas not saved", extra=logs.fields(reason=error))

    async def restore(self) -> None:
        """Begin with what was saved last, unless that is too old."""
        listing = await self._topic.listing()
        value = listing.values.get(KEY)
        if value is None:
            return
        try:
            record = msgspec.json.decode(value, type=Record)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            log.warning("saved quotas skipped", extra=logs.fields(reason=error))
            return
        age_s = self._now() - record.at
        is_recent = -CLOCKS_DIFFER_S < age_s < MOST_AGE_S
        if is_recent:
            self.entries_before = record.entries
            self._quotas.restore(
                {
                    name: level
                    for name, level in record.levels.items()
                    if math.isfinite(level)
                }
            )
        log.info(
            "quotas restored" if is_recent else "saved quotas too old",
            extra=logs.fields(age_s=round(age_s, 2), organisations=len(record.levels)),
        )

    async def save(self) -> None:
        """Save the levels as this entry knows them."""
        levels = self._quotas.levels()
        if levels:
            record = Record(self._now(), self._entries(), levels)
            await self._topic.set(KEY, msgspec.json.encode(record))
