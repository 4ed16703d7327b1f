"""Scripted endpoints on loopback, and a gateway front that forwards to them."""

import asyncio
import random
import socket
import struct
import time

from acaciaward.admission import quotas, repeatbudget
from acaciaward.catalogue import endpoints, routehistory, routes, storeview
from acaciaward.gateway import (
    callers,
    detours,
    forwarding,
    interfaces,
    selfreports,
    upstreams,
)
from acaciaward.platform import detours as platform_detours, headers
from acaciaward.quarantine import promptparts, suspects
from acaciaward.resumption import origins
from acaciaward.rollouts import entryrollouts
from acaciaward.routing import demand, occupancy, reachability

# How long an endpoint that answers early waits before it reads the body.
EARLY_S = 0.3
SIGNATURE = b"Server-Signature: s1\r\n"
KEY = "key-1"
HOST = "shop.example"


class ScriptedEndpoint:
    """Answers each request by the next script, and records the requests."""

    def __init__(self):
        self.scripts = []
        self.default_script = answer()
        self.is_early = False
        self.drops_after_s = None
        self.requests = []
        self.arrived_at = []
        self.closed = 0
        # When scripts ended, and how many run.
        self.ended_at = []
        self.working = 0
        self.server = None
        self.port = 0
        self.connections = 0
        self._tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                idle_since = time.monotonic()
                head = await reader.readuntil(b"\r\n\r\n")
                idle_s = time.monotonic() - idle_since
                if self.drops_after_s is not None and idle_s > self.drops_after_s:
                    reset(writer)
                    return
                length = header(head, "content-length")
                if self.is_early:
                    self.requests.append((head, b""))
                    writer.write(complete_answer(head, b"early", b"413 Too Large"))
                    await asyncio.sleep(EARLY_S)
                    await reader.readexactly(int(length))
                    continue
                body = await reader.readexactly(int(length or 0))
                self.requests.append((head, body))
                self.arrived_at.append(time.monotonic())
                script = self.scripts.pop(0) if self.scripts else self.default_script
                self.working += 1
                try:
                    await script(head, reader, writer)
                finally:
                    self.working -= 1
                    self.ended_at.append(time.monotonic())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # asyncio streams log a server task that ends as cancelled as an error.
            self.closed += 1
        finally:
            self._tasks.discard(task)
            writer.close()


def header(head, name):
    for line in head.decode("latin-1").split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return None


def reset(writer):
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def echo(head):
    return b"Attempt-Id: " + header(head, "attempt-id").encode() + b"\r\n"


def answer(body=b"done", status=b"200 OK", extra=b"", signed=True, lines=b""):
    async def script(head, reader, writer):
        writer.write(complete_answer(head, body, status, signed, lines) + extra)
        await writer.drain()

    return script


def complete_answer(head, body=b"done", status=b"200 OK", signed=True, lines=b""):
    signature = SIGNATURE if signed else b""
    size = b"Content-Length: %d\r\n" % len(body)
    return (
        b"HTTP/1.1 "
        + status
        + b"\r\n"
        + echo(head)
        + signature
        + lines
        + size
        + (b"\r\n" + body)
    )


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream(first, last, *, then="end", rest=b""):
    """Return a script: send events first to last and ``rest``, then act by ``then``."""
    return stream_numbers(range(first, last + 1), last + 1, then=then, rest=rest)


def stream_numbers(numbers, next_number, *, then="end", rest=b""):
    """Return a script: send events of these numbers, then act as ``stream`` does."""

    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + echo(head) + SIGNATURE)
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        for number in numbers:
            write_chunk(writer, event(number))
        if rest:
            write_chunk(writer, rest)
        await writer.drain()
        await asyncio.sleep(0.02)
        await ENDINGS[then](reader, writer, next_number)

    return script


async def end(reader, writer, number):
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def reset_now(reader, writer, number):
    reset(writer)


async def reset_later(reader, writer, number):
    await asyncio.sleep(0.6)
    reset(writer)


