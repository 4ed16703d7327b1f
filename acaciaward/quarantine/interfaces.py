"""What dispatch needs of quarantine."""

import typing
from collections import abc

from acaciaward import requests


class Quarantine(typing.Protocol):
    """Knows the requests that crash endpoints."""

    def check(self, request: requests.Request) -> None:
        """Raise ``QuarantinedError`` for a request that must not run."""

    def is_suspect(self, request: requests.Request) -> bool:
        """Return whether the request must run alone on its endpoint."""

    async def begin_alone(
        self, request: requests.Request, endpoint: requests.Endpoint
    ) -> bool:
        """
        Return whether the request may run alone on the endpoint now.

        Raises ``PlatformUnavailableError`` while the log, which grants such
        turns, can't be read.
        """

    def end_alone(
        self, request: requests.Request, endpoint: requests.Endpoint, *, completed: bool
    ) -> None:
        """Give a turn back; completing clears the suspect."""

    async def endpoint_died(
        self,
        endpoint: requests.Endpoint,
        in_flight: abc.Sequence[requests.Request],
    ) -> None:
        """Find out whether an endpoint crashed under these requests, and note it."""
