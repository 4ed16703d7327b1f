"""
Tracks which endpoints have crashed, as far as it is known over all entries.

A lost connection looks like a crash. An endpoint that answers any entry later on has
not crashed: its connections were cut.

    crashed = CrashedEndpoints(time.monotonic)
    crashed.record_crash("i-1/5", time.monotonic())
    crashed.record_answer("i-1/5", sent_at)  # more than a second later
    crashed.has_gone_on("i-1/5", crashed_at)  # True

See ``docs/design/tainted-parts.md``.
"""

import collections
import math
from collections import abc

# An endpoint that answers this long after a crash goes on. Reports are late by less,
# and so are answers that it had sent before.
GONE_ON_S = 1.0
# How long a crash counts as one of those that a part of prompts was at or wasn't.
MEMORY_S = 30.0
# So long after an endpoint was found to go on, it is doubted that it crashed now.
DOUBT_S = 5.0
# Bounds on the endpoints that are remembered, and on those in one message.
MAX_KNOWN = 256
MAX_REPORTED = 32


class CrashedEndpoints:
    """The crashes of endpoints that one entry knows, its own and reported ones."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        # When each endpoint crashed, in the order in which it became known.
        self._crashed_at: collections.OrderedDict[str, float]
        self._crashed_at = collections.OrderedDict()
        # When endpoints last answered this entry, and others.
        self._answered_at: collections.OrderedDict[str, float]
        self._answered_at = collections.OrderedDict()
        self._answered_elsewhere_at: collections.OrderedDict[str, float]
        self._answered_elsewhere_at = collections.OrderedDict()
        # When endpoints were found to go on that were said to have crashed.
        self._found_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        # Endpoints that answered this entry after they were said to have crashed.
        self._gone_on: collections.OrderedDict[str, None] = collections.OrderedDict()

    def record_crash(self, endpoint: str, at: float) -> None:
        """Record a crash; of one that is known already, the earliest time counts."""
        if self.has_gone_on(endpoint, at):
            return
        known_at = self._crashed_at.get(endpoint)
        if known_at is None:
            _put(self._crashed_at, endpoint, at)
        else:
            self._crashed_at[endpoint] = min(at, known_at)

    def record_answer(self, endpoint: str, at: float) -> bool:
        """
        Record that an endpoint answers a call that this entry sent at a time.

        Returns whether this shows that it hasn't crashed, as was known until now.
        """
        latest = max(at, self._answered_at.get(endpoint, -math.inf))
        _put(self._answered_at, endpoint, latest)
        return self._drop(endpoint)

    def receive_answer(self, endpoint: str, at: float) -> bool:
        """Record that an endpoint answered another entry; as ``record_answer``."""
        latest = max(at, self._answered_elsewhere_at.get(endpoint, -math.inf))
        _put(self._answered_elsewhere_at, endpoint, latest)
        return self._drop(endpoint)

    def has_gone_on(self, endpoint: str, crashed_at: float) -> bool:
        """
        Return whether an endpoint answered after it was said to have crashed.

        If it answered this entry, it is reported from now on.
        """
        if self._answered_at.get(endpoint, -math.inf) > crashed_at + GONE_ON_S:
            self._gone_on[endpoint] = None
            self._gone_on.move_to_end(endpoint)
            while len(self._gone_on) > MAX_REPORTED:
                self._gone_on.popitem(last=False)
            return True
        elsewhere_at = self._answered_elsewhere_at.get(endpoint, -math.inf)
        return elsewhere_at > crashed_at + GONE_ON_S

    def is_doubtful(self, endpoint: str) -> bool:
        """Return whether an endpoint went on after another crash, a while ago."""
        found_at = self._found_at.get(endpoint, -math.inf)
        return self._clock() - found_at <= DOUBT_S

    def between(self, since: float, until: float) -> set[str]:
        """Return the endpoints that crashed from one time to another."""
        return {
            endpoint
            for endpoint, at in self._crashed_at.items()
            if since <= at <= until
        }

    def ages(self) -> dict[str, float]:
        """Return the ages in seconds of the newest crashes, to be reported."""
        now = self._clock()
        newest = sorted(self._crashed_at.items(), key=lambda item: -item[1])
        return {
            endpoint: now - at
            for endpoint, at in newest[:MAX_REPORTED]
            if now - at <= MEMORY_S
        }

    def answer_ages(self) -> dict[str, float]:
        """Return how long ago endpoints that went on last answered this entry."""
        now = self._clock()
        return {
            endpoint: now - self._answered_at[endpoint]
            for endpoint in self._gone_on
            if now - self._answered_at.get(endpoint, -math.inf) <= MEMORY_S
        }

    def _drop(self, endpoint: str) -> bool:
        crashed_at = self._crashed_at.get(endpoint)
        if crashed_at is None or not self.has_gone_on(endpoint, crashed_at):
            return False
        del self._crashed_at[endpoint]
        _put(self._found_at, endpoint, self._clock())
        return True


def _put(kept: collections.OrderedDict[str, float], endpoint: str, at: float) -> None:
    kept[endpoint] = at
    kept.move_to_end(endpoint)
    while len(kept) > MAX_KNOWN:
        kept.popitem(last=False)