async def fall_silent(reader, writer, number):
    await reader.read(1)


async def end_later(reader, writer, number):
    await asyncio.sleep(1.0)
    write_chunk(writer, event(number))
    await end(reader, writer, number)


async def trickle(reader, writer, number):
    """Send bytes of an event that is never complete."""
    for _ in range(30):
        write_chunk(writer, b"i")
        await writer.drain()
        await asyncio.sleep(0.15)


async def send_slowly(reader, writer, number):
    """Send one event in ten parts, and end."""
    large = b"id: %d\ndata: %s\n\n" % (number, b"x" * 40_000)
    for at in range(0, len(large), 4_000):
        write_chunk(writer, large[at : at + 4_000])
        await writer.drain()
        await asyncio.sleep(0.15)
    await end(reader, writer, number)


async def close(reader, writer, number):
    writer.close()


ENDINGS = {
    "end": end,
    "reset": reset_now,
    "reset a while later": reset_later,
    "hang": fall_silent,
    "end a second later": end_later,
    "trickle": trickle,
    "send one large event slowly": send_slowly,
    "close": close,
}


def write_chunk(writer, data):
    writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


def hang():
    async def script(head, reader, writer):
        await reader.read(1)

    return script


def die():
    async def script(head, reader, writer):
        reset(writer)

    return script


def refuse(lines=b""):
    async def script(head, reader, writer):
        writer.write(
            b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
            + echo(head)
            + lines
            + b"Content-Length: 0\r\n\r\n"
        )
        await writer.drain()

    return script


class NoPeers:
    """A membership of one entry."""

    name = "e-1"

    def peers(self):
        return []

    def handle(self, kind, handler):
        pass


