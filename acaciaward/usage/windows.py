"""
How many requests of each organisation began to run, by windows of the true time.

Each entry counts its own and tells its reader while a window runs; readers append
the counts of their data centre to the store when it ends. So what an entry counted
before it died is known but for the last moments.
"""

import collections
import logging
import time
from collections import abc

from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Windows that are remembered: more than any report may be late.
KEPT_WINDOWS = 8
# The clock of the day is taken for stepped when it is off by more, in seconds.
STEP_S = 0.5

Counts = dict[str, int]


class TrueClock:
    """
    The time of day, held steady over steps of the machine's clock.

    It begins with the clock of the day and goes on with one that doesn't stop
    while the machine sleeps. The other entries correct a start inside a step.
    """

    def __init__(
        self,
        wall: abc.Callable[[], float] = time.time,
        steady: abc.Callable[[], float] = lambda: time.clock_gettime(
            time.CLOCK_BOOTTIME
        ),
    ):
        self._steady = steady
        self._base = wall() - steady()

    def now(self) -> float:
        """Return Unix seconds."""
        return self._base + self._steady()

    def hear(self, majority: float) -> None:
        """Take in the time of most entries, which outvotes a start in a step."""
        off_s = majority - self.now()
        if abs(off_s) > STEP_S:
            log.warning("clock corrected", extra=logs.fields(by_s=round(off_s, 3)))
            self._base += off_s


class Counter:
    """This entry's counts."""

    def __init__(self, window_s: float, clock: abc.Callable[[], float]):
        self.window_s = window_s
        self._clock = clock
        self._counts: dict[int, collections.Counter[str]] = {}

    def window(self) -> int:
        """Return the number of the window that runs now."""
        return int(self._clock() // self.window_s)

    def ended_for_s(self, window: int) -> float:
        """Return the seconds since a window ended."""
        return self._clock() - (window + 1) * self.window_s

    def note(self, organisation: str) -> None:
        """Count a request that began to run now."""
        window = self.window()
        self._counts.setdefault(window, collections.Counter())[organisation] += 1
        for old in [one for one in self._counts if one < window - KEPT_WINDOWS]:
            del self._counts[old]

    def newest(self, count: int) -> dict[int, Counts]:
        """Return the counts of the last windows, the running one included."""
        current = self.window()
        return {one: self.of(one) for one in range(current - count + 1, current + 1)}

    def of(self, window: int) -> Counts:
        """Return the counts of a window."""
        return dict(self._counts.get(window, {}))


class Ledger:
    """
    The counts of all entries, as the store tells them.

    A start of an entry, ``NAME/START``, is told apart from its last one. Counts of
    a window only grow, so the larger of two reports is the newer one.
    """

    def __init__(self):
        self._counts: dict[int, dict[str, Counts]] = {}

    def hear(self, start: str, window: int, counts: Counts) -> None:
        """Take in what a start of an entry counted in a window."""
        told = self._counts.setdefault(window, {}).setdefault(start, {})
        for name, count in counts.items():
            told[name] = max(count, told.get(name, 0))

    def total(self, window: int) -> Counts:
        """Return the sum over all entries."""
        total: collections.Counter[str] = collections.Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def is_whole(self, window: int, names: abc.Iterable[str]) -> bool:
        """Whether there are counts of each of these entries."""
        starts = self._counts.get(window, {})
        return set(names) <= {start.rpartition("/")[0] for start in starts}

    def forget_before(self, window: int) -> None:
        """Drop the windows before one."""
        for old in [one for one in self._counts if one < window]:
            del self._counts[old]
