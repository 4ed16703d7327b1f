"""
How many requests of each organisation began to run, by windows of the true time.

Each entry counts its own, tells the others by gossip while a window runs, and
appends its counts to the store when it ends. So what an entry counted before it
died is known but for the last moments.
"""

import collections
import time
import typing
from collections import abc

# Windows that are remembered: more than any report may be late.
KEPT_WINDOWS = 8
# The clock of the day is taken for stepped when it is off by more, in seconds.
STEP_S = 0.5

Counts = dict[str, int]


class TrueClock:
    """
    The time of day, held steady over steps of the machine's clock.

    It begins with the clock of the day and goes on with one that doesn't stop
    while the machine sleeps. ``offsets`` of peers correct a start inside a step.
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
        self._offsets: dict[str, float] = {}

    def now(self) -> float:
        """Return Unix seconds."""
        return self._base + self._steady()

    def hear(self, entry: str, told: float) -> None:
        """Take in another entry's time; most of them outvote this one's."""
        self._offsets[entry] = told - self.now()
        votes = sorted([0.0, *self._offsets.values()])
        median = votes[len(votes) // 2]
        if len(votes) > 2 and abs(median) > STEP_S:
            self._base += median
            self._offsets.clear()


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

    def of(self, window: int) -> Counts:
        """Return the counts of a window."""
        return dict(self._counts.get(window, {}))


class Ledger:
    """
    The counts of all entries, as gossip and the store tell them.

    A start of an entry is told apart from its last one by ``start``. Counts of a
    window only grow, so the larger of two reports is the newer one.
    """

    def __init__(self):
        self._counts: dict[int, dict[str, Counts]] = {}
        self._whole: dict[int, set[str]] = {}

    def hear(
        self, start: str, window: int, counts: typing.Any, *, is_whole: bool
    ) -> None:
        """Take in what an entry says of a window; ``is_whole`` at its end."""
        if not isinstance(counts, dict):
            return
        told = self._counts.setdefault(window, {}).setdefault(start, {})
        for name, count in counts.items():
            if isinstance(count, int) and not isinstance(count, bool):
                told[name] = max(count, told.get(name, 0))
        if is_whole:
            self._whole.setdefault(window, set()).add(start)

    def total(self, window: int) -> Counts:
        """Return the sum over all entries."""
        total: collections.Counter[str] = collections.Counter()
        for counts in self._counts.get(window, {}).values():
            total.update(counts)
        return dict(total)

    def is_whole(self, window: int, starts: abc.Iterable[str]) -> bool:
        """Whether every one of these starts has said its last of a window."""
        return set(starts) <= self._whole.get(window, set())

    def forget_before(self, window: int) -> None:
        """Drop the windows before one."""
        for kept in (self._counts, self._whole):
            for old in [one for one in kept if one < window]:
                del kept[old]
