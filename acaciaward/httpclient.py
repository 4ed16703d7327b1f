"""
A pooled HTTP/1.1 client that never retries a request by itself.

blacksheep's client retries a request when a reused connection closes after the
bytes were written, reports a truncated body as complete, and buffers bodies without
bound. Each of these would break a guarantee of this system, so this module drives
the same parser, h11, over asyncio's streams instead. Its errors say exactly whether
a byte of the request was written, it reads a body only as fast as its user consumes
it, and it closes the connection when the user leaves a response early.

    client = HttpClient()
    async with client.send("GET", "127.0.0.1", 8200, "/load") as response:
        body = await response.read()
"""

import asyncio
import collections
import contextlib
import math
import ssl
import time
import typing
from collections import abc

import h11

from acaciaward import errors

READ_BYTES = 65536
MAX_IDLE_PER_TARGET = 32
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
DEFAULT_TIMEOUT_S = 10.0

OK = 200
TEMPORARY_REDIRECT = 307

Target = tuple[str, int]


class HttpError(errors.AcaciawardError):
    """Base class of failures between client and server."""


class ConnectFailedError(HttpError):
    """No connection could be made: not a byte of the request was written."""


class ConnectionLostError(HttpError):
    """The connection ended, or broke the protocol, after bytes were written."""


class ResponseTimeoutError(HttpError):
    """The server sent no data for the timeout's length after bytes were written."""


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(h11.CLIENT)
        self.idle_since = time.monotonic()

    @property
    def is_usable(self) -> bool:
        return not self.reader.at_eof() and not self.writer.is_closing()

    async def next_event(self, timeout_s: float) -> typing.Any:
        while True:
            event = self._parse_next()
            if event is not h11.NEED_DATA:
                return event
            self.parser.receive_data(await self._receive(timeout_s))

    def _parse_next(self) -> typing.Any:
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise ConnectionLostError(f"broken response: {error}") from error

    async def _receive(self, timeout_s: float) -> bytes:
        try:
            # asyncio.wait_for in Python 3.11 loses a cancellation that arrives together
            # with the data.
            async with asyncio.timeout(timeout_s):
                return await self.reader.read(READ_BYTES)
        except TimeoutError as error:
            raise ResponseTimeoutError(f"no answer within {timeout_s} s") from error
        except OSError as error:
            raise ConnectionLostError(f"connection lost: {error}") from error

    def close(self) -> None:
        self.writer.transport.abort()


class Response:
    """
    A response whose head has arrived.

    ``status`` is the HTTP status and ``headers`` maps lower-case names to
    values. The body is read only as fast as the user consumes it.
    """

    def __init__(
        self, connection: _Connection, head: h11.Response, read_timeout_s: float
    ):
        self._connection = connection
        self._read_timeout_s = read_timeout_s
        self._is_complete = False
        self.status = head.status_code
        self.headers = {
            name.decode(): value.decode("latin-1") for name, value in head.headers
        }

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._is_complete

    @property
    def retry_after_s(self) -> float | None:
        """Seconds of the Retry-After header, or None without a usable one."""
        try:
            return float(self.headers.get("retry-after", ""))
        except ValueError:
            return None

    async def chunks(self) -> abc.AsyncIterator[bytes]:
        """Yield the body as it arrives; raise ``ConnectionLostError`` if truncated."""
        while True:
            event = await self._connection.next_event(self._read_timeout_s)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._is_complete = True
                return
            else:
                raise ConnectionLostError("connection closed inside the response")

    async def lines(self) -> abc.AsyncIterator[bytes]:
        """Yield the body line by line, without line ends."""
        remainder = b""
        async for chunk in self.chunks():
            *complete_lines, remainder = (remainder + chunk).split(b"\n")
            for line in complete_lines:
                yield line
        if remainder:
            yield remainder

    async def read(self, limit: int = MAX_RESPONSE_BYTES) -> bytes:
        """
        Return the complete body.

        Raises ``ConnectionLostError`` if it is truncated or larger than ``limit``
        bytes.
        """
        parts = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > limit:
                raise ConnectionLostError(f"response larger than {limit} bytes")
            parts.append(chunk)
        return b"".join(parts)


