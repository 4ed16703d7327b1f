"""
Holds one lease for all duties by conditional appends to a topic of the store.

Duties are the jobs that one entry at a time does for all, such as reporting usage to
the platform. The lease gives its holder the duties for a limited time; a tenure is the
unbroken time for which one entry holds it.

Each record begins or extends a tenure and is appended only if the topic still ends
where its author last read it, so that only one of several competing entries succeeds.
The fence (fencing token) of a tenure is the store's era and the offset of its first
record in one number, and therefore rises with each holder, also when the store is
restored from an older copy and gives offsets out again.

The holder counts the lease from before it sent the append, the other entries from
after they read the record, so leases never overlap. A restored store may lack records
of a tenure that goes on, so every entry waits for a lease from when it learns of the
new era, and the holder then gives its lease up. The clock keeps running while the
machine is suspended.
"""

import asyncio
import logging
import time
import typing
import uuid
from collections import abc

import msgspec
import prometheus_client

from acaciaward import decoding, errors
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Fraction of the lease after which it is renewed; leaves time for two more tries.
RENEW_AFTER_FRACTION = 0.35
# Other entries wait longer by this fraction of the lease, because clocks drift.
CLOCK_MARGIN_FRACTION = 0.1
POLL_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.3
# A refused read may name another first offset than the next one.
MAX_READS = 3
# A fence is an era times this number, plus an offset.
OFFSETS_PER_ERA = 2**32
# The era of a store that was never restored, or that states none.
FIRST_ERA = 0

DUTIES_HELD = prometheus_client.Gauge(
    "acaciaward_duty_held", "Whether this entry holds the lease of the duties"
)


def boot_time_s() -> float:
    """Return monotonic seconds that include the time the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TopicPage(typing.Protocol):
    """
    Records from offset ``start`` on; ``end_offset`` follows the last one.

    ``era`` rises when the store is restored from an older copy: offsets and records of
    an earlier era may be lost. It is 0 if the store states none.
    """

    records: list[bytes]
    start: int
    end_offset: int
    era: int


class Appended(typing.Protocol):
    """Where a topic ended after an append, and the store's era; see ``TopicPage``."""

    end_offset: int
    era: int


class Topic(typing.Protocol):
    """The topic that stores the lease; every call may raise ``PlatformError``."""

    async def read(self, start: int) -> TopicPage:
        """Return records from the offset ``start`` on."""

    async def append(self, record: bytes, *, expected_end: int) -> Appended:
        """Append if the topic ends at ``expected_end``."""


class Record(typing.NamedTuple):
    """
    Begins or extends a tenure.

    A ``fence`` of -1 begins one, whose fence is that of this record's own offset.
    ``nonce`` identifies the record, so that its author recognises it in the topic.
    """

    holder: str
    nonce: str
    fence: int


class Tenure(typing.NamedTuple):
    """The fence of the lease held here and the clock's time at which it lapses."""

    fence: int
    expires: float


