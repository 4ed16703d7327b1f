"""
Saves the bucket levels of quotas in the store, and reads them when an entry starts.

Only the entry that holds the duties, the tasks that one entry performs for all, saves
them. The saved levels matter only after all entries have ended at once: an entry that
starts among others adopts their levels.
"""

import asyncio
import logging
import math
import typing
from collections import abc

import msgspec

from acaciaward import decoding, errors
from acaciaward.admission import quotas
from acaciaward.catalogue import topicfollower
from acaciaward.observability import logs

log = logging.getLogger(__name__)

KEY = "levels"
# An older record is ignored, since it doesn't show what was admitted after it. Allows
# for an outage of a few seconds, the start, and clock skew.
MAX_AGE_S = 10.0
# Between the clocks of two instances.
MAX_CLOCK_SKEW_S = 2.0


class Record(typing.NamedTuple):
    """Levels by organisation at a Unix time, and the number of entries then."""

    at: float
    entries: int
    levels: dict[str, float]


class Topic(typing.Protocol):
    """A keyed topic of the store; calls may raise ``PlatformError``."""

    async def read_all(self) -> topicfollower.Listing:
        """Return the newest value of each key."""

    async def set(self, key: str, value: bytes) -> None:
        """Set the value of a key."""


class Saver:
    """Restores the levels once, then saves them while ``is_duty_holder()`` is true."""

    def __init__(
        self,
        topic: Topic,
        organisation_quotas: quotas.Quotas,
        *,
        is_duty_holder: abc.Callable[[], bool],
        now: abc.Callable[[], float],
        entry_count: abc.Callable[[], int],
    ):
        self._topic = topic
        self._quotas = organisation_quotas
        self._is_duty_holder = is_duty_holder
        self._now = now
        self._entry_count = entry_count
        self.saved_entry_count = 0

    async def run(self) -> None:
        """Restore, then save until cancelled."""
        try:
            await self.restore()
        except errors.PlatformError as error:
            log.info(
                "cannot read saved quotas; starting without them",
                extra=logs.fields(reason=error),
            )
        while True:
            await asyncio.sleep(quotas.SAVE_INTERVAL_S)
            if not self._is_duty_holder():
                continue
            try:
                await self.save()
            except errors.PlatformError as error:
                log.info("cannot save quotas", extra=logs.fields(reason=error))

    async def restore(self) -> None:
        """Start from the levels saved last, unless they are too old."""
        listing = await self._topic.read_all()
        value = listing.values.get(KEY)
        if value is None:
            return
        try:
            record = decoding.from_json(value, Record)
        except errors.DecodingError as error:
            log.warning(
                "saved quotas are invalid; starting without them",
                extra=logs.fields(reason=error),
            )
            return
        age_s = self._now() - record.at
        is_recent = -MAX_CLOCK_SKEW_S < age_s < MAX_AGE_S
        if is_recent:
            self.saved_entry_count = record.entries
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
        """Save the levels known to this entry, if it knows any."""
        levels = self._quotas.levels()
        if levels:
            record = Record(self._now(), self._entry_count(), levels)
            await self._topic.set(KEY, msgspec.json.encode(record))
