"""Admission by a bound on requests at once and a retry budget."""

import asyncio
import collections

from acaciaward import errors, requests
from acaciaward.admission import interfaces

RETRY_AFTER_S = 0.5

PRIORITIES = {
    requests.ServiceClass.URGENT: 0,
    requests.ServiceClass.SHORT: 1,
    requests.ServiceClass.LONG: 2,
}


class CountingAdmission:
    """Implements ``interfaces.Admission`` with counters of this entry."""

    def __init__(
        self,
        *,
        max_in_flight: int,
        max_queued: int,
        retry_budget_ratio: float,
        retry_budget_minimum: float,
    ):
        self._turns = asyncio.Semaphore(max_in_flight)
        self._max_queued = max_queued
        self._queued = 0
        self._retry_ratio = retry_budget_ratio
        self._retry_minimum = retry_budget_minimum
        self._retry_budget: dict[str, float] = collections.defaultdict(
            lambda: retry_budget_minimum
        )

    async def admit(self, request: requests.Request) -> interfaces.Ticket:
        """Wait for a turn within bounds and return a ticket."""
        if self._turns.locked() and self._queued >= self._max_queued:
            raise errors.OverloadedError(
                "too many requests are waiting", retry_after_s=RETRY_AFTER_S
            )
        left_s = request.deadline - asyncio.get_running_loop().time()
        self._queued += 1
        try:
            await asyncio.wait_for(self._turns.acquire(), max(0.0, left_s))
        except TimeoutError as error:
            raise errors.OverloadedError(
                "no turn came before the deadline", retry_after_s=RETRY_AFTER_S
            ) from error
        finally:
            self._queued -= 1
        organisation = request.organisation
        self._retry_budget[organisation] = min(
            self._retry_budget[organisation] + self._retry_ratio,
            10 * self._retry_minimum,
        )
        priority = PRIORITIES[request.service_class]
        return interfaces.Ticket(request.request_id, organisation, priority)

    def charge(
        self, ticket: interfaces.Ticket, *, input_tokens: int, output_tokens: int
    ) -> None:
        """Charge tokens as they are served."""

    def release(self, ticket: interfaces.Ticket) -> None:
        """Give the ticket back."""
        self._turns.release()

    def may_retry(self, organisation: str) -> bool:
        """Take one retry from the organisation's budget, or return False."""
        if self._retry_budget[organisation] < 1:
            return False
        self._retry_budget[organisation] -= 1
        return True
