"""
Pools upstream connections, the connections to endpoints, with one request at a time.

A connection that receives bytes while idle, or more than one answer, is closed: such
bytes belong to no request. An answer that names another request is skipped. One that
names none is taken for its request's only if no other answer can have come before it,
on a new connection, which isn't kept afterwards.
"""

import asyncio
import collections
import logging
import math
import socket
import time
import typing
from collections import abc

import h11

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls, errors, metrics
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
# Reading pauses while more bytes of an answer than this are unprocessed.
HIGH_WATER_BYTES = 262144
# TCP closes a connection whose bytes aren't acknowledged for this long.
USER_TIMEOUT_MS = 3000

# Answers with these end with their head.
BODILESS_STATUSES = frozenset({204, 304})

DecodeReply = abc.Callable[[int, calls.Headers], calls.ReplyHead]


class OnConnect(typing.Protocol):
    """Is told how a new connection to an endpoint went."""

    def __call__(self, endpoint: endpoints.Endpoint, *, is_connected: bool) -> None:
        """Record that an endpoint took a connection or that it couldn't be reached."""


def _ignore_connect(endpoint: endpoints.Endpoint, *, is_connected: bool) -> None:
    """Do nothing."""


class _UpstreamProtocol(asyncio.Protocol):
    """Buffers what an endpoint sends, and distinguishes a reset from an orderly end."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.is_idle = False
        self.is_corrupted = False
        self.has_received = False
        self.has_ended = False
        self._error: Exception | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future | None = None
        self._interruption: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        if raw is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        if self.is_idle:
            self.is_corrupted = True
            self.transport.abort()
            return
        self.has_received = True
        self._buffer += data
        if len(self._buffer) > HIGH_WATER_BYTES:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        self.has_ended = True
        self._wake()

    def connection_lost(self, error: Exception | None) -> None:
        self.has_ended = True
        self._error = error
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    @property
    def is_waiting(self) -> bool:
        """Whether a ``receive`` is pending."""
        return self._waiter is not None and not self._waiter.done()

    def interrupt(self, error: Exception) -> None:
        """Raise an error in the pending ``receive``, or in the next one."""
        self._interruption = error
        self._wake()

    async def receive(self) -> bytes:
        """Return bytes, empty at an orderly end; raise ``OSError`` after a reset."""
        while True:
            if self._interruption is not None:
                raise self._interruption
            if self._buffer:
                break
            if self._error is not None:
                raise ConnectionResetError(str(self._error)) from self._error
            if self.has_ended:
                return b""
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = bytes(self._buffer)
        self._buffer.clear()
        if not self.transport.is_closing():
            self.transport.resume_reading()
        return data


class UpstreamConnection:
    """One upstream connection."""

    def __init__(self, endpoint: endpoints.Endpoint, protocol: _UpstreamProtocol):
        self.endpoint = endpoint
        self.exchanges = 0
        self.idle_until = 0.0
        self.idle_since = 0.0
        self.idle_s = 0.0
        self._protocol = protocol
        self._parser = h11.Connection(h11.CLIENT)

    @property
    def is_usable(self) -> bool:
        """Whether another call may be sent."""
        protocol = self._protocol
        is_open = not protocol.has_ended and not protocol.transport.is_closing()
        return is_open and not protocol.is_corrupted

    def set_idle(self, is_idle: bool) -> None:
        """Mark the connection as idle or in use; bytes while idle belong to no call."""
        self._protocol.is_idle = is_idle
        self._protocol.has_received = False
        if is_idle:
            self.idle_since = time.monotonic()
        else:
            self.idle_s = time.monotonic() - self.idle_since

    def close(self) -> None:
        """Close at once; the endpoint cancels the call that it is processing."""
        self._protocol.transport.abort()

    @property
    def is_waiting(self) -> bool:
        """Whether a call waits for bytes."""
        return self._protocol.is_waiting

    def interrupt(self, error: errors.BrokenOffError) -> None:
        """Raise an error in the call that waits for bytes, or will next."""
        self._protocol.interrupt(error)

    async def exchange(
        self,
        call: calls.Call,
        headers: calls.Headers,
        decode_reply: DecodeReply,
        *,
        on_other: abc.Callable[[calls.ReplyHead], None] = lambda head: None,
    ) -> "Reply":
        """
        Send a call and return its reply once the head has arrived.

        ``on_other`` is called with the heads of answers to other requests.
        """
        self.exchanges += 1
        head = h11.Request(method=call.method, target=call.target, headers=headers)
        data = self._parser.send(head)
        if call.body:
            data += self._parser.send(h11.Data(data=call.body))
        data += self._parser.send(h11.EndOfMessage())
        self._protocol.transport.write(data)
        is_first = self.exchanges == 1
        while True:
            event = await self._next_head()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise self._lost_error("connection closed before an answer")
            reply_head = decode_reply(
                event.status_code, list(event.headers.raw_items())
            )
            try:
                is_own = self._is_answer_to(call, reply_head, is_first=is_first)
            except errors.BrokenOffError:
                on_other(reply_head)
                raise
            if is_own:
                return Reply(self, reply_head, is_framed=_is_framed(call, event))
            on_other(reply_head)
            is_first = False
            log.warning(
                "skipped an answer that names another request",
                extra=logs.fields(
                    request=call.attempt_id,
                    other=reply_head.attempt_id,
                    endpoint=self.endpoint.name,
                ),
            )
            await self._skip_answer(head)

    @staticmethod
    def _is_answer_to(
        call: calls.Call, reply_head: calls.ReplyHead, *, is_first: bool
    ) -> bool:
        """
        Return whether an answer is that of a call; raise if this can't be known.

        It may be an earlier one that was written once more. ``is_first`` is true for
        the first answer on its connection.
        """
        if reply_head.attempt_id is not None:
            return reply_head.attempt_id == call.attempt_id
        if not is_first and call.attempt_id is not None:
            raise errors.BrokenOffError("an answer that names no request")
        return True

    async def _next_head(self) -> typing.Any:
        try:
            return await self._next_event()
        except errors.ConnectionLostError as error:
            raise self._lost_error(str(error)) from error

    def _lost_error(self, reason: str) -> errors.BrokenOffError:
        """Return the error for a connection that ended before an answer."""
        if self.exchanges > 1 and not self._protocol.has_received:
            return errors.StaleLinkError(f"{reason}, idle for {self.idle_s:.2f} s")
        return errors.ConnectionLostError(reason)

    async def _skip_answer(self, head: h11.Request) -> None:
        """Read another request's answer to its end and wait for the next one."""
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise errors.BrokenOffError("connection closed after a foreign answer")
        rest, is_closed = self._parser.trailing_data
        self._parser = h11.Connection(h11.CLIENT)
        self._parser.send(h11.Request(method=b"GET", target=b"/", headers=head.headers))
        if rest:
            self._parser.receive_data(rest)
        if is_closed:
            self._parser.receive_data(b"")

    async def _next_event(self) -> typing.Any:
        while True:
            try:
                event = self._parser.next_event()
                if event is h11.PAUSED:
                    raise errors.BrokenOffError("bytes after the answer")
                if event is not h11.NEED_DATA:
                    return event
                self._parser.receive_data(await self._protocol.receive())
            except h11.RemoteProtocolError as error:
                kind = errors.BrokenOffError
                if self._protocol.has_ended:
                    kind = errors.ConnectionLostError
                raise kind(f"broken answer: {error}") from error
            except OSError as error:
                reason = f"connection lost: {error}"
                raise errors.ConnectionLostError(reason) from error

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the answer's body, None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise errors.ConnectionLostError("connection closed inside the answer")

    def is_clean(self) -> bool:
        """Whether the answer is complete with nothing after it, and all was sent."""
        parser = self._parser
        is_done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        is_sent = self._protocol.transport.get_write_buffer_size() == 0
        return is_done and is_sent and not parser.trailing_data[0] and self.is_usable

    def start_next(self) -> None:
        """Prepare for another call."""
        self._parser.start_next_cycle()


