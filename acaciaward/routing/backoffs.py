"""
Keeps the times for which endpoints ask this entry to back off.

A refusal with 503 may name how long its endpoint wants no request from the entry that
it refused. Only that entry is asked, so nothing of it is shared.

    backoffs.record(endpoint, 3.0)
    backoffs.left_s(endpoint)  # 3.0, and less with time
"""

import logging
import time
from collections import abc

from acaciaward.catalogue import endpoints, statements
from acaciaward.observability import logs

log = logging.getLogger(__name__)


class EndpointBackoffs:
    """The back-off of all endpoints."""

    def __init__(
        self,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
        unix_time: abc.Callable[[], float] = time.time,
    ):
        self._clock = clock
        # The times at which back-offs end.
        self._ends: statements.Statements[float]
        self._ends = statements.Statements(clock, unix_time)

    def record(self, endpoint: endpoints.Endpoint, backoff_s: float) -> None:
        """
        Record that an endpoint asks to back off from now on.

        A later refusal may name less, but takes nothing back of what an earlier one
        has asked for.
        """
        end = self._clock() + backoff_s
        if end <= max(self._ends.find(endpoint.incarnation), default=0.0):
            return
        self._ends.record_answer(endpoint.incarnation, end)
        log.info(
            "endpoint asks to back off",
            extra=logs.fields(endpoint=endpoint.name, backoff_s=backoff_s),
        )

    def left_s(self, endpoint: endpoints.Endpoint) -> float:
        """Return how long an endpoint is still to get no request, 0 if it may."""
        if endpoint.name not in self._ends:
            return 0.0
        ends = self._ends.find(endpoint.incarnation)
        return max(0.0, max(ends) - self._clock()) if ends else 0.0
