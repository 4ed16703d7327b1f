"""
A server as the platform's callers are served by: registers in the store, runs requests.

What it runs is decided by the request: one with ``Token-Usage`` is answered by a
stream of events, any other by one body. ``behaviour`` spoils answers: ``silent`` gives
none, ``refuse`` rejects without running, ``lose`` runs and loses the answer, ``cut``
breaks it off, ``extra`` answers twice, ``fail`` answers 500. ``watch`` hears of what
arrives, what runs and when that is over.
"""

import asyncio
import random
import time
import typing

from standins import edgestore, edgewire

SERVERS = "keyed.servers"
HEARTBEAT_S = 0.4
# A server that has said nothing for this many heartbeats is dropped from the store.
LAPSE_HEARTBEATS = 3
WORK_S = 0.02
EVENT_S = 0.015
TOKENS_PER_EVENT = 5
SLOTS = 16
BEHAVIOURS = ("pass", "silent", "refuse", "lose", "cut", "extra", "fail")


class Watch(typing.Protocol):
    """Who hears what servers see."""

    def arrived(self, server: "EdgeServer", request: edgewire.Request) -> None:
        """Take note of a request that came in whole."""

    def ran(self, server: "EdgeServer", request: edgewire.Request) -> None:
        """Take note of a request that begins to run."""

    def ended(self, server: "EdgeServer", request: edgewire.Request) -> None:
        """Take note that a run is over, however it ended."""


def event(attempt_id: str, number: int) -> bytes:
    """Return one event of the stream of a request."""
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


def body_of(attempt_id: str, path: str) -> bytes:
    """Return the answer to a request that isn't streamed."""
    return f"{attempt_id} {path}".encode()


class EdgeServer:
    """One incarnation of a server."""

    def __init__(
        self,
        store: edgestore.EdgeStore,
        watch: Watch,
        *,
        name: str,
        service: str,
        data_centre: str,
        chooser: random.Random,
    ):
        self.name = name
        self.service = service
        self.born = int(time.time() * 1000)
        self.behaviour = "pass"
        self.share = 1.0
        self.left_at: float | None = None
        self.public_port = 0
        self._data_centre = data_centre
        self._store = store
        self._watch = watch
        self._random = chooser
        self._listener = edgewire.Listener(self._handle)
        self._sequence = 0
        self._heartbeat: asyncio.Task | None = None

    @property
    def port(self) -> int:
        """Where the server listens itself."""
        return self._listener.port

    async def start(self, port: int = 0) -> None:
        """Listen; ``register`` makes it known."""
        await self._listener.start(port)

    def register(self, public_port: int) -> None:
        """Write to the store now and then, under the port that callers use."""
        self.public_port = public_port
        self._write("ready")
        self._heartbeat = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.left_at is None:
                self._write("ready")

    def _write(self, state: str) -> float:
        self._sequence += 1
        entry = {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.public_port}",
            "Zone": self._data_centre,
            "Version": "v1",
            "Slots": SLOTS,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self.born,
        }
        return self._store.put(SERVERS, self.name, entry)

    def leave(self, *, silently: bool = False) -> None:
        """Say that it leaves, or have its entry removed; it serves on."""
        if silently:
            self.left_at = self._store.drop(SERVERS, self.name)
        else:
            self.left_at = self._write("draining")

    async def stop(self, *, lapses: bool = False) -> None:
        """End at once; the entry goes now, or when it has lapsed."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        await self._listener.stop()
        if lapses:
            await asyncio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_S)
        if self.left_at is None:
            self.left_at = self._store.drop(SERVERS, self.name)

    async def _handle(
        self, request: edgewire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        expected = request.headers.get("expect-instance", self.name)
        attempt_id = request.headers.get("attempt-id", "")
        head = {"Attempt-Id": attempt_id, "Server-Signature": f"s.{self.name}"}
        if expected != self.name:
            writer.write(edgewire.encode(421, b"", {"Instance-Id": self.name}))
            return True
        self._watch.arrived(self, request)
        behaviour = self.behaviour
        if self._random.random() >= self.share:
            behaviour = "pass"
        if behaviour == "refuse":
            refusal = {"Attempt-Id": attempt_id, "Not-Executed": "1"}
            writer.write(edgewire.encode(503, b"", refusal))
            return True
        if behaviour == "silent":
            await asyncio.get_running_loop().create_future()
        self._watch.ran(self, request)
        try:
            if behaviour == "fail":
                await asyncio.sleep(WORK_S)
                writer.write(edgewire.encode(500, b"failed", head))
                return True
            if "token-usage" in request.headers:
                return await self._stream(request, writer, head, behaviour)
            return await self._answer(request, writer, head, behaviour)
        finally:
            self._watch.ended(self, request)

    async def _answer(
        self,
        request: edgewire.Request,
        writer: asyncio.StreamWriter,
        head: dict[str, str],
        behaviour: str,
    ) -> bool:
        await asyncio.sleep(self._random.uniform(WORK_S / 2, 2 * WORK_S))
        body = body_of(head["Attempt-Id"], request.path)
        data = edgewire.encode(200, body, head)
        if behaviour in ("lose", "cut"):
            writer.write(data[: -len(body) // 2] if behaviour == "cut" else b"")
            await writer.drain()
            edgewire.reset(writer)
            return False
        writer.write(data)
        if behaviour == "extra":
            writer.write(edgewire.encode(200, b"extra", head))
        await writer.drain()
        return True

    async def _stream(
        self,
        request: edgewire.Request,
        writer: asyncio.StreamWriter,
        head: dict[str, str],
        behaviour: str,
    ) -> bool:
        attempt_id = head["Attempt-Id"]
        last = int(request.headers["token-usage"].split(",")[1]) // TOKENS_PER_EVENT
        first = int(request.headers.get("last-event-id", 0)) + 1
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        await asyncio.sleep(self._random.uniform(WORK_S / 2, 2 * WORK_S))
        writer.write("\r\n".join([*lines, "", ""]).encode())
        cut_at = self._random.randint(first, last + 1)
        for number in range(first, last + 1):
            data = event(attempt_id, number)
            if behaviour in ("cut", "lose") and number == cut_at:
                writer.write(b"%x\r\n%b" % (len(data), data[: len(data) // 2]))
                await writer.drain()
                edgewire.reset(writer)
                return False
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        if behaviour == "extra":
            writer.write(edgewire.encode(200, b"extra", head))
        await writer.drain()
        return True
