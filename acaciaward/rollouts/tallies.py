"""
Counts an entry's attempts at the versions of each service.

    attempt = tally.begin("app", "v2", "route", is_first=True)
    attempt.record_first_byte(0.02)
    attempt.end(health.Outcome.SERVED)
"""

import collections

from acaciaward.rollouts import figures
from acaciaward.routing import health

FAILURES = frozenset({health.Outcome.FAILED, health.Outcome.SILENT})
DECIDED = FAILURES | {health.Outcome.SERVED}


class _Counts:
    """The counts of one version and route."""

    def __init__(self):
        self.first = self.sent = self.ended = self.failed = self.running = 0
        self.buckets = [0] * len(figures.Figures().buckets)

    def reset(self) -> None:
        """Begin to count anew; what runs goes on running."""
        running = self.running
        self.__init__()
        self.running = running

    def figures(self) -> figures.Figures:
        """Return the counts."""
        return figures.Figures(
            self.first,
            self.sent,
            self.ended,
            self.failed,
            self.running,
            tuple(self.buckets),
        )


class Attempt:
    """One attempt; what began before an order isn't counted but as running."""

    def __init__(self, tally: "Tally", service: str, counts: _Counts):
        self._tally = tally
        self._service = service
        self._counts = counts
        self._resets = tally.resets[service]

    @property
    def _is_counted(self) -> bool:
        return self._resets == self._tally.resets[self._service]

    def record_first_byte(self, took_s: float) -> None:
        """Record how long after its start the answer began."""
        if self._is_counted:
            self._counts.buckets[figures.bucket_of(took_s)] += 1

    def end(self, outcome: health.Outcome) -> None:
        """Record the end; an attempt that was refused or given up says nothing."""
        self._counts.running -= 1
        if self._is_counted:
            self._counts.ended += outcome in DECIDED
            self._counts.failed += outcome in FAILURES


class Tally:
    """The counts of all services since their orders."""

    def __init__(self):
        # How often the counts of a service began anew.
        self.resets: collections.Counter[str] = collections.Counter()
        self._counts: dict[str, dict[figures.Key, _Counts]] = collections.defaultdict(
            lambda: collections.defaultdict(_Counts)
        )

    def begin(
        self, service: str, version: str, route: str, *, is_first: bool
    ) -> Attempt:
        """Count an attempt until it ends."""
        counts = self._counts[service][(version, route)]
        counts.first += is_first
        counts.sent += 1
        counts.running += 1
        return Attempt(self, service, counts)

    def reset(self, service: str) -> None:
        """Begin to count a service's attempts anew."""
        self.resets[service] += 1
        for key, counts in list(self._counts[service].items()):
            counts.reset()
            if not counts.running:
                del self._counts[service][key]

    def counts(self, service: str) -> dict[figures.Key, figures.Figures]:
        """Return a service's counts by version and route."""
        return {key: counts.figures() for key, counts in self._counts[service].items()}
