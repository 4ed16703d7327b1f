"""
Serves callers' connections: reads requests, writes answers, detects disconnects.

A request is handled once its last byte has arrived. Meanwhile the connection is read
ahead, so that a caller that disconnects cancels the handler at once. An answer that
can't be completed is aborted with a TCP reset, so that it never looks complete.

What connections hold is taken from a budget, see ``guarding``. A large body is refused
before it is read if its length, its route or its key is.
"""

import asyncio
import contextlib
import logging
import typing
from collections import abc

import h11

from acaciaward.catalogue import routes
from acaciaward.gateway import calls, guarding, listening, requestreading
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Time for which the rest of a refused body is read and discarded: closing a connection
# with unread data resets it, and the caller might not get the answer.
LINGER_S = 1.0

Handler = abc.Callable[[calls.Call, "Responder"], abc.Awaitable[None]]


CallerGoneError = requestreading.CallerGoneError


class Responder:
    """Writes the answer to one call: exactly one, either complete or aborted."""

    def __init__(self, connection: "CallerConnection"):
        self._connection = connection
        self.has_begun = False
        self.is_finished = False
        self.status: int | None = None

    async def send(self, status: int, headers: calls.Headers, body: bytes) -> None:
        """Answer with a body of known length."""
        sized = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._begin(status)
        data = self._connection.encode_head(status, sized)
        if body:
            data += self._connection.encode(h11.Data(data=body))
        data += self._connection.encode(h11.EndOfMessage())
        self.is_finished = True
        await self._connection.write(data)

    async def start(self, status: int, headers: calls.Headers) -> None:
        """Begin an answer of unknown length."""
        self._begin(status)
        chunked = [*headers, (b"Transfer-Encoding", b"chunked")]
        await self._connection.write(self._connection.encode_head(status, chunked))

    async def write(self, data: bytes) -> None:
        """Write a part of an answer that was started."""
        await self._connection.write(self._connection.encode_part(data))

    async def finish(self) -> None:
        """Mark an answer that was started as complete."""
        self.is_finished = True
        data = self._connection.encode(h11.EndOfMessage())
        await self._connection.write(data)

    def abort(self) -> None:
        """Reset the connection, so that the answer can't look complete."""
        self.is_finished = True
        self._connection.abort()

    def _begin(self, status: int) -> None:
        if self.has_begun:
            raise RuntimeError("an answer has begun already")
        self.has_begun = True
        self.status = status


