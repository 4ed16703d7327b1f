"""
Runs gateways against the stand-in of the store, and records when versions come into
force at each of them.

Each gateway has a proxy to the store, so that its connections can be disturbed alone.
"""

import asyncio
import collections
import contextvars
import random
import time
import typing
from collections import abc

from acaciaward.gateway import process, settings as gateway_settings
from acaciaward.platform import nodefile
from acaciaward.settings import loader
from standins import edgestore, faultproxy, ports

CONFIGURATION_TOPIC = "keyed.op"
ENDPOINTS_TOPIC = "keyed.servers"
# Bounds as the entries are given them, in seconds.
CONTACT_S = 3.0
CONFIGURATION_S = 2.0
PARTITION_S = 5.0
START_TIMEOUT_S = 10.0
POLL_S = 0.01
LISTENERS = ("Frontend", "Readiness", "Control", "Directory")
# The name of the entry whose gateway runs the current task or callback.
entry_name: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "entry_name", default=None
)


class Entry:
    """One gateway with its proxy to the store."""

    def __init__(self, name: str, data_centre: str):
        self.name = name
        self.data_centre = data_centre
        self.ports = {listener: ports.find_free_port() for listener in LISTENERS}
        self.proxy: faultproxy.FaultProxy | None = None
        self.gateway: process.Gateway | None = None
        # The calls to the store, by the name of the call and the topic.
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        # Monotonic time at which each version came into force.
        self.in_force_at: dict[int, float] = {}
        self.versions: list[int] = []

    @property
    def view(self):
        """The gateway's copy of the store."""
        return self.gateway._store_view

    @property
    def endpoint_names(self) -> set[str]:
        """The names of the endpoints that the gateway would send work to."""
        return {endpoint.name for endpoint in self.gateway._directory.ready("app")}

    def count_calls(self) -> None:
        """Count the gateway's calls to the store from now on."""
        client = self.gateway._store
        call = client._call

        def count_and_call(method, name, query, **options):
            self.calls[name, query["Topic"]] += 1
            return call(method, name, query, **options)

        client._call = count_and_call

    def calls_of(self, topic: str) -> int:
        """Return how many calls concerned a topic."""
        return sum(count for (_, name), count in self.calls.items() if name == topic)

    def record(self, catalogue) -> None:
        """Record that a version came into force."""
        self.in_force_at.setdefault(catalogue.version, time.monotonic())
        self.versions.append(catalogue.version)


