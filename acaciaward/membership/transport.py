"""
Requests and replies between entries over ZeroMQ, encrypted by CURVE.

Each entry binds one ROUTER socket and keeps one DEALER socket for each peer it
talks to. A request is the frames correlation number, kind and body; its reply
carries the same number. Anything that can't be decoded is dropped and counted.
"""

import asyncio
import itertools
import logging
import typing
from collections.abc import Mapping

import prometheus_client
import zmq
import zmq.asyncio

from acaciaward import errors, wire
from acaciaward.membership import interfaces
from acaciaward.observability import logs

log = logging.getLogger(__name__)

SEND_QUEUE_MESSAGES = 1000
MAX_HANDLERS_RUNNING = 256

DROPPED_MESSAGES = prometheus_client.Counter(
    "acaciaward_peer_messages_dropped_total",
    "Messages from peers that were dropped as malformed or too many",
)
PEER_BYTES = prometheus_client.Counter(
    "acaciaward_peer_bytes_total", "Bytes exchanged with peers", ["direction"]
)


class CurveKeys(typing.NamedTuple):
    """Own key pair and the public keys that may connect, in Z85."""

    public_key: str
    secret_key: str
    allowed: frozenset[str]


class PeerAddress(typing.NamedTuple):
    """Where a peer listens for other entries."""

    address: str
    port: int
    public_key: str | None = None

    @property
    def url(self) -> str:
        """The ZeroMQ address."""
        return f"tcp://{self.address}:{self.port}"


class _Channel:
    """The DEALER socket to one peer and the requests that wait on it."""

    def __init__(self, socket: zmq.asyncio.Socket):
        self.socket = socket
        self.waiting: dict[bytes, asyncio.Future] = {}
        self.task: asyncio.Task | None = None


class PeerTransport:
    """Sends requests to peers and serves theirs."""

    def __init__(
        self,
        address: str,
        port: int,
        kinds: Mapping[str, type],
        *,
        curve: CurveKeys | None = None,
    ):
        self._address = address
        self._port = port
        self._table = wire.MessageTable(kinds)
        self._curve = curve
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._handlers: dict[str, interfaces.MessageHandler] = {}
        self._channels: dict[PeerAddress, _Channel] = {}
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task] = set()

    def handle(self, kind: str, handler: interfaces.MessageHandler) -> None:
        """Serve requests of a kind; the reply's kind is ``KIND_answer``."""
        self._handlers[kind] = handler

    async def start(self) -> None:
        """Bind the ROUTER socket and serve it."""
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        self._router.setsockopt(zmq.MAXMSGSIZE, wire.MAX_MESSAGE_BYTES)
        if self._curve is not None:
            self._router.curve_server = True
            self._router.curve_secretkey = self._curve.secret_key.encode()
            self._router.curve_publickey = self._curve.public_key.encode()
        self._router.bind(f"tcp://{self._address}:{self._port}")
        self._start_task(self._serve())

    async def stop(self) -> None:
        """Close every socket."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for channel in self._channels.values():
            channel.socket.close()
        if self._router is not None:
            self._router.close()
        self._context.term()

    async def request(
        self,
        peer: PeerAddress,
        kind: str,
        body: Mapping[str, typing.Any],
        *,
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        """Ask a peer and return the body of its reply."""
        channel = self._channel(peer)
        number = str(next(self._numbers)).encode()
        reply = asyncio.get_running_loop().create_future()
        channel.waiting[number] = reply
        frames = [number, *self._table.encode(kind, body)]
        PEER_BYTES.labels("sent").inc(sum(len(frame) for frame in frames))
        try:
            async with asyncio.timeout(timeout_s):
                await channel.socket.send_multipart(frames)
                return await reply
        except (TimeoutError, zmq.ZMQError) as error:
            raise errors.PeerUnreachableError(f"{peer.url}: no reply") from error
        finally:
            del channel.waiting[number]

    def forget(self, peer: PeerAddress) -> None:
        """Close the socket to a peer that is gone."""
        channel = self._channels.pop(peer, None)
        if channel is not None:
            channel.task.cancel()
            channel.socket.close(0)

    def _channel(self, peer: PeerAddress) -> _Channel:
        if peer not in self._channels:
            socket = self._context.socket(zmq.DEALER)
            socket.setsockopt(zmq.LINGER, 0)
            socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
            socket.setsockopt(zmq.MAXMSGSIZE, wire.MAX_MESSAGE_BYTES)
            if self._curve is not None and peer.public_key:
                socket.curve_secretkey = self._curve.secret_key.encode()
                socket.curve_publickey = self._curve.public_key.encode()
                socket.curve_serverkey = peer.public_key.encode()
            socket.connect(peer.url)
            channel = _Channel(socket)
            channel.task = self._start_task(self._receive_replies(channel))
            self._channels[peer] = channel
        return self._channels[peer]

    async def _receive_replies(self, channel: _Channel) -> None:
        while True:
            number, *frames = await channel.socket.recv_multipart()
            PEER_BYTES.labels("received").inc(sum(len(frame) for frame in frames))
            try:
                _, body = self._table.decode(frames)
            except errors.WireError as error:
                self._drop(error)
                continue
            reply = channel.waiting.get(number)
            if reply is not None and not reply.done():
                reply.set_result(body)

    async def _serve(self) -> None:
        while True:
            frames = await self._router.recv_multipart()
            PEER_BYTES.labels("received").inc(sum(len(frame) for frame in frames))
            if len(frames) != 4 or len(self._tasks) > MAX_HANDLERS_RUNNING:
                self._drop("too many requests or frames")
                continue
            self._start_task(self._answer(frames))

    async def _answer(self, frames: list[bytes]) -> None:
        identity, number, *message = frames
        try:
            kind, body = self._table.decode(message)
        except errors.WireError as error:
            self._drop(error)
            return
        handler = self._handlers.get(kind)
        answer = await handler(body.get("sender", ""), body) if handler else None
        if answer is None:
            return
        reply = [identity, number, *self._table.encode(f"{kind}_answer", answer)]
        PEER_BYTES.labels("sent").inc(sum(len(frame) for frame in reply))
        await self._router.send_multipart(reply)

    def _drop(self, reason: object) -> None:
        DROPPED_MESSAGES.inc()
        log.debug("dropped a peer's message", extra=logs.fields(reason=reason))

    def _start_task(self, work: typing.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
