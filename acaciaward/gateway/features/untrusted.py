"""
Runs one entry as a process of its own, and crowds of clients that nobody controls.

The crowds are small, as are the limits of the entry's settings. What is measured
doesn't depend on the machine's speed: the peak of the resident memory, the most
descriptors that were open, and whether an ordinary request is answered at all.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import typing

from acaciaward.catalogue.features import delivery
from standins import edgeserver, edgewire, ports

MEBIBYTE = 1 << 20
# Limits of the entry under test: the machine's, and the configuration's.
MEMORY_MB = 96
MAX_FDS = 400
BODY_BYTES = MEBIBYTE
LOWERED_BODY_BYTES = 65_536
IDLE_MS = 15_000
START_TIMEOUT_S = 15.0
# Only ends a test that would never end; an entry that answers at all does so before.
HANG_TIMEOUT_S = 20.0
SAMPLE_INTERVAL_S = 0.02
# The peak of the memory is read when it hasn't grown for this time.
SETTLE_S = 1.0
SETTLE_ROUNDS = 15
REPEATS = 8
# The port of the internal range that each listener has.
INTERNAL_PORTS = {"Metrics": 1, "Detours": 2}
PATHS = {"Directory": "/api/discovery", "Readiness": "/api/readyz"}
CHUNK = b"2\r\nxy\r\n"


# What a peer's socket of ZMTP 3.0 without encryption sends before its first message.
ZMTP_GREETING = b"\xff" + b"\0" * 8 + b"\x7f\x03\x00NULL" + b"\0" * 48
ZMTP_READY = b"\x05READY\x0bSocket-Type\0\0\0\x06DEALER"
ZMTP_HANDSHAKE = ZMTP_GREETING + b"\x04%c%b" % (len(ZMTP_READY), ZMTP_READY)
ZMTP_LONG_FRAME = 0x02
ZMTP_MORE_FRAMES = 0x01


class Shape(typing.NamedTuple):
    """The bytes that a client sends: a head's lines or a handshake, then pieces."""

    lines: tuple[str, ...]
    pieces: typing.Iterable[bytes]
    handshake: bytes = b""


def _split(body: bytes, size: int) -> typing.Iterable[bytes]:
    return (body[at : at + size] for at in range(0, len(body), size))


def stalled_body() -> Shape:
    """Return a body of legal size that stops one byte short."""
    length = (f"Content-Length: {BODY_BYTES}",)
    return Shape(length, [b"x" * (BODY_BYTES - 1)])


def pieced_body() -> Shape:
    """Return the same in pieces."""
    shape = stalled_body()
    return shape._replace(pieces=_split(b"".join(shape.pieces), 4096))


def endless_body() -> Shape:
    """Return one that announces far more than is allowed."""
    length = (f"Content-Length: {64 * BODY_BYTES}",)
    return Shape(length, itertools.repeat(b"x" * 65536, 32))


def _chunked(pieces: typing.Iterable[bytes]) -> Shape:
    return Shape(("Transfer-Encoding: chunked",), pieces)


def large_chunks() -> Shape:
    """Return chunks of 64 KiB, one byte less than is allowed, without their end."""
    body = b"x" * (BODY_BYTES - 1)
    parts = _split(body, 65536)
    return _chunked([b"%x\r\n%b\r\n" % (len(part), part) for part in parts])


