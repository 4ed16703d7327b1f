"""The interface of quarantine for dispatch."""

import typing
from collections import abc

from acaciaward import requests


class Quarantine(typing.Protocol):
    """
    Keeps requests that crash endpoints from running.

    A suspect was running when an endpoint died; it runs alone on an endpoint, in a
    turn that the log grants. A quarantined request is refused until its quarantine
    ends.
    """

    def check(self, request: requests.Request) -> None:
        """Raise ``QuarantinedError`` for a request that must not run."""

    def is_suspect(self, request: requests.Request) -> bool:
        """Return whether the request must run alone on its endpoint."""

    async def acquire_turn(
        self, request: requests.Request, endpoint: requests.Endpoint
    ) -> bool:
        """
        Return whether the request may run alone on the endpoint now.

        Raises ``PlatformUnavailableError`` while the log, which grants such
        turns, can't be read.
        """

    def release_turn(
        self,
        request: requests.Request,
        endpoint: requests.Endpoint,
        *,
        is_completed: bool,
    ) -> None:
        """Release a turn; a completed request is no longer a suspect."""

    async def report_death(
        self,
        endpoint: requests.Endpoint,
        in_flight: abc.Sequence[requests.Request],
    ) -> None:
        """Find the cause of an endpoint's death and record the requests as suspects."""
