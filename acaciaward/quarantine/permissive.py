"""A quarantine that lets every request pass."""

from collections.abc import Sequence

from acaciaward import requests


class PermissiveQuarantine:
    """Implements ``interfaces.Quarantine`` without ever refusing."""

    def check(self, request: requests.Request) -> None:
        """Let the request pass."""

    def is_suspect(self, request: requests.Request) -> bool:
        """Return False."""
        return False

    async def endpoint_died(
        self, endpoint: requests.Endpoint, in_flight: Sequence[requests.Request]
    ) -> None:
        """Ignore the death."""

    def completed(self, request: requests.Request, *, alone: bool) -> None:
        """Ignore the completion."""
