"""
Shared parts of the scripts of the second review: processes, stand-ins and records.

The entries run with the command of the deploy file. The store is the project's own
stand-in; servers and clients are small ones of this file. All addresses are loopback
addresses, and all processes that a case starts are ended by it.

    async with kit_2.Deployment(folder, entries=1) as deployment:
        await deployment.start()
"""

import asyncio
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins import edgestore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "review.example"
ZONES = ("sala-brasov", "sala-sibiu", "sala-mures")
KEY, TENANT = "key-review", "tenant-review"
START_TIMEOUT_S = 20.0
HEARTBEAT_S = 1.0
# Those of the site sheets of the small deployments.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RevertSlackMs": 250,
    "PartitionMaxMs": 5000,
    "FailClosed": "false",
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBurst": 58,
    "QuotaWindowS": 8,
    "QuotaOvershoot": 0.1,
    "QuotaSlack": 140000,
    "FencingRequired": "false",
    "LeaseMs": 3000,
    "ThawMs": 300,
    "WindowS": 5,
    "UsageError": 0.05,
    "UsageLateS": 10,
    "RecoverS": 12,
    "PassMs": 120,
    "RetryAfterS": 9.9,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case can't run here."""


def has_trouble() -> bool:
    """Return whether the case is to bring its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_ports(address: str, count: int) -> list[int]:
    """Return free TCP ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((address, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def find_port_range(address: str, taken: list[int]) -> int:
    """Return the first of three free ports in a row that aren't among ``taken``."""
    while True:
        (first,) = find_ports(address, 1)
        ports = range(first, first + 3)
        if not set(ports).isdisjoint(taken):
            continue
        sockets = [socket.socket() for _ in ports]
        try:
            for one, port in zip(sockets, ports, strict=True):
                one.bind((address, port))
        except (OSError, OverflowError):
            continue
        finally:
            for one in sockets:
                one.close()
        return first


class Record:
    """Writes what happens to ``record.txt``, with seconds since the begin."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write one line."""
        at = time.monotonic() - self._began_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:9.4f} {event} {text}".rstrip() + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request(typing.NamedTuple):
    """A complete request as a server received it; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def encode(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Server:
    """
    A sound server: registers, answers each request on its connection in turn.

    ``answer`` may be replaced: it gets a request and the connection's writer, and
    returns whether the connection stays open.
    """

    numbers = itertools.count(1)

    def __init__(
        self, store: edgestore.EdgeStore, service: str, zone: str, *, work_s: float
    ):
        self.name = f"i-{next(self.numbers)}"
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.answer = self.run
        self.on_arrival: typing.Callable[[Request], None] = lambda request: None
        self.fields: dict[str, typing.Any] = {}
        self.address = ""
        self.slots = 64
        self._store = store
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._heartbeat: asyncio.Task | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=1 << 20, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.register("ready")
        self._heartbeat = asyncio.create_task(self._send_heartbeats())

    def register(self, state: str) -> None:
        """Write the record in the store."""
        self._sequence += 1
        self._store.put(
            "keyed.servers",
            self.name,
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self._born,
                **self.fields,
            },
        )

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register("ready")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ", 2)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                request = Request(method, target, headers, body)
                if headers.get("expect-instance", self.name) != self.name:
                    writer.write(encode(421, {"Instance-Id": self.name}))
                    continue
                self.on_arrival(request)
                if not await self.answer(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def sign(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer of this server."""
        return {
            "Attempt-Id": request.headers.get("attempt-id", ""),
            "Server-Signature": f"s.{self.name}",
            "Keep-Alive": "timeout=30",
        }

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"{request.headers.get('attempt-id')} {request.target}".encode()
        if request.method == "HEAD":
            body = b""
        writer.write(encode(200, self.sign(request), body))
        return True

    def leave_silently(self) -> None:
        """Remove the record, send no more heartbeats, and serve on."""
        self._heartbeat.cancel()
        self._store.drop("keyed.servers", self.name)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Entry:
    """One entry: a process with a loopback address of its own."""

    def __init__(self, number: int, folder: pathlib.Path):
        self.name = f"edge-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.address = f"127.0.{number + 1}.1"
        names = ("Frontend", "Readiness", "Control", "Directory")
        ports = find_ports(self.address, len(names))
        self.ports = dict(zip(names, ports, strict=True))
        self.ports["Internal"] = find_port_range(self.address, ports)
        self.settings_path = folder / f"{self.name}.conf"
        self.log_path = folder / f"{self.name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self, store: str, cloud: str, seeds: list[str]) -> None:
        """Write the settings file as the platform does for a small deployment."""
        first = self.ports["Internal"]
        fields = {
            "NodeName": self.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": "edge,control_plane,registry",
            "Ip": self.address,
            "Zone": self.zone,
            "Region": "ro-centru",
            **{f"Zones.{zone}": "ro-centru" for zone in ZONES},
            "InternalPortRange": f"{first},{first + 15}",
            "Seeds": ",".join(seeds),
            "Bootstrap": "true",
            "Limits.CpuShare": 0.537,
            "Limits.Cores": 2,
            "Limits.MemoryMb": 300,
            "Limits.MaxFds": 4100,
            "Limits.LinkMbps": 1000.0,
            "HeartbeatMs": 1200,
            "Platform.Address": store,
            "Platform.form": "log",
            "Platform.WritesPerS": 400,
            "Platform.ReadsPerS": 2000,
            "Platform.keep_s": 20,
            "Cloud.Address": cloud,
            "Cloud.Duties": "usage_report,autoscale",
            "Cloud.DutyPerS": 50.0,
            **{f"Bounds.{name}": value for name, value in BOUNDS.items()},
        }
        for name in ("Frontend", "Readiness", "Control", "Directory"):
            fields[f"Listen.{name}"] = f"{self.address}:{self.ports[name]}"
        lines = [f"{name}={value}\n" for name, value in fields.items()]
        self.settings_path.write_text("".join(lines))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["ACACIAWARD_NODE_FILE"] = str(self.settings_path)
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "-P", "-m", "acaciaward", "gateway"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        """Send the process a signal if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness check answers 200."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ports["Readiness"]
                )
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Deployment:
    """The store, servers and entries of one case."""

    def __init__(self, entry_count: int, *, store: edgestore.EdgeStore | None = None):
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = store or edgestore.EdgeStore(random.Random(1))
        self.servers: list[Server] = []
        self.entries = [Entry(number, self.folder) for number in range(entry_count)]
        # What entries are told instead of the store's own address, if it isn't None.
        self.store_address: str | None = None
        self.version = 0

    async def __aenter__(self) -> "Deployment":
        if not (ROOT / "target" / "deps" / "acaciaward").is_dir():
            raise CannotRunError("target/deps is missing: run sh deploy/build.sh")
        await self.store.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        for entry in self.entries:
            entry.end()
        for server in self.servers:
            await server.stop()
        await self.store.stop()
        self._temporary.cleanup()

    def configure(
        self,
        routes: list[dict[str, typing.Any]],
        tenants: list[dict[str, typing.Any]] | None = None,
        limits: dict[str, int] | None = None,
    ) -> None:
        """Write a configuration as the operator does."""
        self.version += 3
        services = sorted({route["Service"] for route in routes})
        self.store.put(
            "keyed.op",
            "config",
            {
                "Version": self.version,
                "Routes": routes,
                "Services": [
                    {"Name": name, "MaxConnections": 370} for name in services
                ],
                "Tenants": tenants or [{"Name": TENANT, "ApiKeys": [KEY]}],
                "Limits": limits or {},
            },
        )

    async def add_server(
        self, service: str, zone: str = ZONES[0], *, work_s: float = 0.015
    ) -> Server:
        """Start a server."""
        server = Server(self.store, service, zone, work_s=work_s)
        await server.start()
        self.servers.append(server)
        return server

    async def start(self) -> None:
        """Start all entries and wait until they are ready."""
        own = f"127.0.0.1:{self.store.port}"
        seeds = [f"{one.address}:{one.ports['Control']}" for one in self.entries[:3]]
        for entry in self.entries:
            entry.write_settings(self.store_address or own, own, seeds)
            entry.start()
        deadline = time.monotonic() + START_TIMEOUT_S
        for entry in self.entries:
            while not await entry.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{entry.name} isn't ready")
                await asyncio.sleep(0.1)


def route(
    name: str, kind: str, service: str, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": kind,
        "Service": service,
        "MaxAttempts": 2,
        "TimeoutMs": 1000,
        "TargetLatencyMs": 125,
        "Priority": 1,
        **fields,
    }


async def send(entry: Entry, path: str, attempt: str, deadline_s: float) -> str:
    """Send a request on a connection of its own; return the status or what happened."""
    try:
        async with asyncio.timeout(1.5 * deadline_s):
            reader, writer = await asyncio.open_connection(
                entry.address, entry.ports["Frontend"]
            )
            writer.write(
                (
                    f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                    f"Deadline-Ms: {int(1000 * deadline_s)}\r\n"
                    f"Authorization: Bearer {KEY}\r\nContent-Length: 5\r\n\r\nhello"
                ).encode()
            )
            head = await read_head(reader)
            writer.close()
    except (OSError, TimeoutError):
        return "none"
    return "closed" if head is None else head[0].split()[1]


def run(main: typing.Callable[[], typing.Coroutine]) -> typing.NoReturn:
    """Run a case and exit with its result."""
    try:
        code = asyncio.run(main())
    except CannotRunError as error:
        print(f"can't run: {error}")
        code = NOT_RUN
    sys.exit(code)


def report(**fields: typing.Any) -> None:
    """Print a case's figures."""
    print(json.dumps(fields))
