"""
Limits what one connection and one organisation may use of an HTTP server.

uvicorn's parser accepts headers of any size at any speed and keeps a connection that
sends nothing for ever. Here a request whose head (request line and headers) is too
large gets the response 431, and a connection whose head arrives too slowly is closed.
Connections are counted for an organisation only after its key was checked, never by
an unauthenticated name.

    limiter = ConnectionLimiter(max_per_organisation=1000)
    limiter.bind(request, "library")    # raises LimitExceededError
"""

import asyncio
import collections
import logging
import typing

import blacksheep
from uvicorn.protocols.http import httptools_impl

from acaciaward import errors
from acaciaward.observability import logs

log = logging.getLogger(__name__)

SCOPE_KEY = "acaciaward.connection"
RETRY_AFTER_S = 1.0
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-type: application/json\r\n"
    b"connection: close\r\n"
)
HEAD_TOO_LARGE_BODY = (
    b'{"error":{"message":"the headers are too large","code":"headers_too_large",'
    b'"type":"invalid_request_error","verdict":"not_run"}}'
)


class Limits(typing.NamedTuple):
    """
    Bounds of one connection.

    ``head_bytes`` bounds the size of request line and headers, ``head_timeout_s``
    the time from the opening of the connection, or from the first byte of a later
    request, to their end.
    """

    head_bytes: int
    head_timeout_s: float


class ConnectionLimiter:
    """Counts and limits the connections of each organisation."""

    def __init__(self, *, max_per_organisation: int):
        self._max_per_organisation = max_per_organisation
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self, organisation: str) -> int:
        """Return the number of connections that an organisation holds."""
        return self._counts[organisation]

    def bind(self, request: blacksheep.Request, organisation: str) -> None:
        """
        Count a request's connection for its organisation.

        A connection belongs to the organisation that used it last. Raises
        ``LimitExceededError`` when the organisation holds too many.
        """
        connection = request.scope.get(SCOPE_KEY)
        if connection is None or connection.organisation == organisation:
            return
        if self._counts[organisation] >= self._max_per_organisation:
            raise errors.LimitExceededError(
                f"the organisation holds {self._max_per_organisation} connections "
                "to this entry",
                retry_after_s=RETRY_AFTER_S,
            )
        self.release(connection)
        connection.organisation = organisation
        self._counts[organisation] += 1

    def release(self, connection: "LimitedProtocol") -> None:
        """Stop counting a connection."""
        organisation = connection.organisation
        connection.organisation = None
        if organisation is None:
            return
        self._counts[organisation] -= 1
        if not self._counts[organisation]:
            del self._counts[organisation]


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """uvicorn's protocol with bounds on the head of each request."""

    def __init__(
        self,
        *args: typing.Any,
        limits: Limits,
        connection_limiter: ConnectionLimiter,
        **kwargs: typing.Any,
    ):
        super().__init__(*args, **kwargs)
        self.organisation: str | None = None
        self._limits = limits
        self._connection_limiter = connection_limiter
        self._head_bytes = 0
        self._is_in_head = True
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timeout for the first head."""
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection."""
        self._stop_head_timer()
        self._connection_limiter.release(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse data, and refuse the request if its head has become too large."""
        if self._is_in_head:
            self._head_bytes += len(data)
            # Bytes after a request may be no message, such as blank lines, so the
            # timeout can't wait for on_message_begin.
            if self._head_timer is None:
                self._start_head_timer()
        super().data_received(data)
        if self._is_in_head and self._head_bytes > self._limits.head_bytes:
            self._refuse_head()

    def on_message_begin(self) -> None:
        """Store this connection in the request's scope for ``ConnectionLimiter``."""
        super().on_message_begin()
        self.scope[SCOPE_KEY] = self

    def on_headers_complete(self) -> None:
        """End the head, or refuse one that is too large but came in one piece."""
        self._is_in_head = False
        self._head_bytes = 0
        self._stop_head_timer()
        if self._header_bytes() > self._limits.head_bytes:
            self._refuse_head()
            return
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End a request, unless its head was refused."""
        self._is_in_head = True
        if not self.transport.is_closing():
            super().on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Forward a part of the body, unless the head was refused."""
        if not self.transport.is_closing():
            super().on_body(body)

    def _header_bytes(self) -> int:
        return len(self.url) + sum(
            len(name) + len(value) for name, value in self.headers
        )

    def _refuse_head(self) -> None:
        if self.transport.is_closing():
            return
        log.warning("request refused", extra=logs.fields(reason="headers too large"))
        length = b"content-length: %d\r\n\r\n" % len(HEAD_TOO_LARGE_BODY)
        self.transport.write(HEAD_TOO_LARGE + length + HEAD_TOO_LARGE_BODY)
        self.transport.close()

    def _start_head_timer(self) -> None:
        self._stop_head_timer()
        self._head_timer = self.loop.call_later(
            self._limits.head_timeout_s, self._close_on_head_timeout
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_on_head_timeout(self) -> None:
        if not self.transport.is_closing():
            log.info("connection closed", extra=logs.fields(reason="slow headers"))
            self.transport.close()
