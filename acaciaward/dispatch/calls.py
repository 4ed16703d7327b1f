"""
Runs calls of plain services; a call that isn't idempotent runs at most once.

The entry that claims a call's idempotency key owns its run. Other entries that get
the same call return the owner's outcome.
"""

import asyncio
import functools
import uuid
from collections import abc

from acaciaward import errors, requests, verdicts
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.dispatch import attempts

MAX_CLAIM_ATTEMPTS = 8
CLAIM_RETRY_DELAY_S = 0.15


class CallDispatcher:
    """Runs calls of plain services."""

    def __init__(
        self, dependencies: attempts.Dependencies, runner: attempts.AttemptRunner
    ):
        self._deps = dependencies
        self._runner = runner

    async def call(self, request: requests.Request) -> requests.ServiceAnswer:
        """Run a plain service's request and return its complete answer."""
        self._deps.quarantine.check(request)
        ticket = await self._deps.admission.admit(request)
        try:
            if request.idempotent:
                return await self._call_with_retries(request)
            return await self._call_once(request)
        finally:
            self._deps.admission.release(ticket)

    async def _call_once(self, request: requests.Request) -> requests.ServiceAnswer:
        for _ in range(MAX_CLAIM_ATTEMPTS):
            claim = await self._deps.claims.claim(request)
            if claim.ownership is claims_interfaces.Ownership.OWNED:
                return await self._run_owned(request, claim)
            answer = await self._answer_of_owner(request, claim)
            if answer is not None:
                return answer
            # The owner gave up before it sent a byte, so it will release its claim.
            await asyncio.sleep(CLAIM_RETRY_DELAY_S)
            if self._runner.time_left(request) <= attempts.MIN_TIME_LEFT_S:
                break
        raise errors.PlatformUnavailableError(
            "the key is being given back by an entry that could not run it",
            retry_after_s=attempts.DEFAULT_RETRY_AFTER_S,
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
            # Releasing has no effect on a confirmed claim, so if the completion below
            # still finds the claim, the call has run or may have run.
            if verdict is not verdicts.Verdict.RAN:
                self._deps.claims.release(request, claim)
                verdict = verdicts.Verdict.MAY_HAVE_RUN
            outcome = claims_interfaces.Outcome(verdict, answer)
            self._deps.claims.complete(request, claim, outcome)

    async def _answer_of_owner(
        self, request: requests.Request, claim: claims_interfaces.Claim
    ) -> requests.ServiceAnswer | None:
        """Return the answer of the owner's run, or None if the owner never ran it."""
        wait_s = max(0.0, self._runner.time_left(request))
        outcome = await self._deps.claims.outcome_of_claim(claim, wait_s=wait_s)
        if outcome.answer is not None:
            return outcome.answer
        if outcome.verdict is verdicts.Verdict.NOT_RUN:
            return None
        raise errors.OutcomeUnknownError(
            "another run owns this key and its result isn't known here",
            verdict=outcome.verdict,
            retry_after_s=attempts.DEFAULT_RETRY_AFTER_S,
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
                    return await self._deps.service.call(
                        endpoint,
                        request,
                        attempt=uuid.uuid4().hex,
                        deadline_s=self._runner.time_left(request),
                        before_write=self._confirmation(claim, progress),
                    )
            except errors.EndpointError as error:
                if claim is not None and error.verdict is verdicts.Verdict.NOT_RUN:
                    self._deps.claims.revert_confirmation(claim)
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
        if self._deps.claims.confirm(claim):
            return
        raise errors.PlatformUnavailableError(
            "the claim on this key is no longer certain",
            verdict=progress.verdict,
            retry_after_s=attempts.DEFAULT_RETRY_AFTER_S,
        )
