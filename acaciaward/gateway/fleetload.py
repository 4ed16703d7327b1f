"""
Tells the fleet's scaling what the endpoints of each service have to serve.

Where callers allow only short pauses, requests at once are reckoned from the rate of
requests and from how long one takes at endpoints that aren't overloaded. Requests that
wait in the queues of overloaded endpoints would ask for a multiple of the endpoints
that the same callers need once the queues are served.

Handles: a jump in demand, or a loss of endpoints, that fills the endpoints' queues for
some seconds.
"""

import math
from collections import abc

from acaciaward.catalogue import routes
from acaciaward.fleet import datacentreplan, endpointscaling
from acaciaward.routing import demand

# Time constant with which a longer duration of requests is believed, in seconds; longer
# than queues last, until further endpoints have booted.
RISE_TIME_CONSTANT_S = 30.0


class CalmDurations:
    """
    How long a request at each service takes while its endpoints aren't overloaded.

    ``mean_s`` returns the present mean duration, 0 if not measured yet. A shorter one
    counts at once, a longer one only in the course of ``RISE_TIME_CONSTANT_S``.
    """

    def __init__(
        self, mean_s: abc.Callable[[str], float], clock: abc.Callable[[], float]
    ):
        self._mean_s = mean_s
        self._clock = clock
        # The duration of each service, and when it was updated last.
        self._durations: dict[str, tuple[float, float]] = {}

    def value_s(self, service: str) -> float:
        """Return the duration of a service's requests, 0 if not measured yet."""
        mean_s, now = self._mean_s(service), self._clock()
        calm_s, updated_at = self._durations.get(service, (mean_s, now))
        if mean_s > calm_s > 0:
            weight = 1 - math.exp((updated_at - now) / RISE_TIME_CONSTANT_S)
            mean_s = calm_s + weight * (mean_s - calm_s)
        self._durations[service] = (mean_s, now)
        return mean_s


class FleetLoad:
    """
    The load of each service, over all entries.

    ``index`` returns the configuration in force, ``demand_of`` a service's demand as
    callers request it, and ``requests_of`` how many requests its endpoints hold.
    ``duration_s`` returns how long one takes, and ``prefill_tokens_per_s`` how fast an
    engine of a service prefills.
    """

    def __init__(
        self,
        index: abc.Callable[[], routes.Index | None],
        *,
        demand_of: abc.Callable[[str], demand.ServiceDemand],
        requests_of: abc.Callable[[str], float],
        duration_s: abc.Callable[[str], float],
        prefill_tokens_per_s: abc.Callable[[str], float],
        clock: abc.Callable[[], float],
    ):
        self._index = index
        self._demand_of = demand_of
        self._requests_of = requests_of
        self._duration_s = duration_s
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._calm_durations = CalmDurations(duration_s, clock)

    def load_of(self, service: str) -> endpointscaling.Load:
        """Return what the endpoints of a service have to serve."""
        service_demand = self._demand_of(service)
        at_once = service_demand.at_once
        if not self._allows_short_pauses_only(service):
            at_once = max(at_once, self._requests_of(service))
        return endpointscaling.Load(
            service_demand.tokens_per_s,
            at_once,
            prefill_tokens_per_s=self._prefill_tokens_per_s(service),
            max_gap_s=self._max_gap_s(service),
        )

    def duration_s(self, service: str) -> float:
        """Return how long a request at a service is reckoned to take."""
        if self._allows_short_pauses_only(service):
            return self._calm_durations.value_s(service)
        return self._duration_s(service)

    def _allows_short_pauses_only(self, service: str) -> bool:
        return datacentreplan.gap_share(self._max_gap_s(service)) < 1.0

    def _max_gap_s(self, service: str) -> float | None:
        index = self._index()
        return index.shortest_gap_s(service) if index else None
