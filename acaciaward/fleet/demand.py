"""
Demand of each deployment, in requests at once, with a slow fall.

A rise counts at once; a fall only after demand has been lower for the whole hold
time, so that a dip doesn't give back what the next minute rents again.
"""

import collections
import time
from collections import abc


class HeldDemand:
    """The highest demand of the last ``hold_s`` seconds, by deployment."""

    def __init__(
        self,
        *,
        hold_s: float,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._hold_s = hold_s
        self._clock = clock
        self._seen: dict[str, collections.deque] = {}
        self._since: dict[str, float] = {}

    def note(self, deployment: str, streams: float) -> float:
        """Count what runs now and return the demand to plan for."""
        now = self._clock()
        seen = self._seen.setdefault(deployment, collections.deque())
        self._since.setdefault(deployment, now)
        while seen and seen[-1][1] <= streams:
            seen.pop()
        seen.append((now, streams))
        while seen[0][0] < now - self._hold_s:
            seen.popleft()
        return seen[0][1]

    def is_settled(self, deployment: str) -> bool:
        """Return whether demand has been watched for a whole hold time."""
        since = self._since.get(deployment)
        return since is not None and self._clock() - since >= self._hold_s
