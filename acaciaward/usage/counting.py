"""
Counts the requests of each organisation that started to run, by window of true time.

Each entry counts its own requests. During a window it reports the counts to its
reader, the entry that reads the platform's store for their data centre. Readers append
the counts of their data centre to the store when the window ends. So when an entry
dies, only its counts since its last report are lost.
"""

import collections
import logging
import time
from collections import abc

from acaciaward.observability import logs

log = logging.getLogger(__name__)

# More windows than any report may be late by.
RETAINED_WINDOWS = 8
# A clock further off the majority's time than this is considered stepped.
CLOCK_STEP_THRESHOLD_S = 0.5
# Longer than a backlog of messages takes to be handled after a pause.
AHEAD_CONFIRMATION_S = 0.6
# An entry that has heard no majority for so long is one of very few.
CONFIRMATION_TIMEOUT_S = 10.0

Counts = dict[str, int]


class CorrectedClock:
    """
    The time of day, unaffected by steps of the machine's wall clock.

    It starts with the wall clock's time and advances with a clock that keeps running
    while the machine is suspended. If the wall clock was wrong at the start, the time
    of the majority of entries corrects it.
    """

    def __init__(
        self,
        wall_clock: abc.Callable[[], float] = time.time,
        steady_clock: abc.Callable[[], float] = lambda: time.clock_gettime(
            time.CLOCK_BOOTTIME
        ),
    ):
        self._steady_clock = steady_clock
        self._offset_s = wall_clock() - steady_clock()
        self._started_at = steady_clock()
        self._is_confirmed = False
        # Since when this clock has seemed to be ahead, and by how much, negative.
        self._ahead_since: float | None = None
        self._ahead_errors_s: list[float] = []
        # Called when the clock was wrong at its start and has been corrected.
        self.on_first_step: abc.Callable[[], None] = lambda: None

    @property
    def is_confirmed(self) -> bool:
        """
        Whether a majority of entries has confirmed or corrected this clock.

        Without a majority, the wall clock counts after ``CONFIRMATION_TIMEOUT_S``.
        """
        if self._is_confirmed:
            return True
        return self._steady_clock() - self._started_at >= CONFIRMATION_TIMEOUT_S

    def now(self) -> float:
        """Return Unix seconds."""
        return self._offset_s + self._steady_clock()

    def correct(self, majority_time: float) -> None:
        """
        Adopt the majority's Unix time if this clock is too far off it.

        A message with the time may be late but never early. So a clock that is behind
        is corrected at once, and one that seems ahead only if it does for a while.
        """
        error_s = majority_time - self.now()
        if error_s < -CLOCK_STEP_THRESHOLD_S:
            self._ahead_errors_s.append(error_s)
            now = self._steady_clock()
            if self._ahead_since is None:
                self._ahead_since = now
            if now - self._ahead_since < AHEAD_CONFIRMATION_S:
                return
            error_s = max(self._ahead_errors_s)
        self._ahead_since = None
        self._ahead_errors_s.clear()
        is_first, self._is_confirmed = not self._is_confirmed, True
        if abs(error_s) > CLOCK_STEP_THRESHOLD_S:
            log.warning("clock corrected", extra=logs.fields(by_s=round(error_s, 3)))
            self._offset_s += error_s
            if is_first:
                self.on_first_step()


class UsageCounter:
    """Counts the requests of this entry by window."""

    def __init__(self, window_s: float, clock: abc.Callable[[], float]):
        self.window_s = window_s
        self._clock = clock
        self._counts: dict[int, collections.Counter[str]] = {}

    def now(self) -> float:
        """Return the Unix seconds of the clock that the windows are counted by."""
        return self._clock()

    def current_window(self) -> int:
        """Return the number of the current window."""
        return int(self._clock() // self.window_s)

    def time_since_end_s(self, window: int) -> float:
        """Return the seconds since a window ended, negative before its end."""
        return self._clock() - (window + 1) * self.window_s

    def record_request(self, organisation: str) -> None:
        """Count a request that started to run now."""
        window = self.current_window()
        self._counts.setdefault(window, collections.Counter())[organisation] += 1
        for old in [
            number for number in self._counts if number < window - RETAINED_WINDOWS
        ]:
            del self._counts[old]

    def latest_counts(self, count: int) -> dict[int, Counts]:
        """Return the counts of the last ``count`` windows, the current one included."""
        current = self.current_window()
        return {
            number: self.counts_of(number)
            for number in range(current - count + 1, current + 1)
        }

    def counts_of(self, window: int) -> Counts:
        """Return the counts of a window by organisation."""
        return dict(self._counts.get(window, {}))

    def clear(self) -> None:
        """Forget all counts: they were counted by a wrong clock."""
        self._counts.clear()


class Ledger:
    """
    The counts of all entries as read from the store.

    Each run of an entry's process has its own name, ``NAME/START``, and is counted
    separately. Counts of a window only grow, so the larger of two is the newer one.
    """

    def __init__(self):
        self._counts: dict[int, dict[str, Counts]] = {}

    def merge(self, start: str, window: int, counts: Counts) -> None:
        """Merge in what one run of an entry's process counted in a window."""
        known = self._counts.setdefault(window, {}).setdefault(start, {})
        for name, count in counts.items():
            known[name] = max(count, known.get(name, 0))

    def total(self, window: int) -> Counts:
        """Return the counts of a window, summed over all entries."""
        total: collections.Counter[str] = collections.Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def by_start(self, window: int) -> dict[str, Counts]:
        """Return copies of the counts of a window by run of an entry's process."""
        return {
            start: dict(counts)
            for start, counts in self._counts.get(window, {}).items()
        }

    def is_complete(self, window: int, names: abc.Iterable[str]) -> bool:
        """Return whether the window has counts of each of the named entries."""
        starts = self._counts.get(window, {})
        return set(names) <= {start.rpartition("/")[0] for start in starts}

    def drop_before(self, window: int) -> None:
        """Drop all windows before ``window``."""
        for old in [number for number in self._counts if number < window]:
            del self._counts[old]
