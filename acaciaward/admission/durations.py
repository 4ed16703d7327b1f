"""
Learns how long requests take, by deployment.

A service's calls take as long as the latest ones did. A model's requests take what the
model of its engines says, times how much slower the engines were lately.
"""

from collections import abc

from acaciaward import requests
from acaciaward.admission import decisions, estimates, interfaces

MAX_SLOWDOWN = 2.0
DEFAULT_SERVICE_S = 0.02


class Durations:
    """How long requests have taken lately; ``now`` returns seconds."""

    def __init__(self, now: abc.Callable[[], float]):
        self._now = now
        self._services: dict[str, estimates.DecayingEstimate] = {}
        self._slowdowns: dict[str, estimates.DecayingEstimate] = {}

    def predict_s(
        self, request: requests.Request, capacity: interfaces.Capacity
    ) -> float:
        """Return how long a request will run."""
        if request.kind is requests.DeploymentKind.MODEL:
            slowdown = self.slowdown(request.deployment)
            return slowdown * decisions.service_s(request, capacity)
        return self.service_s(request.deployment)

    def service_s(self, deployment: str) -> float:
        """Return how long a service's calls take."""
        estimate = self._services.get(deployment)
        return estimate.value(self._now()) if estimate else DEFAULT_SERVICE_S

    def slowdown(self, deployment: str) -> float:
        """Return how many times longer than modelled a model's requests take."""
        estimate = self._slowdowns.get(deployment)
        return estimate.value(self._now()) if estimate else 1.0

    def add_service_sample(self, deployment: str, elapsed_s: float) -> None:
        """Learn from a service's call that has ended."""
        estimate = self._services.setdefault(
            deployment, estimates.DecayingEstimate(DEFAULT_SERVICE_S)
        )
        estimate.add_sample(elapsed_s, now=self._now())

    def add_slowdown_sample(self, deployment: str, ratio: float) -> None:
        """Learn from a model's request: its time by the modelled one."""
        estimate = self._slowdowns.setdefault(
            deployment, estimates.DecayingEstimate(1.0)
        )
        estimate.add_sample(min(MAX_SLOWDOWN, max(1.0, ratio)), now=self._now())