class World:
    """Several data centres of entries with one store."""

    def __init__(
        self,
        data_centres: int,
        entries_each: int,
        seed: int = 1,
        route: abc.Mapping[str, typing.Any] = {},
        configuration: abc.Mapping[str, typing.Any] = {},
    ):
        """
        Start nothing yet.

        ``route`` overrides fields of the only route, ``configuration`` those of the
        whole configuration.
        """
        self.random = random.Random(seed)
        self._route = route
        self._configuration = configuration
        self.store = edgestore.EdgeStore(random.Random(seed))
        self.entries = [
            Entry(f"e-{number}-{data_centre}", f"dc-{data_centre}")
            for data_centre in range(data_centres)
            for number in range(entries_each)
        ]
        # Where entries find others at their start; the machines may be gone by then.
        self.seeds = [entry.ports["Control"] for entry in self.entries[:3]]
        self.version = 0
        # Overrides fields of the records of endpoints.
        self.endpoint_fields: dict[str, typing.Any] = {}
        # Whether entries take part in the duties.
        self.has_duties = False
        # Monotonic time at which the store acknowledged each version first.
        self.acknowledged_at: dict[int, float] = {}

    async def start(self) -> None:
        """Start everything, and wait until every entry relies on its reader."""
        await self.store.start()
        self.change()
        self.store.put(ENDPOINTS_TOPIC, "s-0", self.endpoint_record(0))
        for entry in self.entries:
            await self.start_entry(entry)
        await self.wait_until(
            lambda: all(entry.gateway.is_ready for entry in self.entries),
            START_TIMEOUT_S,
        )
        await self.wait_until(
            lambda: len(self.readers()) == len(self.entries_by_data_centre()),
            START_TIMEOUT_S,
        )

    async def start_entry(self, entry: Entry) -> None:
        """Start an entry with its proxy to the store."""
        await self.start_proxy(entry)
        await self.start_gateway(entry)

    async def start_proxy(self, entry: Entry) -> None:
        """Start the proxy between an entry and the store."""
        entry.proxy = faultproxy.FaultProxy(("127.0.0.1", self.store.port))
        await entry.proxy.start()

    async def start_gateway(self, entry: Entry) -> None:
        """Start an entry's gateway in this process."""
        entry.gateway = process.Gateway(self._settings(entry))
        entry.count_calls()
        self.prepare(entry)
        entry.view.subscribe(entry.record)
        context = contextvars.copy_context()
        context.run(entry_name.set, entry.name)
        await asyncio.create_task(entry.gateway.start(), context=context)

    def prepare(self, entry: Entry) -> None:
        """Change an entry's gateway before it starts."""

    def _settings(self, entry: Entry) -> loader.Settings:
        return loader.check(
            nodefile.decode(self.settings_text(entry)),
            name=entry.name,
            package=gateway_settings.PACKAGE,
            find_first_problem=gateway_settings.find_first_problem,
        )

    def settings_text(self, entry: Entry) -> str:
        """Return the settings file of an entry."""
        seeds = ",".join(f"127.0.0.1:{port}" for port in self.seeds)
        fields = {
            "NodeName": entry.name,
            "Zone": entry.data_centre,
            "Region": "region",
            "Ip": "127.0.0.1",
            "Seeds": seeds,
            "Platform.Address": f"127.0.0.1:{entry.proxy.port}",
            "Bounds.ContactMs": CONTACT_S * 1000,
            "Bounds.ConfigApplyMs": CONFIGURATION_S * 1000,
        }
        if self.has_duties:
            fields["Cloud.Address"] = fields["Platform.Address"]
            fields["Cloud.Duties"] = "usage_report"
        for name, port in entry.ports.items():
            fields[f"Listen.{name}"] = f"127.0.0.1:{port}"
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    async def stop(self) -> None:
        """Stop every gateway without draining, then proxies and store."""
        for entry in self.entries:
            await self.end_entry(entry)
        await self.store.stop()

    async def end_entry(self, entry: Entry) -> None:
        """Stop a gateway without draining, and its proxy."""
        if entry.gateway is not None:
            await entry.gateway._end()
            for server in entry.gateway._auxiliary_servers.values():
                server.stop_accepting()
                server.abort()
            entry.gateway._callers.stop_accepting()
        if entry.proxy is not None:
            await entry.proxy.stop()

    def readers(self) -> list[Entry]:
        """Return the entries that read the store for themselves or others."""
        return [
            entry for entry in self.entries if not entry.gateway._relaying.is_relayed
        ]

    def change_route(self, fields: abc.Mapping[str, typing.Any]) -> int:
        """Write the next configuration with other fields of the route."""
        self._route = {**self._route, **fields}
        return self.change()

    def change(self) -> int:
        """Write the next configuration as the operator, and return its version."""
        self.version += self.random.randint(1, 4)
        route = {"Name": "r", "Host": "x.example", "PathPrefix": "/a/"}
        route |= {"RouteType": "idempotent", "Service": "app"} | self._route
        body = {"Version": self.version, "Routes": [route]}
        body["Services"] = [{"Name": "app", "MaxConnections": 100}]
        body |= self._configuration
        acknowledged_at = self.store.put(CONFIGURATION_TOPIC, "config", body)
        self.acknowledged_at.setdefault(self.version, acknowledged_at)
        return self.version

    def endpoint_record(self, number: int) -> dict:
        """Return the record that an endpoint publishes about itself."""
        address = f"127.0.0.1:{1000 + number}"
        record = {"Service": "app", "Address": address, "Zone": "dc-0", "Slots": 4}
        return record | {"State": "ready", "born": 1} | self.endpoint_fields

    def endpoint_names(self) -> set[str]:
        """Return the names of the endpoints that the store lists."""
        return set(self.store.newest_values(ENDPOINTS_TOPIC))

    async def wait_until(self, condition, timeout_s: float) -> bool:
        """Wait for a condition; return whether it held in time."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return True
            await asyncio.sleep(POLL_S)
        return condition()

    async def late_entries(self, version: int, due: float) -> list[str]:
        """Wait until ``due``; return the entries that don't have the version then."""

        def find_late() -> list[str]:
            return [
                entry.name
                for entry in self.entries
                if entry.view.catalogue.version < version
            ]

        await self.wait_until(lambda: not find_late(), due - time.monotonic())
        return find_late()

    def reverted_entries(self) -> dict[str, list[int]]:
        """Return the entries whose versions fell, with their versions."""
        return {
            entry.name: entry.versions
            for entry in self.entries
            if entry.versions != sorted(entry.versions)
        }

    def hold(self, entries: list[Entry]) -> None:
        """Cut entries off from the store; nothing arrives, nothing is reset."""
        for entry in entries:
            entry.proxy.faults["mode"] = "hold"

    def turn_away(self, entries: list[Entry]) -> None:
        """Reset the connections of entries to the store, also new ones."""
        for entry in entries:
            entry.proxy.faults["mode"] = "refuse"
            entry.proxy.cut_connections()

    def reconnect(self) -> None:
        """End ``hold`` and ``turn_away``; bytes that were held up are lost."""
        for entry in self.entries:
            if entry.proxy.faults["mode"] != "pass":
                entry.proxy.faults["mode"] = "pass"
                entry.proxy.cut_connections()

    def entries_by_data_centre(self) -> dict[str, list[Entry]]:
        """Return the entries of each data centre."""
        found = collections.defaultdict(list)
        for entry in self.entries:
            found[entry.data_centre].append(entry)
        return dict(found)
