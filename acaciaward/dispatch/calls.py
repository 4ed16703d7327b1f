"""
Calls of plain services: whole answers, and at most one run where it matters.
"""

import uuid

from acaciaward import errors, requests, verdicts
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.dispatch import attempts


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
            retry_after_s=attempts.RETRY_AFTER_FAILURE_S,
        )

    async def _call_with_retries(
        self, request: requests.Request, claim: claims_interfaces.Claim | None
    ) -> requests.ServiceAnswer:
        progress = attempts.Progress(request)
        while True:
            endpoint = self._runner.choose(progress)
            if claim is not None and not self._with.claims.confirm(claim):
                raise errors.PlatformUnavailableError(
                    "the claim on this key is no longer certain",
                    verdict=progress.verdict,
                    retry_after_s=attempts.RETRY_AFTER_FAILURE_S,
                )
            try:
                with self._runner.counted(endpoint, request):
                    return await self._with.service.call(
                        endpoint,
                        request,
                        attempt=uuid.uuid4().hex,
                        deadline_s=self._runner.time_left(request),
                    )
            except errors.EndpointError as error:
                await self._runner.after_failure(progress, endpoint, error)
