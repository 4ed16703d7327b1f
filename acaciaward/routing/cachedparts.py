"""
Remembers which parts of prompts endpoints have read, and so have cached.

    parts = CachedParts(time.monotonic)
    parts.record(("app-1", 0), prompt)
    parts.tokens(("app-1", 0), prompt)  # the tokens of its shared parts
"""

import collections
from collections import abc

from acaciaward.catalogue import statements
from acaciaward.gateway import calls

# Parts of prompts remembered for each endpoint, and for how long, in seconds.
MAX_PARTS_PER_ENDPOINT = 4000
PART_LIFETIME_S = 60.0


class CachedParts:
    """The parts that each endpoint has read for calls of this entry."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._parts: dict[
            statements.Incarnation, collections.OrderedDict[str, float]
        ] = {}

    def record(self, incarnation: statements.Incarnation, prompt: calls.Prompt) -> None:
        """Record that an endpoint has read a prompt."""
        parts = self._parts.setdefault(incarnation, collections.OrderedDict())
        for name, _ in prompt.parts:
            parts[name] = self._clock()
            parts.move_to_end(name)
        while len(parts) > MAX_PARTS_PER_ENDPOINT:
            parts.popitem(last=False)

    def tokens(self, incarnation: statements.Incarnation, prompt: calls.Prompt) -> int:
        """Return how many tokens of a prompt's begin an endpoint has cached."""
        now = self._clock()
        parts = self._parts.get(incarnation, {})
        total = 0
        for name, size in prompt.shared:
            if now - parts.get(name, -PART_LIFETIME_S) >= PART_LIFETIME_S:
                break
            total += size
        return total

    def forget(self, incarnation: statements.Incarnation) -> None:
        """Forget what an endpoint has read."""
        self._parts.pop(incarnation, None)
