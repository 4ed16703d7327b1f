"""
The system under soak: entries as processes, stand-ins and proxies around them.

Each entry reaches the store, each caller an entry, and all entries a server, through a
proxy of its own. Nothing is started that isn't ended here by its own id.
"""

import asyncio
import atexit
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import abc

from soak import callers, judge, ledger
from standins import edgeserver, edgestore, faultproxy, ports

ROOT = pathlib.Path(__file__).resolve().parent.parent
DATA_CENTRES = ("north", "south")
KEYS = {"calm": "key-calm", "hot": "key-hot"}
KINDS = (
    callers.Kind("idempotent", "/p/", "calm", 1.5, 0.25),
    callers.Kind("non_idempotent", "/u/", "calm", 1.5, 0.25),
    callers.Kind("resumable", "/s/", "calm", 5.0, 0.2, 80),
    callers.Kind("stream", "/o/", "calm", 3.0, 0.1, 8),
    callers.Kind("version", "/v/", "calm", 1.0, 0.1),
    callers.Kind("idempotent", "/p/", "hot", 1.0, 0.1),
)
VERSION_SERVICES = 3
SERVERS = {"app": 3, "llm": 3} | {f"v{one}": 1 for one in range(VERSION_SERVICES)}
HOT_CALLERS = 4
START_S = 15.0
# An entry that was killed is started again after this pause, in seconds.
RESTART_S = 0.3
POLL_S = 0.05


