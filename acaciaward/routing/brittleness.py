"""
Keeps which endpoints are brittle: those fall over if they turn too many requests away.

``announcements`` tells how entries learn it.

    brittle = Brittleness()
    brittle.announcements.record(endpoint, 3, sent_at)
    brittle.is_brittle(endpoint)  # True

All endpoints of a service are brittle at the same times. So one that hasn't answered
yet, as it has just started, counts as brittle if another one of its service is.
"""

import logging
import time
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.observability import logs
from acaciaward.routing import announcements

log = logging.getLogger(__name__)

# What an endpoint announced longer ago says nothing of the others of its service.
SERVICE_MEMORY_S = 10.0


class Brittleness:
    """The brittle endpoints."""

    def __init__(
        self,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
        unix_time: abc.Callable[[], float] = time.time,
    ):
        self.announcements = announcements.Announcements(
            clock=clock, unix_time=unix_time
        )
        self._listed: dict[str, endpoints.Endpoint] = {}
        self._brittle_services: frozenset[str] = frozenset()
        # What was logged of the endpoints that are brittle.
        self._logged: dict[endpoints.Incarnation, float] = {}

    def is_brittle(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint falls over if it turns too many requests away."""
        return (
            self.announcements.find(endpoint) is not None
            or endpoint.service in self._brittle_services
        )

    def follow(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        """Take note of which endpoints are listed."""
        self.announcements.follow(before, after)
        if after is not None:
            self._listed[after.name] = after
        elif before is not None:
            self._listed.pop(before.name, None)

    def update(self) -> int:
        """
        Log which endpoints became brittle or ceased to be; return how many say so.

        Called periodically.
        """
        brittle = {}
        for endpoint in self._listed.values():
            rejections = self.announcements.find(endpoint)
            if rejections is not None:
                brittle[endpoint.incarnation] = rejections
        for incarnation in brittle.keys() - self._logged.keys():
            name, born = incarnation
            log.info(
                "endpoint is brittle",
                extra=logs.fields(
                    endpoint=name,
                    born=born,
                    bears_rejections_per_s=brittle[incarnation],
                ),
            )
        for name, born in self._logged.keys() - brittle.keys():
            log.info(
                "endpoint is brittle no longer",
                extra=logs.fields(endpoint=name, born=born),
            )
        self._logged = brittle
        self._brittle_services = frozenset(
            endpoint.service
            for endpoint in self._listed.values()
            if self.announcements.is_recent(endpoint, SERVICE_MEMORY_S)
        )
        return len(brittle)
