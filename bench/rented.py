"""
Runs a cluster whose engines are rented from a stand-in cloud, which runs them.

    running = RentedCluster(document, offers, entry_count=3)
    await running.start()
    await running.rent("swaps", "dc-1", "on_demand", 2)
"""

import asyncio
import json
import typing
import uuid
from collections import abc

from acaciaward.identity import apikeys
from bench import cluster, processes

MACHINE_CLASS = "standard"
ENGINE_FAULTS = {"step_s": 0.02, "max_batch": 8, "load_lag_s": 0.3, "orphan_s": 2.0}


def make_organisations(
    shares: abc.Mapping[str, float],
    limits: abc.Mapping[str, typing.Any] | None = None,
) -> tuple[dict[str, typing.Any], dict[str, str]]:
    """Return the organisations of the document, and each one's key."""
    organisations = {}
    keys = {}
    for name, share in shares.items():
        keys[name], key_record = apikeys.make_organisation_key(name, "bench")
        organisations[name] = {"keys": {"bench": key_record}, "share": share}
        if limits:
            organisations[name]["limits"] = dict(limits)
    return organisations, keys


class RentedCluster(cluster.Cluster):
    """Entries and platform as processes; the engines run in the cloud's process."""

    def __init__(
        self,
        document: dict[str, typing.Any],
        offers: abc.Sequence[dict[str, typing.Any]],
        *,
        entry_count: int,
        settings: dict[str, typing.Any] | None = None,
        engine_faults: dict[str, typing.Any] | None = None,
        boot_s: float = 0.5,
    ):
        super().__init__(
            entry_count=entry_count,
            engine_count=0,
            service_count=0,
            organisations=(),
            settings=settings,
        )
        self._offers = list(offers)
        self._boot_s = boot_s
        self._engine_faults = ENGINE_FAULTS | (engine_faults or {})
        self.document = {"resume_keys": self.document["resume_keys"]} | document

    async def start(self) -> None:
        """Start every process and apply the configuration document."""
        await self._start_standin("log", "log")
        await self._start_world()
        await self.control("cloud", "/control/offers", {"offers": self._offers})
        await asyncio.gather(*(self.start_entry(name) for name in self.entries))
        if self.entries:
            outcome = await self.patch(self.document)
            if outcome.get("status") != "accepted":
                raise RuntimeError(f"document not accepted: {outcome}")

    def _make_entry_settings(self, name: str) -> dict[str, typing.Any]:
        settings = super()._make_entry_settings(name)
        # Only one entry may manage the fleet, so that its log has every decision.
        is_fleet_manager = name == self.entries[0] and "fleet" in self._settings
        settings["fleet"] = settings.get("fleet", {}) | {"enabled": is_fleet_manager}
        return settings

    async def _start_world(self) -> None:
        arguments = ["-m", "bench.world", "--boot-s", str(self._boot_s)]
        for service in ("cloud", "instances", "weights"):
            arguments += [f"--{service}", str(self._port(service))]
        arguments += ["--faults", json.dumps(self._engine_faults)]
        await self.processes.start("world", arguments, self._port("instances"))

    async def rent(
        self, deployment: str, data_centre: str, market: str, count: int = 1
    ) -> list[dict[str, typing.Any]]:
        """Rent instances and return them; raise ``KeyError`` if one is refused."""
        order = {
            "deployment": deployment,
            "data_centre": data_centre,
            "machine_class": MACHINE_CLASS,
            "market": market,
        }
        rented = []
        for _ in range(count):
            token = {"client_token": uuid.uuid4().hex}
            answer = await self.control("cloud", "/instances", order | token)
            rented.append({"name": answer["name"]} | answer)
        return rented

    async def add_endpoints(
        self, instances: abc.Sequence[dict[str, typing.Any]]
    ) -> None:
        """Patch instances into their deployments as endpoints."""
        deployments: dict[str, typing.Any] = {}
        for instance in instances:
            deployment = deployments.setdefault(
                instance["deployment"], {"endpoints": {}}
            )
            deployment["endpoints"][instance["name"]] = {
                "address": processes.ADDRESS,
                "port": instance["port"],
                "data_centre": instance["data_centre"],
                "reclaimable": instance["market"] == "reclaimable",
            }
        await self.patch({"deployments": deployments})

    async def live_instances(self) -> list[dict[str, typing.Any]]:
        """Return the instances from the cloud itself, without the list's lag."""
        return await self.control("cloud", "/instances", method="GET")

    async def cost(self) -> float:
        """Return the cost of all instances so far."""
        bill = await self.control("cloud", "/control/bill", method="GET")
        return sum(line["cost"] for line in bill)

    async def meter(self) -> dict[str, int]:
        """Return the tokens computed and recomputed at all engines."""
        return await self.control("cloud", "/control/meter", method="GET")
