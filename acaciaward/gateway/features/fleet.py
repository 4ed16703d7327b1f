"""
Runs several entries with stand-ins of endpoints, and callers that stream from them.

Endpoints that crash come back under another name. Callers repeat a request once, on a
new connection, and go on after the last event that they got.
"""

import asyncio
import itertools
import random
import re
import time
import typing
from collections import abc

from acaciaward.catalogue.features import delivery
from acaciaward.gateway import process
from standins import edgeserver, edgewire

SERVICE = "app"
ROUTE = {
    "RouteType": "streaming",
    "Resumable": True,
    "Sticky": True,
    "MaxAttempts": 2,
    "TimeoutMs": 4000,
    "TargetLatencyMs": 500,
    "GapTargetMs": 500,
}
TIMEOUT_MS = 3000
# The request that crashes endpoints, and its number of events.
DEADLY_PATH = "/a/deadly"
DEADLY_EVENTS = 1000
EVENTS = 10
BACK_AFTER_S = 1.0
# How long an endpoint that leaves goes on serving.
DRAIN_S = 2.5
# Pause of a caller that finds no entry which takes connections.
RECONNECT_S = 0.05
# Number and version, empty for the first, of an event of the stand-in.
EVENT = re.compile(rb"id: (\d+)\ndata: \S+ \d+ ?(\S*)\n")
FIRST_PARTS = ("f1", "f2")
SESSIONS = 20


class Arrival(typing.NamedTuple):
    """A request that reached an endpoint."""

    at: float
    endpoint: str
    attempt_id: str
    parts: tuple[str, ...]


class Try(typing.NamedTuple):
    """One try of a caller's request: when it was sent, and what came of it."""

    sent_at: float
    parts: tuple[str, ...]
    is_first: bool
    took_s: float
    status: int
    events: int
    is_complete: bool
    number: int
    versions: frozenset[str]


