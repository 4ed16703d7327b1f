"""
Remembers which parts of prompts endpoints have read, and so have cached.

    cached = CachedParts(time.monotonic)
    cached.record(endpoint.incarnation, call.prompt)
    cached.tokens(endpoint.incarnation, other_prompt)
"""

import collections
from collections import abc

from acaciaward.gateway import calls

# Parts of prompts remembered for each endpoint, and for how long, in seconds.
MAX_PARTS_PER_ENDPOINT = 4000
PART_LIFETIME_S = 60.0

Incarnation = tuple[str, int]


class CachedParts:
    """The parts that each endpoint has read lately; ``clock`` is in seconds."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._parts: dict[Incarnation, collections.OrderedDict[str, float]] = {}

    def record(self, incarnation: Incarnation, prompt: calls.Prompt) -> None:
        """Record that an endpoint has read a prompt."""
        parts = self._parts.setdefault(incarnation, collections.OrderedDict())
        for name, _ in prompt.parts:
            parts[name] = self._clock()
            parts.move_to_end(name)
        while len(parts) > MAX_PARTS_PER_ENDPOINT:
            parts.popitem(last=False)

    def forget(self, incarnation: Incarnation) -> None:
        """Drop what is known of an endpoint."""
        self._parts.pop(incarnation, None)

    def tokens(self, incarnation: Incarnation, prompt: calls.Prompt) -> int:
        """Return the tokens of a prompt's shared beginning that are cached."""
        now = self._clock()
        parts = self._parts.get(incarnation, {})
        total = 0
        for name, size in prompt.shared:
            if now - parts.get(name, -PART_LIFETIME_S) >= PART_LIFETIME_S:
                break
            total += size
        return total
