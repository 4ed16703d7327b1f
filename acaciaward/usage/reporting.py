"""
Reports each window's usage to the platform once, with counts decided before sending.

The holder of the duties' lease appends the counts that it decided on to the topic of
the counts. The first decision for a window in the topic's order is final: every later
holder that reports the window sends exactly these counts.
"""

import asyncio
import logging
import typing
from collections import abc

import msgspec

from acaciaward import errors
from acaciaward.leases import conditionallease
from acaciaward.observability import logs
from acaciaward.usage import counting

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.25
# Readers store a window this long after its end, which leaves time for two reports.
STORE_DELAY_S = 0.6
# The holder waits this long after a window's end for the readers' records.
GATHER_DELAY_S = 1.2
# After this fraction of the time until its report is late, a window is reported without
# the counts that are still missing.
REPORT_ANYWAY_FRACTION = 0.6
# Counts are sent only if the lease lasts for longer than this.
MIN_LEASE_TO_SEND_S = 0.8
MAX_PAGES_PER_READ = 50


class Record(typing.NamedTuple):
    """
    Counts of one window: those of one entry, or the decision for all entries.

    ``start`` identifies one run of an entry's process; it is empty for a decision.
    """

    window: int
    start: str
    counts: counting.Counts


class Decision(typing.NamedTuple):
    """The counts decided for a window, and the offset and the era they were read at."""

    counts: counting.Counts
    offset: int
    era: int


class Topic(typing.Protocol):
    """The topic that stores the counts; every call may raise ``PlatformError``."""

    async def read(self, start: int) -> conditionallease.TopicPage:
        """Return records from the offset ``start`` on."""

    async def append_unconditionally(self, records: abc.Sequence[bytes]) -> int:
        """Append records wherever the topic ends."""


# Counts that other entries reported, by their start and window.
ReportedCounts = abc.Mapping[str, abc.Mapping[int, counting.Counts]]
SendReport = abc.Callable[[int, counting.Counts, int], abc.Awaitable[None]]


class Reporter:
    """
    Stores counts, and reports the usage of all entries while it holds the lease.

    A reader is an entry that reads the platform's store for its data centre. It stores
    its own counts and ``peer_counts``, the counts that the entries it reads for
    reported. For an entry that isn't a reader, ``peer_counts`` returns None and it
    stores nothing. ``report_deadline_s`` is the time after a window's end at which
    its report is late.
    """

    def __init__(
        self,
        topic: Topic,
        lease: conditionallease.ConditionalLease,
        counter: counting.UsageCounter,
        ledger: counting.Ledger,
        *,
        process_run: str,
        report_deadline_s: float,
        live_names: abc.Callable[[], abc.Collection[str]],
        peer_counts: abc.Callable[[], ReportedCounts | None],
        send: SendReport,
    ):
        self._topic = topic
        self._lease = lease
        self._counter = counter
        self._ledger = ledger
        self._process_run = process_run
        self._report_deadline_s = report_deadline_s
        self._live_names = live_names
        self._peer_counts = peer_counts
        self._send = send
        self._first_window = counter.current_window()
        self._last_stored_window = self._first_window - 1
        self._reported_windows: set[int] = set()
        self._decisions: dict[int, Decision] = {}
        self._next_offset = 0

    async def run(self) -> None:
        """Store and report until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                await self.step()
            except errors.PlatformError as error:
                log.info(
                    "usage not stored or reported", extra=logs.fields(reason=error)
                )

    async def step(self) -> None:
        """Store and report the windows that are due."""
        current = self._counter.current_window()
        is_due = self._counter.time_since_end_s(current - 1) >= STORE_DELAY_S
        if is_due and self._last_stored_window < current - 1:
            await self._store(current - 1)
        if self._lease.held(for_s=MIN_LEASE_TO_SEND_S) is None:
            return
        oldest_window = (
            current - int(self._report_deadline_s // self._counter.window_s) - 2
        )
        due_windows = [
            window
            for window in range(max(oldest_window, self._first_window - 2), current)
            if window not in self._reported_windows
            and self._counter.time_since_end_s(window) >= GATHER_DELAY_S
        ]
        if due_windows:
            await self._report(due_windows)
        self._ledger.drop_before(oldest_window)
        self._reported_windows = {
            window for window in self._reported_windows if window >= oldest_window
        }

    async def _store(self, last_window: int) -> None:
        peer_counts = self._peer_counts()
        if peer_counts is None:
            self._last_stored_window = last_window
            return
        records = []
        for window in range(
            max(self._last_stored_window + 1, last_window - 1), last_window + 1
        ):
            records.append(
                Record(window, self._process_run, self._counter.counts_of(window))
            )
            records += [
                Record(window, start, counts[window])
                for start, counts in peer_counts.items()
                if window in counts and start != self._process_run
            ]
        await self._topic.append_unconditionally(
            [msgspec.json.encode(record) for record in records]
        )
        self._last_stored_window = last_window

    async def _report(self, due_windows: abc.Sequence[int]) -> None:
        await self._read()
        for window in due_windows:
            if window not in self._decisions and not self._may_decide(window):
                continue
            if window not in self._decisions:
                await self._decide(window)
            tenure = self._lease.held(for_s=MIN_LEASE_TO_SEND_S)
            if tenure is None:
                return
            decision = self._decisions[window]
            await self._send(window, decision.counts, tenure.fence)
            self._reported_windows.add(window)
            log.info(
                "usage reported",
                extra=logs.fields(
                    window=window,
                    requests=sum(decision.counts.values()),
                    fence=tenure.fence,
                    offset=decision.offset,
                    era=decision.era,
                ),
            )

    def _may_decide(self, window: int) -> bool:
        if self._ledger.is_complete(window, self._live_names()):
            return True
        return (
            self._counter.time_since_end_s(window)
            >= REPORT_ANYWAY_FRACTION * self._report_deadline_s
        )

    async def _decide(self, window: int) -> None:
        decision = Record(window, "", self._ledger.total(window))
        read_to = self._next_offset
        await self._topic.append_unconditionally([msgspec.json.encode(decision)])
        log.info(
            "usage decided",
            extra=logs.fields(
                window=window, requests=sum(decision.counts.values()), read_to=read_to
            ),
        )
        await self._read()
        if window not in self._decisions:
            raise errors.PlatformUnknownError(
                "own usage decision can't be read from its topic yet"
            )

    async def _read(self) -> None:
        for _ in range(MAX_PAGES_PER_READ):
            try:
                page = await self._topic.read(self._next_offset)
            except errors.RecordsExpiredError as error:
                self._next_offset = error.first_offset
                continue
            if page.end_offset < self._next_offset:
                self._next_offset = 0
                continue
            for offset, data in enumerate(page.records, page.start):
                self._apply_record(data, offset, page.era)
            self._next_offset = page.start + len(page.records)
            if self._next_offset >= page.end_offset:
                return

    def _apply_record(self, data: bytes, offset: int, era: int) -> None:
        try:
            record = msgspec.json.decode(data, type=Record)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            log.warning("invalid usage record skipped", extra=logs.fields(reason=error))
            return
        if record.start:
            self._ledger.merge(record.start, record.window, record.counts)
        else:
            decision = Decision(record.counts, offset, era)
            known = self._decisions.setdefault(record.window, decision)
            if known.counts != record.counts:
                log.warning(
                    "another usage decision ignored",
                    extra=logs.fields(
                        window=record.window,
                        offset=offset,
                        era=era,
                        known_offset=known.offset,
                        known_era=known.era,
                    ),
                )
