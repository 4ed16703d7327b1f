"""
Stand-in for a server of the platform: registers in the store and runs requests.

A request with ``Token-Usage`` is answered by a stream of events, any other by one
body. ``behaviour`` injects a fault: ``silent`` never answers, ``refuse`` rejects
without running, ``lose`` runs and resets the connection without an answer (a stream
is truncated), ``cut`` truncates the answer, ``extra`` answers twice, ``fail`` answers
500, ``stale`` writes a refusal that names no request once more before the answer, on
connections that were used before, ``bare`` closes after the head of an answer without a
length, and ``overload`` answers streams that go on with an error under status 200.
``share`` is the share of requests that the fault applies to. ``limit_per_s`` is
named in all answers as the requests that the server takes from all entries together.
``record_fields`` override those of the server's record; None leaves a field out, and
without ``renews_record`` no heartbeat writes it.
``says_leaving`` decides by request and status which answers say that the server leaves,
and ``backoff`` is the time for which refusals with 503 ask to back off; ``on_answer``
is then called with the headers that tell of the server.
A request with one of ``deadly_parts`` in its prompt, other than as the last part,
crashes the server inside the first event of its answer; ``on_crash`` is then called.
``crash_after`` tells how long after the begin of its answer a request crashes the
server, in seconds, None if it doesn't.
Streams have chunks, or end with their connection if ``is_unframed``. ``version`` is
that of the server's software; the events of another one than ``v1`` name it.
``stand_still`` lets a server do nothing for a while, as a process that is stopped by a
signal: what it runs goes on afterwards, and no heartbeat is sent meanwhile.
A server with a ``room`` runs and queues as many requests as that has place for, refuses
others, and crashes if it is brittle and has refused too many; with ``on_rejection``,
that is called instead. ``run_s`` is about how
long a request runs.
``watch`` is notified of each request that arrives, begins to run and ends.
"""

import asyncio
import random
import time
import typing
import weakref

from standins import edgestore, edgewire, rooms

SERVERS = "keyed.servers"
HEARTBEAT_S = 0.4
# The store drops the entry of a server after this many missed heartbeats.
LAPSE_HEARTBEATS = 3
RUN_S = 0.02
EVENT_INTERVAL_S = 0.015
TOKENS_PER_EVENT = 5
SLOTS = 16
BEHAVIOURS = (
    "pass",
    "silent",
    "refuse",
    "lose",
    "cut",
    "extra",
    "fail",
    "stale",
    "bare",
    "overload",
)
STALE_REFUSAL = edgewire.encode(503, b"", {"Not-Executed": "1"})
OVERLOADED = b"event: error\ndata: overloaded\n\n"


class Watch(typing.Protocol):
    """Receives the events of servers."""

    def arrived(self, server: "EdgeServer", request: edgewire.Request) -> None:
        """Record a request that arrived complete."""

    def ran(self, server: "EdgeServer", request: edgewire.Request) -> None:
        """Record that a request begins to run."""

    def ended(self, server: "EdgeServer", request: edgewire.Request) -> None:
        """Record that a run has ended, in whatever way."""


FIRST_VERSION = "v1"


def event(attempt_id: str, event_id: int, version: str = FIRST_VERSION) -> bytes:
    """Return one event of the stream of a request."""
    mark = "" if version == FIRST_VERSION else f" {version}"
    return f"id: {event_id}\ndata: {attempt_id} {event_id}{mark}\n\n".encode()


def version_of(events: bytes) -> str:
    """Return the version of the server that sent the first of some whole events."""
    words = events.split(b"\n", 2)[1].split()
    return words[3].decode() if len(words) > 3 else FIRST_VERSION


def body_of(attempt_id: str, path: str) -> bytes:
    """Return the answer to a request that isn't streamed."""
    return f"{attempt_id} {path}".encode()


def shared_parts(request: edgewire.Request) -> list[str]:
    """Return the parts of a request's prompt that other requests may have too."""
    parts = request.headers.get("prompt-prefix", "").split(",")
    return [part.strip().partition(":")[0] for part in parts[:-1]]


