"""
Pools upstream connections, the connections to endpoints, with one request at a time.

How long a connection is kept idle, and for which calls it is used afterwards, is
learnt from what its endpoint states and from connections that were found dropped.
"""

import asyncio
import collections
import logging
import math
import time
import typing

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls, errors, metrics, upstreamconnections
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Allows for some round trips between data centres and time at the endpoint.
CONNECT_TIMEOUT_S = 0.4
# A time-out that comes later than this isn't the endpoint's.
LOOP_LATENESS_S = 0.1
# Idle connections kept for each endpoint.
MAX_IDLE_CONNECTIONS = 16
# How long a connection is kept idle if the endpoint states no keep-alive time.
IDLE_TIMEOUT_S = 4.0
# After an idle connection to a service was found dropped, connections that have been
# idle for more than this share of its idle time aren't used for calls that may run
# only once. Each reused connection that works raises the limit by the growth factor.
TRUSTED_IDLE_SHARE = 0.5
TRUSTED_IDLE_GROWTH = 1.05
# A connection lost after less idle time wasn't dropped as idle: its endpoint has ended.
MIN_DROPPED_IDLE_S = 0.5
# A connection isn't reused this close to the end of its stated keep-alive time.
KEEP_ALIVE_MARGIN_S = 0.6


class OnConnect(typing.Protocol):
    """Is told how a new connection to an endpoint went."""

    def __call__(self, endpoint: endpoints.Endpoint, *, is_connected: bool) -> None:
        """Record that an endpoint took a connection or that it couldn't be reached."""


def _ignore_connect(endpoint: endpoints.Endpoint, *, is_connected: bool) -> None:
    """Do nothing."""


class UpstreamPool:
    """
    Idle upstream connections, by endpoint incarnation.

    ``on_connect`` is called with each endpoint that a connection was opened to, and
    whether that worked.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        on_connect: OnConnect = _ignore_connect,
    ):
        self._connect_timeout_s = connect_timeout_s
        self._on_connect = on_connect
        self._idle: dict[
            tuple[str, int], collections.deque[upstreamconnections.UpstreamConnection]
        ] = {}
        # By service: longest idle time after which a call that may run only once may
        # still use a connection. A service without a value has no limit.
        self._trusted_idle_s: dict[str, float] = {}

    async def acquire(
        self, endpoint: endpoints.Endpoint, *, may_repeat: bool = True
    ) -> upstreamconnections.UpstreamConnection:
        """
        Return an idle connection or a new one; raise ``NotSentError`` if that fails.

        A call that may run only once gets no connection that may have been dropped.
        """
        idle = self._idle.get(endpoint.incarnation)
        now = time.monotonic()
        trusted_s = self._trusted_idle_s.get(endpoint.service, math.inf)
        while idle:
            if not may_repeat and now - idle[-1].idle_since > trusted_s:
                break
            upstream = idle.pop()
            if upstream.is_usable and now < upstream.idle_until:
                upstream.set_idle(False)
                return upstream
            upstream.close()
        return await self._connect(endpoint)

    async def _connect(
        self, endpoint: endpoints.Endpoint
    ) -> upstreamconnections.UpstreamConnection:
        loop = asyncio.get_running_loop()
        metrics.CONNECTIONS_OPENED.inc()
        late_at = loop.time() + self._connect_timeout_s + LOOP_LATENESS_S
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                upstream = await upstreamconnections.UpstreamConnection.open(endpoint)
        except (OSError, TimeoutError) as error:
            # A process that was held up itself can't tell.
            if not isinstance(error, TimeoutError) or loop.time() < late_at:
                self._on_connect(endpoint, is_connected=False)
            reason = str(error) or type(error).__name__
            raise errors.NotSentError(f"no connection: {reason}") from error
        self._on_connect(endpoint, is_connected=True)
        return upstream

    async def probe(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint takes a connection; it is closed at once."""
        try:
            upstream = await self._connect(endpoint)
        except errors.NotSentError as error:
            log.info(
                "probe of an endpoint failed",
                extra=logs.fields(endpoint=endpoint.name, reason=error),
            )
            return False
        upstream.close()
        return True

    def record_stale(self, upstream: upstreamconnections.UpstreamConnection) -> None:
        """Lower the service's idle limit: an endpoint dropped an idle connection."""
        if upstream.idle_s < MIN_DROPPED_IDLE_S:
            return
        service = upstream.endpoint.service
        limit_s = max(MIN_DROPPED_IDLE_S, TRUSTED_IDLE_SHARE * upstream.idle_s)
        self._trusted_idle_s[service] = min(
            self._trusted_idle_s.get(service, math.inf), limit_s
        )
        log.info(
            "endpoint dropped an idle connection; lowered the reuse limit",
            extra=logs.fields(
                endpoint=upstream.endpoint.name,
                idle_s=round(upstream.idle_s, 2),
                trusted_s=round(self._trusted_idle_s[service], 2),
            ),
        )

    def release(
        self, upstream: upstreamconnections.UpstreamConnection, head: calls.ReplyHead
    ) -> None:
        """Keep a connection whose answer is complete, or close it."""
        trusted_s = self._trusted_idle_s.get(upstream.endpoint.service)
        if trusted_s is not None and upstream.exchanges > 1:
            self._trusted_idle_s[upstream.endpoint.service] = (
                TRUSTED_IDLE_GROWTH * trusted_s
            )
        is_unnamed = head.attempt_id is None
        if head.ends_connection or is_unnamed or not upstream.is_clean():
            upstream.close()
            return
        idle = self._idle.setdefault(upstream.endpoint.incarnation, collections.deque())
        announced_s = head.keep_alive_s
        idle_s = (
            IDLE_TIMEOUT_S if announced_s is None else announced_s - KEEP_ALIVE_MARGIN_S
        )
        if idle_s <= 0 or len(idle) >= MAX_IDLE_CONNECTIONS:
            upstream.close()
            return
        upstream.start_next()
        upstream.idle_until = time.monotonic() + idle_s
        upstream.set_idle(True)
        idle.append(upstream)

    def drop(self, incarnation: tuple[str, int]) -> None:
        """Close the idle connections to an endpoint that has ended."""
        for upstream in self._idle.pop(incarnation, ()):
            upstream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for incarnation in list(self._idle):
            self.drop(incarnation)
