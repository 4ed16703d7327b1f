"""Tracks the attempts of this entry that are in flight at each endpoint."""

import collections

from acaciaward import requests


class InFlight:
    """The requests in flight at each endpoint."""

    def __init__(self):
        self._by_endpoint: dict[str, dict[str, requests.Request]] = (
            collections.defaultdict(dict)
        )

    def add(self, endpoint: requests.Endpoint, request: requests.Request) -> None:
        """Record the start of an attempt."""
        self._by_endpoint[endpoint.name][request.request_id] = request

    def remove(self, endpoint: requests.Endpoint, request: requests.Request) -> None:
        """Record the end of an attempt."""
        running = self._by_endpoint[endpoint.name]
        running.pop(request.request_id, None)
        if not running:
            del self._by_endpoint[endpoint.name]

    def at(self, endpoint: requests.Endpoint) -> list[requests.Request]:
        """Return the requests in flight at an endpoint."""
        return list(self._by_endpoint.get(endpoint.name, {}).values())

    def total(self) -> int:
        """Return the number of attempts in flight."""
        return sum(len(running) for running in self._by_endpoint.values())