class Fleet:
    """Entries, endpoints and callers."""

    def __init__(
        self,
        data_centres: int,
        entries_each: int,
        endpoints: int,
        *,
        seed: int = 1,
        versions: tuple[str, ...] = (edgeserver.FIRST_VERSION,),
        events: int = EVENTS,
        event_interval_s: float = edgeserver.EVENT_INTERVAL_S,
        timeout_ms: int = TIMEOUT_MS,
        configuration: abc.Mapping[str, typing.Any] = {},
    ):
        """Start nothing yet; the route allows a third more than ``timeout_ms``."""
        route = ROUTE | {"TimeoutMs": timeout_ms * 4 // 3}
        self.world = delivery.World(
            data_centres, entries_each, seed, route, configuration
        )
        self.world.endpoint_fields = {"Version": versions[0]}
        self.arrivals: list[Arrival] = []
        self.tries: list[Try] = []
        # When an endpoint crashed, and the part that crashed it, None for a chance.
        self.crashes: list[tuple[float, str | None]] = []
        self.deadly_parts: frozenset[str] = frozenset()
        self.tainted_share = 0.0
        self._is_unframed = False
        # Says how long after its answer began a request crashes an endpoint, or None.
        self.crash_after = None
        self.deadly_events = DEADLY_EVENTS
        # When the request with ``DEADLY_PATH`` reached an endpoint and crashed one.
        self.deadly_arrivals: list[float] = []
        self.deadly_crashes: list[float] = []
        # Whether callers wait for entries that are listed, as all others have ended.
        self.waits_for_entries = False
        # The names of entries that new callers don't choose any more.
        self.stopping: set[str] = set()
        self._versions = versions
        self._events = events
        self._event_interval_s = event_interval_s
        self._timeout_ms = timeout_ms
        self._data_centres = data_centres
        self._count = endpoints
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._deadly_numbers = itertools.count(1)
        self._servers: dict[str, edgeserver.EdgeServer] = {}
        self._tasks: set[asyncio.Task] = set()

    def arrived(self, server, request):
        """Record a request at an endpoint."""
        if request.path == DEADLY_PATH:
            self.deadly_arrivals.append(time.monotonic())
        self.arrivals.append(
            Arrival(
                time.monotonic(),
                server.name,
                request.headers["attempt-id"],
                tuple(edgeserver.shared_parts(request)),
            )
        )

    def ran(self, server, request):
        """Ignore the begin of a run."""

    def ended(self, server, request):
        """Ignore the end of a run."""

    def _crashed(self, server, request):
        found = self.deadly_parts.intersection(
            edgeserver.shared_parts(request) if request else ()
        )
        self.crashes.append((time.monotonic(), next(iter(found), None)))
        if request is not None and request.path == DEADLY_PATH:
            self.deadly_crashes.append(time.monotonic())
        self._start_task(self._replace(server))

    async def _replace(self, server):
        del self._servers[server.name]
        await asyncio.sleep(BACK_AFTER_S)
        if server.version in self._versions:
            await self._add(server.version)
        await server.stop(lapses=True)

    async def _add(self, version):
        number = next(self._numbers)
        server = edgeserver.EdgeServer(
            self.world.store,
            self,
            name=f"{SERVICE}-{number}",
            service=SERVICE,
            data_centre=f"dc-{number % self._data_centres}",
            rng=random.Random(number),
        )
        server.version = version
        server.event_interval_s = self._event_interval_s
        server.deadly_parts = self.deadly_parts
        server.on_crash = self._crashed
        server.is_unframed = self._is_unframed
        server.crash_after = self._crash_after
        await server.start()
        server.register(server.port)
        self._servers[server.name] = server

    def _crash_after(self, server, request):
        return self.crash_after(server, request) if self.crash_after else None

    async def start(self, rate):
        """Start everything, and callers that send ``rate`` requests a second."""
        await self.world.start()
        for number in range(self._count):
            await self._add(self._versions[number % len(self._versions)])
        self.world.store.drop(delivery.ENDPOINTS_TOPIC, "s-0")
        await self.world.wait_until(
            lambda: all(
                entry.endpoint_names == set(self._servers)
                for entry in self.world.entries
            ),
            5.0,
        )
        self._start_task(self._send(rate))

    def taint(self, parts, share):
        """Let parts crash endpoints; ``share`` of the requests have one of them."""
        self.deadly_parts = frozenset(parts)
        self.tainted_share = share
        for server in self._servers.values():
            server.deadly_parts = self.deadly_parts

    def set_unframed(self):
        """Let the answers of endpoints have no length and end with their connection."""
        self._is_unframed = True
        for server in self._servers.values():
            server.is_unframed = True

    @property
    def servers(self):
        """The endpoints that run."""
        return list(self._servers.values())

    async def send_deadly(self, times, pause_s):
        """Send the same request several times; its caller takes each up once."""
        for _ in range(times):
            await self._send_twice(f"deadly-{next(self._deadly_numbers)}")
            await asyncio.sleep(pause_s)

    async def _send_twice(self, name):
        last_event = 0
        for attempt in range(2):
            last_event, is_over = await self._try(
                name, attempt, [], last_event, DEADLY_PATH, self.deadly_events
            )
            if is_over:
                return

    def crash_one(self):
        """Crash an endpoint that has done nothing wrong."""
        name = self._random.choice(sorted(self._servers))
        self._servers[name].crash()

    def end_version(self, version):
        """Crash all endpoints of a version; they don't come back."""
        self._versions = tuple(name for name in self._versions if name != version)
        for server in list(self._servers.values()):
            if server.version == version:
                server.crash()

    async def retire_version(self, version):
        """Let all endpoints of a version drain, then end them."""
        self._versions = tuple(name for name in self._versions if name != version)
        retired = [one for one in self._servers.values() if one.version == version]
        for server in retired:
            server.leave()
        await asyncio.sleep(DRAIN_S)
        for server in retired:
            del self._servers[server.name]
            await server.stop()

    def cut_callers(self, entry):
        """Reset all connections of an entry's callers."""
        entry.gateway._callers.abort()

    async def add_version(self, version):
        """Start as many endpoints of a version as there are others."""
        self._versions += (version,)
        for _ in range(self._count):
            await self._add(version)

    async def end_all(self):
        """End all entries at once, without draining."""
        self.waits_for_entries = True
        for entry in self.world.entries:
            # No caller is answered by an entry while others are being ended.
            entry.gateway._is_leaving = True
            entry.gateway._callers.abort()
        await asyncio.gather(*(self._end(entry) for entry in self.world.entries))

    async def start_all(self):
        """Start all entries anew."""
        await asyncio.gather(*(self._start(entry) for entry in self.world.entries))

    async def restart(self, entry):
        """End an entry without draining, and start it anew."""
        await self._end(entry)
        await self._start(entry)

    async def _end(self, entry):
        old = entry.gateway
        await old._end()
        for server in [old._callers, *old._auxiliary_servers.values()]:
            server.stop_accepting()
            server.abort()

    async def _start(self, entry):
        entry.gateway = process.Gateway(self.world._settings(entry))
        await entry.gateway.start()

    async def stop(self):
        """Stop callers, endpoints and entries."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in self._servers.values():
            await server.stop()
        await self.world.stop()

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, rate):
        for number in itertools.count():
            self._start_task(self._call(number))
            await asyncio.sleep(1 / rate)

    async def _call(self, number):
        first = self._random.choice(FIRST_PARTS)
        parts = [first, f"session-{self._random.randrange(SESSIONS)}"]
        if self._random.random() < self.tainted_share:
            parts.append(self._random.choice(sorted(self.deadly_parts)))
        last_event = 0
        for attempt in range(2):
            last_event, is_over = await self._try(number, attempt, parts, last_event)
            if is_over:
                return

    async def _listed_entries(self):
        """Return the entries that a caller may choose from."""
        while self.waits_for_entries:
            listed = [one for one in self.world.entries if one.gateway.is_ready]
            if listed:
                return listed
            await asyncio.sleep(RECONNECT_S)
        return [one for one in self.world.entries if one.name not in self.stopping]

    async def _try(
        self, number, attempt, parts, last_event, path=None, events_count=None
    ):
        """Make one try; return the last event and whether the request is over."""
        entries = await self._listed_entries()
        entry = self._random.choice(entries)
        sent_at = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", entry.ports["Frontend"]
            )
        except OSError:
            return last_event, False
        prefix = ",".join(f"{part}:100" for part in [*parts, f"own-{number}"])
        path = path or f"/a/{number}"
        expected = events_count or self._events
        lines = [f"POST {path} HTTP/1.1", "Host: x.example"]
        lines += [
            f"Attempt-Id: r-{number}-{attempt}",
            f"Deadline-Ms: {self._timeout_ms}",
        ]
        lines += [f"Token-Usage: 400,{expected * edgeserver.TOKENS_PER_EVENT}"]
        lines += [f"Prompt-Prefix: {prefix}", "Connection: close"]
        if last_event:
            lines += [f"Last-Event-Id: {last_event}", f"Resumes: r-{number}-0"]
        writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
        data = b""
        try:
            async with asyncio.timeout(self._timeout_ms / 1000):
                while part := await reader.read(65536):
                    data += part
        except (OSError, TimeoutError):
            pass
        writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        words, _ = edgewire.parse_head(head or b"HTTP/1.1 0 none")
        status = int(words[1])
        events = [
            (int(event_id), version.decode() or edgeserver.FIRST_VERSION)
            for event_id, version in EVENT.findall(body)
        ]
        is_complete = status == 200 and body.endswith(b"0\r\n\r\n")
        self.tries.append(
            Try(
                sent_at,
                tuple(parts),
                not attempt,
                time.monotonic() - sent_at,
                status,
                len(events),
                is_complete,
                number,
                frozenset(version for _, version in events),
            )
        )
        return max([last_event, *(number for number, _ in events)]), is_complete
