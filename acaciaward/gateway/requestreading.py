"""
Reads the requests of one connection, and takes what has arrived from the budget.

    reader = RequestReader(stream, "10.0.0.7", rules, send_continue=..., abort=...)
    call = await reader.read()
    reader.begin_run(call)
    ...  # Answer the call; ``wait_for_disconnect`` reads ahead meanwhile.
    reader.end_run()
"""

import asyncio
import logging
import time
import typing
from collections import abc

import h11

from acaciaward import errors
from acaciaward.catalogue import routes
from acaciaward.gateway import bodybudget, calls, guarding, metrics, requestparser
from acaciaward.observability import logs

log = logging.getLogger(__name__)

BAD_REQUEST = 400
TIMED_OUT = 408
TOO_LARGE = 413
UNAVAILABLE = 503
READ_BYTES = 65536
# Smaller pieces of a body are joined, so that they cost what their bytes cost.
PIECE_BYTES = 16384
# Limit of pipelined bytes that are buffered while a request is handled.
READ_AHEAD_BYTES = 262144
# Refusal of requests while the budget is full. Those that have stopped are dropped, so
# there is room again within a second.
NO_ROOM = guarding.EarlyRefusal(UNAVAILABLE, "no room for the body", 0.5)

DecodeCall = abc.Callable[[calls.Headers], abc.Mapping[str, typing.Any]]


class CallerGoneError(Exception):
    """The caller closed its connection."""


class RefusedEarlyError(Exception):
    """A request is refused before its body has arrived, so it hasn't run."""

    def __init__(self, refusal: guarding.EarlyRefusal, headers: calls.Headers):
        super().__init__(refusal.reason)
        self.refusal = refusal
        self.headers = headers


class _Body:
    """A body that is arriving."""

    def __init__(self):
        self.size = 0
        self._pieces: list[bytearray] = []

    def add(self, data: bytearray) -> None:
        """Add what has arrived."""
        self.size += len(data)
        if self._pieces and len(self._pieces[-1]) < PIECE_BYTES:
            self._pieces[-1] += data
        else:
            self._pieces.append(bytearray(data))

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._pieces)


class Rules(typing.NamedTuple):
    """How a listener reads requests; ``limits`` returns those of the configuration."""

    decode_call: DecodeCall
    limits: abc.Callable[[], routes.Limits]
    guard: guarding.Guard
    policy: guarding.Policy


class _Arrival:
    """A request that is arriving: its head, its body, and until when it may take."""

    def __init__(self, limits: routes.Limits):
        self.limits = limits
        self.head: h11.Request | None = None
        self.body = _Body()
        self.deadline = 0.0
        # The call without its body, once that is large.
        self.call: calls.Call | None = None

    def timeout_s(self, has_bytes: bool) -> float:
        """Return how long the next piece may take."""
        if self.head is None:
            return self.limits.header_s if has_bytes else self.limits.idle_s
        timeout_s = min(self.limits.idle_s, self.deadline - time.monotonic())
        if timeout_s <= 0:
            raise h11.RemoteProtocolError("body too slow", TIMED_OUT)
        return timeout_s