def excessive_chunks() -> Shape:
    """Return chunks of twice of what is allowed, unannounced."""
    part = b"10000\r\n" + b"x" * 65536 + b"\r\n"
    return _chunked(itertools.repeat(part, 2 * BODY_BYTES // 65536))


def tiny_chunks() -> Shape:
    """Return 40,000 chunks of two bytes, without their end."""
    return _chunked([CHUNK * 40_000])


def partial_head() -> Shape:
    """Return a head that doesn't end."""
    return Shape((), [], b"POST /a/1 HTTP/1.1\r\nHost: x.example\r\n")


def _frames(flags: int, size: int, count: int, missing: int) -> Shape:
    frame = bytes([flags | ZMTP_LONG_FRAME]) + size.to_bytes(8, "big") + b"x" * size
    return Shape((), [(frame * count)[: -missing or None]], ZMTP_HANDSHAKE)


def stalled_frame() -> Shape:
    """Return a peer's message of legal size that stops one byte short."""
    return _frames(0, MEBIBYTE, 1, 1)


def endless_message() -> Shape:
    """Return a peer's message of many frames, whose last one never comes."""
    return _frames(ZMTP_MORE_FRAMES, 4096, MEBIBYTE // 4096, 0)


SHAPES = {
    "bodies that stop one byte short": stalled_body,
    "bodies in pieces that stop one byte short": pieced_body,
    "bodies announced far over the limit": endless_body,
    "bodies of large chunks that don't end": large_chunks,
    "bodies of large chunks over the limit": excessive_chunks,
    "bodies of two-byte chunks that don't end": tiny_chunks,
    "heads that don't end": partial_head,
    "messages that stop one byte short": stalled_frame,
    "messages whose last frame never comes": endless_message,
}


class Watch:
    """Counts the bytes of the bodies that reach the endpoint."""

    def __init__(self):
        self.body_bytes = []

    def arrived(self, server, request):
        self.body_bytes.append(int(request.headers.get("content-length", 0)))

    def ran(self, server, request):
        pass

    def ended(self, server, request):
        pass


class World(delivery.World):
    """A store, an endpoint, an entry as a process, and clients."""

    def __init__(self, body_bytes: int = BODY_BYTES, memory_mb: int = MEMORY_MB):
        limits = {"MaxBodyBytes": body_bytes, "IdleTimeoutMs": IDLE_MS}
        super().__init__(1, 1, configuration={"Limits": limits})
        self.watch = Watch()
        self.memory_mb = memory_mb
        self.most_descriptors = self.idle_descriptors = 0
        self._folder = tempfile.TemporaryDirectory(prefix="acaciaward-untrusted-")
        self._process: subprocess.Popen | None = None
        self._tasks: list[asyncio.Task] = []
        self._sampling: asyncio.Task | None = None
        self._numbers = itertools.count()
        self._ports = self.entries[0].ports
        first = _find_port_range(3)
        self._ports |= {name: first + at for name, at in INTERNAL_PORTS.items()}
        self._port_range = f"{first},{first + 2}"
        self._server = edgeserver.EdgeServer(
            self.store,
            self.watch,
            name="app-1",
            service="app",
            data_centre="dc-0",
            rng=random.Random(1),
        )

    @property
    def is_running(self) -> bool:
        """Whether the entry's process lives."""
        return self._process.poll() is None

    @property
    def peak_resident_bytes(self) -> int:
        """The most memory that the entry had resident since its start."""
        return self._memory_bytes("VmHWM")

    def _memory_bytes(self, name: str) -> int:
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        return int(fields[name].split()[0]) * 1024

    async def settle(self):
        """Wait until the entry has taken in what was sent, so that memory stays."""
        before = -1
        for _ in range(SETTLE_ROUNDS):
            if not self.is_running or self.peak_resident_bytes == before:
                return
            before = self.peak_resident_bytes
            await asyncio.sleep(SETTLE_S)

    def settings_text(self, entry):
        """Return the entry's settings with the machine's limits."""
        named = set(delivery.LISTENERS)
        all_ports = entry.ports
        entry.ports = {name: port for name, port in all_ports.items() if name in named}
        text = super().settings_text(entry)
        entry.ports = all_ports
        fields = {"InternalPortRange": self._port_range}
        fields |= {"Limits.MemoryMb": self.memory_mb, "Limits.MaxFds": MAX_FDS}
        return text + "".join(f"{name}={value}\n" for name, value in fields.items())

    async def start(self):
        """Start everything, and wait until an ordinary request is answered."""
        await self.store.start()
        self.change()
        await self.start_proxy(self.entries[0])
        await self._server.start()
        self._server.register(self._server.port)
        self._start_process()
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.ask() != 200:
                await asyncio.sleep(0.1)
        # Connections to the store and to the endpoint may be added.
        self.idle_descriptors = self._count_descriptors() + 10
        self._sampling = asyncio.create_task(self._sample())

    def _start_process(self):
        folder = pathlib.Path(self._folder.name)
        settings = folder / "entry.conf"
        settings.write_text(self.settings_text(self.entries[0]))
        root = pathlib.Path(__file__).resolve().parents[3]
        with (folder / "entry.log").open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-P", "-m", "acaciaward", "gateway"]
                + ["--settings", str(settings)],
                cwd=folder,
                env={"PATH": os.environ["PATH"], "PYTHONPATH": str(root)},
                stdout=output,
                stderr=output,
            )

    async def stop(self):
        """Stop everything."""
        await self.disperse()
        if self._sampling is not None:
            self._sampling.cancel()
        if self._process is not None:
            self._process.kill()
            self._process.wait()
        await self._server.stop()
        await super().stop()
        self._folder.cleanup()

    async def gather_crowd(self, count: int, shape: Shape, listener: str, path=None):
        """Connect clients that send ``shape`` and stay; return when all have sent."""
        path = path or PATHS.get(listener, "/a/1")
        sent_events = [asyncio.Event() for _ in range(count)]
        pieces = list(shape.pieces)
        for sent in sent_events:
            client = self._run_client(
                self._ports[listener],
                shape.handshake or self._head(path, *shape.lines),
                pieces,
                sent,
            )
            self._tasks.append(asyncio.create_task(client))
        waits = [asyncio.create_task(sent.wait()) for sent in sent_events]
        await asyncio.wait(waits, timeout=HANG_TIMEOUT_S)
        for wait in waits:
            wait.cancel()

    async def _run_client(self, port, head, pieces, sent):
        writer = None
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
            sent.set()
            while await reader.read(65536):
                pass
        except OSError:
            # The entry refused the connection or cut it, which it may.
            pass
        finally:
            sent.set()
            if writer is not None:
                writer.transport.abort()

    def signal(self, number: int):
        """Send the entry's process a signal."""
        self._process.send_signal(number)

    async def wait_for_end(self):
        """Return the exit code of the entry, None if it doesn't end."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANG_TIMEOUT_S):
                while self.is_running:
                    await asyncio.sleep(SAMPLE_INTERVAL_S)
        return self._process.poll()

    async def lower_limit(self):
        """Lower the largest legal size, and wait until that is in force."""
        self._configuration = {"Limits": {"MaxBodyBytes": LOWERED_BODY_BYTES}}
        self.change()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while await self.ask(b"x" * (LOWERED_BODY_BYTES + 1)) != 413:
                await asyncio.sleep(0.1)

    async def send_ordinary(self, count: int):
        """Send ordinary requests, a few at a time."""
        for _ in range(0, count, 10):
            await asyncio.gather(*(self.ask(b"x" * 100) for _ in range(10)))

    async def leave(self):
        """Let the crowd leave, and wait until the entry has noticed."""
        await self.disperse()
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while self._count_descriptors() > self.idle_descriptors:
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def disperse(self):
        """Close the connections of the crowd."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def _head(self, path, *lines):
        number = next(self._numbers)
        head = [f"POST {path} HTTP/1.1", "Host: x.example", f"Attempt-Id: r-{number}"]
        return "\r\n".join([*head, "Deadline-Ms: 15000", *lines, "", ""]).encode()

    async def ask(self, body: bytes = b"", pieces: int = 1, pause_s: float = 0.0):
        """Send a request; return the status of its answer, None without one."""
        size = max(1, -(-len(body) // pieces))
        lines = ["Connection: close", f"Content-Length: {len(body)}"]
        data = b""
        writer = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(HANG_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._ports["Frontend"]
                )
                writer.write(self._head("/a/1", *lines))
                for part in _split(body, size):
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(pause_s)
                while part := await reader.read(65536):
                    data += part
        if writer is not None:
            writer.transport.abort()
        words, _ = edgewire.parse_head(data.partition(b"\r\n\r\n")[0] or b"X 0 none")
        return int(words[1]) or None

    async def ask_repeatedly(self):
        """Send an ordinary request; a caller that is refused sends it again."""
        status = None
        for _ in range(REPEATS):
            status = await self.ask(b"x" * 100)
            if status != 503:
                return status
            await asyncio.sleep(0.5)
        return status

    def _count_descriptors(self):
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    async def _sample(self):
        while self.is_running:
            with contextlib.suppress(OSError):
                self.most_descriptors = max(
                    self.most_descriptors, self._count_descriptors()
                )
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _find_port_range(size):
    found = [ports.find_free_port()]
    while len(found) < size:
        port = ports.find_free_port()
        found = [*found, port] if port == found[-1] + 1 else [port]
    return found[0]
