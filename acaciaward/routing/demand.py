"""
Measures the demand for each service, which is summed over all entries.

Demand counts all requests, served or refused, so that a fleet that is too small
doesn't look sufficient.
"""

import typing
from collections import abc

from acaciaward import rates

# Time constant of the smoothing, in seconds: about one boot of an endpoint.
DEMAND_TIME_CONSTANT_S = 3.0
# Time constant of the share of long prompts, in seconds: they are few, and endpoints
# should seldom be reassigned between long and short prompts.
LONG_SHARE_TIME_CONSTANT_S = 20.0


class ServiceDemand(typing.NamedTuple):
    """
    The demand for a service, at one entry or summed over several.

    ``tokens_per_s`` counts prompt tokens to prefill, ``long_per_s`` those of them in
    long prompts; ``at_once`` counts concurrent requests.
    """

    tokens_per_s: float = 0.0
    at_once: float = 0.0
    long_per_s: float = 0.0

    @property
    def long_share(self) -> float:
        """The share of prompt tokens that are in long prompts."""
        return self.long_per_s / self.tokens_per_s if self.tokens_per_s > 0 else 0.0


class _ServiceRates:
    def __init__(self):
        self.tokens = rates.Rate(DEMAND_TIME_CONSTANT_S)
        self.requests = rates.Rate(DEMAND_TIME_CONSTANT_S)
        self._all_tokens = rates.Rate(LONG_SHARE_TIME_CONSTANT_S)
        self._long_tokens = rates.Rate(LONG_SHARE_TIME_CONSTANT_S)

    def record(self, tokens: float, now: float, *, is_long: bool) -> None:
        """Count a request."""
        self.tokens.add(tokens, now)
        self.requests.add(1.0, now)
        self._all_tokens.add(tokens, now)
        self._long_tokens.add(tokens if is_long else 0.0, now)

    def long_per_s(self, now: float) -> float:
        """Return the tokens per second that are in long prompts."""
        tokens = self._all_tokens.value(now)
        share = self._long_tokens.value(now) / tokens if tokens > 0 else 0.0
        return share * self.tokens.value(now)


class Demand:
    """Measures the demand at this entry, by service."""

    def __init__(
        self, clock: abc.Callable[[], float], service_s: abc.Callable[[str], float]
    ):
        self._clock = clock
        self._service_s = service_s
        self._service_rates: dict[str, _ServiceRates] = {}

    def record(self, service: str, tokens: float, *, is_long: bool = False) -> None:
        """Count a request and the prompt tokens that it brings to a service."""
        service_rates = self._service_rates.setdefault(service, _ServiceRates())
        service_rates.record(tokens, self._clock(), is_long=is_long)

    def by_service(self) -> dict[str, ServiceDemand]:
        """
        Return the demand for each service.

        Concurrent requests are their rate times how long one takes (Little's law).
        """
        now = self._clock()
        return {
            name: ServiceDemand(
                round(service_rates.tokens.value(now), 1),
                round(service_rates.requests.value(now) * self._service_s(name), 3),
                round(service_rates.long_per_s(now), 1),
            )
            for name, service_rates in self._service_rates.items()
        }
