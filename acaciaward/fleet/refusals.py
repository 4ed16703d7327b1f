"""Places whose last start was refused, with an exponential time to try again."""

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
        self._until: dict[plan.Place, float] = {}

    def note_refused(self, place: plan.Place, retry_after_s: float | None) -> None:
        """Leave a place out for a time that doubles with each refusal."""
        count = self._counts.get(place, 0) + 1
        self._counts[place] = count
        delay_s = min(MAX_DELAY_S, FIRST_DELAY_S * 2 ** (count - 1))
        self._until[place] = self._clock() + max(delay_s, retry_after_s or 0.0)

    def note_started(self, place: plan.Place) -> None:
        """Forget the refusals of a place."""
        self._counts.pop(place, None)
        self._until.pop(place, None)

    def places(self) -> frozenset[plan.Place]:
        """Return the places to leave out now."""
        now = self._clock()
        return frozenset(place for place, until in self._until.items() if until > now)