class EdgeServer:
    """One incarnation (run from start to stop) of a named server."""

    def __init__(
        self,
        store: edgestore.EdgeStore,
        watch: Watch,
        *,
        name: str,
        service: str,
        data_centre: str,
        rng: random.Random,
    ):
        self.name = name
        self.service = service
        self.born = int(time.time() * 1000)
        self.behaviour = "pass"
        self.share = 1.0
        self.limit_per_s: float | None = None
        self.says_leaving: typing.Callable[[edgewire.Request, int], bool] | None = None
        self.backoff: str | None = None
        self.on_answer: (
            typing.Callable[[EdgeServer, edgewire.Request, dict[str, str]], None] | None
        )
        self.on_answer = None
        self.deadly_parts: frozenset[str] = frozenset()
        self.on_crash: (
            typing.Callable[[EdgeServer, edgewire.Request | None], None] | None
        )
        self.on_crash = None
        self.crash_after: (
            typing.Callable[[EdgeServer, edgewire.Request], float | None] | None
        )
        self.crash_after = None
        self.has_crashed = False
        self.room: rooms.Room | None = None
        self.on_rejection: typing.Callable[[EdgeServer, edgewire.Request], None] | None
        self.on_rejection = None
        self.run_s = RUN_S
        self.slots = SLOTS
        self.is_unframed = False
        self.event_interval_s = EVENT_INTERVAL_S
        self.version = FIRST_VERSION
        self.record_fields: dict[str, typing.Any] = {}
        self.renews_record = True
        self.left_at: float | None = None
        self.public_port = 0
        self._data_centre = data_centre
        self._store = store
        self._observer = watch
        self._random = rng
        self._listener = edgewire.Listener(self._handle)
        self._used_connections: weakref.WeakSet[asyncio.StreamWriter] = (
            weakref.WeakSet()
        )
        self._sequence = 0
        self._heartbeat_task: asyncio.Task | None = None
        self._is_running = asyncio.Event()
        self._is_running.set()

    @property
    def port(self) -> int:
        """The server's own port, behind its proxy."""
        return self._listener.port

    async def start(self, port: int = 0) -> None:
        """Start listening, without registering in the store."""
        await self._listener.start(port)

    def register(self, public_port: int) -> None:
        """Register under the port that callers use, and renew by heartbeats."""
        self.public_port = public_port
        self._write_entry("ready")
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def stand_still(self, seconds: float) -> None:
        """Read and write nothing for so long, and go on."""
        self._is_running.clear()
        try:
            await asyncio.sleep(seconds)
        finally:
            self._is_running.set()

    async def _work(self, seconds: float) -> None:
        """Let time pass, and more while the server stands still."""
        await asyncio.sleep(seconds)
        await self._is_running.wait()

    async def _send_heartbeats(self) -> None:
        while True:
            await self._work(HEARTBEAT_S)
            if self.left_at is None and self.renews_record:
                self._write_entry("ready")

    def renew(self) -> float:
        """Write the entry in the store as that of a server that takes requests."""
        return self._write_entry("ready")

    def _write_entry(self, state: str) -> float:
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.public_port}",
            "Zone": self._data_centre,
            "Version": self.version,
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self.born,
        }
        entry |= self.record_fields
        entry = {name: value for name, value in entry.items() if value is not None}
        return self._store.put(SERVERS, self.name, entry)

    def leave(self, *, silently: bool = False) -> None:
        """
        Report the departure, and go on serving.

        The entry in the store is marked as draining, or removed if ``silently``.
        """
        if silently:
            self.left_at = self._store.drop(SERVERS, self.name)
        else:
            self.left_at = self._write_entry("draining")

    async def stop(self, *, lapses: bool = False) -> None:
        """
        End at once and remove the entry from the store.

        With ``lapses``, the entry stays until it has missed ``LAPSE_HEARTBEATS``, as
        that of a server that crashed.
        """
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        await self._listener.stop()
        if lapses:
            await asyncio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_S)
        if self.left_at is None:
            self.left_at = self._store.drop(SERVERS, self.name)

    def crash(self, request: edgewire.Request | None = None) -> None:
        """Reset every connection and accept no more, without a word to the store."""
        if self.has_crashed:
            return
        self.has_crashed = True
        self._heartbeat_task.cancel()
        self._listener.close()
        if self.on_crash is not None:
            self.on_crash(self, request)

    async def _handle(
        self, request: edgewire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        expected_name = request.headers.get("expect-instance", self.name)
        attempt_id = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt_id, "Server-Signature": f"s.{self.name}"}
        if expected_name == self.name:
            self._observer.arrived(self, request)
        await self._is_running.wait()
        if expected_name != self.name:
            writer.write(edgewire.encode(421, b"", {"Instance-Id": self.name}))
            return True
        behaviour = self.behaviour
        if self._random.random() >= self.share:
            behaviour = "pass"
        if behaviour == "stale" and writer in self._used_connections:
            writer.write(STALE_REFUSAL)
        self._used_connections.add(writer)
        if behaviour == "refuse":
            return self._refuse(request, writer)
        if behaviour == "silent":
            await asyncio.get_running_loop().create_future()
        return await self._run_if_room(request, writer, headers, behaviour)

    async def _run_if_room(
        self,
        request: edgewire.Request,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        behaviour: str,
    ) -> bool:
        room = self.room
        if room is None:
            return await self._run(request, writer, headers, behaviour)
        if not await room.enter():
            if self.on_rejection is not None:
                self.on_rejection(self, request)
            elif room.has_rejected_too_many:
                self.crash(request)
                return False
            return self._refuse(request, writer)
        try:
            return await self._run(request, writer, headers, behaviour)
        finally:
            room.leave()

    def _refuse(self, request: edgewire.Request, writer: asyncio.StreamWriter) -> bool:
        attempt_id = request.headers.get("attempt-id", "")
        headers = {"Attempt-Id": attempt_id, "Not-Executed": "1"}
        headers |= self._tell(request, 503)
        writer.write(edgewire.encode(503, b"", headers))
        return True

    async def _run(
        self,
        request: edgewire.Request,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        behaviour: str,
    ) -> bool:
        self._observer.ran(self, request)
        try:
            if behaviour == "fail":
                await self._work(self.run_s)
                headers |= self._tell(request, 500)
                writer.write(edgewire.encode(500, b"failed", headers))
                return True
            if "token-usage" in request.headers:
                return await self._stream(request, writer, headers, behaviour)
            return await self._answer(request, writer, headers, behaviour)
        finally:
            self._observer.ended(self, request)

    def _tell(self, request: edgewire.Request, status: int) -> dict[str, str]:
        """Return the headers by which an answer tells of the server itself."""
        headers = {}
        if self.limit_per_s is not None:
            headers["Server-Limit"] = f"{self.limit_per_s:g}"
        if self.room is not None:
            headers |= self.room.announce()
        if self.says_leaving is not None and self.says_leaving(request, status):
            headers["Server-Leaving"] = "1"
        if status == 503 and self.backoff is not None:
            headers["Retry-After"] = self.backoff
        if headers and self.on_answer is not None:
            self.on_answer(self, request, headers)
        return headers

    async def _answer(
        self,
        request: edgewire.Request,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        behaviour: str,
    ) -> bool:
        await self._work(self._random.uniform(self.run_s / 2, 2 * self.run_s))
        body = body_of(headers["Attempt-Id"], request.path)
        if behaviour not in ("lose", "cut"):
            headers |= self._tell(request, 200)
        data = edgewire.encode(200, body, headers)
        if behaviour == "bare":
            writer.write(data.partition(b"\r\n\r\n")[0].replace(b"Length", b"Note"))
            writer.write(b"\r\n\r\n")
            await writer.drain()
            return False
        if behaviour in ("lose", "cut"):
            writer.write(data[: -len(body) // 2] if behaviour == "cut" else b"")
            await writer.drain()
            edgewire.reset(writer)
            return False
        writer.write(data)
        if behaviour == "extra":
            writer.write(edgewire.encode(200, b"extra", headers))
        await writer.drain()
        return True

    async def _stream(
        self,
        request: edgewire.Request,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        behaviour: str,
    ) -> bool:
        attempt_id = headers["Attempt-Id"]
        # The header holds the expected numbers of prompt and answer tokens.
        last_event_id = (
            int(request.headers["token-usage"].split(",")[1]) // TOKENS_PER_EVENT
        )
        first_event_id = int(request.headers.get("last-event-id", 0)) + 1
        await self._work(self._random.uniform(self.run_s / 2, 2 * self.run_s))
        headers |= self._tell(request, 200)
        head_lines = ["HTTP/1.1 200 OK"]
        head_lines += [f"{name}: {value}" for name, value in headers.items()]
        head_lines.append(
            "Connection: close" if self.is_unframed else "Transfer-Encoding: chunked"
        )
        writer.write("\r\n".join([*head_lines, "", ""]).encode())
        if behaviour == "overload" and first_event_id > 1:
            writer.write(self._frame(OVERLOADED))
            if not self.is_unframed:
                writer.write(b"0\r\n\r\n")
            await writer.drain()
            return not self.is_unframed
        if self.crash_after is not None:
            after_s = self.crash_after(self, request)
            if after_s is not None:
                asyncio.get_running_loop().call_later(after_s, self.crash, request)
        aborted_event_id = self._random.randint(first_event_id, last_event_id + 1)
        for event_id in range(first_event_id, last_event_id + 1):
            data = event(attempt_id, event_id, self.version)
            if self.deadly_parts.intersection(shared_parts(request)):
                writer.write(self._frame(data)[: len(data) // 2])
                await writer.drain()
                self.crash(request)
                return False
            if behaviour in ("cut", "lose") and event_id == aborted_event_id:
                writer.write(b"%x\r\n%b" % (len(data), data[: len(data) // 2]))
                await writer.drain()
                edgewire.reset(writer)
                return False
            writer.write(self._frame(data))
            await writer.drain()
            await self._work(self.event_interval_s)
        if self.is_unframed:
            return False
        writer.write(b"0\r\n\r\n")
        if behaviour == "extra":
            writer.write(edgewire.encode(200, b"extra", headers))
        await writer.drain()
        return True

    def _frame(self, data: bytes) -> bytes:
        return data if self.is_unframed else b"%x\r\n%b\r\n" % (len(data), data)
