"""
The life of one request: admission, attempts, retries and its verdict.

``stream`` runs a model request and ``call`` a plain service's. Both end in a
whole answer, or in a ``RequestError`` that carries the verdict.
"""

import random
from collections import abc

from acaciaward import requests
from acaciaward.dispatch import attempts, calls, inflight, streams


class Dispatcher:
    """Runs requests at endpoints."""

    def __init__(
        self,
        collaborators: attempts.Collaborators,
        limits: attempts.RetryLimits,
        *,
        chooser: random.Random | None = None,
    ):
        self._runner = attempts.AttemptRunner(collaborators, limits, chooser=chooser)
        self._streams = streams.StreamDispatcher(collaborators, self._runner)
        self._calls = calls.CallDispatcher(collaborators, self._runner)

    @property
    def in_flight(self) -> inflight.InFlight:
        """The attempts that run now."""
        return self._runner.in_flight

    def stream(
        self,
        request: requests.Request,
        *,
        taken_up: streams.TakenUp | None = None,
        control: streams.StreamControl | None = None,
    ) -> abc.AsyncIterator[streams.StreamEvent]:
        """Run a model request; see ``StreamDispatcher.stream``."""
        return self._streams.stream(request, taken_up=taken_up, control=control)

    async def call(self, request: requests.Request) -> requests.ServiceAnswer:
        """Run a plain service's request and return its whole answer."""
        return await self._calls.call(request)
