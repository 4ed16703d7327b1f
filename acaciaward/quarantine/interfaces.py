"""What dispatch needs of quarantine."""

import typing
from collections.abc import Sequence

from acaciaward import requests


class Quarantine(typing.Protocol):
    """Knows the requests that crash endpoints."""

    def check(self, request: requests.Request) -> None:
        """Raise ``QuarantinedError`` for a request that must not run."""

    def is_suspect(self, request: requests.Request) -> bool:
        """Return whether the request must run alone on its endpoint."""

    async def endpoint_died(
        self, endpoint: requests.Endpoint, in_flight: Sequence[requests.Request]
    ) -> None:
        """Note that an endpoint died without notice under these requests."""

    def completed(self, request: requests.Request, *, alone: bool) -> None:
        """Clear a suspect that completed."""
