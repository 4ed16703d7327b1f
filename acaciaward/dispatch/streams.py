"""
Model requests: one answer put together over as many attempts as it takes.
"""

import asyncio
import contextlib
import typing
import uuid
from collections.abc import AsyncIterator

from acaciaward import errors, requests, verdicts
from acaciaward.admission import interfaces as admission_interfaces
from acaciaward.dispatch import assembler, attempts
from acaciaward.endpoints import interfaces as endpoints_interfaces


class Opened(typing.NamedTuple):
    """A stream began, or went on, at an endpoint."""

    endpoint: str
    stream: str


StreamEvent = Opened | requests.TokenFrame | requests.Completion


class StreamDispatcher:
    """Runs model requests."""

    def __init__(
        self, collaborators: attempts.Collaborators, runner: attempts.AttemptRunner
    ):
        self._with = collaborators
        self._runner = runner

    async def stream(
        self, request: requests.Request, *, delivered: typing.Sequence[str] = ()
    ) -> AsyncIterator[StreamEvent]:
        """
        Run a model request and yield its events.

        Tokens come once each and in order, whatever happens to endpoints, and
        the last event is a ``Completion``.
        """
        self._with.quarantine.check(request)
        ticket = await self._with.admission.admit(request)
        progress = attempts.Progress(request)
        answer = assembler.StreamAssembler(delivered)
        try:
            while True:
                endpoint = self._runner.choose(progress)
                attempt = self._attempt_stream(endpoint, request, ticket, answer)
                try:
                    async with contextlib.aclosing(attempt):
                        async for event in attempt:
                            yield event
                    return
                except errors.EndpointError as error:
                    await self._runner.after_failure(progress, endpoint, error)
        finally:
            self._with.admission.release(ticket)

    async def _attempt_stream(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        ticket: admission_interfaces.Ticket,
        answer: assembler.StreamAssembler,
    ) -> AsyncIterator[StreamEvent]:
        order = endpoints_interfaces.GenerateOrder(
            attempt=uuid.uuid4().hex,
            request=request,
            delivered=tuple(answer.texts),
            priority=ticket.priority,
            cache_salt=request.organisation,
            deadline_s=self._runner.time_left(request),
        )
        stream_name = None
        is_whole = False
        frames = self._with.engine.generate(endpoint, order)
        with self._runner.counted(endpoint, request):
            try:
                async with contextlib.aclosing(frames):
                    async for frame in frames:
                        if isinstance(frame, endpoints_interfaces.StreamStarted):
                            stream_name = frame.stream
                            yield Opened(endpoint.name, frame.stream)
                        elif isinstance(frame, requests.TokenFrame):
                            if answer.accept(frame):
                                yield frame
                        else:
                            completion = answer.finish(frame)
                            is_whole = True
                            self._charge(ticket, completion)
                            yield completion
                            return
                raise errors.EndpointError(
                    "stream ended without its final frame",
                    verdict=verdicts.Verdict.MAY_HAVE_RUN,
                )
            finally:
                if stream_name is not None and not is_whole:
                    await self._cancel_quietly(endpoint, stream_name)

    def _charge(
        self, ticket: admission_interfaces.Ticket, completion: requests.Completion
    ) -> None:
        self._with.admission.charge(
            ticket,
            input_tokens=completion.prompt_tokens,
            output_tokens=completion.count,
        )

    async def _cancel_quietly(self, endpoint: requests.Endpoint, stream: str) -> None:
        try:
            await asyncio.shield(self._with.engine.cancel(endpoint, stream))
        except errors.EndpointError:
            # An endpoint that can't be reached has nothing left to cancel.
            pass
