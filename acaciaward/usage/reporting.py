"""
Reports each window's usage once, with counts that are decided before they are sent.

The holder of the duties appends its decision to the topic of the counts; the first
decision of a window in the topic's order is the one that anybody ever sends. A
holder that follows repeats it to the letter.
"""

import asyncio
import logging
import typing
from collections import abc

import msgspec

from acaciaward import errors
from acaciaward.leases import conditional
from acaciaward.observability import logs
from acaciaward.usage import windows

log = logging.getLogger(__name__)

POLL_S = 0.25
# Readers store a window this long after its end, in seconds: two reports later.
STORE_S = 0.6
# Their records are waited for this long after a window's end, in seconds.
GATHER_S = 1.2
# Part of the time until a report is late, after which it goes without the rest.
LAST_PART = 0.6
# Time of its lease that a holder needs to send, in seconds.
SEND_S = 0.8
MAX_PAGES = 50


class Record(typing.NamedTuple):
    """Counts of one window: an entry's own, or the decision (``start`` empty)."""

    window: int
    start: str
    counts: windows.Counts


class Topic(typing.Protocol):
    """The topic of the counts; every call may raise ``PlatformError``."""

    async def read(self, start: int) -> conditional.TopicPage:
        """Return records from an offset on."""

    async def append_any(self, records: abc.Sequence[bytes]) -> int:
        """Append records wherever the topic ends."""


# What other entries counted, by start and window; None if someone else stores.
Told = abc.Mapping[str, abc.Mapping[int, windows.Counts]]
SendReport = abc.Callable[[int, windows.Counts, int], abc.Awaitable[None]]


class Reporter:
    """
    Stores the counts of this entry and of those that it reads for, and reports for
    all while it holds the duties.
    """

    def __init__(
        self,
        topic: Topic,
        lease: conditional.ConditionalLease,
        counter: windows.Counter,
        ledger: windows.Ledger,
        *,
        start: str,
        late_s: float,
        live_names: abc.Callable[[], abc.Collection[str]],
        others: abc.Callable[[], Told | None],
        send: SendReport,
    ):
        self._topic = topic
        self._lease = lease
        self._counter = counter
        self._ledger = ledger
        self._start = start
        self._late_s = late_s
        self._live_names = live_names
        self._others = others
        self._send = send
        self._first = counter.window()
        self._stored = self._first - 1
        self._reported: set[int] = set()
        self._decided: dict[int, windows.Counts] = {}
        self._next = 0

    async def run(self) -> None:
        """Store and report until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            try:
                await self.step()
            except errors.PlatformError as error:
                log.info("usage not settled", extra=logs.fields(reason=error))

    async def step(self) -> None:
        """Do what is due now."""
        current = self._counter.window()
        is_due = self._counter.ended_for_s(current - 1) >= STORE_S
        if is_due and self._stored < current - 1:
            await self._store(current - 1)
        if self._lease.held(for_s=SEND_S) is None:
            return
        oldest = current - int(self._late_s // self._counter.window_s) - 2
        due = [
            window
            for window in range(max(oldest, self._first - 2), current)
            if window not in self._reported
            and self._counter.ended_for_s(window) >= GATHER_S
        ]
        if due:
            await self._report(due)
        self._ledger.forget_before(oldest)
        self._reported = {window for window in self._reported if window >= oldest}

    async def _store(self, last: int) -> None:
        others = self._others()
        if others is None:
            self._stored = last
            return
        records = []
        for window in range(max(self._stored + 1, last - 1), last + 1):
            records.append(Record(window, self._start, self._counter.of(window)))
            records += [
                Record(window, start, counts[window])
                for start, counts in others.items()
                if window in counts and start != self._start
            ]
        await self._topic.append_any([msgspec.json.encode(one) for one in records])
        self._stored = last

    async def _report(self, due: abc.Sequence[int]) -> None:
        await self._read()
        for window in due:
            if window not in self._decided and not self._is_ripe(window):
                continue
            if window not in self._decided:
                await self._decide(window)
            tenure = self._lease.held(for_s=SEND_S)
            if tenure is None:
                return
            counts = self._decided[window]
            await self._send(window, counts, tenure.fence)
            self._reported.add(window)
            log.info(
                "usage reported",
                extra=logs.fields(
                    window=window, requests=sum(counts.values()), fence=tenure.fence
                ),
            )

    def _is_ripe(self, window: int) -> bool:
        if self._ledger.is_whole(window, self._live_names()):
            return True
        return self._counter.ended_for_s(window) >= LAST_PART * self._late_s

    async def _decide(self, window: int) -> None:
        decision = Record(window, "", self._ledger.total(window))
        await self._topic.append_any([msgspec.json.encode(decision)])
        await self._read()
        if window not in self._decided:
            raise errors.PlatformUnknownError("own decision isn't in the topic yet")

    async def _read(self) -> None:
        for _ in range(MAX_PAGES):
            try:
                page = await self._topic.read(self._next)
            except errors.RecordsExpiredError as error:
                self._next = error.first_offset
                continue
            if page.end < self._next:
                self._next = 0
                continue
            for data in page.records:
                self._take(data)
            self._next = page.start + len(page.records)
            if self._next >= page.end:
                return

    def _take(self, data: bytes) -> None:
        try:
            record = msgspec.json.decode(data, type=Record)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            log.warning("usage record skipped", extra=logs.fields(reason=error))
            return
        if record.start:
            self._ledger.hear(record.start, record.window, record.counts)
        else:
            self._decided.setdefault(record.window, record.counts)
