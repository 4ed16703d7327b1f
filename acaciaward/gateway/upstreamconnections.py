"""
Sends one call at a time on a connection to an endpoint, and reads its answer.

A connection that receives bytes while idle, or more than one answer, is closed: such
bytes belong to no request. An answer that names another request is skipped. One that
names none is taken for its request's only if no other answer can have come before it,
on a new connection, which isn't kept afterwards.
"""

import asyncio
import logging
import socket
import time
import typing
from collections import abc

import h11

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls, errors
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Reading pauses while more bytes of an answer than this are unprocessed.
HIGH_WATER_BYTES = 262144
# TCP closes a connection whose bytes aren't acknowledged for this long.
USER_TIMEOUT_MS = 3000

# Answers with these end with their head.
BODILESS_STATUSES = frozenset({204, 304})

DecodeReply = abc.Callable[[int, calls.Headers], calls.ReplyHead]


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

    @classmethod
    async def open(cls, endpoint: endpoints.Endpoint) -> "UpstreamConnection":
        """Connect to an endpoint; raise ``OSError`` if that fails."""
        _, protocol = await asyncio.get_running_loop().create_connection(
            _UpstreamProtocol, endpoint.address, endpoint.port
        )
        return cls(endpoint, protocol)

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