class ConditionalLease:
    """Acquires and renews the lease; ``held`` returns this entry's tenure."""

    def __init__(
        self,
        topic: Topic,
        holder: str,
        *,
        duration_s: float,
        is_candidate: abc.Callable[[], bool],
        clock: abc.Callable[[], float] = boot_time_s,
    ):
        self._topic = topic
        self._holder = holder
        self._duration_s = duration_s
        self._is_candidate = is_candidate
        self._clock = clock
        self._end_offset: int | None = None
        self._era: int | None = None
        self._last_record_at = 0.0
        self._tenure: Tenure | None = None
        self._sent_at_by_nonce: dict[str, float] = {}
        self._is_topic_empty = False

    def held(self, *, for_s: float = 0.0) -> Tenure | None:
        """Return the tenure if it lasts for more than ``for_s``, else None."""
        tenure = self._tenure
        if tenure is None or self._clock() + for_s >= tenure.expires:
            return None
        return tenure

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            try:
                await self.step()
                pause_s = POLL_INTERVAL_S
            except errors.PlatformError as error:
                log.info(
                    "lease topic read or append failed", extra=logs.fields(reason=error)
                )
                pause_s = RETRY_DELAY_S
            self._clear_lapsed_tenure()
            await asyncio.sleep(pause_s)

    async def step(self) -> None:
        """Renew the lease if due; without it, read the topic and acquire it if free."""
        tenure = self.held()
        if tenure is not None:
            renew_at = tenure.expires - self._duration_s * (1 - RENEW_AFTER_FRACTION)
            if self._clock() >= renew_at:
                await self._append(tenure.fence)
            return
        # An entry that isn't a candidate reads the topic just once, to know where it
        # ends. So it notices a lapsed lease soon after it becomes a candidate.
        if self._end_offset is not None and not self._is_candidate():
            return
        read_began_at = self._clock()
        await self._read()
        takeover_wait_s = self._duration_s * (1 + CLOCK_MARGIN_FRACTION)
        if self.held() is None and (
            self._is_topic_empty
            or read_began_at - self._last_record_at >= takeover_wait_s
        ):
            await self._append(-1)

    async def _read(self) -> None:
        page = await self._read_page(self._end_offset or 0)
        if self._end_offset is None or page.era != self._era:
            page = await self._begin_era(page)
        while True:
            for index, data in enumerate(page.records):
                self._apply_record(page.start + index, data)
            self._end_offset = page.start + len(page.records)
            if not page.records or self._end_offset >= page.end_offset:
                return
            page = await self._read_page(self._end_offset)
            if page.era != self._era:
                page = await self._begin_era(page)

    async def _begin_era(self, page: TopicPage) -> TopicPage:
        """Begin to read the topic in the era of a page; return the first page of it."""
        if self._era is not None:
            log.warning(
                "lease records may be lost",
                extra=logs.fields(era=page.era, before=self._era),
            )
            self._clear_tenure("store restored", "")
            self._sent_at_by_nonce.clear()
        if self._end_offset is not None:
            self._end_offset = None
            page = await self._read_page(0)
        self._era = page.era
        # Unless the topic is empty and was never restored, its last record, or one that
        # was lost, may be very recent, so wait for a full lease from here on.
        self._last_record_at = self._clock()
        self._is_topic_empty = page.end_offset == 0 and page.era == FIRST_ERA
        return page

    async def _read_page(self, start: int) -> TopicPage:
        page = await self._read_retained(start)
        if page.era < (self._era or FIRST_ERA):
            raise errors.PlatformUnknownError("lease records of an earlier era")
        if page.start != start:
            # A record that is no longer retained may be as recent as the last one.
            log.info(
                "lease records no longer retained",
                extra=logs.fields(next_offset=start, first_offset=page.start),
            )
            self._last_record_at = self._clock()
            self._is_topic_empty = False
        return page

    async def _read_retained(self, start: int) -> TopicPage:
        """Read from an offset on, or from the first one that is retained."""
        for _ in range(MAX_READS):
            try:
                return await self._topic.read(start)
            except errors.RecordsExpiredError as error:
                start = error.first_offset
        raise errors.PlatformUnknownError("the first retained lease record isn't known")

    def _apply_record(self, offset: int, data: bytes) -> None:
        self._last_record_at = self._clock()
        self._is_topic_empty = False
        try:
            record = decoding.from_json(data, Record)
        except errors.DecodingError as error:
            log.warning(
                "invalid lease record skipped",
                extra=logs.fields(offset=offset, reason=error),
            )
            return
        sent_at = self._sent_at_by_nonce.pop(record.nonce, None)
        if record.holder != self._holder or sent_at is None:
            self._clear_tenure("taken by another", record.holder)
            return
        fence = self._fence_at(offset) if record.fence < 0 else record.fence
        self._set_tenure(fence, sent_at)

    def _fence_at(self, offset: int) -> int:
        return (self._era or FIRST_ERA) * OFFSETS_PER_ERA + offset

    async def _append(self, fence: int) -> None:
        record = Record(self._holder, uuid.uuid4().hex, fence)
        sent_at = self._clock()
        self._sent_at_by_nonce[record.nonce] = sent_at
        append_offset = self._end_offset
        try:
            appended = await self._topic.append(
                msgspec.json.encode(record), expected_end=append_offset
            )
        except errors.PlatformUnknownError:
            # The record may be in the topic now or appear later; a read will show it.
            await self._read()
            return
        except errors.PlatformRefusedError:
            self._sent_at_by_nonce.pop(record.nonce, None)
            await self._read()
            return
        self._sent_at_by_nonce.pop(record.nonce, None)
        if appended.era != self._era:
            await self._read()
            return
        self._end_offset = appended.end_offset
        self._last_record_at = self._clock()
        self._is_topic_empty = False
        self._set_tenure(self._fence_at(append_offset) if fence < 0 else fence, sent_at)

    def _set_tenure(self, fence: int, sent_at: float) -> None:
        expires = sent_at + self._duration_s
        if self._clock() >= expires:
            return
        if self._tenure is None or self._tenure.fence != fence:
            log.info("duties lease acquired", extra=logs.fields(fence=fence))
            DUTIES_HELD.set(1)
        self._tenure = Tenure(fence, expires)

    def _clear_tenure(self, reason: str, holder: str) -> None:
        if self._tenure is not None:
            log.info(
                "duties lease lost", extra=logs.fields(reason=reason, holder=holder)
            )
            DUTIES_HELD.set(0)
        self._tenure = None

    def _clear_lapsed_tenure(self) -> None:
        if self._tenure is not None and self.held() is None:
            self._clear_tenure("lapsed", "")
