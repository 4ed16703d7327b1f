"""
Stand-ins for the cloud API and for the platform's lagging instance list.

The cloud rents out instances, which are only names here unless an experiment attaches
real stand-in engines to them. ``POST /control/reclaim`` publishes reclaim notices
and, at their deadline, sends ``POST /control/die`` to each instance.
"""

import asyncio
import json
import time
import typing

import blacksheep
from blacksheep.server.responses import json as json_response

from acaciaward import httpclient
from standins import base

SECONDS_PER_HOUR = 3600.0
DEFAULT_OFFERS = (
    {
        "data_centre": "dc-1",
        "machine_class": "standard",
        "market": "reclaimable",
        "price_per_hour": 1.0,
        "reclaims_per_hour": 0.2,
    },
    {
        "data_centre": "dc-1",
        "machine_class": "standard",
        "market": "on_demand",
        "price_per_hour": 3.0,
        "reclaims_per_hour": 0.0,
    },
)


class CloudStandIn(base.StandIn):
    """
    Rents out instances and reclaims them.

    Faults: ``outage``, ``refuse_starts`` (all of them), ``refuse_data_centres``
    (a list of names), ``lose_answers`` (how many of the next starts take
    effect but have their response aborted).
    """

    def __init__(self, address: str = "127.0.0.1", port: int = 0):
        super().__init__(address, port)
        self.faults = {
            "outage": False,
            "refuse_starts": False,
            "refuse_data_centres": [],
            "lose_answers": 0,
        }
        self.offers: list[dict[str, typing.Any]] = [
            dict(offer) for offer in DEFAULT_OFFERS
        ]
        self.instances: dict[str, dict[str, typing.Any]] = {}
        self._notices: list[dict[str, typing.Any]] = []
        self._names_by_token: dict[str, str] = {}
        self._ended_instances: list[dict[str, typing.Any]] = []
        self._counts = {"starts": 0, "refused": 0, "stops": 0, "notices": 0}
        self._notice_added = asyncio.Condition()
        self._kill_tasks: set[asyncio.Task] = set()
        self._client = httpclient.HttpClient()
        self.add_route("GET", "/offers", self._get_offers)
        self.add_route("POST", "/instances", self._start_instance)
        self.add_route("GET", "/instances", self._get_instances)
        self.add_route("DELETE", "/instances/{name}", self._stop_instance)
        self.add_route("GET", "/notices", self._get_notices)
        self.add_route("POST", "/control/reclaim", self._control_reclaim)
        self.add_route("POST", "/control/instances", self._control_instances)
        self.add_route("POST", "/control/offers", self._control_offers)
        self.add_route("GET", "/control/bill", self._control_bill)

    async def launch(self, instance: dict[str, typing.Any]) -> None:
        """Start the software of a rented instance; does nothing by default."""

    async def terminate(self, instance: dict[str, typing.Any]) -> None:
        """Kill the software of an instance that was reclaimed or stopped."""
        try:
            async with self._client.send(
                "POST", instance["address"], instance["port"], "/control/die"
            ) as response:
                await response.read()
        except httpclient.HttpError:
            # The instance has ended already.
            pass

    def bill(self) -> list[dict[str, typing.Any]]:
        """Return the cost so far of every instance, running or ended."""
        now = time.time()
        return [
            {
                "name": instance["name"],
                "deployment": instance["deployment"],
                "data_centre": instance["data_centre"],
                "market": instance["market"],
                "cost": instance.get("price_per_hour", 0.0)
                * (instance.get("ended", now) - instance["started"])
                / SECONDS_PER_HOUR,
            }
            for instance in [*self._ended_instances, *self.instances.values()]
        ]

    def stats(self) -> dict[str, typing.Any]:
        """Return the counters of starts, refusals, stops and notices."""
        return dict(self._counts, instances=len(self.instances))

    def add_instance(self, name: str, **values: typing.Any) -> None:
        """Add an instance, also one that an experiment started itself."""
        self.instances[name] = {
            "name": name,
            "address": "127.0.0.1",
            "port": 1,
            "data_centre": "dc-1",
            "machine_class": "standard",
            "market": "reclaimable",
            "deployment": "",
            "client_token": "",
            "state": "live",
            "started": time.time(),
        } | values

    async def reclaim(self, names: list[str], notice_s: float) -> None:
        """Publish reclaim notices and kill the instances after ``notice_s``."""
        deadline = time.time() + notice_s
        for name in names:
            if name in self.instances:
                self.instances[name]["state"] = "leaving"
            notice = {"offset": len(self._notices), "instance": name}
            self._notices.append(notice | {"deadline": deadline})
            self._counts["notices"] += 1
            task = asyncio.create_task(self._kill_after_notice(name, notice_s))
            self._kill_tasks.add(task)
            task.add_done_callback(self._kill_tasks.discard)
        async with self._notice_added:
            self._notice_added.notify_all()

    async def _kill_after_notice(self, name: str, notice_s: float) -> None:
        await asyncio.sleep(notice_s)
        instance = self._end(name)
        if instance is not None:
            await self.terminate(instance)

    def _end(self, name: str) -> dict[str, typing.Any] | None:
        instance = self.instances.pop(name, None)
        if instance is not None:
            instance["ended"] = time.time()
            self._ended_instances.append(instance)
        return instance

    async def _get_offers(self) -> blacksheep.Response:
        if self.faults["outage"]:
            return base.refusal_response(503, "cloud is out")
        return json_response(self.offers)

    async def _start_instance(self, request: blacksheep.Request):
        if self.faults["outage"]:
            return base.refusal_response(503, "cloud is out")
        body = await base.read_json(request)
        known_name = self._names_by_token.get(body["client_token"])
        if known_name in self.instances:
            return json_response(self.instances[known_name], status=200)
        if self._refuses_start(body["data_centre"]):
            self._counts["refused"] += 1
            return base.refusal_response(409, "no capacity", retry_after_s=1.0)
        self._counts["starts"] += 1
        name = f"i-{self._counts['starts']:05d}"
        self.add_instance(name, **body, price_per_hour=self._price(body))
        self._names_by_token[body["client_token"]] = name
        await self.launch(self.instances[name])
        if self.faults["lose_answers"] > 0:
            self.faults["lose_answers"] -= 1
            return base.aborted_response()
        return json_response(self.instances[name], status=201)

    def _price(self, body: dict[str, typing.Any]) -> float:
        offer_fields = ("data_centre", "machine_class", "market")
        for offer in self.offers:
            if all(offer[name] == body[name] for name in offer_fields):
                return offer["price_per_hour"]
        return 0.0

    def _refuses_start(self, data_centre: str) -> bool:
        is_refused_data_centre = data_centre in self.faults["refuse_data_centres"]
        return self.faults["refuse_starts"] or is_refused_data_centre

    async def _get_instances(self) -> blacksheep.Response:
        return json_response(list(self.instances.values()))

    async def _stop_instance(self, name: str) -> blacksheep.Response:
        if self.faults["outage"]:
            return base.refusal_response(503, "cloud is out")
        instance = self._end(name)
        if instance is not None:
            self._counts["stops"] += 1
            await self.terminate(instance)
        return json_response({"stopped": name})

    async def _get_notices(self, request: blacksheep.Request):
        if self.faults["outage"]:
            return base.refusal_response(503, "cloud is out")
        first_offset = int(base.first_query_value(request, "from", "0"))
        wait_s = float(base.first_query_value(request, "wait_s", "0"))
        if first_offset >= len(self._notices) and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s), self._notice_added:
                    await self._notice_added.wait()
            except TimeoutError:
                pass
        return json_response(self._notices[first_offset:])

    async def _control_reclaim(self, request: blacksheep.Request):
        body = await base.read_json(request)
        await self.reclaim(body["instances"], body["notice_s"])
        return json_response({"reclaimed": body["instances"]})

    async def _control_instances(self, request: blacksheep.Request):
        body = await base.read_json(request)
        for instance in body["instances"]:
            self.add_instance(**instance)
        return json_response({"known": len(self.instances)})

    async def _control_bill(self) -> blacksheep.Response:
        return json_response(self.bill())

    async def _control_offers(self, request: blacksheep.Request):
        self.offers = (await base.read_json(request))["offers"]
        return json_response({"offers": len(self.offers)})


