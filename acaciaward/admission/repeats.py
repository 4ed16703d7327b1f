"""
The budget of repeats to a service, which all entries share by equal parts.

Whatever an entry sends beyond the first try of a call draws on its part: a ratio of
its own first tries within a sliding window, and its part of the burst.

Answers to: retries in a storm of failures.
"""

import collections
import typing
from collections import abc

# Part of the allowed budget that is used: arrivals and windows of the entries
# don't fall together exactly.
USED_PART = 0.7


class Budget(typing.NamedTuple):
    """Repeats for each first try, repeats besides, and the window in seconds."""

    ratio: float
    burst: float
    window_s: float


class RepeatBudgets:
    """The parts of this entry, one for each service."""

    def __init__(
        self,
        budget: Budget,
        clock: abc.Callable[[], float],
        entries: abc.Callable[[], int],
    ):
        self._budget = budget
        self._clock = clock
        self._entries = entries
        self._firsts: dict[str, collections.deque[float]] = {}
        self._repeats: dict[str, collections.deque[float]] = {}

    def note_first(self, service: str) -> None:
        """Count the first try of a call."""
        self._window(self._firsts, service).append(self._clock())

    def has_room(self, service: str) -> bool:
        """Return whether there is a repeat left."""
        repeats = len(self._window(self._repeats, service))
        firsts = len(self._window(self._firsts, service))
        part = self._budget.burst / max(1, self._entries())
        return repeats + 1 <= USED_PART * (self._budget.ratio * firsts + part)

    def spend(self, service: str) -> bool:
        """Take one repeat, or return False when there is none left."""
        if not self.has_room(service):
            return False
        self._window(self._repeats, service).append(self._clock())
        return True

    def _window(
        self, kept: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        moments = kept.setdefault(service, collections.deque())
        oldest = self._clock() - self._budget.window_s
        while moments and moments[0] < oldest:
            moments.popleft()
        return moments