class Entry:
    """One entry and its process."""

    def __init__(self, name: str, data_centre: str):
        self.name = name
        self.data_centre = data_centre
        self.ports = {
            one: ports.find_free_port()
            for one in ("Frontend", "Readiness", "Control", "Directory", "metrics")
        }
        self.starts = 0
        self.is_wanted = False
        self.process: subprocess.Popen | None = None
        self.store_proxy: faultproxy.FaultProxy | None = None
        self.caller_proxy: faultproxy.FaultProxy | None = None

    @property
    def address(self) -> str:
        """Where the entry says that callers connect."""
        return f"127.0.0.1:{self.ports['Frontend']}"

    def signal(self, number: int) -> None:
        """Send the process a signal if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class World:
    """All parts of a soak; ``start`` brings them up, ``stop`` ends them."""

    def __init__(self, seed: int, *, entries: int, caller_count: int, plant: str):
        self.random = random.Random(seed)
        self.plant = plant
        self.book = ledger.Ledger()
        self.bounds = judge.Bounds()
        self.disturbances = judge.Disturbances()
        self.changes: list[judge.Change] = []
        self.store = edgestore.EdgeStore(self._chooser())
        self.entries = [
            Entry(f"edge-{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
            for number in range(entries)
        ]
        self.servers: dict[str, edgeserver.EdgeServer] = {}
        self.server_proxies: dict[str, faultproxy.FaultProxy] = {}
        self._caller_count = caller_count
        self._callers: list[callers.Caller] = []
        self._tasks: list[asyncio.Task] = []
        self._scratch = tempfile.TemporaryDirectory(prefix="acaciaward-soak-")
        # Orderly stops: which entry, when told to, when it had ended.
        self.stops: list[tuple[str, float, float]] = []
        self._number = 0
        self._version = 1
        # However the soak ends, no entry outlives it.
        atexit.register(self.kill_entries)

    @property
    def folder(self) -> pathlib.Path:
        """Where the entries' logs and settings lie."""
        return pathlib.Path(self._scratch.name)

    def _chooser(self) -> random.Random:
        return random.Random(self.random.getrandbits(32))

    async def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        await self.store.start()
        self.change_configuration()
        for service, count in SERVERS.items():
            for number in range(count):
                place = DATA_CENTRES[number % len(DATA_CENTRES)]
                await self.add_server(service, place)
        for entry in self.entries:
            await self._start_proxies(entry)
            self.start_entry(entry)
        deadline = time.monotonic() + START_S
        for entry in self.entries:
            while not await _answers(entry.ports["Readiness"]):
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{entry.name} isn't ready: {self.log(entry)}")
                await asyncio.sleep(POLL_S)
        self._start_callers()
        self._start_task(self._watch())

    def _start_callers(self) -> None:
        places = {
            entry.address: callers.Place(
                entry.name, entry.caller_proxy.port, entry.ports["Directory"]
            )
            for entry in self.entries
        }
        starts = {entry.name: entry for entry in self.entries}
        for number in range(self._caller_count):
            is_hot = number < HOT_CALLERS
            kinds = [one for one in KINDS if is_hot == (one.organisation == "hot")]
            caller = callers.Caller(
                self.book,
                kinds,
                KEYS,
                places,
                lambda name: starts[name].starts,
                self._chooser(),
            )
            self._callers.append(caller)
            self._start_task(caller.run())

    def _start_task(self, work: abc.Coroutine) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _start_proxies(self, entry: Entry) -> None:
        entry.store_proxy = faultproxy.FaultProxy(("127.0.0.1", self.store.port))
        entry.caller_proxy = faultproxy.FaultProxy(
            ("127.0.0.1", entry.ports["Frontend"])
        )
        await entry.store_proxy.start()
        await entry.caller_proxy.start()

    def start_entry(self, entry: Entry) -> None:
        """Start an entry's process."""
        place = self.folder / f"{entry.name}.conf"
        place.write_text(self._node_file(entry))
        module = ["-m", "acaciaward", "gateway"]
        if self.plant:
            module = ["-m", "soak.plants", self.plant, "gateway"]
        with (self.folder / f"{entry.name}.log").open("ab") as output:
            entry.process = subprocess.Popen(
                [sys.executable, *module, "--settings", str(place)],
                cwd=ROOT,
                env={"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT)},
                stdout=output,
                stderr=output,
            )
        entry.starts += 1
        entry.is_wanted = True

    def _node_file(self, entry: Entry) -> str:
        bounds = self.bounds
        metrics_port = entry.ports["metrics"]
        seeds = ",".join(
            f"127.0.0.1:{one.ports['Control']}" for one in self.entries[:3]
        )
        fields = {
            "NodeName": entry.name,
            "Zone": entry.data_centre,
            "Region": "region",
            "Ip": "127.0.0.1",
            "Seeds": seeds,
            "InternalPortRange": f"{metrics_port - 1},{metrics_port}",
            "Platform.Address": f"127.0.0.1:{entry.store_proxy.port}",
            "Cloud.Address": f"127.0.0.1:{entry.store_proxy.port}",
            "Cloud.Duties": "usage_report,autoscale",
            "Bounds.ContactMs": bounds.contact_s * 1000,
            "Bounds.DrainMs": bounds.drain_s * 1000,
            "Bounds.GraceS": bounds.stop_limit_s,
            "Bounds.ConfigApplyMs": bounds.configuration_s * 1000,
            "Bounds.RetryBudgetRatio": bounds.repeat_ratio,
            "Bounds.BudgetWindowS": bounds.repeat_window_s,
            "Bounds.RetryBurst": bounds.repeat_burst,
            "Bounds.QuotaWindowS": bounds.quota_window_s,
            "Bounds.QuotaOvershoot": bounds.quota_overshoot,
            "Bounds.QuotaSlack": bounds.quota_slack,
            "Bounds.LeaseMs": bounds.lease_s * 1000,
            "Bounds.WindowS": bounds.usage_window_s,
        }
        for name in ("Frontend", "Readiness", "Control", "Directory"):
            fields[f"Listen.{name}"] = f"127.0.0.1:{entry.ports[name]}"
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    async def _watch(self) -> None:
        """Take down entries that end without having been told to."""
        while True:
            for entry in self.entries:
                code = entry.process.poll()
                if entry.is_wanted and code is not None:
                    self.book.violate("END", f"{entry.name} ended with {code}")
                    self.start_entry(entry)
            await asyncio.sleep(POLL_S)

    async def add_server(
        self, service: str, data_centre: str, *, name: str | None = None, port: int = 0
    ) -> edgeserver.EdgeServer:
        """Start a server behind a proxy, under a new name unless one is given."""
        self._number += 1
        server = edgeserver.EdgeServer(
            self.store,
            self.book,
            # Two soaks on one machine must not take each other's servers for their own:
            # the system may give one the port that the other has left.
            name=name or f"s-{os.getpid()}-{self._number}",
            service=service,
            data_centre=data_centre,
            chooser=self._chooser(),
        )
        await server.start()
        proxy = faultproxy.FaultProxy(("127.0.0.1", server.port), port=port)
        await proxy.start()
        server.register(proxy.port)
        self.servers[server.name] = server
        self.server_proxies[server.name] = proxy
        return server

    async def end_server(
        self, server: edgeserver.EdgeServer, *, lapses: bool = False
    ) -> None:
        """End a server and its proxy."""
        if self.servers.get(server.name) is server:
            del self.servers[server.name]
            await self.server_proxies.pop(server.name).stop()
        await server.stop(lapses=lapses)

    def change_configuration(self) -> None:
        """Write the next configuration: the route of versions moves on."""
        index = len(self.changes)
        self._version += self.random.randint(1, 5)
        routes = [
            _route("p", "idempotent", "app", 3, timeout_ms=1500),
            _route("u", "non_idempotent", "app", 2, timeout_ms=1500),
            _route("s", "streaming", "llm", 3, timeout_ms=5000, Resumable=True),
            _route("o", "streaming", "llm", 1, timeout_ms=3000),
            _route("v", "idempotent", f"v{index % VERSION_SERVICES}", 2),
        ]
        services = [{"Name": name, "MaxConnections": 100} for name in SERVERS]
        prices = dict.fromkeys(DATA_CENTRES, 1.0)
        for service in services:
            if service["Name"] == "llm":
                service["Engine"] = {"Slots": edgeserver.SLOTS, "KvCapacity": 10**6}
                service["Scaling"] = {
                    "Min": 1,
                    "Max": 4,
                    "BootTimeS": 4.0,
                    "SpotPrice": 0.2,
                    "ZonePrices": prices,
                }
        organisations = [{"Name": "calm", "ApiKeys": [KEYS["calm"]]}]
        organisations.append(
            {
                "Name": "hot",
                "ApiKeys": [KEYS["hot"]],
                "RatePerS": self.bounds.quota_rate,
                "Burst": self.bounds.quota_burst,
            }
        )
        body = {
            "Version": self._version,
            "Routes": routes,
            "Services": services,
            "Tenants": organisations,
        }
        at = self.store.put("keyed.op", "config", body)
        self.changes.append(judge.Change(index, at))

    def log(self, entry: Entry) -> str:
        """Return the end of what an entry has logged."""
        place = self.folder / f"{entry.name}.log"
        return place.read_text(errors="replace")[-3000:] if place.exists() else ""

    async def stop(self) -> None:
        """End callers, entries and stand-ins."""
        for caller in self._callers:
            caller.is_ended = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.kill_entries()
        for entry in self.entries:
            if entry.process is not None:
                await asyncio.to_thread(entry.process.wait)
            for proxy in (entry.store_proxy, entry.caller_proxy):
                if proxy is not None:
                    await proxy.stop()
        for server in list(self.servers.values()):
            await self.end_server(server)
        await self.store.stop()

    def kill_entries(self) -> None:
        """Kill every entry that still runs."""
        for entry in self.entries:
            entry.is_wanted = False
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)

    def clean(self) -> None:
        """Remove logs and settings."""
        self._scratch.cleanup()


def _route(
    name: str, kind: str, service: str, attempts: int, *, timeout_ms=1000, **more
) -> dict:
    return {
        "Name": f"r-{name}",
        "Host": "soak.example",
        "PathPrefix": f"/{name}/",
        "RouteType": kind,
        "Service": service,
        "MaxAttempts": attempts,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 300,
        "Priority": 1,
        **more,
    }


async def _answers(port: int) -> bool:
    """Whether a question for readiness is answered with 200."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return b" 200 " in line
