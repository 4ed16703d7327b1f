"""Routing to the endpoint with the fewest attempts in flight from here."""

import collections
import random
import time
from collections.abc import Set

from acaciaward import errors, requests
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.routing import interfaces

RETRY_AFTER_S = 1.0
SHUNNED_S = 2.0


class LeastLoadedRouter:
    """Implements ``interfaces.Router`` with counts of this entry only."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        hints: membership_interfaces.Hints,
        *,
        chooser: random.Random | None = None,
    ):
        self._configuration = configuration
        self._hints = hints
        self._random = chooser or random.Random()
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._shunned: dict[str, float] = {}

    def choose(
        self,
        request: requests.Request,
        *,
        excluded: Set[str] = frozenset(),
        avoided_data_centres: Set[str] = frozenset(),
        alone: bool = False,
    ) -> requests.Endpoint:
        """Return the endpoint for the next attempt."""
        gone = self._gone() | excluded
        usable = [
            endpoint
            for endpoint in self._configuration.endpoints(request.deployment)
            if endpoint.name not in gone
        ]
        if not usable:
            raise errors.NoEndpointError(
                f"no live endpoint serves {request.deployment}",
                retry_after_s=RETRY_AFTER_S,
            )
        return min(
            usable, key=lambda endpoint: self._rank(endpoint, avoided_data_centres)
        )

    def _rank(
        self, endpoint: requests.Endpoint, avoided_data_centres: Set[str]
    ) -> tuple[bool, bool, int, float]:
        return (
            self._shunned.get(endpoint.name, 0) > time.monotonic(),
            endpoint.data_centre in avoided_data_centres,
            self._in_flight[endpoint.name],
            self._random.random(),
        )

    def _gone(self) -> set[str]:
        kinds = (
            membership_interfaces.HintKind.ENDPOINT_LEAVING,
            membership_interfaces.HintKind.ENDPOINT_DEAD,
        )
        return {hint.subject for kind in kinds for hint in self._hints.all(kind)}

    def started(self, endpoint: requests.Endpoint, request: requests.Request) -> None:
        """Count an attempt as in flight."""
        self._in_flight[endpoint.name] += 1

    def finished(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        end: interfaces.AttemptEnd,
        *,
        first_token_s: float | None = None,
    ) -> None:
        """Count an attempt as ended; shun an endpoint that failed for a while."""
        self._in_flight[endpoint.name] -= 1
        if end in (interfaces.AttemptEnd.FAILED, interfaces.AttemptEnd.REFUSED):
            self._shunned[endpoint.name] = time.monotonic() + SHUNNED_S
