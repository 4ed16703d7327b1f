"""
Virtual token counters: what each organisation was served, over its share.

The queue serves the lowest counter first, after Sheng et al., "Fairness in
Serving Large Language Models" (OSDI 2024). An organisation that becomes active
is lifted to the lowest active counter, so it can't save up while it is idle.
"""

import time
from collections import abc

# A prompt's token costs the engines far less than a generated one.
INPUT_TOKEN_WEIGHT = 0.05
URGENT_PART = 0.75
URGENT_BURST_S = 1.0
URGENT_FREE_PART = 0.15


def weigh(input_tokens: float, output_tokens: float) -> float:
    """Return the cost of tokens, in generated tokens."""
    return INPUT_TOKEN_WEIGHT * input_tokens + output_tokens


class VirtualCounters:
    """The counters of all organisations at one deployment."""

    def __init__(self):
        self._counters: dict[str, float] = {}

    def value(self, organisation: str) -> float:
        """Return an organisation's counter."""
        return self._counters.get(organisation, 0.0)

    def activate(self, organisation: str, active: abc.Collection[str]) -> None:
        """Lift an organisation that was idle to the lowest active counter."""
        others = [self.value(other) for other in active if other != organisation]
        if others:
            lowest = min(others)
            self._counters[organisation] = max(self.value(organisation), lowest)

    def charge(self, organisation: str, tokens: float, share: float) -> None:
        """Count tokens served; a negative number corrects an estimate."""
        self._counters[organisation] = self.value(organisation) + tokens / share


class UrgentAllowance:
    """
    How much an organisation may send as urgent before it counts as short.

    Its bucket fills at ``URGENT_PART`` of its part of the capacity, so urgent
    calls of one organisation can never hold the whole of another's part.
    """

    def __init__(self, *, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._levels: dict[str, tuple[float, float]] = {}

    def take(self, organisation: str, tokens: float, rate: float) -> bool:
        """Take tokens at the allowance's rate a second, or return False."""
        now = self._clock()
        burst = max(rate * URGENT_BURST_S, tokens)
        level, moment = self._levels.get(organisation, (burst, now))
        level = min(burst, level + (now - moment) * rate * URGENT_PART)
        is_allowed = level >= tokens
        self._levels[organisation] = (level - tokens if is_allowed else level, now)
        return is_allowed
