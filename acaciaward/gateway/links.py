"""
Connections to endpoints: pooled, one request at a time, with control of each byte.

A link that gets bytes while it is idle, or more than one answer, is closed: such
bytes belong to no request. An answer that names another request is skipped.
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

# A connection that an endpoint doesn't accept by then is given up, in seconds:
# some round trips between data centres, and the endpoint's own time.
CONNECT_TIMEOUT_S = 0.4
# Idle connections to one endpoint that are kept for later calls.
MAX_IDLE = 16
# How long a link stays idle without a word of the endpoint, in seconds.
IDLE_S = 4.0
# After a link of a service was found dropped, links that were idle for this part of
# its time aren't trusted with calls that may run only once; each link that holds
# raises the limit by a little.
TRUSTED_PART = 0.5
TRUST_GROWTH = 1.05
# A link that was idle for less hasn't been dropped as idle: its endpoint has ended.
LEAST_IDLE_S = 0.5
# A link isn't used this close to the end of its stated time, in seconds.
KEEP_ALIVE_MARGIN_S = 0.6
# Unread bytes of an answer at which reading pauses.
HIGH_WATER_BYTES = 262144
# Unacknowledged bytes end a connection after this time, in milliseconds.
USER_TIMEOUT_MS = 3000

DecodeReply = abc.Callable[[int, calls.Headers], calls.ReplyHead]


class _LinkProtocol(asyncio.Protocol):
    """Buffers what an endpoint sends, and tells a reset from an orderly end."""

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.is_idle = False
        self.is_soiled = False
        self.has_received = False
        self.has_ended = False
        self._error: Exception | None = None
        self._buffer = bytearray()
        self._waiter: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        if raw is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        if self.is_idle:
            self.is_soiled = True
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

    def interrupt(self, error: Exception) -> bool:
        """Raise an error in whoever waits for bytes; return whether anyone did."""
        if self._waiter is None or self._waiter.done():
            return False
        self._waiter.set_exception(error)
        return True

    async def receive(self) -> bytes:
        """Return bytes, or none at the orderly end; raise ``OSError`` at a reset."""
        while not self._buffer:
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


class Link:
    """One connection to an endpoint."""

    def __init__(self, endpoint: endpoints.Endpoint, protocol: _LinkProtocol):
        self.endpoint = endpoint
        self.exchanges = 0
        self.idle_until = 0.0
        self.idle_since = 0.0
        self.idle_s = 0.0
        self._protocol = protocol
        self._parser = h11.Connection(h11.CLIENT)

    @property
    def is_usable(self) -> bool:
        """Whether another call may be written."""
        protocol = self._protocol
        is_open = not protocol.has_ended and not protocol.transport.is_closing()
        return is_open and not protocol.is_soiled

    def set_idle(self, is_idle: bool) -> None:
        """Say whether bytes that come now belong to a call."""
        self._protocol.is_idle = is_idle
        self._protocol.has_received = False
        if is_idle:
            self.idle_since = time.monotonic()
        else:
            self.idle_s = time.monotonic() - self.idle_since

    def close(self) -> None:
        """Close at once; the endpoint drops what it works on."""
        self._protocol.transport.abort()

    def interrupt(self, error: errors.BrokenOffError) -> bool:
        """Raise an error in the call that waits for bytes; return whether one did."""
        return self._protocol.interrupt(error)

    async def exchange(
        self, call: calls.Call, headers: calls.Headers, decode_reply: DecodeReply
    ) -> "Reply":
        """Write a call and return its reply once the head is there."""
        self.exchanges += 1
        head = h11.Request(method=call.method, target=call.target, headers=headers)
        data = self._parser.send(head)
        if call.body:
            data += self._parser.send(h11.Data(data=call.body))
        data += self._parser.send(h11.EndOfMessage())
        self._protocol.transport.write(data)
        while True:
            event = await self._next_head()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise self._lost("connection closed before an answer")
            reply_head = decode_reply(
                event.status_code, list(event.headers.raw_items())
            )
            if reply_head.attempt_id in (None, call.attempt_id):
                return Reply(self, reply_head)
            log.warning(
                "skipped an answer to another request",
                extra=logs.fields(
                    request=call.attempt_id,
                    other=reply_head.attempt_id,
                    endpoint=self.endpoint.name,
                ),
            )
            await self._skip_answer(head)

    async def _next_head(self) -> typing.Any:
        try:
            return await self._next_event()
        except errors.SilentError:
            raise
        except errors.BrokenOffError as error:
            raise self._lost(str(error)) from error

    def _lost(self, reason: str) -> errors.BrokenOffError:
        """Return the error of a connection that ended before an answer."""
        if self.exchanges > 1 and not self._protocol.has_received:
            return errors.StaleLinkError(f"{reason}, idle for {self.idle_s:.2f} s")
        return errors.BrokenOffError(reason)

    async def _skip_answer(self, head: h11.Request) -> None:
        """Read a foreign answer to its end, and go on as if just written."""
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
                raise errors.BrokenOffError(f"broken answer: {error}") from error
            except OSError as error:
                raise errors.BrokenOffError(f"connection lost: {error}") from error

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the answer's body, None at its end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise errors.BrokenOffError("connection closed inside the answer")

    def is_clean(self) -> bool:
        """Whether the answer is whole, nothing came after it, and all was sent."""
        parser = self._parser
        is_done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        is_sent = self._protocol.transport.get_write_buffer_size() == 0
        return is_done and is_sent and not parser.trailing_data[0] and self.is_usable

    def start_next(self) -> None:
        """Make ready for another call."""
        self._parser.start_next_cycle()


class Reply:
    """An endpoint's answer whose head has come."""

    def __init__(self, link: Link, head: calls.ReplyHead):
        self.head = head
        self.link = link
        self.is_whole = False

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None when it is whole."""
        part = await self.link.read_part()
        self.is_whole = part is None
        return part

    async def read(self, limit: int) -> bytes:
        """Return the whole body."""
        parts = []
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > limit:
                raise errors.BrokenOffError(f"answer larger than {limit} bytes")
            parts.append(part)
        return b"".join(parts)


class LinkPool:
    """Idle links, by endpoint incarnation."""

    def __init__(self, *, connect_timeout_s: float = CONNECT_TIMEOUT_S):
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[str, int], collections.deque[Link]] = {}
        # By service: how long a link may have been idle to be trusted, in seconds.
        self._trusted_s: dict[str, float] = {}

    async def take(
        self, endpoint: endpoints.Endpoint, *, may_repeat: bool = True
    ) -> Link:
        """
        Return an idle link, or a new one; ``NotSentError`` if there is none.

        A call that may run only once gets no link that may have been dropped.
        """
        idle = self._idle.get(endpoint.incarnation)
        now = time.monotonic()
        trusted_s = self._trusted_s.get(endpoint.service, math.inf)
        while idle:
            if not may_repeat and now - idle[-1].idle_since > trusted_s:
                break
            link = idle.pop()
            if link.is_usable and now < link.idle_until:
                link.set_idle(False)
                return link
            link.close()
        return await self._connect(endpoint)

    async def _connect(self, endpoint: endpoints.Endpoint) -> Link:
        loop = asyncio.get_running_loop()
        metrics.LINKS.inc()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, protocol = await loop.create_connection(
                    _LinkProtocol, endpoint.address, endpoint.port
                )
        except (OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise errors.NotSentError(f"no connection: {reason}") from error
        return Link(endpoint, protocol)

    def note_stale(self, link: Link) -> None:
        """Learn that the endpoint had dropped a link that was idle."""
        if link.idle_s < LEAST_IDLE_S:
            return
        service = link.endpoint.service
        limit_s = max(LEAST_IDLE_S, TRUSTED_PART * link.idle_s)
        self._trusted_s[service] = min(self._trusted_s.get(service, math.inf), limit_s)
        log.info(
            "idle connection was dropped",
            extra=logs.fields(
                endpoint=link.endpoint.name,
                idle_s=round(link.idle_s, 2),
                trusted_s=round(self._trusted_s[service], 2),
            ),
        )

    def give_back(self, link: Link, head: calls.ReplyHead) -> None:
        """Keep a link whose answer is whole, or close it."""
        trusted_s = self._trusted_s.get(link.endpoint.service)
        if trusted_s is not None and link.exchanges > 1:
            self._trusted_s[link.endpoint.service] = TRUST_GROWTH * trusted_s
        if head.ends_connection or not link.is_clean():
            link.close()
            return
        idle = self._idle.setdefault(link.endpoint.incarnation, collections.deque())
        stated_s = head.keep_alive_s
        idle_s = IDLE_S if stated_s is None else stated_s - KEEP_ALIVE_MARGIN_S
        if idle_s <= 0 or len(idle) >= MAX_IDLE:
            link.close()
            return
        link.start_next()
        link.idle_until = time.monotonic() + idle_s
        link.set_idle(True)
        idle.append(link)

    def drop(self, incarnation: tuple[str, int]) -> None:
        """Close the idle links of an endpoint that is gone."""
        for link in self._idle.pop(incarnation, ()):
            link.close()

    def close(self) -> None:
        """Close all idle links."""
        for incarnation in list(self._idle):
            self.drop(incarnation)
