"""
Runs requests at endpoints, from admission to the answer or final error.

``stream`` runs a model request and ``call`` a plain service's. Both end in a
complete answer, or in a ``RequestError`` that carries the verdict: what is proved
about whether the request has run.
"""

import random
from collections import abc

from acaciaward import requests
from acaciaward.dispatch import attempts, calls, inflight, streams


class Dispatcher:
    """Runs requests at endpoints."""

    def __init__(
        self,
        dependencies: attempts.Dependencies,
        limits: attempts.RetryLimits,
        *,
        rng: random.Random | None = None,
    ):
        self._runner = attempts.AttemptRunner(dependencies, limits, rng=rng)
        self._streams = streams.StreamDispatcher(dependencies, self._runner)
        self._calls = calls.CallDispatcher(dependencies, self._runner)

    @property
    def in_flight(self) -> inflight.InFlight:
        """The attempts in flight."""
        return self._runner.in_flight

    def stream(
        self,
        request: requests.Request,
        *,
        resumed: streams.ResumedStream | None = None,
        control: streams.StreamControl | None = None,
    ) -> abc.AsyncIterator[streams.StreamEvent]:
        """Run a model request; see ``StreamDispatcher.stream``."""
        return self._streams.stream(request, resumed=resumed, control=control)

    async def call(self, request: requests.Request) -> requests.ServiceAnswer:
        """Run a plain service's request and return its complete answer."""
        return await self._calls.call(request)
