"""
Runs the system under test: entries as processes, with stand-ins and proxies.

An entry has a proxy for its connections to the store and one for its callers; a server
has one for the connections of all entries. Every process that is started here is ended
here by its own id.
"""

import asyncio
import atexit
import os
import pathlib
import random
import signal
import subprocess
import tempfile
import time
from collections import abc

from soak import (
    builds,
    callers,
    conditions,
    configurations,
    instances,
    judge,
    ledger,
    poison,
    signals,
)
from standins import edgeserver, edgestore, edgewire, faultproxy

DATA_CENTRES = ("north", "south")
# API keys by organisation; "hot" has a quota, "calm" has none.
API_KEYS = {"calm": "key-calm", "hot": "key-hot"}
RESUMABLE = callers.RequestKind("resumable", "/s/", "calm", 5.0, 0.2, 80)
REQUEST_KINDS = (
    callers.RequestKind("idempotent", "/p/", "calm", 1.5, 0.25),
    callers.RequestKind("non_idempotent", "/u/", "calm", 1.5, 0.25),
    RESUMABLE,
    callers.RequestKind("stream", "/o/", "calm", 3.0, 0.1, 8),
    callers.RequestKind("version", "/v/", "calm", 1.0, 0.1),
    callers.RequestKind("idempotent", "/p/", "hot", 1.0, 0.1),
)
VERSION_SERVICE_COUNT = 3
SERVER_COUNTS = {"app": 3, "llm": 3} | {
    f"v{number}": 1 for number in range(VERSION_SERVICE_COUNT)
}
HOT_CALLER_COUNT = 4
ENTRY_SCRIPT = builds.ROOT / "soak" / "entryprocess.py"
VERSIONS = ("v1", "v2")
# Number of entries that all entries have as seeds.
SEED_COUNT = 3
START_TIMEOUT_S = 15.0
# Minimum delay before an entry that was killed or stopped is started again.
RESTART_DELAY_S = 0.3
POLL_INTERVAL_S = 0.05


