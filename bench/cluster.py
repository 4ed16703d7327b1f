"""
Runs a complete system as separate processes, for experiments and integration tests.

    cluster = Cluster(entry_count=3, engine_count=4, service_count=2)
    await cluster.start()
    answer = await cluster.caller("org-1").complete("text", "hello there")
    await cluster.stop()

Each stand-in named in ``proxied`` is reached through its own fault proxy, whose
faults ``set_proxy_faults`` sets.
"""

import asyncio
import copy
import hashlib
import json
import secrets
import typing

from acaciaward import httpclient
from acaciaward.client import caller
from acaciaward.identity import apikeys
from bench import processes
from standins import ports

DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
ORGANISATIONS = ("org-1", "org-2")
MODEL = "text"
SERVICE = "desk"
IN_FORCE_TIMEOUT_S = 15.0

Address = tuple[str, int]


class Cluster:
    """Entries, endpoints and platform stand-ins, each in its own process."""

    def __init__(
        self,
        *,
        entry_count: int = 3,
        engine_count: int = 4,
        service_count: int = 2,
        organisations: typing.Sequence[str] = ORGANISATIONS,
        data_centres: typing.Sequence[str] = DATA_CENTRES,
        proxied: typing.Collection[str] = (),
        settings: dict[str, typing.Any] | None = None,
        faults: dict[str, dict[str, typing.Any]] | None = None,
    ):
        self.processes = processes.Processes()
        self.operator_key = secrets.token_urlsafe(32)
        self.keys: dict[str, str] = {}
        self.exit_codes: list[int] = []
        self.entry_settings: dict[str, dict[str, typing.Any]] = {}
        self._ports: dict[str, int] = {}
        self._control_ports: dict[str, int] = {}
        self._proxy_ports: dict[str, int] = {}
        self._proxied = frozenset(proxied)
        self._data_centres = list(data_centres)
        self._settings = settings or {}
        self._faults = faults or {}
        self._client = httpclient.HttpClient(connect_timeout_s=2.0)
        self._callers: list[caller.Caller] = []
        self.engines = [f"engine-{n + 1}" for n in range(engine_count)]
        self.services = [f"service-{n + 1}" for n in range(service_count)]
        self.entries = [f"entry-{n + 1}" for n in range(entry_count)]
        self.document = self._make_document(organisations)

    @property
    def entry_addresses(self) -> list[Address]:
        """Caller-facing addresses of the running entries."""
        return [
            (processes.ADDRESS, self._ports[name])
            for name in self.entries
            if self.processes.is_running(name)
        ]

    def address(self, name: str) -> Address:
        """Return the address of a process, or of its proxy if it has one."""
        port = self._proxy_ports.get(name) or self._port(name)
        return (processes.ADDRESS, port)

    def data_centre(self, name: str) -> str:
        """Return the data centre of ``engine-N``, ``service-N`` or ``entry-N``."""
        number = int(name.rpartition("-")[2]) - 1
        return self._data_centres[number % len(self._data_centres)]

    def caller(self, organisation: str, **options: typing.Any) -> caller.Caller:
        """Return a caller with an organisation's key; ``stop`` closes it."""
        new_caller = caller.Caller(
            self.entry_addresses, key=self.keys[organisation], **options
        )
        self._callers.append(new_caller)
        return new_caller

    async def start(self) -> None:
        """Start every process and apply the configuration document."""
        await self._start_standin("log", "log")
        await self._start_standin("cloud", "cloud")
        target = f"{processes.ADDRESS}:{self._ports['cloud']}"
        await self._start_standin("instances", "instances", ["--target", target])
        await self._start_standin("weights", "store")
        await asyncio.gather(
            *(self._start_standin(name, "engine") for name in self.engines),
            *(self._start_standin(name, "service") for name in self.services),
        )
        await self.register_endpoints([*self.engines, *self.services])
        await asyncio.gather(*(self.start_entry(name) for name in self.entries))
        await self.patch(self._document_with_addresses())

    async def stop(self) -> None:
        """End every process."""
        for open_caller in self._callers:
            await open_caller.close()
        await self._client.close()
        await self.processes.stop_all()

    async def start_entry(self, name: str) -> None:
        """Start an entry, or restart it after it has ended."""
        if name not in self.entries:
            self.entries.append(name)
        settings = self._make_entry_settings(name)
        self.entry_settings[name] = settings
        path = self.processes.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        arguments = ["-m", "acaciaward", "entry", "--settings", str(path)]
        await self.processes.start(name, arguments, self._port(name))

    async def start_endpoint(self, name: str) -> None:
        """Restart an engine or a service after it has ended."""
        kind = "engine" if name in self.engines else "service"
        await self._start_standin(name, kind)

    async def patch(
        self, changes: dict[str, typing.Any], *, wait: bool = True
    ) -> dict[str, typing.Any]:
        """Submit a patch based on the current version; wait until it is in force."""
        entry = self.entry_addresses[0]
        view = await self.administer(entry, "GET", "/v1/admin/config")
        outcome = await self.administer(
            entry,
            "POST",
            "/v1/admin/config/patches",
            {"base": view["version"], "changes": changes},
        )
        if wait and outcome.get("status") == "accepted":
            await self.wait_in_force(outcome["version"])
        return outcome

    async def wait_in_force(self, version: int) -> None:
        """Wait until every running entry has at least this version."""
        async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
            for entry in self.entry_addresses:
                while await self._version(entry) < version:
                    await asyncio.sleep(processes.POLL_S)

    async def _version(self, entry: Address) -> int:
        async with self._client.send("GET", *entry, "/readyz") as response:
            return json.loads(await response.read())["version"]

    async def administer(
        self, entry: Address, method: str, path: str, body: typing.Any = None
    ) -> dict[str, typing.Any]:
        """Call the administration API and return the JSON answer."""
        headers = {"authorization": f"Bearer {self.operator_key}"}
        payload = b"" if body is None else json.dumps(body).encode()
        async with self._client.send(
            method, *entry, path, headers=headers, body=payload
        ) as response:
            return json.loads(await response.read())

    async def control(
        self, name: str, path: str, body: typing.Any = None, *, method: str = "POST"
    ) -> typing.Any:
        """Call a stand-in directly, bypassing its proxy."""
        port = self._control_ports.get(name) or self._port(name)
        payload = b"" if body is None else json.dumps(body).encode()
        async with self._client.send(
            method,
            processes.ADDRESS,
            port,
            path,
            body=payload,
            needs_new_connection=True,
        ) as response:
            return json.loads(await response.read())

    async def set_faults(self, name: str, **faults: typing.Any) -> None:
        """Set faults of a stand-in."""
        await self.control(name, "/control/faults", faults)

    async def set_proxy_faults(self, name: str, **faults: typing.Any) -> None:
        """Set faults of the proxy in front of a process."""
        await self.control(f"proxy-{name}", "/control/faults", faults)

    async def stats(self, name: str) -> dict[str, typing.Any]:
        """Return a stand-in's counters."""
        return await self.control(name, "/control/stats", method="GET")

    async def reclaim(self, names: typing.Sequence[str], notice_s: float) -> None:
        """Have the cloud announce a reclaim and end instances ``notice_s`` later."""
        body = {"instances": list(names), "notice_s": notice_s}
        await self.control("cloud", "/control/reclaim", body)

    def port(self, name: str) -> int:
        """Return the port of a process itself, not of its proxy."""
        return self._port(name)

    def _port(self, name: str) -> int:
        if name not in self._ports:
            self._ports[name] = ports.find_free_port()
        return self._ports[name]

    async def _start_standin(
        self, name: str, kind: str, extra: typing.Sequence[str] = ()
    ) -> None:
        port = self._port(name)
        faults = self._faults.get(kind, {}) | self._faults.get(name, {})
        arguments = ["-m", "standins", kind, "--port", str(port), *extra]
        arguments += ["--faults", json.dumps(faults)]
        await self.processes.start(name, arguments, port)
        if name in self._proxied and name not in self._proxy_ports:
            await self._start_proxy(name, port)

    async def _start_proxy(self, name: str, port: int) -> None:
        proxy = f"proxy-{name}"
        self._proxy_ports[name] = ports.find_free_port()
        self._control_ports[proxy] = ports.find_free_port()
        arguments = ["-m", "standins", "proxy"]
        arguments += ["--port", str(self._proxy_ports[name])]
        arguments += ["--target", f"{processes.ADDRESS}:{port}"]
        arguments += ["--control-port", str(self._control_ports[proxy])]
        await self.processes.start(proxy, arguments, self._control_ports[proxy])

    async def register_endpoints(self, names: typing.Sequence[str]) -> None:
        """Register endpoints with the cloud as its instances."""
        instances = [
            {
                "name": name,
                "port": self._port(name),
                "data_centre": self.data_centre(name),
            }
            for name in names
        ]
        await self.control("cloud", "/control/instances", {"instances": instances})

    def _make_document(
        self, organisations: typing.Sequence[str]
    ) -> dict[str, typing.Any]:
        document: dict[str, typing.Any] = {"organisations": {}, "deployments": {}}
        for organisation in organisations:
            key, key_record = apikeys.make_organisation_key(organisation, "bench")
            self.keys[organisation] = key
            document["organisations"][organisation] = {"keys": {"bench": key_record}}
        kinds = ((MODEL, "model", self.engines), (SERVICE, "service", self.services))
        for deployment, kind, names in kinds:
            document["deployments"][deployment] = {
                "kind": kind,
                "organisations": list(organisations),
                "endpoints": dict.fromkeys(names),
            }
        document["resume_keys"] = [secrets.token_urlsafe(32)]
        return document

    def _document_with_addresses(self) -> dict[str, typing.Any]:
        document = copy.deepcopy(self.document)
        for deployment in document["deployments"].values():
            deployment["endpoints"] = {
                name: self.endpoint_configuration(name)
                for name in deployment["endpoints"]
            }
        return document

    def endpoint_configuration(self, name: str) -> dict[str, typing.Any]:
        """Return an endpoint's fields in the configuration document."""
        address, port = self.address(name)
        data_centre = self.data_centre(name)
        return {"address": address, "port": port, "data_centre": data_centre}

    def _make_entry_settings(self, name: str) -> dict[str, typing.Any]:
        seeds = [
            {"address": processes.ADDRESS, "port": self._port(f"{peer_name}-peers")}
            for peer_name in self.entries
        ]
        digest = hashlib.sha256(self.operator_key.encode()).hexdigest()
        settings: dict[str, typing.Any] = {
            "instance": {
                "name": name,
                "data_centre": self.data_centre(name),
                "region": "bench",
            },
            "callers": {"port": self._port(name), "discovery_lifetime_s": 1.0},
            "peers": {
                "port": self._port(f"{name}-peers"),
                "seeds": seeds,
                "probe_interval_s": 0.2,
            },
            "platform": {
                service: dict(
                    zip(("address", "port"), self.address(service), strict=True)
                )
                for service in ("log", "cloud", "instances", "weights")
            },
            "administration": {"bootstrap_key_digest": digest},
        }
        for group, values in self._settings.items():
            settings[group] = settings.get(group, {}) | values
        return settings
