"""
Requests and replies between entries over ZeroMQ, encrypted by CURVE.

Each entry binds one ROUTER socket and keeps one DEALER socket for each peer that
it sends to. A request has three frames: correlation number, kind and body. Its
reply carries the same number; a notification has the number 0 and no reply.
A message that can't be decoded is dropped and counted. A handshake with a key
that is not allowed is refused and counted.
"""

import asyncio
import functools
import itertools
import logging
import time
import typing
from collections import abc

import prometheus_client
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from acaciaward import errors, wire
from acaciaward.membership import connectionevents, interfaces
from acaciaward.observability import logs

log = logging.getLogger(__name__)

ROUTER_QUEUE_MESSAGES = 1000
PEER_QUEUE_MESSAGES = 100
MAX_HANDLERS_RUNNING = 512
MAX_HANDLERS_PER_PEER = 128
CHANNEL_IDLE_TIMEOUT_S = 60.0
IDLE_CHECK_INTERVAL_S = 10.0
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 3000
# A connection that goes silent without a reset is replaced: ZeroMQ pings the peer at
# this interval, and connects anew if nothing has come for the timeout.
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 1000
NOTIFICATION_NUMBER = b"0"
# ZeroMQ rejects larger frames itself, uncounted. With twice the limit of a message
# here, messages of up to that size still arrive and are counted as dropped.
MAX_FRAME_BYTES = 2 * wire.MAX_MESSAGE_BYTES

DROPPED_MESSAGES = prometheus_client.Counter(
    "acaciaward_peer_messages_dropped_total",
    "Messages from peers that were dropped as malformed or too many",
)
REFUSED_KEYS = prometheus_client.Counter(
    "acaciaward_peer_keys_refused_total",
    "Handshakes of peers whose CURVE key is not allowed",
)
PEER_MESSAGES = prometheus_client.Counter(
    "acaciaward_peer_messages_total", "Messages exchanged with peers", ["direction"]
)
PEER_BYTES = prometheus_client.Counter(
    "acaciaward_peer_bytes_total", "Bytes exchanged with peers", ["direction"]
)


class CurveKeys(typing.NamedTuple):
    """The entry's key pair and the public keys of peers that may connect, in Z85."""

    public_key: str
    secret_key: str
    allowed: frozenset[str]


class PeerAddress(typing.NamedTuple):
    """Where a peer accepts connections of entries; its CURVE public key in Z85."""

    address: str
    port: int
    public_key: str | None = None

    @property
    def url(self) -> str:
        """The address as a ZeroMQ URL."""
        return f"tcp://{self.address}:{self.port}"


class _Channel:
    """The DEALER socket to one peer and the requests that wait for replies."""

    def __init__(self, socket: zmq.asyncio.Socket):
        self.socket = socket
        self.pending_replies: dict[bytes, asyncio.Future] = {}
        self.tasks: list[asyncio.Task] = []
        self.used_at = time.monotonic()


