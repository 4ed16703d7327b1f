"""Exports and logs which endpoints differ from the others of their service in speed."""

import logging
import math
from collections import abc

import prometheus_client

from acaciaward.observability import logs

log = logging.getLogger(__name__)

# An endpoint is logged as slow from the first factor on, until it is below the second.
SLOW_LOG_FACTOR = math.log(1.5)
RECOVERED_LOG_FACTOR = math.log(1.2)
# At most one line in this time, in seconds, with at most so many names.
LOG_INTERVAL_S = 2.0
MAX_NAMES = 5

SLOWEST = prometheus_client.Gauge(
    "acaciaward_slowest_endpoint_factor",
    "How many times as long as the average of its service its slowest endpoint takes",
    ["service"],
)
DIFFERENT = prometheus_client.Gauge(
    "acaciaward_different_endpoints",
    "Endpoints of a service whose speed differs significantly from its average",
    ["service"],
)

Incarnation = tuple[str, int]


class SpeedMonitor:
    """Logs changes of which endpoints are slow; ``clock`` is in seconds."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._slow: dict[str, dict[Incarnation, float]] = {}
        self._logged: dict[str, frozenset[Incarnation]] = {}
        self._logged_at = -math.inf

    def record(self, service: str, factors: abc.Mapping[Incarnation, float]) -> None:
        """Record the logarithms of the factors of endpoints that differ."""
        SLOWEST.labels(service).set(math.exp(max(factors.values(), default=0.0)))
        DIFFERENT.labels(service).set(len(factors))
        before = self._slow.get(service, {})
        self._slow[service] = {
            incarnation: factor
            for incarnation, factor in factors.items()
            if factor >= SLOW_LOG_FACTOR
            or (incarnation in before and factor >= RECOVERED_LOG_FACTOR)
        }
        self._log_changes(service)

    def _log_changes(self, service: str) -> None:
        slow = self._slow[service]
        logged = self._logged.get(service, frozenset())
        now = self._clock()
        if slow.keys() == logged or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        self._logged[service] = frozenset(slow)
        new = sorted(slow.keys() - logged, key=slow.__getitem__, reverse=True)
        names = {
            f"{name}={math.exp(slow[(name, born)]):.1f}"
            for name, born in new[:MAX_NAMES]
        }
        log.info(
            "slow endpoints changed",
            extra=logs.fields(
                service=service,
                slow=len(slow),
                added=",".join(sorted(names)),
                recovered=len(logged - slow.keys()),
            ),
        )
