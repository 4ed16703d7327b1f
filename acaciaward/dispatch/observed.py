"""
A dispatcher that reports to a recorder how each request ended.

It wraps a ``dispatcher.Dispatcher`` and has the same interface, so that neither
dispatch nor the callers' API depends on service-level objectives.
"""

import contextlib
import time
import typing
from collections import abc

from acaciaward import errors, requests
from acaciaward.dispatch import dispatcher, inflight, streams
from acaciaward.observability import recorder


class ObservedDispatcher:
    """Runs requests and records how they end."""

    def __init__(
        self, inner: dispatcher.Dispatcher, request_recorder: recorder.Recorder
    ):
        self._inner = inner
        self._recorder = request_recorder

    @property
    def in_flight(self) -> inflight.InFlight:
        """The attempts in flight."""
        return self._inner.in_flight

    async def stream(
        self, request: requests.Request, **options: typing.Any
    ) -> abc.AsyncIterator[streams.StreamEvent]:
        """Run a model request; a stream that its caller leaves isn't counted."""
        started = time.monotonic()
        events = self._inner.stream(request, **options)
        with self._recorded_errors(request):
            async with contextlib.aclosing(events):
                async for event in events:
                    if isinstance(event, requests.Completion):
                        self._record_answer(request, started)
                    yield event

    async def call(self, request: requests.Request) -> requests.ServiceAnswer:
        """Run a plain service's request and return its complete answer."""
        started = time.monotonic()
        with self._recorded_errors(request):
            answer = await self._inner.call(request)
        self._record_answer(request, started)
        return answer

    def _record_answer(self, request: requests.Request, started: float) -> None:
        self._recorder.record_answer(
            request.service_class.value,
            request.deployment,
            seconds=time.monotonic() - started,
        )

    @contextlib.contextmanager
    def _recorded_errors(self, request: requests.Request):
        try:
            yield
        except errors.RequestError as error:
            self._recorder.record_error(
                request.service_class.value, request.deployment, error
            )
            raise
