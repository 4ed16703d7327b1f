"""
One lease for all duties, by conditional appends to a topic of the store.

A record extends or begins a tenure; it is appended only if the topic still ends
where its author read it, so that of two entries one gets it. A tenure's fence is
the offset of its first record, which rises with each holder. The holder counts its
lease from before the append was sent, the others from after they read the record,
so a lease never overlaps the next one. The clock goes on while the machine sleeps.
"""

import asyncio
import logging
import time
import typing
import uuid
from collections import abc

import msgspec
import prometheus_client

from acaciaward import errors
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Part of the lease after which it is renewed: room for two more tries.
RENEW_PART = 0.35
# Others wait this part of the lease longer, since clocks may run apart.
MARGIN_PART = 0.1
POLL_S = 0.5
BACKOFF_S = 0.3

HELD = prometheus_client.Gauge(
    "acaciaward_duty_held", "Whether this entry holds the lease of the duties"
)


def sleepless_clock() -> float:
    """Return seconds of a steady clock that goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TopicPage(typing.Protocol):
    """Records from ``start`` on; ``end`` is the end of the topic."""

    records: list[bytes]
    start: int
    end: int


class Topic(typing.Protocol):
    """A topic of the store; every call may raise ``PlatformError``."""

    async def read(self, start: int) -> TopicPage:
        """Return records from an offset on."""

    async def append(self, record: bytes, *, at: int) -> int:
        """Append if the topic ends at ``at``, and return the end after it."""


class Record(typing.NamedTuple):
    """One step of a tenure; ``fence`` -1 begins one at the record's own offset."""

    holder: str
    nonce: str
    fence: int


class Tenure(typing.NamedTuple):
    """The lease as this entry holds it: the fence, and when it lapses."""

    fence: int
    expires: float


class ConditionalLease:
    """Holds the lease when it can; ``held`` says so at any moment."""

    def __init__(
        self,
        topic: Topic,
        holder: str,
        *,
        duration_s: float,
        is_candidate: abc.Callable[[], bool],
        clock: abc.Callable[[], float] = sleepless_clock,
    ):
        self._topic = topic
        self._holder = holder
        self._duration_s = duration_s
        self._is_candidate = is_candidate
        self._clock = clock
        self._end: int | None = None
        self._seen_at = 0.0
        self._tenure: Tenure | None = None
        self._sent: dict[str, float] = {}
        self._is_vacant = False

    def held(self, *, for_s: float = 0.0) -> Tenure | None:
        """Return the tenure if it lasts for this long yet, else None."""
        tenure = self._tenure
        if tenure is None or self._clock() + for_s >= tenure.expires:
            return None
        return tenure

    async def run(self) -> None:
        """Hold or wait until cancelled."""
        while True:
            try:
                await self.step()
                pause_s = POLL_S
            except errors.PlatformError as error:
                log.info("lease unread", extra=logs.fields(reason=error))
                pause_s = BACKOFF_S
            self._note_lapse()
            await asyncio.sleep(pause_s)

    async def step(self) -> None:
        """Read what is new, and renew or take the lease if that is due."""
        tenure = self.held()
        if tenure is not None:
            renew_at = tenure.expires - self._duration_s * (1 - RENEW_PART)
            if self._clock() >= renew_at:
                await self._append(tenure.fence)
            return
        # Whoever knows how the topic ended can tell soon that a lease has lapsed.
        if self._end is not None and not self._is_candidate():
            return
        began = self._clock()
        await self._read()
        wait_s = self._duration_s * (1 + MARGIN_PART)
        if self.held() is None and (self._is_vacant or began - self._seen_at >= wait_s):
            await self._append(-1)

    async def _read(self) -> None:
        if self._end is None:
            # A full lease is waited for from here on, unless the topic is empty.
            page = await self._read_page(0)
            self._end = page.start
            self._seen_at = self._clock()
            self._is_vacant = page.end == 0
        else:
            page = await self._read_page(self._end)
        while True:
            for place, data in enumerate(page.records):
                self._take(page.start + place, data)
            self._end = page.start + len(page.records)
            if not page.records or self._end >= page.end:
                return
            page = await self._read_page(self._end)

    async def _read_page(self, start: int) -> TopicPage:
        try:
            return await self._topic.read(start)
        except errors.RecordsExpiredError as error:
            return await self._topic.read(error.first_offset)

    def _take(self, offset: int, data: bytes) -> None:
        self._seen_at = self._clock()
        self._is_vacant = False
        try:
            record = msgspec.json.decode(data, type=Record)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            log.warning(
                "lease record skipped", extra=logs.fields(offset=offset, reason=error)
            )
            return
        sent_at = self._sent.pop(record.nonce, None)
        if record.holder != self._holder or sent_at is None:
            self._lose("taken by another", record.holder)
            return
        fence = offset if record.fence < 0 else record.fence
        self._gain(fence, sent_at)

    async def _append(self, fence: int) -> None:
        record = Record(self._holder, uuid.uuid4().hex, fence)
        sent_at = self._clock()
        self._sent[record.nonce] = sent_at
        at = self._end
        try:
            self._end = await self._topic.append(msgspec.json.encode(record), at=at)
        except errors.PlatformUnknownError:
            # It may stand in the topic now or later; reading tells.
            await self._read()
            return
        except errors.PlatformRefusedError:
            self._sent.pop(record.nonce, None)
            await self._read()
            return
        self._sent.pop(record.nonce, None)
        self._seen_at = self._clock()
        self._is_vacant = False
        self._gain(at if fence < 0 else fence, sent_at)

    def _gain(self, fence: int, sent_at: float) -> None:
        expires = sent_at + self._duration_s
        if self._clock() >= expires:
            return
        if self._tenure is None or self._tenure.fence != fence:
            log.info("duties gained", extra=logs.fields(fence=fence))
            HELD.set(1)
        self._tenure = Tenure(fence, expires)

    def _lose(self, reason: str, holder: str) -> None:
        if self._tenure is not None:
            log.info("duties lost", extra=logs.fields(reason=reason, holder=holder))
            HELD.set(0)
        self._tenure = None

    def _note_lapse(self) -> None:
        if self._tenure is not None and self.held() is None:
            self._lose("lapsed", "")