class InstanceListStandIn(base.StandIn):
    """
    Serves the cloud's instance list as it was ``lag_s`` seconds ago.

    It polls the cloud at ``source`` every ``poll_s`` seconds. While ``outage``
    is set it answers 503.
    """

    def __init__(
        self, source: tuple[str, int], address: str = "127.0.0.1", port: int = 0
    ):
        super().__init__(address, port)
        self.faults = {"outage": False, "lag_s": 2.0, "poll_s": 0.2}
        self._source = source
        self._history: list[tuple[float, list[dict[str, typing.Any]]]] = []
        self._client = httpclient.HttpClient()
        self._poll_task: asyncio.Task | None = None
        self.add_route("GET", "/instances", self._get_instances)

    async def start(self, *, is_own_process: bool = False) -> None:
        """Start listening and polling the cloud."""
        await super().start(is_own_process=is_own_process)
        self._poll_task = asyncio.create_task(self._poll_cloud())

    async def stop(self) -> None:
        """Stop polling and listening."""
        if self._poll_task is not None:
            self._poll_task.cancel()
        await super().stop()

    async def _poll_cloud(self) -> None:
        address, port = self._source
        while True:
            try:
                async with self._client.send(
                    "GET", address, port, "/instances"
                ) as response:
                    listing = json.loads(await response.read())
                self._history.append((time.monotonic(), listing))
            except httpclient.HttpError:
                # The list goes stale while the cloud can't be read.
                pass
            self._drop_superseded()
            await asyncio.sleep(self.faults["poll_s"])

    def _drop_superseded(self) -> None:
        visible_until = time.monotonic() - self.faults["lag_s"]
        while len(self._history) > 1 and self._history[1][0] <= visible_until:
            self._history.pop(0)

    async def _get_instances(self) -> blacksheep.Response:
        if self.faults["outage"]:
            return base.refusal_response(503, "instance list is out")
        self._drop_superseded()
        visible_until = time.monotonic() - self.faults["lag_s"]
        listing = []
        if self._history and self._history[0][0] <= visible_until:
            listing = self._history[0][1]
        return json_response(listing)