class RequestReader:
    """Reads one connection; ``abort`` resets it."""

    def __init__(
        self,
        stream: asyncio.StreamReader,
        sender: str,
        rules: Rules,
        *,
        send_continue: abc.Callable[[], abc.Awaitable[None]],
        abort: abc.Callable[[], None],
    ):
        self._stream = stream
        self._sender = sender
        self._rules = rules
        self._send_continue = send_continue
        self._abort = abort
        self._parser = requestparser.RequestParser(rules.limits().header_bytes)
        self._budget = rules.guard.budget
        self._holding = self._budget.open(sender, self._drop)
        self._arrival: _Arrival | None = None
        self._running_bytes = 0
        self._is_dropped = False

    @property
    def http(self) -> h11.Connection:
        """The connection of h11, for states and answers."""
        return self._parser.connection

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that belong to no request yet."""
        return self._parser.pending_bytes

    async def read(self) -> calls.Call | None:
        """
        Return the next request, or None if the connection is closed or idle too long.

        Raises ``h11.RemoteProtocolError`` and ``RefusedEarlyError`` for requests to
        refuse.
        """
        self._arrival = arrival = _Arrival(self._rules.limits())
        try:
            while not isinstance(event := self._parser.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    if not await self._receive(arrival):
                        return None
                elif isinstance(event, h11.Request):
                    self._begin(arrival, event)
                elif isinstance(event, h11.Data):
                    self._add(arrival, event.data)
                else:
                    return None
            return self._make_call(arrival.head, arrival.body.join())
        finally:
            self._arrival = None

    def _begin(self, arrival: _Arrival, head: h11.Request) -> None:
        arrival.head = head
        arrival.deadline = time.monotonic() + self._rules.guard.body_s
        self._check_size(arrival, self._parser.announced_bytes)

    def _add(self, arrival: _Arrival, data: bytearray) -> None:
        self._check_size(arrival, arrival.body.size + len(data))
        arrival.body.add(data)

    def _check_size(self, arrival: _Arrival, size: int) -> None:
        """Refuse a body that is too large, or that becomes large and has no use."""
        if size > arrival.limits.body_bytes:
            raise h11.RemoteProtocolError("body too large", TOO_LARGE)
        if size > bodybudget.UNCOUNTED_BYTES and arrival.call is None:
            arrival.call = self._make_call(arrival.head, b"")
            refusal = self._rules.policy.refuse_early(arrival.call)
            if refusal is not None:
                raise self._make_refusal(arrival.call, refusal)

    async def _receive(self, arrival: _Arrival) -> bool:
        if self.http.they_are_waiting_for_100_continue:
            await self._send_continue()
        timeout_s = arrival.timeout_s(has_bytes=bool(self.pending_bytes))
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._stream.read(READ_BYTES)
        except TimeoutError:
            return False
        if not data or self._is_dropped:
            return False
        self._parser.receive_data(data)
        if not self._budget.resize(
            self._holding, arrival.body.size + self.pending_bytes
        ):
            self._refuse_full(arrival)
        if self._parser.has_tiny_chunks:
            async with self._rules.guard.chunk_turn:
                await asyncio.sleep(0)
        return True

    def _refuse_full(self, arrival: _Arrival) -> typing.NoReturn:
        metrics.BODIES_DROPPED.labels("refused").inc()
        if arrival.head is None:
            self._abort()
            raise CallerGoneError
        raise self._make_refusal(self._make_call(arrival.head, b""), NO_ROOM)

    def _make_refusal(
        self, call: calls.Call, refusal: guarding.EarlyRefusal
    ) -> RefusedEarlyError:
        headers = self._rules.policy.encode_refusal(call, refusal)
        return RefusedEarlyError(refusal, headers)

    def _drop(self) -> None:
        """Give up what the connection holds, since the budget needs it."""
        metrics.BODIES_DROPPED.labels("dropped").inc()
        log.info("connection dropped", extra=logs.fields(sender=self._sender))
        self._is_dropped = True
        if self._arrival is None or self._arrival.call is None:
            self._abort()
            return
        # Ends the wait for the rest of the body; the request hasn't run.
        self._stream.set_exception(self._make_refusal(self._arrival.call, NO_ROOM))

    def _make_call(self, head: h11.Request, body: bytes) -> calls.Call:
        headers = list(head.headers.raw_items())
        hosts = [value for name, value in headers if name.lower() == b"host"]
        host = hosts[0].decode("latin-1") if hosts else ""
        try:
            fields = self._rules.decode_call(headers)
        except errors.DecodingError as error:
            raise h11.RemoteProtocolError(str(error), BAD_REQUEST) from error
        return calls.Call(
            method=head.method,
            target=head.target,
            host=host.rsplit(":", 1)[0],
            headers=headers,
            body=body,
            received_at=time.monotonic(),
            **fields,
        )

    def begin_run(self, call: calls.Call) -> None:
        """Keep the body of a request that is handled from being dropped."""
        self._running_bytes = len(call.body)
        self._hold_running()

    def _hold_running(self) -> bool:
        # Many pipelined requests behind one that runs may be dropped with it.
        self._holding.is_droppable = self.pending_bytes > bodybudget.UNCOUNTED_BYTES
        return self._budget.resize(
            self._holding, self._running_bytes + self.pending_bytes
        )

    def end_run(self) -> None:
        """Free the body of a request that was handled."""
        self._running_bytes = 0
        self._holding.is_droppable = True
        self._budget.resize(self._holding, self.pending_bytes)

    async def wait_for_disconnect(self) -> None:
        """Read ahead; return when the caller closes the connection."""
        while self.pending_bytes < READ_AHEAD_BYTES:
            try:
                data = await self._stream.read(READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self._parser.receive_data(data)
            if not self._hold_running():
                self._drop()
                return
        await asyncio.get_running_loop().create_future()

    async def discard(self) -> None:
        """Read and discard what still comes."""
        while not self._is_dropped and await self._stream.read(READ_BYTES):
            pass

    def release(self) -> None:
        """Free everything that has arrived."""
        self._budget.close(self._holding)