class CallerConnection:
    """One connection of a caller."""

    def __init__(
        self,
        server: "CallerServer",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ):
        self._server = server
        self._writer = writer
        peer = writer.get_extra_info("peername")
        self.sender: str = peer[0] if peer else ""
        self._budget = server.guard.budget
        self._unsent = self._budget.open(self.sender, self.abort)
        self._requests = requestreading.RequestReader(
            reader,
            self.sender,
            requestreading.Rules(
                server.decode_call, server.limits, server.guard, server.policy
            ),
            send_continue=self._send_continue,
            abort=self.abort,
        )
        self._http = self._requests.http
        self.is_busy = False

    async def serve(self) -> None:
        """Answer requests until either side closes the connection."""
        try:
            while True:
                call = await self._requests.read()
                if call is None:
                    break
                self.is_busy = True
                self._server.guard.connections.touch(self)
                await self._run_handler(call)
                self.is_busy = False
                # Frees the body while the connection waits for the next request.
                call = None
                if self._http.our_state is not h11.DONE:
                    break
                if self._http.their_state is not h11.DONE:
                    break
                self._http.start_next_cycle()
        except CallerGoneError:
            pass
        except h11.RemoteProtocolError as error:
            await self._refuse(error.error_status_hint, str(error), [])
        except requestreading.RefusedEarlyError as error:
            await self._refuse(error.refusal.status, str(error), error.headers)
        except OSError as error:
            log.debug("connection to a caller lost", extra=logs.fields(reason=error))
        finally:
            self.is_busy = False
            self._requests.release()
            self._writer.close()

    async def _run_handler(self, call: calls.Call) -> None:
        responder = Responder(self)
        self._requests.begin_run(call)
        handler_task = asyncio.create_task(self._server.handler(call, responder))
        disconnect_task = asyncio.create_task(self._requests.wait_for_disconnect())
        try:
            await asyncio.wait(
                {handler_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect_task.cancel()
            if not handler_task.done():
                handler_task.cancel()
            await asyncio.gather(handler_task, disconnect_task, return_exceptions=True)
            self._requests.end_run()
        if handler_task.cancelled():
            raise CallerGoneError
        error = handler_task.exception()
        if isinstance(error, CallerGoneError):
            raise CallerGoneError
        if error is not None:
            log.error(
                "request handler raised an exception",
                exc_info=error,
                extra=logs.fields(request=call.attempt_id),
            )
        if not responder.is_finished:
            responder.abort()
            raise CallerGoneError

    async def _send_continue(self) -> None:
        continue_response = h11.InformationalResponse(status_code=100, headers=[])
        await self.write(self.encode(continue_response))

    async def _refuse(self, status: int, reason: str, headers: calls.Headers) -> None:
        log.info("request unreadable", extra=logs.fields(status=status, reason=reason))
        # What has arrived of the body is of no more use.
        self._requests.release()
        with contextlib.suppress(CallerGoneError, h11.LocalProtocolError):
            closing = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            data = self.encode_head(status, headers + closing)
            await self.write(data + self.encode(h11.EndOfMessage()))
            await self._linger()

    async def _linger(self) -> None:
        """Discard what the caller still sends, so that it gets the answer."""
        with contextlib.suppress(TimeoutError, OSError):
            async with asyncio.timeout(LINGER_S):
                self._writer.write_eof()
                await self._requests.discard()

    def encode_head(self, status: int, headers: calls.Headers) -> bytes:
        """Return the bytes of a response head."""
        # Requests that were read behind this one are answered first.
        has_more = bool(self._requests.pending_bytes)
        if self._server.is_leaving and not has_more:
            headers = [*headers, (b"Connection", b"close")]
        return self.encode(h11.Response(status_code=status, headers=headers))

    def encode(self, event: typing.Any) -> bytes:
        """Return the bytes of an h11 event."""
        return self._http.send(event) or b""

    def encode_part(self, data: bytes) -> bytes:
        """Return the bytes of a part of an answer of unknown length."""
        if self._http.their_http_version != b"1.1":
            return self.encode(h11.Data(data=data))
        # Chunks don't change the parser's state, so the frequent ones bypass it.
        return b"%x\r\n%b\r\n" % (len(data), data) if data else b""

    async def write(self, data: bytes) -> None:
        """Write, and wait while the transport's buffer is full."""
        if self._writer.transport.is_closing():
            raise CallerGoneError
        self._writer.write(data)
        unsent_bytes = self._writer.transport.get_write_buffer_size()
        if unsent_bytes and not self._budget.resize(self._unsent, unsent_bytes):
            self.abort()
        try:
            await self._writer.drain()
        except OSError as error:
            raise CallerGoneError from error
        finally:
            if unsent_bytes:
                self._budget.close(self._unsent)

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or handled."""
        if not self.is_busy and not self._requests.pending_bytes:
            self._writer.close()


class CallerServer:
    """
    Accepts callers; ``limits`` returns those of the configuration in force.

    The listeners of an entry share a ``guard``; ``policy`` is this listener's own.
    """

    def __init__(
        self,
        handler: Handler,
        decode_call: requestreading.DecodeCall,
        limits: abc.Callable[[], routes.Limits],
        *,
        guard: guarding.Guard | None = None,
        policy: guarding.Policy | None = None,
    ):
        self.guard = guard or guarding.build_default()
        self.policy = policy or guarding.Policy()
        self.handler = handler
        self.decode_call = decode_call
        self.limits = limits
        self.is_leaving = False
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def busy_count(self) -> int:
        """The number of requests that are being handled."""
        return sum(connection.is_busy for connection in self._connections)

    async def start(self, address: str, port: int) -> int:
        """Listen and return the port."""
        self._server = await listening.listen(self._serve, address, port)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = CallerConnection(self, reader, writer)
        self._connections.add(connection)
        self.guard.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.guard.connections.remove(connection)
            self._connections.discard(connection)

    def stop_accepting(self) -> None:
        """Close the listening socket and the idle connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close_if_idle()

    def abort(self) -> None:
        """Reset every connection."""
        for connection in list(self._connections):
            connection.abort()
