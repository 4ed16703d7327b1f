"""
Reports each window's usage to the platform once, with counts decided before sending.

The holder of the duties' lease decides on a window's counts in the topic of the counts
(see ``decisions``). Every later holder that reports the window sends exactly these.
"""

import asyncio
import logging
from collections import abc

from acaciaward import errors
from acaciaward.leases import conditionallease
from acaciaward.observability import logs
from acaciaward.usage import counting, decisions

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
    its report is late. Nothing is stored or reported before ``is_clock_confirmed``:
    what an entry says of windows by a wrong clock can't be taken back.
    """

    def __init__(
        self,
        topic: decisions.Topic,
        lease: conditionallease.ConditionalLease,
        counter: counting.UsageCounter,
        ledger: counting.Ledger,
        *,
        process_run: str,
        report_deadline_s: float,
        live_names: abc.Callable[[], abc.Collection[str]],
        peer_counts: abc.Callable[[], ReportedCounts | None],
        send: SendReport,
        is_clock_confirmed: abc.Callable[[], bool] = lambda: True,
    ):
        self._lease = lease
        self._counter = counter
        self._ledger = ledger
        self._process_run = process_run
        self._report_deadline_s = report_deadline_s
        self._live_names = live_names
        self._peer_counts = peer_counts
        self._send = send
        self._is_clock_confirmed = is_clock_confirmed
        self._first_window: int | None = None
        self._last_stored_window = 0
        self._reported_windows: set[int] = set()
        self._unknown_windows: set[int] = set()
        self._decisions = decisions.Decisions(topic, ledger, counter.current_window)

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
        if self._first_window is None:
            if not self._is_clock_confirmed():
                return
            self._first_window = self._counter.current_window()
            self._last_stored_window = self._first_window - 1
        await self._begin_to_read()
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
            if window not in self._reported_windows | self._unknown_windows
            and self._counter.time_since_end_s(window) >= GATHER_DELAY_S
        ]
        if due_windows:
            await self._report(due_windows)
        self._ledger.drop_before(oldest_window)
        self._reported_windows = {
            window for window in self._reported_windows if window >= oldest_window
        }
        self._unknown_windows = {
            window for window in self._unknown_windows if window >= oldest_window
        }

    async def _begin_to_read(self) -> None:
        """Read the topic in a new era of the store, to answer for the windows ahead."""
        if not self._decisions.is_outdated:
            return
        if self._lease.held() is not None or self._peer_counts() is not None:
            await self._decisions.read()

    async def _store(self, last_window: int) -> None:
        peer_counts = self._peer_counts()
        if peer_counts is None:
            self._last_stored_window = last_window
            return
        records = []
        for window in range(
            max(self._last_stored_window + 1, last_window - 1), last_window + 1
        ):
            counts_by_start = {
                start: counts[window]
                for start, counts in peer_counts.items()
                if window in counts
            }
            counts_by_start[self._process_run] = self._counter.counts_of(window)
            records += [
                decisions.Record(window, start, counts)
                for start, counts in counts_by_start.items()
            ]
        await self._decisions.store(records)
        self._last_stored_window = last_window

    async def _report(self, due_windows: abc.Sequence[int]) -> None:
        await self._decisions.read()
        for window in due_windows:
            if self._decisions.get(window) is None and self._may_decide(window):
                await self._decisions.decide(window, self._ledger.total(window))
            decision = self._decisions.get(window)
            if decision is None:
                continue
            tenure = self._lease.held(for_s=MIN_LEASE_TO_SEND_S)
            if tenure is None:
                return
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
        has_waited = (
            self._counter.time_since_end_s(window)
            >= REPORT_ANYWAY_FRACTION * self._report_deadline_s
        )
        if self._decisions.may_decide(window):
            return has_waited or self._ledger.is_complete(window, self._live_names())
        if has_waited:
            self._unknown_windows.add(window)
            log.warning(
                "usage not reported: another decision may have been lost",
                extra=logs.fields(window=window),
            )
        return False
