"""
Orders organisations by virtual token counters, and bounds their urgent requests.

A counter holds the tokens served to an organisation, divided by its weight. The queue
serves the lowest counter first, after Sheng et al., "Fairness in Serving Large Language
Models" (OSDI 2024). The counter of an organisation that becomes active is raised to the
lowest active one, so an idle organisation can't accumulate credit.
"""

import time
from collections import abc

# A prompt token costs the engines far less than a generated one.
INPUT_TOKEN_WEIGHT = 0.05
URGENT_REFILL_FRACTION = 0.75
URGENT_BURST_S = 1.0
# While urgent requests use less than this fraction of the slots, the allowance doesn't
# limit them.
URGENT_UNMETERED_FRACTION = 0.15


def token_cost(input_tokens: float, output_tokens: float) -> float:
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
        """Raise the counter of a formerly idle organisation to the lowest active."""
        others = [self.value(name) for name in active if name != organisation]
        if others:
            lowest = min(others)
            self._counters[organisation] = max(self.value(organisation), lowest)

    def charge(self, organisation: str, tokens: float, weight: float) -> None:
        """Add tokens served; a negative number corrects an estimate."""
        self._counters[organisation] = self.value(organisation) + tokens / weight


class UrgentAllowance:
    """
    Token buckets that bound what each organisation may send as urgent.

    Urgent requests beyond the allowance count as short ones. A bucket refills at
    ``URGENT_REFILL_FRACTION`` of the organisation's part of the capacity, so the
    urgent calls of one organisation can never use up another's part.
    """

    def __init__(self, *, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._levels: dict[str, tuple[float, float]] = {}

    def consume(self, organisation: str, tokens: float, rate: float) -> bool:
        """
        Consume tokens, or return False if they exceed the allowance.

        ``rate`` is the organisation's part of the capacity, in tokens per second.
        """
        now = self._clock()
        burst = max(rate * URGENT_BURST_S, tokens)
        level, updated_at = self._levels.get(organisation, (burst, now))
        level = min(burst, level + (now - updated_at) * rate * URGENT_REFILL_FRACTION)
        is_allowed = level >= tokens
        self._levels[organisation] = (level - tokens if is_allowed else level, now)
        return is_allowed
