"""What dispatch needs of admission."""

import typing

from acaciaward import requests


class Ticket(typing.NamedTuple):
    """Leave to run one request; ``priority`` is lower for more urgent work."""

    request_id: str
    organisation: str
    priority: int


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
