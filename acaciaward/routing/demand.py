"""
What callers ask of each service, as smoothed rates that all entries add up.

Demand counts what was asked, served or not, so that a fleet that is too small
doesn't look sufficient.
"""

from collections import abc

from acaciaward import rates

# Time constant of the smoothing, in seconds: about one boot of an endpoint.
SMOOTHED_S = 3.0


class Demand:
    """The rates at this entry, by service."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._rates: dict[str, rates.Rate] = {}

    def note(self, service: str, tokens: float) -> None:
        """Count the tokens that one request asks a service to read."""
        rate = self._rates.setdefault(service, rates.Rate(SMOOTHED_S))
        rate.note(tokens, self._clock())

    def rates(self) -> dict[str, float]:
        """Return tokens a second for each service."""
        now = self._clock()
        return {name: round(rate.value(now), 1) for name, rate in self._rates.items()}
