"""The interface of routing that dispatch uses."""

import enum
import typing
from collections import abc

from acaciaward import requests


class AttemptEnd(enum.Enum):
    """How an attempt at an endpoint ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Router(typing.Protocol):
    """Chooses endpoints and counts the attempts at them."""

    def choose(
        self,
        request: requests.Request,
        *,
        excluded: abc.Set[str] = frozenset(),
        avoided_data_centres: abc.Set[str] = frozenset(),
        prefers_idle: bool = False,
    ) -> requests.Endpoint:
        """
        Return the endpoint for the next attempt.

        Never returns one that is leaving, dead or excluded. Endpoints in
        ``avoided_data_centres`` are used only if there are no others. With
        ``prefers_idle``, one with nothing in flight from this entry is preferred.
        Raises ``NoEndpointError``.
        """

    def record_start(
        self, endpoint: requests.Endpoint, request: requests.Request
    ) -> None:
        """Count an attempt as in flight."""

    def record_end(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        end: AttemptEnd,
        *,
        first_token_s: float | None = None,
    ) -> None:
        """Count an attempt as ended."""
