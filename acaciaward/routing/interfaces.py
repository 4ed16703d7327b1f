"""What dispatch needs of routing."""

import enum
import typing
from collections import abc

from acaciaward import requests


class AttemptEnd(enum.Enum):
    """How an attempt at an endpoint ended, as routing sees it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Router(typing.Protocol):
    """The choice of an endpoint."""

    def choose(
        self,
        request: requests.Request,
        *,
        excluded: abc.Set[str] = frozenset(),
        avoided_data_centres: abc.Set[str] = frozenset(),
        alone: bool = False,
    ) -> requests.Endpoint:
        """
        Return the endpoint for the next attempt.

        Never returns one that is leaving, dead or excluded. Endpoints in
        ``avoided_data_centres`` are the last choice. ``alone`` asks for one
        with nothing in flight from here. Raises ``NoEndpointError``.
        """

    def started(self, endpoint: requests.Endpoint, request: requests.Request) -> None:
        """Count an attempt as in flight."""

    def finished(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        end: AttemptEnd,
        *,
        first_token_s: float | None = None,
    ) -> None:
        """Count an attempt as ended."""
