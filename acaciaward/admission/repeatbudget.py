"""
Retry budget of each service, divided equally among all entries.

A repeat is any send of a call beyond its first attempt. An entry's repeats draw on
its own part of the budget: a ratio of its first attempts within a sliding window,
plus an equal part of the burst. An entry that may replace one that ended uses, in its
first window, only what that one can't have spent.

Guards against retry storms.
"""

import collections
import typing
from collections import abc

# Fraction of the allowed budget that is used, since the arrivals and the windows of
# the entries don't coincide exactly.
USABLE_FRACTION = 0.7
# Fraction that is left by an entry that ended, and used meanwhile by the one that
# replaces it.
STARTING_FRACTION = 1 - USABLE_FRACTION


class Budget(typing.NamedTuple):
    """Repeats allowed per first attempt, plus a fixed number, in each window."""

    ratio: float
    burst: float
    window_s: float


class RepeatBudgets:
    """
    This entry's part of the budget of each service.

    ``has_predecessor`` returns whether entries had run before this one started.
    """

    def __init__(
        self,
        budget: Budget,
        clock: abc.Callable[[], float],
        entry_count: abc.Callable[[], int],
        has_predecessor: abc.Callable[[], bool] = lambda: False,
    ):
        self._budget = budget
        self._clock = clock
        self._entry_count = entry_count
        self._has_predecessor = has_predecessor
        self._started_at = clock()
        self._first_attempts: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    @property
    def _usable_fraction(self) -> float:
        is_starting = self._clock() - self._started_at < self._budget.window_s
        if is_starting and self._has_predecessor():
            return STARTING_FRACTION
        return USABLE_FRACTION

    def record_first_attempt(self, service: str) -> None:
        """Record the first attempt of a call."""
        self._recent(self._first_attempts, service).append(self._clock())

    def may_repeat(self, service: str) -> bool:
        """Return whether the budget allows one more repeat."""
        repeats = len(self._recent(self._repeats, service))
        first_attempts = len(self._recent(self._first_attempts, service))
        burst_share = self._budget.burst / max(1, self._entry_count())
        return repeats + 1 <= self._usable_fraction * (
            self._budget.ratio * first_attempts + burst_share
        )

    def spend(self, service: str) -> bool:
        """Spend one repeat, or return False if the budget is used up."""
        if not self.may_repeat(service):
            return False
        self._recent(self._repeats, service).append(self._clock())
        return True

    def _recent(
        self, times_by_service: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        oldest = self._clock() - self._budget.window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