class SystemUnderTest:
    """Entries, stand-ins, proxies and callers of a soak."""

    def __init__(
        self,
        seed: int,
        *,
        entry_count: int,
        caller_count: int,
        plant: str,
        other_build: builds.Build | None = None,
    ):
        """With an ``other_build``, each start of an entry draws which of both runs."""
        self.random = random.Random(seed)
        self.plant = plant
        self._other_build = other_build
        self.recorder = ledger.Recorder()
        self.bounds = conditions.Bounds()
        self.disturbances = conditions.Disturbances()
        self.configuration_changes: list[judge.ConfigurationChange] = []
        self.store = edgestore.EdgeStore(self._new_rng())
        # By name, also those that have ended for good; ``entries`` lists the others.
        self.known_entries: dict[str, instances.Entry] = {}
        self.entries = [
            self._new_entry(DATA_CENTRES[number % len(DATA_CENTRES)])
            for number in range(entry_count)
        ]
        # What every settings file says, also once these entries have ended for good.
        self._seeds = [entry.seed_address for entry in self.entries[:SEED_COUNT]]
        # Callers choose among these, by the addresses that entries publish.
        self._entry_ports: dict[str, callers.EntryPorts] = {}
        self.signals = signals.Signals(self.find_sender)
        self.recorder.on_arrival = self._record_arrival
        self.servers: dict[str, edgeserver.EdgeServer] = {}
        self.server_proxies: dict[str, faultproxy.FaultProxy] = {}
        # How entries are cut off from all servers, by their source addresses.
        self.entry_cuts: dict[str, str] = {}
        self._caller_count = caller_count
        self._callers: list[callers.Caller] = []
        # Parts that crash servers, and when each has done so.
        self.deadly_parts: frozenset[str] = frozenset()
        self.crashes: dict[str, list[float]] = {}
        self.poison = poison.Poison(self.recorder)
        self._tasks: list[asyncio.Task] = []
        self._temporary_folder = tempfile.TemporaryDirectory(prefix="acaciaward-soak-")
        self.orderly_stops: list[judge.OrderlyStop] = []
        # The faults and their parts, and when each began.
        self.events: list[tuple[float, str]] = []
        self._server_number = 0
        self._configuration_version = 1
        # No entry may outlive the soak, however that ends.
        atexit.register(self.kill_entries)

    @property
    def folder(self) -> pathlib.Path:
        """The folder of the entries' logs and settings."""
        return pathlib.Path(self._temporary_folder.name)

    def record_event(self, text: str) -> None:
        """Record that a fault or a part of it begins."""
        self.events.append((time.monotonic(), text))

    def _new_rng(self) -> random.Random:
        return random.Random(self.random.getrandbits(32))

    async def start(self) -> None:
        """Start everything and wait until every entry is ready."""
        await self.store.start()
        self.change_configuration()
        for service, count in SERVER_COUNTS.items():
            for number in range(count):
                data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
                await self.add_server(service, data_centre)
        for entry in self.entries:
            await self._start_at_first(entry)
        deadline = time.monotonic() + START_TIMEOUT_S
        for entry in self.entries:
            while not await instances.is_ready(entry.ports["Readiness"]):
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"{entry.name} not ready within {START_TIMEOUT_S} s; its log"
                        f" ends with: {self.log_tail(entry)}"
                    )
                await asyncio.sleep(POLL_INTERVAL_S)
        self._start_callers()
        self._start_task(self._restart_ended_entries())

    def _start_callers(self) -> None:
        for number in range(self._caller_count):
            is_hot = number < HOT_CALLER_COUNT
            kinds = [
                kind for kind in REQUEST_KINDS if is_hot == (kind.organisation == "hot")
            ]
            self.start_callers(kinds, 1)

    def start_callers(
        self, kinds: abc.Sequence[callers.RequestKind], count: int
    ) -> list[callers.Caller]:
        """Start so many callers, which send requests until they are to stop."""
        started = [self._new_caller(kinds) for _ in range(count)]
        for caller in started:
            self._start_task(caller.run())
        self._callers += started
        return started

    def _new_caller(self, kinds: abc.Sequence[callers.RequestKind]) -> callers.Caller:
        return callers.Caller(
            self.recorder,
            kinds,
            API_KEYS,
            self._entry_ports,
            lambda name: self.known_entries[name].start_count,
            self._new_rng(),
        )

    def send_streams(self, count: int) -> None:
        """Start so many streams that may be taken up, at once, each by its caller."""
        for _ in range(count):
            self._start_task(self._send_stream())

    async def _send_stream(self) -> None:
        caller = self._new_caller([RESUMABLE])
        await caller.send(RESUMABLE)
        caller.close()

    async def send(self, kind: callers.RequestKind, *, path: str, body: bytes) -> None:
        """Send a request with this path and body, by a caller of its own."""
        caller = self._new_caller([kind])
        await caller.send_same(kind, path, body)
        caller.close()

    def _start_task(self, coroutine: abc.Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._record_task_failure)
        self._tasks.append(task)

    def _record_task_failure(self, task: asyncio.Task) -> None:
        """Record that a part of the soak, such as a caller, has failed."""
        if not task.cancelled() and task.exception() is not None:
            self.recorder.record_violation("SOAK", repr(task.exception()))

    def _new_entry(self, data_centre: str) -> instances.Entry:
        number = len(self.known_entries)
        entry = instances.Entry(f"edge-{number}", data_centre, f"127.0.1.{number + 1}")
        self.known_entries[entry.name] = entry
        return entry

    async def add_entry(self, data_centre: str) -> instances.Entry:
        """Start another entry, which callers get to know; its seeds are as ever."""
        entry = self._new_entry(data_centre)
        await self._start_at_first(entry)
        self.entries.append(entry)
        return entry

    async def remove_entry(self, entry: instances.Entry) -> None:
        """Kill an entry for good; nothing listens at its addresses from then on."""
        entry.is_expected_to_run = False
        self.entries.remove(entry)
        del self._entry_ports[entry.address]
        self.record_event(f"{entry.name} ends for good")
        entry.signal(signal.SIGKILL)
        await asyncio.to_thread(entry.process.wait)
        await self._stop_proxies(entry)

    async def _start_at_first(self, entry: instances.Entry) -> None:
        await self._start_proxies(entry)
        self.start_entry(entry)
        self._entry_ports[entry.address] = callers.EntryPorts(
            entry.name, entry.caller_proxy.port, entry.ports["Directory"]
        )

    async def _start_proxies(self, entry: instances.Entry) -> None:
        entry.store_proxy = faultproxy.FaultProxy(("127.0.0.1", self.store.port))
        entry.caller_proxy = faultproxy.FaultProxy(
            ("127.0.0.1", entry.ports["Frontend"])
        )
        await entry.store_proxy.start()
        await entry.caller_proxy.start()

    def start_entry(self, entry: instances.Entry) -> None:
        """Start an entry's process."""
        settings_path = self.folder / f"{entry.name}.conf"
        settings_path.write_text(
            instances.settings_text(entry, self._seeds, self.bounds)
        )
        build = self._draw_build()
        # This script with the build's own program; older builds don't have the script.
        script = [str(ENTRY_SCRIPT), entry.source_address, self.plant]
        with (self.folder / f"{entry.name}.log").open("ab") as output:
            entry.process = subprocess.Popen(
                [
                    *(build.python, "-P", *script),
                    *("gateway", "--settings", str(settings_path)),
                ],
                cwd=build.folder,
                env={"PATH": os.environ["PATH"], "PYTHONPATH": str(build.folder)},
                stdout=output,
                stderr=output,
            )
        entry.start_count += 1
        entry.is_expected_to_run = True
        self.record_event(f"{entry.name} started: {build.name}")

    def _draw_build(self) -> builds.Build:
        if self._other_build is None:
            return builds.WORK_TREE
        return self.random.choice((builds.WORK_TREE, self._other_build))

    async def _restart_ended_entries(self) -> None:
        """Record and restart entries that end without having been told to."""
        while True:
            for entry in self.entries:
                code = entry.process.poll()
                if entry.is_expected_to_run and code is not None:
                    self.recorder.record_violation(
                        "END", f"{entry.name} ended with {code}"
                    )
                    self.start_entry(entry)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def add_server(
        self, service: str, data_centre: str, *, name: str | None = None, port: int = 0
    ) -> edgeserver.EdgeServer:
        """Start a server behind a proxy; it gets a new name unless one is given."""
        self._server_number += 1
        server = edgeserver.EdgeServer(
            self.store,
            self.recorder,
            # The process id keeps apart the servers of two soaks on one machine: the
            # operating system may give one soak a port that the other has released,
            # and entries must not take the other soak's server for one of their own.
            name=name or f"s-{os.getpid()}-{self._server_number}",
            service=service,
            data_centre=data_centre,
            rng=self._new_rng(),
        )
        # Versions of software serve side by side; the pages give no order to them.
        server.version = VERSIONS[self._server_number % len(VERSIONS)]
        server.deadly_parts = self.deadly_parts
        server.crash_after = self.poison.crash_after
        server.on_crash = self._record_crash
        server.on_answer = self._record_signals
        await server.start()
        proxy = faultproxy.FaultProxy(("127.0.0.1", server.port), port=port)
        proxy.peer_faults = self.entry_cuts
        await proxy.start()
        server.register(proxy.port)
        self.servers[server.name] = server
        self.server_proxies[server.name] = proxy
        return server

    def _record_arrival(
        self, attempt: ledger.Attempt, server: edgeserver.EdgeServer, port: int
    ) -> None:
        sender = self.find_sender(server, port)
        if sender is not None:
            attempt.senders.add(sender[0])
        arrived_at, _ = attempt.arrivals[-1]
        self.signals.arrived(server, port, arrived_at, attempt.sent_at)

    def _record_signals(
        self,
        server: edgeserver.EdgeServer,
        request: edgewire.Request,
        headers: dict[str, str],
    ) -> None:
        attempt = self.recorder.attempts.get(request.headers.get("attempt-id", ""))
        if attempt is not None:
            self.signals.answered(
                server, request, headers, time.monotonic(), attempt.sent_at
            )

    def find_sender(
        self, server: edgeserver.EdgeServer, port: int
    ) -> tuple[str, int] | None:
        """Return the entry that a server's proxy connects for, and its start."""
        proxy = self.server_proxies.get(server.name)
        address = proxy.peers_by_port.get(port) if proxy is not None else None
        for entry in self.known_entries.values():
            if entry.source_address == address:
                return entry.name, entry.start_count
        return None

    def set_deadly_parts(self, parts: abc.Collection[str]) -> None:
        """Let parts of prompts crash servers; callers send some streams with them."""
        self.deadly_parts = frozenset(parts)
        for server in self.servers.values():
            server.deadly_parts = self.deadly_parts
        for caller in self._callers:
            caller.deadly_parts = self.deadly_parts

    def _record_crash(
        self, server: edgeserver.EdgeServer, request: edgewire.Request | None
    ) -> None:
        parts = edgeserver.shared_parts(request) if request else []
        for part in self.deadly_parts.intersection(parts):
            self.crashes.setdefault(part, []).append(time.monotonic())
        if request is not None:
            self.poison.record_crash(server, request)
        self._start_task(self._replace_crashed(server))

    async def _replace_crashed(self, server: edgeserver.EdgeServer) -> None:
        began = time.monotonic()
        self.disturbances.begin(server.name, began)
        await self.stop_server(server, lapses=True)
        self.disturbances.end(server.name, time.monotonic())
        await self.add_server(server.service, self.random.choice(DATA_CENTRES))

    async def stop_server(
        self, server: edgeserver.EdgeServer, *, lapses: bool = False
    ) -> None:
        """Stop a server and its proxy; ``lapses`` lets its registration expire."""
        kind = conditions.Kind.END
        self.disturbances.begin(server.name, time.monotonic(), kind)
        if self.servers.get(server.name) is server:
            del self.servers[server.name]
            await self.server_proxies.pop(server.name).stop()
        await server.stop(lapses=lapses)
        self.disturbances.end(server.name, time.monotonic(), kind)

    def change_configuration(self) -> None:
        """Write the next configuration; the version route gets another service."""
        index = len(self.configuration_changes)
        self._configuration_version += self.random.randint(1, 5)
        body = configurations.body(
            self._configuration_version,
            f"v{index % VERSION_SERVICE_COUNT}",
            SERVER_COUNTS,
            DATA_CENTRES,
            API_KEYS,
            self.bounds,
        )
        acknowledged_at = self.store.put("keyed.op", "config", body)
        self.configuration_changes.append(
            judge.ConfigurationChange(index, acknowledged_at)
        )

    def log_tail(self, entry: instances.Entry) -> str:
        """Return the last 3000 characters of an entry's log."""
        path = self.folder / f"{entry.name}.log"
        return path.read_text(errors="replace")[-3000:] if path.exists() else ""

    async def stop(self) -> None:
        """Stop callers, entries, proxies and stand-ins."""
        for caller in self._callers:
            caller.is_stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.kill_entries()
        for entry in self.known_entries.values():
            if entry.process is not None:
                await asyncio.to_thread(entry.process.wait)
            await self._stop_proxies(entry)
        for server in list(self.servers.values()):
            await self.stop_server(server)
        await self.store.stop()

    @staticmethod
    async def _stop_proxies(entry: instances.Entry) -> None:
        for proxy in (entry.store_proxy, entry.caller_proxy):
            if proxy is not None:
                await proxy.stop()

    def kill_entries(self) -> None:
        """Kill every entry that still runs, also if it is paused."""
        for entry in self.known_entries.values():
            entry.is_expected_to_run = False
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)

    def remove_folder(self) -> None:
        """Remove the folder of logs and settings."""
        self._temporary_folder.cleanup()
