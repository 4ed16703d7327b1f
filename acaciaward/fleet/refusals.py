"""Tracks places whose last start was refused, with exponential backoff."""

import time
from collections import abc

from acaciaward.fleet import plan

FIRST_DELAY_S = 1.0
MAX_DELAY_S = 60.0


class Refusals:
    """Counts refused starts by place."""

    def __init__(self, *, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._counts: dict[plan.Place, int] = {}
        self._retry_at: dict[plan.Place, float] = {}

    def record_refusal(self, place: plan.Place, retry_after_s: float | None) -> None:
        """Exclude a place for a time that doubles with each refusal."""
        count = self._counts.get(place, 0) + 1
        self._counts[place] = count
        delay_s = min(MAX_DELAY_S, FIRST_DELAY_S * 2 ** (count - 1))
        self._retry_at[place] = self._clock() + max(delay_s, retry_after_s or 0.0)

    def record_start(self, place: plan.Place) -> None:
        """Reset the backoff of a place where a start succeeded."""
        self._counts.pop(place, None)
        self._retry_at.pop(place, None)

    def refused_places(self) -> frozenset[plan.Place]:
        """Return the places that are excluded now."""
        now = self._clock()
        return frozenset(
            place for place, retry_at in self._retry_at.items() if retry_at > now
        )
