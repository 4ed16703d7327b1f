"""
Chooses endpoints for the attempts at a request and decides about retries.

``AttemptRunner`` is used for both streams of models and calls of plain services.
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

DEFAULT_RETRY_AFTER_S = 1.0
RECLAIM_RETRY_DELAY_S = 0.02
MIN_TIME_LEFT_S = 0.005
TURN_POLL_INTERVAL_S = 0.05


class Dependencies(typing.NamedTuple):
    """What dispatch needs from the other packages."""

    router: routing_interfaces.Router
    admission: admission_interfaces.Admission
    claims: claims_interfaces.ClaimRegistry
    quarantine: quarantine_interfaces.Quarantine
    engine: endpoints_interfaces.ModelEngine
    service: endpoints_interfaces.PlainService
    evacuation: evacuation_interfaces.Evacuation = evacuation_interfaces.NoEvacuation()


class RetryLimits(typing.NamedTuple):
    """
    Limits of the attempts at one request; delays in seconds.

    Another endpoint is asked once one has sent nothing for ``silence_s``.
    """

    max_attempts: int
    backoff_s: float
    backoff_max_s: float
    silence_s: float = 3.0


class Progress:
    """
    The state of the attempts at one request.

    ``verdict`` covers all attempts so far. ``reserved`` is the endpoint on which a
    suspect will run alone in the next attempt.
    """

    def __init__(self, request: requests.Request):
        self.request = request
        self.attempts = 0
        self.verdict = verdicts.Verdict.NOT_RUN
        self.excluded: set[str] = set()
        self.avoided_data_centres: set[str] = set()
        self.reserved: requests.Endpoint | None = None

    def record_failure(
        self, endpoint: requests.Endpoint, error: errors.EndpointError
    ) -> None:
        """Record a failed attempt."""
        self.verdict = retries.worst(self.verdict, error.verdict)
        self.excluded.add(endpoint.name)
        if error.may_endpoint_have_died:
            self.avoided_data_centres.add(endpoint.data_centre)


class AttemptRunner:
    """Chooses endpoints, counts attempts and decides about retries."""

    def __init__(
        self,
        dependencies: Dependencies,
        limits: RetryLimits,
        *,
        rng: random.Random | None = None,
    ):
        self._deps = dependencies
        self._limits = limits
        self._random = rng or random.Random()
        self._in_flight = inflight.InFlight()

    @property
    def in_flight(self) -> inflight.InFlight:
        """The attempts in flight."""
        return self._in_flight

    @property
    def silence_s(self) -> float:
        """After how long without a frame another endpoint is asked, in seconds."""
        return self._limits.silence_s

    def choose(self, progress: Progress) -> requests.Endpoint:
        """Return the endpoint of the next attempt, or raise the final error."""
        if self.time_left(progress.request) <= MIN_TIME_LEFT_S:
            raise errors.DeadlineExceededError(
                "the deadline has passed", verdict=progress.verdict
            )
        progress.attempts += 1
        reserved, progress.reserved = progress.reserved, None
        return reserved or self._route(progress, progress.excluded)

    def choose_beside(
        self, progress: Progress, silent: abc.Sequence[requests.Endpoint]
    ) -> requests.Endpoint | None:
        """
        Return where to send a request whose endpoints are silent, too, or None.

        The attempt is taken from the retry budget at once. Suspects run alone, and what
        may run only once isn't sent twice.
        """
        request = progress.request
        may_send = (
            retries.may_retry(
                idempotent=request.idempotent, verdict=verdicts.Verdict.MAY_HAVE_RUN
            )
            and progress.attempts < self._limits.max_attempts
            and not self._deps.quarantine.is_suspect(request)
        )
        if not may_send:
            return None
        try:
            excluded = progress.excluded.union(one.name for one in silent)
            endpoint = self._route(progress, excluded)
        except errors.NoEndpointError:
            return None
        if not self._deps.admission.may_retry(request.organisation):
            return None
        progress.attempts += 1
        log.info(
            "endpoint is silent",
            extra=logs.fields(
                request=request.request_id,
                organisation=request.organisation,
                endpoint=silent[-1].name,
                decision=f"{endpoint.name} is asked",
            ),
        )
        return endpoint

    def check_deadline(self, progress: Progress) -> None:
        """Raise ``DeadlineExceededError`` if the time of a request that runs is up."""
        if self.time_left(progress.request) <= MIN_TIME_LEFT_S:
            raise errors.DeadlineExceededError(
                "the deadline has passed",
                verdict=retries.worst(progress.verdict, verdicts.Verdict.MAY_HAVE_RUN),
            )

    def _route(
        self,
        progress: Progress,
        excluded: abc.Set[str],
        *,
        prefers_idle: bool = False,
    ) -> requests.Endpoint:
        try:
            return self._deps.router.choose(
                progress.request,
                excluded=excluded,
                avoided_data_centres=progress.avoided_data_centres,
                prefers_idle=prefers_idle,
            )
        except errors.NoEndpointError as error:
            error.verdict = progress.verdict
            raise

    async def prepare(self, progress: Progress) -> None:
        """
        Reserve an endpoint if the request is a suspect, which must run alone.

        Call it before ``choose``. It waits for an endpoint until the deadline and
        raises the final error if none can become free.
        """
        busy_names: set[str] = set()
        while self._deps.quarantine.is_suspect(progress.request):
            self.check_quarantine(progress)
            if self.time_left(progress.request) <= MIN_TIME_LEFT_S:
                return
            try:
                endpoint = self._route(
                    progress, progress.excluded | busy_names, prefers_idle=True
                )
            except errors.NoEndpointError:
                if not busy_names:
                    raise
                busy_names.clear()
                await asyncio.sleep(TURN_POLL_INTERVAL_S)
                continue
            if await self._acquire_turn(progress, endpoint):
                progress.reserved = endpoint
                return
            busy_names.add(endpoint.name)

    async def _acquire_turn(
        self, progress: Progress, endpoint: requests.Endpoint
    ) -> bool:
        try:
            return await self._deps.quarantine.acquire_turn(progress.request, endpoint)
        except errors.PlatformUnavailableError as error:
            error.verdict = progress.verdict
            raise

    async def after_failure(
        self,
        progress: Progress,
        endpoint: requests.Endpoint,
        error: errors.EndpointError,
    ) -> None:
        """Wait for the retry delay, or raise the request's final error."""
        request = progress.request
        self.record_failure(progress, endpoint, error)
        try:
            retry_delay_s = await self._evaluate_failure(progress, endpoint, error)
        finally:
            self._deps.quarantine.release_turn(request, endpoint, is_completed=False)
        await asyncio.sleep(min(retry_delay_s, max(0.0, self.time_left(request))))

    @staticmethod
    def record_failure(
        progress: Progress, endpoint: requests.Endpoint, error: errors.EndpointError
    ) -> None:
        """Record and log that an attempt failed."""
        progress.record_failure(endpoint, error)
        log.warning(
            "attempt failed",
            extra=logs.fields(
                request=progress.request.request_id,
                organisation=progress.request.organisation,
                endpoint=endpoint.name,
                verdict=error.verdict.value,
                reason=error,
            ),
        )

    async def _evaluate_failure(
        self,
        progress: Progress,
        endpoint: requests.Endpoint,
        error: errors.EndpointError,
    ) -> float:
        """Return the retry delay in seconds, or raise the request's final error."""
        if self._is_reclaim_failure(progress, endpoint):
            return RECLAIM_RETRY_DELAY_S
        if error.may_endpoint_have_died:
            in_flight = [progress.request, *self._in_flight.at(endpoint)]
            await self._deps.quarantine.report_death(endpoint, in_flight)
            self.check_quarantine(progress)
        self._raise_if_final(progress, error)
        return retries.backoff_s(
            progress.attempts,
            initial_s=self._limits.backoff_s,
            max_s=self._limits.backoff_max_s,
            rng=self._random,
        )

    def _is_reclaim_failure(
        self, progress: Progress, endpoint: requests.Endpoint
    ) -> bool:
        """
        Return whether a failure is due to an announced reclaim and may be retried.

        Such a failure counts neither against the maximum of attempts nor the retry
        budget, and makes no request a suspect.
        """
        if not self._deps.evacuation.is_leaving(endpoint.name):
            return False
        is_allowed = retries.may_retry(
            idempotent=progress.request.idempotent, verdict=progress.verdict
        )
        progress.attempts -= 1 if is_allowed else 0
        return is_allowed

    def check_quarantine(self, progress: Progress) -> None:
        """Raise ``QuarantinedError`` with the verdict of all attempts so far."""
        try:
            self._deps.quarantine.check(progress.request)
        except errors.QuarantinedError as error:
            error.verdict = retries.worst(progress.verdict, error.verdict)
            raise

    def _raise_if_final(self, progress: Progress, error: errors.EndpointError) -> None:
        request = progress.request
        is_allowed = retries.may_retry(
            idempotent=request.idempotent, verdict=progress.verdict
        )
        has_attempts = progress.attempts < self._limits.max_attempts
        # Suspects are exempt from the retry budget: they run alone and in turn, so
        # their retries can't pile up, and a batch that failed, whose requests all
        # become suspects, must not use up the budget at once.
        is_suspect = self._deps.quarantine.is_suspect(request)
        if (
            is_allowed
            and has_attempts
            and (is_suspect or self._deps.admission.may_retry(request.organisation))
        ):
            return
        raise errors.AttemptFailedError(
            f"{progress.attempts} attempts failed, the last one: {error}",
            verdict=progress.verdict,
            retry_after_s=error.retry_after_s or DEFAULT_RETRY_AFTER_S,
        ) from error

    @contextlib.contextmanager
    def counted(self, endpoint: requests.Endpoint, request: requests.Request):
        """Count an attempt as in flight during the block, and record how it ends."""
        end = routing_interfaces.AttemptEnd.CANCELLED
        self._deps.router.record_start(endpoint, request)
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
                self._deps.quarantine.release_turn(
                    request, endpoint, is_completed=is_answered
                )
            self._deps.router.record_end(endpoint, request, end)

    def time_left(self, request: requests.Request) -> float:
        """Return the seconds until the request's deadline."""
        return request.deadline - asyncio.get_running_loop().time()
