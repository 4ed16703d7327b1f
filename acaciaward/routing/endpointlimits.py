"""
Keeps to the limits that endpoints name on the requests a second from all entries.

A few entries, chosen by rendezvous hashing, may send to an endpoint with a limit, and
each has an equal share of it. All entries that know the same peers choose the same
ones, so no message is needed before a request. ``announcements`` tells how entries
learn the limits.
"""

import logging
import math
import time
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.membership import rendezvous
from acaciaward.observability import logs
from acaciaward.routing import announcements

log = logging.getLogger(__name__)

# Even an endpoint that takes next to nothing gets a request now and then; its answer
# tells when the limit is lifted.
MIN_RATE_PER_S = 0.1
# For how long an entry may save up its share of a limit, beyond one request.
BURST_S = 1.0
# How often the entries that share a limit are chosen again.
SHARE_INTERVAL_S = 0.25
MAX_BUCKETS = 4096


class _Bucket:
    """Token bucket that holds a second's share, or one request if that is less."""

    def __init__(self, now: float):
        self.tokens = 0.0
        self.rate_per_s = 0.0
        self.refilled_at = now
        self.rate_set_at = -math.inf

    def refill(self, now: float) -> None:
        elapsed_s = now - self.refilled_at
        capacity = max(1.0, self.rate_per_s * BURST_S)
        self.tokens = min(capacity, self.tokens + elapsed_s * self.rate_per_s)
        self.refilled_at = now


class EndpointLimits:
    """
    The limits of all endpoints, and this entry's share of each.

    ``entries`` returns the names of the entries that serve requests.
    """

    def __init__(
        self,
        own_name: str = "",
        entries: abc.Callable[[], abc.Collection[str]] = lambda: (),
        *,
        clock: abc.Callable[[], float] = time.monotonic,
        unix_time: abc.Callable[[], float] = time.time,
    ):
        self._own_name = own_name
        self._entries = entries
        self._clock = clock
        self.announcements = announcements.Announcements(
            clock=clock, unix_time=unix_time
        )
        self._buckets: dict[str, _Bucket] = {}

    def record(
        self, endpoint: endpoints.Endpoint, per_s: float | None, sent_at: float
    ) -> None:
        """Record the limit that an answer named, or None; see ``Announcements``."""
        if self.announcements.record(endpoint, per_s, sent_at):
            event = "endpoint named a limit" if per_s is not None else "limit lifted"
            log.info(
                event, extra=logs.fields(endpoint=endpoint.name, limit_per_s=per_s)
            )

    def may_send(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether this entry may send a request to an endpoint now."""
        per_s = self.announcements.find(endpoint)
        if per_s is None:
            return True
        return self._refilled_bucket(endpoint, per_s).tokens >= 1.0

    def spend(self, endpoint: endpoints.Endpoint) -> None:
        """Count a request that is about to be sent to an endpoint."""
        per_s = self.announcements.find(endpoint)
        if per_s is not None:
            self._refilled_bucket(endpoint, per_s).tokens -= 1.0

    def record_restart(self, name: str) -> None:
        """Drop what was saved up for the former start of an endpoint."""
        self._buckets.pop(name, None)

    def _refilled_bucket(self, endpoint: endpoints.Endpoint, per_s: float) -> _Bucket:
        now = self._clock()
        # A bucket outlives the endpoint's record, or it would be full anew.
        bucket = self._buckets.get(endpoint.name)
        if bucket is None:
            if len(self._buckets) >= MAX_BUCKETS:
                del self._buckets[next(iter(self._buckets))]
            bucket = self._buckets[endpoint.name] = _Bucket(now)
        bucket.refill(now)
        if now - bucket.rate_set_at >= SHARE_INTERVAL_S:
            bucket.rate_per_s = self._share_per_s(
                announcements.key_of(endpoint.incarnation), per_s
            )
            bucket.rate_set_at = now
        return bucket

    def _share_per_s(self, key: str, per_s: float) -> float:
        """
        Return this entry's part of a limit, 0 if it may not send there at all.

        Each entry that may send can save up one request at least, so there are hardly
        more of them than the limit has requests in a second.
        """
        names = {*self._entries(), self._own_name}
        sharers = rendezvous.choose(f"limit/{key}", names, 1 + int(per_s))
        if self._own_name not in sharers:
            return 0.0
        return max(per_s, MIN_RATE_PER_S) / len(sharers)
