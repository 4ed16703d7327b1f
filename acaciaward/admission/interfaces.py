"""What dispatch needs of admission, and what admission needs of routing."""

import typing

from acaciaward import requests


class Ticket(typing.NamedTuple):
    """
    Leave to run one request; ``priority`` is lower for more urgent work.

    ``number`` names the ticket within its entry.
    """

    request_id: str
    organisation: str
    priority: int
    number: int = 0


class Capacity(typing.NamedTuple):
    """
    What the live endpoints of a deployment can do for this entry.

    ``slots`` is the number of requests that run side by side without slowing
    each other, ``step_s`` the seconds for one token of a stream and
    ``prefill_s`` those for one token of a prompt; both are 0 for services.
    """

    slots: float
    step_s: float = 0.0
    prefill_s: float = 0.0


class CapacityReport(typing.Protocol):
    """Where admission learns of capacity."""

    def capacity(self, deployment: str) -> Capacity:
        """Return this entry's part of the capacity of a deployment."""


class Admission(typing.Protocol):
    """Limits, fair shares and retry budgets."""

    async def admit(self, request: requests.Request) -> Ticket:
        """
        Wait for a turn within bounds and return a ticket.

        Raises ``LimitExceededError`` or ``OverloadedError`` with the seconds
        after which to come back.
        """

    def charge(self, ticket: Ticket, *, input_tokens: int, output_tokens: int) -> None:
        """Charge tokens as they are served."""

    def release(self, ticket: Ticket) -> None:
        """Give the ticket back when the request has ended."""

    def may_retry(self, organisation: str) -> bool:
        """Take one retry from the organisation's budget, or return False."""
