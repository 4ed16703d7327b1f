"""
Calls of plain services: whole answers, and at most one run where it matters.
"""

import asyncio
import functools
import uuid
from collections import abc

from acaciaward import errors, requests, verdicts
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.dispatch import attempts

MAX_CLAIMS = 8
RECLAIM_PAUSE_S = 0.15


class CallDispatcher:
    """Runs calls of plain services."""

    def __init__(
        self, collaborators: attempts.Collaborators, runner: attempts.AttemptRunner
    ):
        self._with = collaborators
        self._runner = runner

    async def call(self, request: requests.Request) -> requests.ServiceAnswer:
        """Run a plain service's request and return its whole answer."""
        self._with.quarantine.check(request)
        ticket = await self._with.admission.admit(request)
        try:
            if request.idempotent:
                return await self._call_with_retries(request)
            return await self._call_once(request)
        finally:
            self._with.admission.release(ticket)

    async def _call_once(self, request: requests.Request) -> requests.ServiceAnswer:
        for _ in range(MAX_CLAIMS):
            claim = await self._with.claims.claim(request)
            if claim.ownership is claims_interfaces.Ownership.OWNED:
                return await self._run_owned(request, claim)
            answer = await self._answer_of_owner(request, claim)
            if answer is not None:
                return answer
            # The owner gave up before it wrote a byte, so its release is due.
            await asyncio.sleep(RECLAIM_PAUSE_S)
            if self._runner.time_left(request) <= attempts.MINIMUM_ATTEMPT_S:
                break
        raise errors.PlatformUnavailableError(
            "the key is being given back by an entry that could not run it",
            retry_after_s=attempts.RETRY_AFTER_FAILURE_S,
        )

    async def _run_owned(
        self, request: requests.Request, claim: claims_interfaces.Claim
    ) -> requests.ServiceAnswer:
        """Run a request whose key this entry owns, and settle its claim."""
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        answer = None
        try:
            answer = await self._call_with_retries(request, claim)
            verdict = verdicts.Verdict.RAN
            return answer
        except errors.RequestError as error:
            verdict = error.verdict
            raise
        finally:
            # The release does nothing to a claim whose confirmation stands, so
            # whatever reaches the completion has run or may have.
            if verdict is not verdicts.Verdict.RAN:
                self._with.claims.release(request, claim)
                verdict = verdicts.Verdict.MAY_HAVE_RUN
            outcome = claims_interfaces.Outcome(verdict, answer)
            self._with.claims.complete(request, claim, outcome)

    async def _answer_of_owner(
        self, request: requests.Request, claim: claims_interfaces.Claim
    ) -> requests.ServiceAnswer | None:
        """Return the first run's answer, or None if the owner never ran it."""
        wait_s = max(0.0, self._runner.time_left(request))
        outcome = await self._with.claims.outcome_of(claim, wait_s=wait_s)
        if outcome.answer is not None:
            return outcome.answer
        if outcome.verdict is verdicts.Verdict.NOT_RUN:
            return None
        raise errors.OutcomeUnknownError(
            "another run owns this key and its result isn't known here",
            verdict=outcome.verdict,
            retry_after_s=attempts.RETRY_AFTER_FAILURE_S,
        )

    async def _call_with_retries(
        self, request: requests.Request, claim: claims_interfaces.Claim | None = None
    ) -> requests.ServiceAnswer:
        progress = attempts.Progress(request)
        while True:
            await self._runner.prepare(progress)
            endpoint = self._runner.choose(progress)
            try:
                with self._runner.counted(endpoint, request):
                    return await self._with.service.call(
                        endpoint,
                        request,
                        attempt=uuid.uuid4().hex,
                        deadline_s=self._runner.time_left(request),
                        before_write=self._confirmation(claim, progress),
                    )
            except errors.EndpointError as error:
                if claim is not None and error.verdict is verdicts.Verdict.NOT_RUN:
                    self._with.claims.withdraw(claim)
                await self._runner.after_failure(progress, endpoint, error)

    def _confirmation(
        self, claim: claims_interfaces.Claim | None, progress: attempts.Progress
    ) -> abc.Callable[[], None] | None:
        if claim is None:
            return None
        return functools.partial(self._confirm, claim, progress)

    def _confirm(
        self, claim: claims_interfaces.Claim, progress: attempts.Progress
    ) -> None:
        if self._with.claims.confirm(claim):
            return
        raise errors.PlatformUnavailableError(
            "the claim on this key is no longer certain",
            verdict=progress.verdict,
            retry_after_s=attempts.RETRY_AFTER_FAILURE_S,
        )
