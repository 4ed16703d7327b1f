"""
What the attempts at one request share: choice, retries, counting, deadline.

``AttemptRunner`` is used by both paths, streams of models and calls of services.
"""

import asyncio
import contextlib
import logging
import random
import typing
from collections import abc

from acaciaward import errors, requests, verdicts
from acaciaward.admission import interfaces as admission_interfaces
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.dispatch import inflight, retries
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import interfaces as evacuation_interfaces
from acaciaward.observability import logs
from acaciaward.quarantine import interfaces as quarantine_interfaces
from acaciaward.routing import interfaces as routing_interfaces

log = logging.getLogger(__name__)

RETRY_AFTER_FAILURE_S = 1.0
PAUSE_AFTER_RECLAIM_S = 0.02
MINIMUM_ATTEMPT_S = 0.005
TURN_PAUSE_S = 0.05


class Collaborators(typing.NamedTuple):
    """The slices that dispatch works with."""

    router: routing_interfaces.Router
    admission: admission_interfaces.Admission
    claims: claims_interfaces.ClaimBook
    quarantine: quarantine_interfaces.Quarantine
    engine: endpoints_interfaces.ModelEngine
    service: endpoints_interfaces.PlainService
    evacuation: evacuation_interfaces.Evacuation = evacuation_interfaces.NoEvacuation()


class RetryLimits(typing.NamedTuple):
    """Bounds of the attempts at one request; delays in seconds."""

    max_attempts: int
    backoff_s: float
    backoff_max_s: float


class Progress:
    """What the attempts at one request have come to so far."""

    def __init__(self, request: requests.Request):
        self.request = request
        self.attempts = 0
        self.verdict = verdicts.Verdict.NOT_RUN
        self.excluded: set[str] = set()
        self.avoided_data_centres: set[str] = set()
        self.reserved: requests.Endpoint | None = None

    def note_failure(
        self, endpoint: requests.Endpoint, error: errors.EndpointError
    ) -> None:
        """Take a failed attempt into account."""
        self.verdict = retries.worst(self.verdict, error.verdict)
        self.excluded.add(endpoint.name)
        if error.endpoint_died:
            self.avoided_data_centres.add(endpoint.data_centre)


class AttemptRunner:
    """Chooses endpoints, counts attempts and decides about the next one."""

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

    def choose(self, progress: Progress) -> requests.Endpoint:
        """Return the endpoint of the next attempt, or raise the final error."""
        if self.time_left(progress.request) <= MINIMUM_ATTEMPT_S:
            raise errors.DeadlineExceededError(
                "the deadline has passed", verdict=progress.verdict
            )
        progress.attempts += 1
        reserved, progress.reserved = progress.reserved, None
        return reserved or self._route(progress, progress.excluded)

    def _route(
        self,
        progress: Progress,
        excluded: abc.Set[str],
        *,
        alone: bool = False,
    ) -> requests.Endpoint:
        try:
            return self._with.router.choose(
                progress.request,
                excluded=excluded,
                avoided_data_centres=progress.avoided_data_centres,
                alone=alone,
            )
        except errors.NoEndpointError as error:
            error.verdict = progress.verdict
            raise

    async def prepare(self, progress: Progress) -> None:
        """
        Reserve an endpoint for a request that must run alone.

        Call it before ``choose``. It waits for a turn until the deadline and
        raises the final error when there can't be one.
        """
        busy: set[str] = set()
        while self._with.quarantine.is_suspect(progress.request):
            self.check_quarantine(progress)
            if self.time_left(progress.request) <= MINIMUM_ATTEMPT_S:
                return
            try:
                endpoint = self._route(progress, progress.excluded | busy, alone=True)
            except errors.NoEndpointError:
                if not busy:
                    raise
                busy.clear()
                await asyncio.sleep(TURN_PAUSE_S)
                continue
            if await self._begin_alone(progress, endpoint):
                progress.reserved = endpoint
                return
            busy.add(endpoint.name)

    async def _begin_alone(
        self, progress: Progress, endpoint: requests.Endpoint
    ) -> bool:
        try:
            return await self._with.quarantine.begin_alone(progress.request, endpoint)
        except errors.PlatformUnavailableError as error:
            error.verdict = progress.verdict
            raise

    async def after_failure(
        self,
        progress: Progress,
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
        try:
            pause_s = await self._judge_failure(progress, endpoint, error)
        finally:
            self._with.quarantine.end_alone(request, endpoint, completed=False)
        await asyncio.sleep(min(pause_s, max(0.0, self.time_left(request))))

    async def _judge_failure(
        self,
        progress: Progress,
        endpoint: requests.Endpoint,
        error: errors.EndpointError,
    ) -> float:
        """Return the seconds to wait before the next attempt, or raise."""
        if self._is_forgiven(progress, endpoint):
            return PAUSE_AFTER_RECLAIM_S
        if error.endpoint_died:
            in_flight = [progress.request, *self._in_flight.at(endpoint)]
            await self._with.quarantine.endpoint_died(endpoint, in_flight)
            self.check_quarantine(progress)
        self._raise_if_final(progress, error)
        return retries.backoff_s(
            progress.attempts,
            first_s=self._limits.backoff_s,
            most_s=self._limits.backoff_max_s,
            chooser=self._random,
        )

    def _is_forgiven(self, progress: Progress, endpoint: requests.Endpoint) -> bool:
        """
        Return whether a failure is part of an announced reclaim.

        Such a failure takes nothing from the attempts or the retry budget and
        makes no request a suspect.
        """
        if not self._with.evacuation.is_leaving(endpoint.name):
            return False
        is_allowed = retries.may_retry(
            idempotent=progress.request.idempotent, verdict=progress.verdict
        )
        progress.attempts -= 1 if is_allowed else 0
        return is_allowed

    def check_quarantine(self, progress: Progress) -> None:
        """Raise ``QuarantinedError`` with the verdict of all attempts so far."""
        try:
            self._with.quarantine.check(progress.request)
        except errors.QuarantinedError as error:
            error.verdict = retries.worst(progress.verdict, error.verdict)
            raise

    def _raise_if_final(self, progress: Progress, error: errors.EndpointError) -> None:
        request = progress.request
        is_allowed = retries.may_retry(
            idempotent=request.idempotent, verdict=progress.verdict
        )
        has_attempts = progress.attempts < self._limits.max_attempts
        # A suspect runs alone and in turn, so its retries can't pile up, and
        # the requests of a whole batch must not use up their budget at once.
        is_suspect = self._with.quarantine.is_suspect(request)
        if (
            is_allowed
            and has_attempts
            and (is_suspect or self._with.admission.may_retry(request.organisation))
        ):
            return
        raise errors.AttemptFailedError(
            f"{progress.attempts} attempts failed, the last one: {error}",
            verdict=progress.verdict,
            retry_after_s=error.retry_after_s or RETRY_AFTER_FAILURE_S,
        ) from error

    @contextlib.contextmanager
    def counted(self, endpoint: requests.Endpoint, request: requests.Request):
        """Count an attempt as in flight while the block runs."""
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
            is_answered = end is routing_interfaces.AttemptEnd.ANSWERED
            if end is not routing_interfaces.AttemptEnd.FAILED:
                self._with.quarantine.end_alone(
                    request, endpoint, completed=is_answered
                )
            self._with.router.finished(endpoint, request, end)

    def time_left(self, request: requests.Request) -> float:
        """Return the seconds until the request's deadline."""
        return request.deadline - asyncio.get_running_loop().time()
