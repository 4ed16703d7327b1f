"""
Takes up what endpoints say of themselves in the heads of their answers.

    reports = SelfReports(directory, occupancy)
    reports.record(endpoint, head, sent_at)

An answer with 421 comes from another endpoint that has the address now, so nothing in
it counts. ``docs/design/endpoint-signals.md`` lists the headers.
"""

import logging
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls, metrics
from acaciaward.observability import logs
from acaciaward.routing import occupancy

log = logging.getLogger(__name__)

# A refusal with this status may ask to back off.
BACKOFF_STATUS = 503

Record = abc.Callable[[endpoints.Endpoint, calls.ReplyHead, float], None]


class SelfReports:
    """Passes each signal on to what keeps to it."""

    def __init__(self, directory: endpoints.Directory, tracker: occupancy.Occupancy):
        self._directory = directory
        self._occupancy = tracker
        self._recorders: tuple[Record, ...] = (
            self._record_limit,
            self._record_brittle,
            self._record_leaving,
            self._record_backoff,
        )

    def record(
        self, endpoint: endpoints.Endpoint, head: calls.ReplyHead, sent_at: float
    ) -> None:
        """Record the head of an answer to a request that was sent at ``sent_at``."""
        if head.is_misdirected:
            return
        for record in self._recorders:
            record(endpoint, head, sent_at)

    def record_other(self, endpoint: endpoints.Endpoint, head: calls.ReplyHead) -> None:
        """
        Record the head of an answer to another request on the same connection.

        That it names no limit and isn't brittle proves nothing: it may be an old one.
        """
        if head.is_misdirected:
            return
        now = self._occupancy.now()
        for record in (self._record_leaving, self._record_backoff):
            record(endpoint, head, now)

    def _record_limit(
        self, endpoint: endpoints.Endpoint, head: calls.ReplyHead, sent_at: float
    ) -> None:
        if not (head.is_signed or head.is_refusal):
            return
        if head.limit_per_s is not None:
            metrics.LIMITED_ANSWERS.inc()
        self._occupancy.limits.record(endpoint, head.limit_per_s, sent_at)

    def _record_brittle(
        self, endpoint: endpoints.Endpoint, head: calls.ReplyHead, sent_at: float
    ) -> None:
        if not (head.is_signed or head.is_refusal):
            return
        brittle = self._occupancy.brittle
        brittle.announcements.record(endpoint, head.bears_rejections, sent_at)
        if head.is_refusal and brittle.is_brittle(endpoint):
            metrics.BRITTLE_REJECTIONS.inc()

    def _record_leaving(
        self, endpoint: endpoints.Endpoint, head: calls.ReplyHead, sent_at: float
    ) -> None:
        if not head.says_leaving:
            return
        metrics.LEAVING_ANSWERS.inc()
        if not self._directory.is_leaving(endpoint.incarnation):
            log.info(
                "endpoint says that it leaves",
                extra=logs.fields(endpoint=endpoint.name, born=endpoint.born),
            )
        self._directory.record_leaving(endpoint.incarnation, by_peer=False)

    def _record_backoff(
        self, endpoint: endpoints.Endpoint, head: calls.ReplyHead, sent_at: float
    ) -> None:
        if head.status != BACKOFF_STATUS or not head.retry_after_s:
            return
        metrics.BACKOFF_ANSWERS.inc()
        self._occupancy.backoffs.record(endpoint, head.retry_after_s)
