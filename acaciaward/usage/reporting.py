"""
Reports each window's usage to the platform once, with counts decided before sending.

The holder of the duties' lease decides on a window's counts in the topic of the counts
(see ``decisions``). Every later holder that reports the window sends exactly these.
"""

import asyncio
import logging
import math
from collections import abc

from acaciaward import errors
from acaciaward.leases import conditionallease
from acaciaward.observability import logs
from acaciaward.usage import counting, decisions, runningcounts

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


# An entry that began more recently may not know all others yet, so that a window whose
# counts are missing would seem complete.
JOIN_S = 3.0
# Readers store what changed of finished windows no more often than this.
STORE_INTERVAL_S = 1.0
# Finished windows whose counts readers store.
STORED_WINDOWS = 2


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
    what an entry says of windows by a wrong clock can't be taken back. With a
    ``running_topic``, counts are stored within a window, too (see ``runningcounts``).
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
        running_topic: runningcounts.Topic | None = None,
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
        self._began_at = math.inf
        # What was reported here, by all runs of entries.
        self._received = counting.Ledger()
        # What this entry has stored, by window and run, and when it did so last.
        self._stored: dict[tuple[int, str], counting.Counts] = {}
        self._stored_at = -math.inf
        self._reported_windows: set[int] = set()
        self._unknown_windows: set[int] = set()
        self._decisions = decisions.Decisions(topic, ledger, counter.current_window)
        self._running: runningcounts.RunningCounts | None = None
        if running_topic is not None:
            self._running = runningcounts.RunningCounts(
                running_topic,
                counter,
                process_run=process_run,
                received=self._received_counts,
            )

    @property
    def tasks(self) -> list[abc.Callable[[], abc.Coroutine]]:
        """The coroutine functions to run as tasks."""
        return [self.run] if self._running is None else [self.run, self._running.run]

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
            self._began_at = self._counter.now()
        await self._begin_to_read()
        current = self._counter.current_window()
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
        """Store what changed of the finished windows, if this entry is a reader."""
        oldest_window = last_window - STORED_WINDOWS + 1
        peer_counts = self._peer_counts()
        is_due = self._counter.time_since_end_s(last_window) >= STORE_DELAY_S
        if peer_counts is None:
            if is_due:
                # The reader has heard these counts by now.
                self._stored |= {
                    (window, self._process_run): self._counter.counts_of(window)
                    for window in range(oldest_window, last_window + 1)
                }
            return
        self._receive(peer_counts, oldest_window)
        if not is_due or not self._may_store(last_window):
            return
        changed = {
            (window, start): counts
            for window in range(oldest_window, last_window + 1)
            for start, counts in self._received.by_start(window).items()
            # That a run counted nothing is said only of windows that ended since this
            # entry began: of others, it would seem that all is known.
            if (counts or window >= self._first_window)
            and self._stored.get((window, start)) != counts
        }
        if not changed:
            return
        await self._decisions.store(
            [
                decisions.Record(window, start, counts)
                for (window, start), counts in changed.items()
            ]
        )
        self._stored |= changed
        self._stored_at = self._counter.now()

    def _receive(self, peer_counts: ReportedCounts, oldest_window: int) -> None:
        # Later windows are those of wrong clocks.
        windows = range(oldest_window, self._counter.current_window() + 1)
        own_counts = {window: self._counter.counts_of(window) for window in windows}
        all_counts = {**peer_counts, self._process_run: own_counts}
        for start, counts_by_window in all_counts.items():
            for window, counts in counts_by_window.items():
                if window in windows:
                    self._received.merge(start, window, counts)
        self._received.drop_before(oldest_window)
        self._stored = {
            key: counts
            for key, counts in self._stored.items()
            if key[0] >= oldest_window
        }

    def _may_store(self, last_window: int) -> bool:
        is_first = not any(window == last_window for window, _ in self._stored)
        return is_first or self._counter.now() >= self._stored_at + STORE_INTERVAL_S

    def _received_counts(self, window: int) -> runningcounts.CountsByStart | None:
        """Return the counts of a window by run, None if this entry stores none."""
        if self._first_window is None or self._peer_counts() is None:
            return None
        return self._received.by_start(window)

    async def _total(self, window: int) -> counting.Counts:
        """Return all counts of a window, also of entries that were lost meanwhile."""
        total = counting.Ledger()
        ledgers = [self._ledger]
        if self._running is not None:
            try:
                ledgers.append(await self._running.read())
            except errors.PlatformError as error:
                if not self._has_waited(window):
                    raise
                log.warning(
                    "usage decided without running counts",
                    extra=logs.fields(window=window, reason=error),
                )
        for ledger in ledgers:
            for start, counts in ledger.by_start(window).items():
                total.merge(start, window, counts)
        return total.total(window)

    async def _report(self, due_windows: abc.Sequence[int]) -> None:
        await self._decisions.read()
        for window in due_windows:
            if self._decisions.get(window) is None and self._may_decide(window):
                await self._decisions.decide(window, await self._total(window))
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

    def _has_waited(self, window: int) -> bool:
        return (
            self._counter.time_since_end_s(window)
            >= REPORT_ANYWAY_FRACTION * self._report_deadline_s
        )

    def _may_decide(self, window: int) -> bool:
        has_waited = self._has_waited(window)
        if self._decisions.may_decide(window):
            knows_entries = self._counter.now() - self._began_at >= JOIN_S
            is_complete = self._ledger.is_complete(window, self._live_names())
            return has_waited or (knows_entries and is_complete)
        if has_waited:
            self._unknown_windows.add(window)
            log.warning(
                "usage not reported: another decision may have been lost",
                extra=logs.fields(window=window),
            )
        return False
