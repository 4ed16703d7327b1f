"""
The life of one request: admission, attempts, retries and its verdict.

``stream`` runs a model request and ``call`` a plain service's. Both end in a
whole answer, or in a ``RequestError`` that carries the verdict.
"""

import asyncio
import contextlib
import logging
import random
import typing
import uuid
from collections.abc import AsyncIterator

from acaciaward import errors, requests, verdicts
from acaciaward.admission import interfaces as admission_interfaces
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.dispatch import assembler, inflight, retries
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.observability import logs
from acaciaward.quarantine import interfaces as quarantine_interfaces
from acaciaward.routing import interfaces as routing_interfaces

log = logging.getLogger(__name__)

RETRY_AFTER_FAILURE_S = 1.0
MINIMUM_ATTEMPT_S = 0.005


class Opened(typing.NamedTuple):
    """A stream began, or went on, at an endpoint."""

    endpoint: str
    stream: str


StreamEvent = Opened | requests.TokenFrame | requests.Completion


class Collaborators(typing.NamedTuple):
    """The slices that dispatch works with."""

    router: routing_interfaces.Router
    admission: admission_interfaces.Admission
    claims: claims_interfaces.ClaimBook
    quarantine: quarantine_interfaces.Quarantine
    engine: endpoints_interfaces.ModelEngine
    service: endpoints_interfaces.PlainService


class RetryLimits(typing.NamedTuple):
    """Bounds of the attempts at one request; delays in seconds."""

    max_attempts: int
    backoff_s: float
    backoff_max_s: float


class _Progress:
    """What the attempts at one request have come to so far."""

    def __init__(self, request: requests.Request):
        self.request = request
        self.attempts = 0
        self.verdict = verdicts.Verdict.NOT_RUN
        self.excluded: set[str] = set()
        self.avoided_data_centres: set[str] = set()

    def note_failure(
        self, endpoint: requests.Endpoint, error: errors.EndpointError
    ) -> None:
        """Take a failed attempt into account."""
        self.verdict = retries.worst(self.verdict, error.verdict)
        self.excluded.add(endpoint.name)
        if error.endpoint_died:
            self.avoided_data_centres.add(endpoint.data_centre)