class _AllowedKeys:
    """Decides on CURVE keys for pyzmq's authenticator, which calls ``callback``."""

    def __init__(self, allowed: frozenset[str]):
        self.allowed = allowed

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client with this Z85 key may connect."""
        is_allowed = key.decode(errors="replace") in self.allowed
        if not is_allowed:
            REFUSED_KEYS.inc()
        return is_allowed


def _count_frames(direction: str, frames: list[bytes]) -> None:
    PEER_MESSAGES.labels(direction).inc()
    PEER_BYTES.labels(direction).inc(sum(len(frame) for frame in frames))


class PeerTransport:
    """Sends requests to peers and serves theirs."""

    def __init__(
        self,
        address: str,
        port: int,
        kinds: abc.Mapping[str, type],
        *,
        curve: CurveKeys | None = None,
    ):
        self._address = address
        self._port = port
        self._message_table = wire.MessageTable(kinds)
        self._curve = curve
        self._context = zmq.asyncio.Context()
        self._router: zmq.asyncio.Socket | None = None
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None = None
        own_keys = {curve.public_key} if curve else set()
        self._configured_keys = (curve.allowed if curve else frozenset()) | own_keys
        self._allowed_keys = _AllowedKeys(self._configured_keys)
        self._running_handlers: dict[bytes, int] = {}
        self._is_stopped = False
        self._handlers: dict[str, interfaces.MessageHandler] = {}
        self._channels: dict[PeerAddress, _Channel] = {}
        self._request_numbers = itertools.count(1)
        self._events = connectionevents.ConnectionEvents()
        self._tasks: set[asyncio.Task] = set()

    def handle(self, kind: str, handler: interfaces.MessageHandler) -> None:
        """Serve requests of a kind; the reply's kind is ``KIND_answer``."""
        self._handlers[kind] = handler

    def set_additional_keys(self, public_keys: abc.Iterable[str]) -> None:
        """Replace the public keys that are allowed besides those of the settings."""
        self._allowed_keys.allowed = self._configured_keys | frozenset(public_keys)

    async def start(self) -> None:
        """Bind the ROUTER socket and serve it."""
        if self._curve is not None:
            self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
            self._authenticator.start()
            self._authenticator.configure_curve_callback("*", self._allowed_keys)
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.SNDHWM, ROUTER_QUEUE_MESSAGES)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        if self._curve is not None:
            self._router.curve_server = True
            self._router.curve_secretkey = self._curve.secret_key.encode()
            self._router.curve_publickey = self._curve.public_key.encode()
        self._router.bind(f"tcp://{self._address}:{self._port}")
        self._start_task(self._serve())
        self._start_task(self._close_idle())

    async def stop(self) -> None:
        """Close every socket."""
        self._is_stopped = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for channel in self._channels.values():
            channel.socket.close()
        if self._router is not None:
            self._router.close()
        if self._authenticator is not None:
            self._authenticator.stop()
        # With a socket still open, this would block forever.
        self._context.destroy(linger=0)

    async def request(
        self,
        peer_address: PeerAddress,
        kind: str,
        body: abc.Mapping[str, typing.Any],
        *,
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        """Send a request to a peer and return the body of its reply."""
        channel = self._channel(peer_address)
        number = str(next(self._request_numbers)).encode()
        reply = asyncio.get_running_loop().create_future()
        channel.pending_replies[number] = reply
        frames = [number, *self._message_table.encode(kind, body)]
        _count_frames("sent", frames)
        try:
            async with asyncio.timeout(timeout_s):
                await channel.socket.send_multipart(frames)
                return await reply
        except (TimeoutError, zmq.ZMQError) as error:
            raise errors.PeerUnreachableError(
                f"{peer_address.url}: no reply"
            ) from error
        finally:
            del channel.pending_replies[number]

    def notify(
        self,
        peer_address: PeerAddress,
        kind: str,
        body: abc.Mapping[str, typing.Any],
    ) -> None:
        """Send a message without reply; one that can't be queued is dropped."""
        try:
            channel = self._channel(peer_address)
        except errors.PeerUnreachableError:
            return
        frames = [NOTIFICATION_NUMBER, *self._message_table.encode(kind, body)]
        _count_frames("sent", frames)
        sending = channel.socket.send_multipart(frames, flags=zmq.NOBLOCK)
        sending.add_done_callback(
            functools.partial(self._count_unsent, peer_address.url)
        )

    def _count_unsent(self, peer: str, sending: asyncio.Future) -> None:
        if not sending.cancelled() and sending.exception() is not None:
            self._events.count_unsent(peer)

    def forget(self, peer_address: PeerAddress) -> None:
        """Close the socket to a peer."""
        channel = self._channels.pop(peer_address, None)
        if channel is not None:
            for task in channel.tasks:
                task.cancel()
            channel.socket.close(0)

    def count_dropped(self, reason: object) -> None:
        """Count a message, or a part of one, that is dropped."""
        DROPPED_MESSAGES.inc()
        log.debug("dropped a peer's message", extra=logs.fields(reason=reason))

    async def _close_idle(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            cutoff = time.monotonic() - CHANNEL_IDLE_TIMEOUT_S
            for peer_address, channel in list(self._channels.items()):
                if channel.used_at < cutoff and not channel.pending_replies:
                    self.forget(peer_address)

    def _channel(self, peer_address: PeerAddress) -> _Channel:
        if self._is_stopped:
            raise errors.PeerUnreachableError("the transport of this entry has stopped")
        if self._curve is not None and peer_address.public_key is None:
            raise errors.PeerUnreachableError(
                f"{peer_address.url}: no CURVE key is known"
            )
        if peer_address not in self._channels:
            self._channels[peer_address] = self._open_channel(peer_address)
        channel = self._channels[peer_address]
        channel.used_at = time.monotonic()
        return channel

    def _open_channel(self, peer_address: PeerAddress) -> _Channel:
        socket = self._context.socket(zmq.DEALER)
        try:
            self._connect(socket, peer_address)
        except (zmq.ZMQError, ValueError, OverflowError) as error:
            # Other entries say where a peer listens; what they say may be no address.
            socket.close(0)
            self.count_dropped(error)
            raise errors.PeerUnreachableError(f"not an address: {error}") from error
        channel = _Channel(socket)
        channel.tasks = [
            self._start_task(self._receive_replies(channel)),
            self._start_task(self._events.watch(socket, peer_address.url)),
        ]
        return channel

    def _connect(self, socket: zmq.asyncio.Socket, peer_address: PeerAddress) -> None:
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, PEER_QUEUE_MESSAGES)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        if self._curve is not None:
            socket.curve_secretkey = self._curve.secret_key.encode()
            socket.curve_publickey = self._curve.public_key.encode()
            socket.curve_serverkey = peer_address.public_key.encode()
        socket.connect(peer_address.url)

    async def _receive_replies(self, channel: _Channel) -> None:
        while True:
            number, *frames = await channel.socket.recv_multipart()
            _count_frames("received", frames)
            try:
                _, body = self._message_table.decode(frames)
            except errors.WireError as error:
                self.count_dropped(error)
                continue
            reply = channel.pending_replies.get(number)
            if reply is not None and not reply.done():
                reply.set_result(body)

    async def _serve(self) -> None:
        while True:
            frames = await self._router.recv_multipart()
            _count_frames("received", frames)
            if len(frames) != 4 or not self._may_start_handler(frames[0]):
                self.count_dropped("too many requests or frames")
                continue
            self._running_handlers[frames[0]] = (
                self._running_handlers.get(frames[0], 0) + 1
            )
            self._start_task(self._run_handler(frames))

    def _may_start_handler(self, identity: bytes) -> bool:
        running_total = sum(self._running_handlers.values())
        running_for_peer = self._running_handlers.get(identity, 0)
        return (
            running_total < MAX_HANDLERS_RUNNING
            and running_for_peer < MAX_HANDLERS_PER_PEER
        )

    async def _run_handler(self, frames: list[bytes]) -> None:
        identity = frames[0]
        try:
            await self._answer(frames)
        except Exception as error:
            # No message of a peer may stop this entry.
            self.count_dropped(repr(error))
            log.warning("handling a peer's message failed", exc_info=error)
        finally:
            self._running_handlers[identity] -= 1
            if not self._running_handlers[identity]:
                del self._running_handlers[identity]

    async def _answer(self, frames: list[bytes]) -> None:
        identity, number, *message = frames
        try:
            kind, body = self._message_table.decode(message)
        except errors.WireError as error:
            self.count_dropped(error)
            return
        handler = self._handlers.get(kind)
        answer = await handler(body.get("sender", ""), body) if handler else None
        if answer is None or number == NOTIFICATION_NUMBER:
            return
        reply = [
            identity,
            number,
            *self._message_table.encode(f"{kind}_answer", answer),
        ]
        _count_frames("sent", reply)
        await self._router.send_multipart(reply)

    def _start_task(self, coroutine: typing.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
