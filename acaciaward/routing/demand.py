"""
What callers ask of each service, as smoothed rates that all entries add up.

Demand counts what was asked, served or not, so that a fleet that is too small
doesn't look sufficient.
"""

import math
import typing
from collections import abc

# Time constant of the smoothing, in seconds: about one boot of an endpoint.
SMOOTHED_S = 3.0


class Rate:
    """
    Units a second, smoothed over ``SMOOTHED_S``.

        rate = Rate()
        rate.note(1000.0, now=1.0)
        rate.value(now=1.5)
    """

    def __init__(self):
        self._value = 0.0
        self._since = 0.0

    def note(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._value = self.value(now) + amount / SMOOTHED_S
        self._since = now

    def value(self, now: float) -> float:
        """Return the rate, which fades while nothing is noted."""
        return self._value * math.exp(-max(0.0, now - self._since) / SMOOTHED_S)


class Demand:
    """The rates at this entry, by service."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._rates: dict[str, Rate] = {}

    def note(self, service: str, tokens: float) -> None:
        """Count the tokens that one request asks a service to read."""
        self._rates.setdefault(service, Rate()).note(tokens, self._clock())

    def rates(self) -> dict[str, float]:
        """Return tokens a second for each service."""
        now = self._clock()
        return {name: round(rate.value(now), 1) for name, rate in self._rates.items()}


def total(told: abc.Iterable[abc.Mapping[str, typing.Any]], service: str) -> float:
    """Return the sum of what entries say of a service."""
    rates = (rates.get(service, 0.0) for rates in told)
    return sum(rate for rate in rates if isinstance(rate, int | float))
