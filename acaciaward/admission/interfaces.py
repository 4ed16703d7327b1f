"""The interface of admission for dispatch, and that of routing for admission."""

import typing

from acaciaward import requests


class Ticket(typing.NamedTuple):
    """
    A permit to run one request; a lower ``priority`` is more urgent.

    ``number`` identifies the ticket within its entry.
    """

    request_id: str
    organisation: str
    priority: int
    number: int = 0


class Capacity(typing.NamedTuple):
    """
    This entry's part of the capacity of a deployment's live endpoints.

    ``slots`` is the number of requests that run concurrently without slowing each
    other, ``step_s`` the seconds for one generated token of a stream and
    ``prefill_s`` those for one prompt token; both are 0 for services.
    """

    slots: float
    step_s: float = 0.0
    prefill_s: float = 0.0


class CapacityReport(typing.Protocol):
    """Source of the capacity that admission divides."""

    def capacity(self, deployment: str) -> Capacity:
        """Return this entry's part of the capacity of a deployment."""


class Admission(typing.Protocol):
    """Limits, fair shares and retry budgets."""

    async def admit(self, request: requests.Request) -> Ticket:
        """
        Wait until the request may start and return its ticket.

        Raises ``LimitExceededError`` or ``OverloadedError`` with the retry delay
        in seconds.
        """

    def charge(self, ticket: Ticket, *, input_tokens: int, output_tokens: int) -> None:
        """Record the tokens served so far, in place of the estimate."""

    def release(self, ticket: Ticket) -> None:
        """Release the ticket after the request has ended."""

    def may_retry(self, organisation: str) -> bool:
        """Spend one retry of the organisation's budget, or return False."""
