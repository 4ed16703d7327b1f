"""
The stand-ins and entries of a demonstration, all in one event loop.

A system is built from the first patch of an example, which has the organisations,
deployments and data centres; its addresses are replaced by loopback ports.
"""

import asyncio
import copy
import hashlib
import secrets
import typing

from acaciaward import shipped
from acaciaward.entry import process
from acaciaward.identity import apikeys
from acaciaward.settings import loader
from standins import cloud, engine, log, ports, service, store

ADDRESS = "127.0.0.1"
EXAMPLES = ("puzzle-agency", "stock-agents")
ENTRY_COUNT = 3
START_TIMEOUT_S = 10.0
SECRET_BYTES = 32
STANDIN_CLASSES = {"model": engine.EngineStandIn, "service": service.ServiceStandIn}


class DemonstrationSystem:
    """
    A demonstration system.

    ``document`` is its configuration document, ``keys`` maps each organisation to
    an API key and ``endpoints`` each endpoint's name to its stand-in.
    """

    def __init__(self, example: str, *, entry_count: int = ENTRY_COUNT):
        patch = shipped.read("examples", f"{example}/first-patch.json")
        self.document: dict[str, typing.Any] = copy.deepcopy(patch["changes"])
        self.operator_key = secrets.token_urlsafe(SECRET_BYTES)
        self.keys: dict[str, str] = {}
        self.endpoints: dict[str, typing.Any] = {}
        self.log = log.LogStandIn(ADDRESS, ports.find_free_port())
        self.cloud = cloud.CloudStandIn(ADDRESS, ports.find_free_port())
        self.instances = cloud.InstanceListStandIn(
            (ADDRESS, self.cloud.port), ADDRESS, ports.find_free_port()
        )
        self.store = store.WeightStoreStandIn(ADDRESS, ports.find_free_port())
        self._make_keys()
        self._make_endpoints()
        self.entries = self._make_entries(entry_count)

    def deployment(self, kind: str) -> str:
        """Return the name of the first deployment of a kind."""
        deployments = self.document["deployments"]
        return next(
            name for name, fields in deployments.items() if fields["kind"] == kind
        )

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """The address and port of each entry for callers."""
        return [
            (own_peer.address, own_peer.port)
            for own_peer in (entry.membership.peers()[0] for entry in self.entries)
        ]

    def _make_keys(self) -> None:
        for name, organisation in self.document["organisations"].items():
            key, key_fields = apikeys.make_organisation_key(name, "demo")
            organisation["keys"] = {"demo": key_fields}
            self.keys[name] = key
        self.document["resume_keys"] = [secrets.token_urlsafe(SECRET_BYTES)]

    def _make_endpoints(self) -> None:
        for deployment in self.document["deployments"].values():
            for name, endpoint in deployment["endpoints"].items():
                standin = STANDIN_CLASSES[deployment["kind"]](
                    ADDRESS, ports.find_free_port()
                )
                endpoint |= {"address": ADDRESS, "port": standin.port}
                self.endpoints[name] = standin
                self.cloud.add_instance(
                    name, port=standin.port, data_centre=endpoint["data_centre"]
                )

    def _make_entries(self, count: int) -> list[process.EntryProcess]:
        peer_ports = [ports.find_free_port() for _ in range(count)]
        return [
            process.EntryProcess(self._entry_settings(number, peer_ports))
            for number in range(count)
        ]

    def _entry_settings(self, number: int, peer_ports: list[int]) -> loader.Settings:
        data_centres = sorted(
            {
                endpoint["data_centre"]
                for deployment in self.document["deployments"].values()
                for endpoint in deployment["endpoints"].values()
            }
        )
        digest = hashlib.sha256(self.operator_key.encode()).hexdigest()
        return loader.check(
            {
                "instance": {
                    "name": f"entry-{number + 1}",
                    "data_centre": data_centres[number % len(data_centres)],
                    "region": "demonstration",
                },
                "callers": {
                    "port": ports.find_free_port(),
                    "discovery_lifetime_s": 1.0,
                },
                "peers": {
                    "port": peer_ports[number],
                    "seeds": [
                        {"address": ADDRESS, "port": port} for port in peer_ports
                    ],
                    "probe_interval_s": 0.1,
                },
                "platform": {
                    name: {"address": ADDRESS, "port": standin.port}
                    for name, standin in self._platform().items()
                },
                "administration": {"bootstrap_key_digest": digest},
            }
        )

    def _platform(self) -> dict[str, typing.Any]:
        return {
            "log": self.log,
            "cloud": self.cloud,
            "instances": self.instances,
            "weights": self.store,
        }

    async def start(self) -> None:
        """
        Start the stand-ins and entries and submit the document.

        Waits until every entry has applied it and lists all the others as peers.
        """
        standins = [*self._platform().values(), *self.endpoints.values()]
        await asyncio.gather(*(standin.start() for standin in standins))
        await asyncio.gather(*(entry.start() for entry in self.entries))
        await self.entries[0].configuration.submit(
            base=0, author="demo", changes=self.document
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            for entry in self.entries:
                while entry.configuration.view.version < 1:
                    await asyncio.sleep(0.01)
                while len(entry.membership.peers()) < len(self.entries):
                    await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(entry.stop() for entry in self.entries))
        # Nothing uses the stand-ins any more; a clean stop would wait for open polls.
        standins = [*self.endpoints.values(), *self._platform().values()]
        await asyncio.gather(*(standin.crash() for standin in standins))
