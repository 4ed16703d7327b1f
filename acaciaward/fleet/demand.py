"""
Smooths the demand of each deployment, in concurrent requests.

A rise takes effect immediately; a fall only after demand has been lower for the whole
hold time, so that a short dip doesn't release instances that are soon rented again.
"""

import collections
import time
from collections import abc


class PeakDemand:
    """The highest demand of the last ``hold_s`` seconds, by deployment."""

    def __init__(
        self,
        *,
        hold_s: float,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._hold_s = hold_s
        self._clock = clock
        self._samples: dict[str, collections.deque] = {}
        self._first_recorded_at: dict[str, float] = {}

    def record(self, deployment: str, streams: float) -> float:
        """Record the current number of streams and return the demand to plan for."""
        now = self._clock()
        samples = self._samples.setdefault(deployment, collections.deque())
        self._first_recorded_at.setdefault(deployment, now)
        while samples and samples[-1][1] <= streams:
            samples.pop()
        samples.append((now, streams))
        while samples[0][0] < now - self._hold_s:
            samples.popleft()
        return samples[0][1]

    def has_full_window(self, deployment: str) -> bool:
        """Return whether demand has been recorded for at least the hold time."""
        first_recorded_at = self._first_recorded_at.get(deployment)
        return (
            first_recorded_at is not None
            and self._clock() - first_recorded_at >= self._hold_s
        )