class HttpClient:
    """
    Pools idle connections by target; a connection carries one request at a time.

    A connection that has been idle for ``max_idle_s`` isn't used again: it may have
    gone silent meanwhile, which only a request that times out would show.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = 1.0,
        max_idle_s: float = math.inf,
        tls: ssl.SSLContext | None = None,
    ):
        self._connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._tls = tls
        self._idle: dict[Target, collections.deque[_Connection]] = {}

    @contextlib.asynccontextmanager
    async def send(
        self,
        method: str,
        address: str,
        port: int,
        path: str,
        *,
        headers: abc.Mapping[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = DEFAULT_TIMEOUT_S,
        needs_new_connection: bool = False,
        before_write: abc.Callable[[], None] | None = None,
    ) -> abc.AsyncIterator[Response]:
        """
        Send one request and yield its response.

        ``timeout_s`` bounds each wait for data, of the head and of the body.
        ``needs_new_connection`` asks for a new connection, since the server may have
        closed an idle one unnoticed. ``before_write`` is called once connected, just
        before the first byte is written, and stops the request by raising.

        Raises ``ConnectFailedError`` if nothing was written, otherwise
        ``ConnectionLostError`` or ``ResponseTimeoutError``.
        """
        target = (address, port)
        connection = None if needs_new_connection else self._acquire_idle(target)
        connection = connection or await self._connect(target)
        try:
            if before_write is not None:
                before_write()
            self._write(connection, method, target, path, headers or {}, body)
            head = await self._read_head(connection, timeout_s)
            response = Response(connection, head, timeout_s)
            yield response
        except BaseException:
            connection.close()
            raise
        self._release(target, connection, response)

    async def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    def _acquire_idle(self, target: Target) -> _Connection | None:
        connections = self._idle.get(target)
        oldest = time.monotonic() - self._max_idle_s
        while connections:
            connection = connections.pop()
            if connection.is_usable and connection.idle_since >= oldest:
                return connection
            connection.close()
        return None

    async def _connect(self, target: Target) -> _Connection:
        address, port = target
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    address, port, ssl=self._tls
                )
        except (OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise ConnectFailedError(f"{address}:{port}: {reason}") from error
        return _Connection(reader, writer)

    def _write(
        self,
        connection: _Connection,
        method: str,
        target: Target,
        path: str,
        headers: abc.Mapping[str, str],
        body: bytes,
    ) -> None:
        address, port = target
        host = f"[{address}]" if ":" in address else address
        all_headers = [("host", f"{host}:{port}"), ("content-length", str(len(body)))]
        all_headers += headers.items()
        try:
            head = h11.Request(method=method, target=path, headers=all_headers)
        except h11.LocalProtocolError as error:
            raise ConnectFailedError(f"unsendable request: {error}") from error
        data = connection.parser.send(head)
        if body:
            data += connection.parser.send(h11.Data(data=body))
        data += connection.parser.send(h11.EndOfMessage())
        connection.writer.write(data)

    async def _read_head(
        self, connection: _Connection, timeout_s: float
    ) -> h11.Response:
        while True:
            event = await connection.next_event(timeout_s)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError("connection closed before the response")

    def _release(
        self, target: Target, connection: _Connection, response: Response
    ) -> None:
        parser = connection.parser
        is_exchange_done = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )
        if not (response.is_complete and is_exchange_done and connection.is_usable):
            connection.close()
            return
        idle = self._idle.setdefault(target, collections.deque())
        if len(idle) >= MAX_IDLE_PER_TARGET:
            connection.close()
            return
        parser.start_next_cycle()
        connection.idle_since = time.monotonic()
        idle.append(connection)