class Front:
    """The gateway's forwarding with a fixed catalogue and scripted endpoints."""

    def __init__(
        self,
        kind,
        *,
        attempts=2,
        resumable=False,
        quota=None,
        timeout_s=2,
        count=2,
        peers=None,
    ):
        self._count = count
        self.directory = endpoints.Directory(time.monotonic)
        self.endpoints = {}
        self.ended = []
        self.ran = []
        # Versions that the store lists and the directory doesn't know yet.
        self.unseen_versions = set()
        route = routes.Route(
            "r1",
            HOST,
            "/a/",
            kind,
            timeout_s,
            0.2,
            0,
            (("service", 1.0),),
            attempts,
            is_resumable=resumable,
        )
        organisation = routes.Organisation("org", frozenset({KEY}), None, quota)
        self.index = routes.Index(
            routes.Catalogue(
                1,
                (route,),
                {"service": routes.Service("service", 100)},
                {"org": organisation},
            )
        )
        self.route_history = routehistory.RouteHistory()
        self.route_history.record(self.index.catalogue)
        self.quotas = quotas.Quotas(time.monotonic, lambda: 1)
        if quota is not None:
            self.quotas.set_rules({"org": quotas.Rule(quota.rate, quota.burst)})
            self.quotas.refund("org", quota.burst)
        self.reachability = reachability.Reachability(self.directory)
        self.pool = upstreams.UpstreamPool(on_connect=self.reachability.record_connect)
        self.peer_pool = upstreams.UpstreamPool()
        self.peers = peers if peers is not None else NoPeers()
        self.repeats = repeatbudget.RepeatBudgets(
            repeatbudget.Budget(0.2, 20, 10), time.monotonic, lambda: 1
        )
        self.occupancy = occupancy.Occupancy(
            self.directory,
            data_centre="dc",
            rng=random.Random(1),
        )
        self.forwarder = forwarding.Forwarder(
            interfaces.Dependencies(
                index=lambda: self.index,
                occupancy=self.occupancy,
                self_reports=selfreports.SelfReports(self.directory, self.occupancy),
                directory=self.directory,
                pool=self.pool,
                reachability=self.reachability,
                peers=detours.PeerChoice(self.peers, data_centre="dc"),
                peer_pool=self.peer_pool,
                quotas=self.quotas,
                reporting_share=lambda: 1.0,
                repeats=self.repeats,
                codec=headers,
                detour_codec=platform_detours,
                demand=demand.Demand(time.monotonic, lambda name: 0.1),
                suspects=suspects.Suspects(time.monotonic),
                origins=origins.StreamOrigins(NoPeers()),
                read_at=lambda: interfaces.ReadTimes(*2 * [time.monotonic()]),
                prompt_parts=promptparts.PromptParts(time.monotonic),
                route_history=self.route_history,
                list_versions=self._list_versions,
                record_run=self.ran.append,
                record_end=self.ended.append,
                rollouts=entryrollouts.EntryRollouts(self.directory),
            ),
            rng=random.Random(1),
        )
        self.server = callers.CallerServer(
            self.forwarder.handle, headers.decode_call, routes.Limits
        )
        self.detours = callers.CallerServer(
            self.forwarder.handle_from_peer, platform_detours.decode_call, routes.Limits
        )
        self.port = 0
        self.detour_port = 0

    async def _list_versions(self):
        """Return what the directory has, which no store changes behind its back."""
        now = time.monotonic()
        self.directory.record_read(now, is_continuous=True)
        versions = {one.version for one in self.directory.of_service("service")}
        versions |= self.unseen_versions
        return storeview.ListedVersions(now, {"service": versions})

    async def start(self):
        for number in range(self._count):
            scripted = ScriptedEndpoint()
            await scripted.start()
            name = f"s-{number}"
            self.endpoints[name] = scripted
            self.directory.update(
                endpoints.Endpoint(
                    name,
                    1,
                    "service",
                    "127.0.0.1",
                    scripted.port,
                    "dc",
                    8,
                    endpoints.EndpointState.READY,
                )
            )
        self.port = await self.server.start("127.0.0.1", 0)
        self.detour_port = await self.detours.start("127.0.0.1", 0)

    async def stop(self):
        for server in (self.server, self.detours):
            server.stop_accepting()
            server.abort()
        self.pool.close()
        self.peer_pool.close()
        for scripted in self.endpoints.values():
            await scripted.stop()

    def script(self, *scripts):
        """Answer by these scripts in turn, whichever endpoint gets the request."""
        shared = list(scripts)
        for scripted in self.endpoints.values():
            scripted.scripts = shared

    def always(self, script):
        """Answer by this script whenever no other is left."""
        for scripted in self.endpoints.values():
            scripted.default_script = script

    @property
    def requests(self):
        return [
            request
            for endpoint in self.endpoints.values()
            for request in endpoint.requests
        ]


async def ask(
    front,
    *,
    lines=(),
    body=b"",
    method="POST",
    timeout_s=3.0,
    caller_timeout_s=1.5,
    attempt="a1",
):
    """Send a request on a new connection; return all bytes and whether it was reset."""
    reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
    head = [
        f"{method} /a/1 HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {caller_timeout_s * 1000:.0f}",
        f"Authorization: Bearer {KEY}",
        "Connection: close",
        f"Content-Length: {len(body)}",
        *lines,
    ]
    writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
    data = b""
    is_reset = False
    try:
        async with asyncio.timeout(timeout_s):
            while part := await reader.read(65536):
                data += part
    except ConnectionResetError:
        is_reset = True
    finally:
        writer.close()
    return data, is_reset


def status_of(data):
    return int(data.split(b" ", 2)[1])


def is_complete(data):
    """Return whether the answer looks complete to a caller."""
    head, _, body = data.partition(b"\r\n\r\n")
    length = header(head + b"\r\n", "content-length")
    if length is not None:
        return len(body) == int(length)
    return body.endswith(b"0\r\n\r\n")


def body_of(data):
    head, _, body = data.partition(b"\r\n\r\n")
    if header(head + b"\r\n", "content-length") is not None:
        return body
    parts = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        if not size or int(size, 16) == 0:
            break
        parts += body[: int(size, 16)]
        body = body[int(size, 16) + 2 :]
    return parts