class Dispatcher:
    """Runs requests at endpoints."""

    def __init__(
        self,
        collaborators: Collaborators,
        limits: RetryLimits,
        *,
        chooser: random.Random | None = None,
    ):
        self._with = collaborators
        self._limits = limits
        self._random = chooser or random.Random()
        self._in_flight = inflight.InFlight()

    @property
    def in_flight(self) -> inflight.InFlight:
        """The attempts that run now."""
        return self._in_flight

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
        progress = _Progress(request)
        answer = assembler.StreamAssembler(delivered)
        try:
            while True:
                endpoint = self._choose(progress)
                attempt = self._attempt_stream(endpoint, request, ticket, answer)
                try:
                    async with contextlib.aclosing(attempt):
                        async for event in attempt:
                            yield event
                    return
                except errors.EndpointError as error:
                    await self._after_failure(progress, endpoint, error)
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
            deadline_s=self._time_left(request),
        )
        stream_name = None
        is_whole = False
        frames = self._with.engine.generate(endpoint, order)
        with self._counted(endpoint, request):
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

    async def call(self, request: requests.Request) -> requests.ServiceAnswer:
        """Run a plain service's request and return its whole answer."""
        self._with.quarantine.check(request)
        ticket = await self._with.admission.admit(request)
        try:
            if request.idempotent:
                return await self._call_with_retries(request, claim=None)
            return await self._call_once(request)
        finally:
            self._with.admission.release(ticket)

    async def _call_once(self, request: requests.Request) -> requests.ServiceAnswer:
        claim = await self._with.claims.claim(request)
        if claim.ownership is claims_interfaces.Ownership.LOST:
            return await self._answer_of_owner(request)
        try:
            answer = await self._call_with_retries(request, claim=claim)
        except errors.RequestError as error:
            if error.verdict is verdicts.Verdict.NOT_RUN:
                await self._with.claims.release(request, claim)
            else:
                outcome = claims_interfaces.Outcome(error.verdict)
                self._with.claims.complete(request, claim, outcome)
            raise
        outcome = claims_interfaces.Outcome(verdicts.Verdict.RAN, answer)
        self._with.claims.complete(request, claim, outcome)
        return answer

    async def _answer_of_owner(
        self, request: requests.Request
    ) -> requests.ServiceAnswer:
        outcome = await self._with.claims.outcome(request.organisation, request.key)
        if outcome.answer is not None:
            return outcome.answer
        raise errors.OutcomeUnknownError(
            "another run owns this key and its result isn't known here",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
            retry_after_s=RETRY_AFTER_FAILURE_S,
        )

    async def _call_with_retries(
        self, request: requests.Request, claim: claims_interfaces.Claim | None
    ) -> requests.ServiceAnswer:
        progress = _Progress(request)
        while True:
            endpoint = self._choose(progress)
            if claim is not None and not self._with.claims.confirm(claim):
                raise errors.PlatformUnavailableError(
                    "the claim on this key is no longer certain",
                    verdict=progress.verdict,
                    retry_after_s=RETRY_AFTER_FAILURE_S,
                )
            try:
                with self._counted(endpoint, request):
                    return await self._with.service.call(
                        endpoint,
                        request,
                        attempt=uuid.uuid4().hex,
                        deadline_s=self._time_left(request),
                    )
            except errors.EndpointError as error:
                await self._after_failure(progress, endpoint, error)

    def _choose(self, progress: _Progress) -> requests.Endpoint:
        if self._time_left(progress.request) <= MINIMUM_ATTEMPT_S:
            raise errors.DeadlineExceededError(
                "the deadline has passed", verdict=progress.verdict
            )
        progress.attempts += 1
        try:
            return self._with.router.choose(
                progress.request,
                excluded=progress.excluded,
                avoided_data_centres=progress.avoided_data_centres,
                alone=self._with.quarantine.is_suspect(progress.request),
            )
        except errors.NoEndpointError as error:
            error.verdict = progress.verdict
            raise

    async def _after_failure(
        self,
        progress: _Progress,
        endpoint: requests.Endpoint,
        error: errors.EndpointError,
    ) -> None:
        """Wait before the next attempt, or raise the request's final error."""
        request = progress.request
        progress.note_failure(endpoint, error)
        log.warning(
            "attempt failed",
            extra=logs.fields(
                request=request.request_id,
                organisation=request.organisation,
                endpoint=endpoint.name,
                verdict=error.verdict.value,
                reason=error,
            ),
        )
        if error.endpoint_died:
            in_flight = [request, *self._in_flight.at(endpoint)]
            await self._with.quarantine.endpoint_died(endpoint, in_flight)
            self._with.quarantine.check(request)
        self._raise_if_final(progress, error)
        pause_s = retries.backoff_s(
            progress.attempts,
            first_s=self._limits.backoff_s,
            most_s=self._limits.backoff_max_s,
            chooser=self._random,
        )
        await asyncio.sleep(min(pause_s, max(0.0, self._time_left(request))))

    def _raise_if_final(self, progress: _Progress, error: errors.EndpointError) -> None:
        request = progress.request
        is_allowed = retries.may_retry(
            idempotent=request.idempotent, verdict=progress.verdict
        )
        has_attempts = progress.attempts < self._limits.max_attempts
        if (
            is_allowed
            and has_attempts
            and self._with.admission.may_retry(request.organisation)
        ):
            return
        raise errors.AttemptFailedError(
            f"{progress.attempts} attempts failed, the last one: {error}",
            verdict=progress.verdict,
            retry_after_s=error.retry_after_s or RETRY_AFTER_FAILURE_S,
        ) from error

    @contextlib.contextmanager
    def _counted(self, endpoint: requests.Endpoint, request: requests.Request):
        end = routing_interfaces.AttemptEnd.CANCELLED
        self._with.router.started(endpoint, request)
        self._in_flight.add(endpoint, request)
        try:
            yield
            end = routing_interfaces.AttemptEnd.ANSWERED
        except errors.EndpointError as error:
            is_refusal = error.verdict is verdicts.Verdict.NOT_RUN
            end = (
                routing_interfaces.AttemptEnd.REFUSED
                if is_refusal
                else routing_interfaces.AttemptEnd.FAILED
            )
            raise
        finally:
            self._in_flight.remove(endpoint, request)
            self._with.router.finished(endpoint, request, end)

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

    def _time_left(self, request: requests.Request) -> float:
        return request.deadline - asyncio.get_running_loop().time()
