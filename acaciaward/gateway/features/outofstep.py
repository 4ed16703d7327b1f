"""
Runs entries of which one is out of step; callers take their streams up there.

The entries run in this process, except for one that can be made to stand still, which
is a process of its own. An entry is cut off from the store by its proxy, and from its
peers by losing all messages.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from acaciaward import errors
from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import fleet
from acaciaward.membership import rendezvous
from standins import edgeserver, edgewire

DATA_CENTRES = 2
ENTRIES_EACH = 3
ENDPOINTS_EACH = 4
# Streams of 3 s, so that they run on whatever happens to entries in between.
EVENTS = 200
STREAM_S = fleet.ROUTE["TimeoutMs"] / 1000
RETRY_S = 0.15
UNAVAILABLE = 503
START_TIMEOUT_S = 15.0
SERVICES = [{"Name": name, "MaxConnections": 200} for name in ("app", "other")]


@dataclasses.dataclass
class Answer:
    """What a caller got when it took its stream up."""

    status: int
    took_s: float
    retry_after_s: float | None
    events: int


@dataclasses.dataclass
class Stream:
    """One caller's stream: its events' versions, and the answers to its take-ups."""

    number: int
    began_at: float
    last_event: int = 0
    versions: list[str] = dataclasses.field(default_factory=list)
    is_complete: bool = False
    answers: list[Answer] = dataclasses.field(default_factory=list)

    @property
    def went_on(self) -> bool:
        """Whether a take-up brought events."""
        return any(answer.events for answer in self.answers)

    @property
    def is_joined(self) -> bool:
        """Whether two versions wrote it."""
        return len(set(self.versions)) > 1


class Group(delivery.World):
    """Entries, endpoints, and callers; the world whose entry may be out of step."""

    def __init__(self):
        super().__init__(
            DATA_CENTRES,
            ENTRIES_EACH,
            route=fleet.ROUTE,
            configuration={"Services": SERVICES},
        )
        self.streams: list[Stream] = []
        self.odd = self.entries[0]
        self._apart: delivery.Entry | None = None
        self._process: subprocess.Popen | None = None
        self._folder = tempfile.TemporaryDirectory(prefix="acaciaward-outofstep-")
        self._servers: list[edgeserver.EdgeServer] = []
        self._readings: list[asyncio.Task] = []
        self._ended: list[delivery.Entry] = []

    def arrived(self, server, request):
        """Ignore a request at an endpoint."""

    def ran(self, server, request):
        """Ignore the begin of a run."""

    def ended(self, server, request):
        """Ignore the end of a run."""

    def put_apart(self, role: str) -> None:
        """
        Let an entry run as a process.

        It is ``a reader``, ``one entry`` that reads nothing itself, or ``the reader of
        one`` at which streams are taken up.
        """
        names = [entry.name for entry in self.entries[:ENTRIES_EACH]]
        (reader,) = rendezvous.choose("reader", names, 1)
        by_name = {entry.name: entry for entry in self.entries}
        other = next(by_name[name] for name in names if name != reader)
        self._apart = other if role == "one entry" else by_name[reader]
        self.odd = by_name[reader] if role == "a reader" else other

    async def start(self) -> None:
        """Start everything with endpoints of v1, and wait for a stream's time."""
        await self.store.start()
        self.change()
        for entry in self.entries:
            await self.start_proxy(entry)
            if entry is self._apart:
                self._start_process(entry)
            else:
                await self.start_gateway(entry)
        await self.join("app", "v1")
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all([await self._is_ready(entry) for entry in self.entries]):
            if time.monotonic() > deadline:
                raise RuntimeError("the entries aren't ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(STREAM_S + 1.5)

    def _start_process(self, entry: delivery.Entry) -> None:
        folder = pathlib.Path(self._folder.name)
        settings = folder / "entry.conf"
        settings.write_text(self.settings_text(entry))
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

    async def _is_ready(self, entry: delivery.Entry) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", entry.ports["Readiness"]
            )
        except OSError:
            return False
        writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def stop(self) -> None:
        """Stop callers, endpoints and entries."""
        for task in self._readings:
            task.cancel()
        await asyncio.gather(*self._readings, return_exceptions=True)
        for server in self._servers:
            await server.stop()
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
        for entry in self.entries:
            if entry in self._ended or entry is self._apart:
                entry.gateway = None
        await super().stop()
        self._folder.cleanup()

    # Endpoints.

    async def join(self, service: str, version: str) -> None:
        """Start endpoints of a version."""
        for number in range(ENDPOINTS_EACH):
            server = edgeserver.EdgeServer(
                self.store,
                self,
                name=f"{service}-{version}-{number}",
                service=service,
                data_centre=f"dc-{number % DATA_CENTRES}",
                rng=random.Random(number),
            )
            server.version = version
            await server.start()
            server.register(server.port)
            self._servers.append(server)

    async def end(self, version: str) -> None:
        """End all endpoints of a version, as of a crash that the store hears of."""
        for server in [one for one in self._servers if one.version == version]:
            self._servers.remove(server)
            await server.stop()

    # Entries.

    def cut_off(self, entry: delivery.Entry) -> None:
        """Cut an entry off from the store and its peers."""
        self.hold([entry])
        transport = entry.gateway._transport
        self._uncut = {name: getattr(transport, name) for name in CUT}
        for name, replacement in CUT.items():
            setattr(transport, name, replacement)

    def heal(self, entry: delivery.Entry) -> None:
        """End the cut."""
        for name, original in self._uncut.items():
            setattr(entry.gateway._transport, name, original)
        self.reconnect()

    def stand_still(self) -> None:
        """Stop the process of its own."""
        self._process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Let it go on."""
        self._process.send_signal(signal.SIGCONT)

    async def end_entries(self, entries: list[delivery.Entry]) -> None:
        """End entries of this process at once, without draining."""
        for entry in entries:
            entry.gateway._is_leaving = True
            entry.gateway._callers.abort()
        self._ended += entries
        await asyncio.gather(*(self._end_entry(entry) for entry in entries))

    async def _end_entry(self, entry: delivery.Entry) -> None:
        gateway = entry.gateway
        await gateway._end()
        for server in [gateway._callers, *gateway._auxiliary_servers.values()]:
            server.stop_accepting()
            server.abort()

    def others(self) -> list[delivery.Entry]:
        """Return the entries in this process that are in step and run."""
        apart = (self.odd, self._apart)
        return [
            entry
            for entry in self.entries
            if entry not in apart and entry not in self._ended
        ]

    # Callers.

    async def begin(self, count: int, entries: list[delivery.Entry]) -> None:
        """Begin streams; their callers read until these end or break off."""
        for number in range(count):
            stream = Stream(len(self.streams), time.monotonic())
            self.streams.append(stream)
            entry = entries[number % len(entries)]
            reading = asyncio.create_task(self._ask(entry, stream, None))
            self._readings.append(reading)
            await asyncio.sleep(0.004)

    async def take_up(
        self, entry: delivery.Entry, *, names_attempt: bool, tries: int
    ) -> None:
        """Take up all streams that broke off, each again while it is refused."""
        broken = [one for one in self.streams if one.last_event]
        broken = [one for one in broken if not one.is_complete]
        await asyncio.gather(
            *(self._take_up(entry, one, names_attempt, tries) for one in broken)
        )

    async def _take_up(self, entry, stream, names_attempt, tries):
        resumed = f"r-{stream.number}-0" if names_attempt else ""
        for _ in range(tries):
            answer = await self._ask(entry, stream, resumed)
            if answer is not None:
                stream.answers.append(answer)
            if stream.is_complete:
                return
            await asyncio.sleep(RETRY_S)

    async def _ask(self, entry, stream, resumed) -> Answer | None:
        """Send an attempt and read its answer; None if there is no connection."""
        sent_at = time.monotonic()
        left_s = stream.began_at + STREAM_S - sent_at
        if left_s <= 0:
            return None
        lines = [f"POST /a/{stream.number} HTTP/1.1", "Host: x.example"]
        lines += [f"Attempt-Id: r-{stream.number}-{len(stream.answers)}"]
        lines += [f"Deadline-Ms: {1000 * left_s:.0f}", "Connection: close"]
        lines += [f"Token-Usage: 40,{EVENTS * edgeserver.TOKENS_PER_EVENT}"]
        lines += [f"Prompt-Prefix: own-{stream.number}:40", "Content-Length: 0"]
        if resumed is not None:
            lines[2] = f"Attempt-Id: r-{stream.number}-{len(stream.answers) + 1}"
            lines.append(f"Last-Event-Id: {stream.last_event}")
            lines += [f"Resumes: {resumed}"] if resumed else []
        data = b""
        # What has arrived before an error counts.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(left_s):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", entry.ports["Frontend"]
                )
                try:
                    writer.write("\r\n".join([*lines, "", ""]).encode())
                    while part := await reader.read(65536):
                        data += part
                finally:
                    writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        if not head:
            return None
        words, headers = edgewire.parse_head(head)
        events = fleet.EVENT.findall(body)
        stream.versions += [name.decode() or "v1" for _, name in events]
        if events:
            stream.last_event = int(events[-1][0])
        status = int(words[1])
        stream.is_complete = status == 200 and body.endswith(b"0\r\n\r\n")
        retry_after = headers.get("retry-after")
        return Answer(
            status,
            time.monotonic() - sent_at,
            float(retry_after) if retry_after is not None else None,
            len(events),
        )


async def _lose_request(address, kind, body, *, timeout_s):
    await asyncio.sleep(timeout_s)
    raise errors.PeerUnreachableError(f"{address.url}: cut off")


async def _lose_frames(frames):
    """Answer nothing."""


# What replaces parts of the transport of an entry that is cut off from its peers.
CUT = {
    "request": _lose_request,
    "notify": lambda address, kind, body: None,
    "_answer": _lose_frames,
}