def _is_framed(call: calls.Call, response: h11.Response) -> bool:
    if call.method == b"HEAD" or response.status_code in BODILESS_STATUSES:
        return True
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _ in response.headers
    )


class Reply:
    """
    An endpoint's answer whose head has arrived.

    One that isn't framed has a body with neither length nor chunks, which ends with its
    connection.
    """

    def __init__(
        self, upstream: UpstreamConnection, head: calls.ReplyHead, *, is_framed: bool
    ):
        self.head = head
        self.upstream = upstream
        self.is_framed = is_framed
        self.is_complete = False

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None at its end."""
        part = await self.upstream.read_part()
        self.is_complete = part is None
        return part

    async def read(self, limit: int) -> bytes:
        """Return the complete body; raise if it is larger than ``limit`` bytes."""
        parts = []
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > limit:
                raise errors.BrokenOffError(f"answer larger than {limit} bytes")
            parts.append(part)
        return b"".join(parts)


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
        self._idle: dict[tuple[str, int], collections.deque[UpstreamConnection]] = {}
        # By service: longest idle time after which a call that may run only once may
        # still use a connection. A service without a value has no limit.
        self._trusted_idle_s: dict[str, float] = {}

    async def acquire(
        self, endpoint: endpoints.Endpoint, *, may_repeat: bool = True
    ) -> UpstreamConnection:
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

    async def _connect(self, endpoint: endpoints.Endpoint) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        metrics.CONNECTIONS_OPENED.inc()
        late_at = loop.time() + self._connect_timeout_s + LOOP_LATENESS_S
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, protocol = await loop.create_connection(
                    _UpstreamProtocol, endpoint.address, endpoint.port
                )
        except (OSError, TimeoutError) as error:
            # A process that was held up itself can't tell.
            if not isinstance(error, TimeoutError) or loop.time() < late_at:
                self._on_connect(endpoint, is_connected=False)
            reason = str(error) or type(error).__name__
            raise errors.NotSentError(f"no connection: {reason}") from error
        self._on_connect(endpoint, is_connected=True)
        return UpstreamConnection(endpoint, protocol)

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

    def record_stale(self, upstream: UpstreamConnection) -> None:
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

    def release(self, upstream: UpstreamConnection, head: calls.ReplyHead) -> None:
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
