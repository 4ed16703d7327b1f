"""
Stand-ins for the cloud API and for the platform's lagging instance list.

The cloud rents instances, which here are only names unless experiments attach
real stand-in engines to them. ``POST /control/reclaim`` sends notices and, at
their deadline, tells each instance's control address to die.
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
    Rents instances and reclaims them.

    Faults: ``outage``, ``refuse_starts`` (all of them), ``refuse_data_centres``
    (a list of names), ``lose_answers`` (number of next starts whose answer is
    lost after the effect).
    """

    def __init__(self, address: str = "127.0.0.1", port: int = 0):
        super().__init__(address, port)
        self.faults = {
            "outage": False,
            "refuse_starts": False,
            "refuse_data_centres": [],
            "lose_answers": 0,
        }
        self.offers: list[dict[str, typing.Any]] = [dict(o) for o in DEFAULT_OFFERS]
        self.instances: dict[str, dict[str, typing.Any]] = {}
        self._notices: list[dict[str, typing.Any]] = []
        self._by_token: dict[str, str] = {}
        self._ended: list[dict[str, typing.Any]] = []
        self._counts = {"starts": 0, "refused": 0, "stops": 0, "notices": 0}
        self._noticed = asyncio.Condition()
        self._tasks: set[asyncio.Task] = set()
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
        """Bring up what runs on a rented instance; by default nothing does."""

    async def terminate(self, instance: dict[str, typing.Any]) -> None:
        """End what runs on an instance that the cloud takes away."""
        try:
            async with self._client.send(
                "POST", instance["address"], instance["port"], "/control/die"
            ) as response:
                await response.read()
        except httpclient.HttpError:
            # An instance that is gone already has nothing left to end.
            pass

    def bill(self) -> list[dict[str, typing.Any]]:
        """Return what every instance, also an ended one, has cost by now."""
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
            for instance in [*self._ended, *self.instances.values()]
        ]

    def stats(self) -> dict[str, typing.Any]:
        """Return the counters of starts, refusals, stops and notices."""
        return dict(self._counts, instances=len(self.instances))

    def add_instance(self, name: str, **values: typing.Any) -> None:
        """Make an instance known that experiments have started themselves."""
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
        """Announce the end of instances and kill them when it comes."""
        deadline = time.time() + notice_s
        for name in names:
            if name in self.instances:
                self.instances[name]["state"] = "leaving"
            notice = {"offset": len(self._notices), "instance": name}
            self._notices.append(notice | {"deadline": deadline})
            self._counts["notices"] += 1
            task = asyncio.create_task(self._kill_later(name, notice_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        async with self._noticed:
            self._noticed.notify_all()

    async def _kill_later(self, name: str, notice_s: float) -> None:
        await asyncio.sleep(notice_s)
        instance = self._end(name)
        if instance is not None:
            await self.terminate(instance)

    def _end(self, name: str) -> dict[str, typing.Any] | None:
        instance = self.instances.pop(name, None)
        if instance is not None:
            instance["ended"] = time.time()
            self._ended.append(instance)
        return instance

    async def _get_offers(self) -> blacksheep.Response:
        if self.faults["outage"]:
            return base.refusal_response(503, "cloud is out")
        return json_response(self.offers)

    async def _start_instance(self, request: blacksheep.Request):
        if self.faults["outage"]:
            return base.refusal_response(503, "cloud is out")
        given = await base.read_json(request)
        known = self._by_token.get(given["client_token"])
        if known in self.instances:
            return json_response(self.instances[known], status=200)
        if self._refuses(given["data_centre"]):
            self._counts["refused"] += 1
            return base.refusal_response(409, "no capacity", retry_after_s=1.0)
        self._counts["starts"] += 1
        name = f"i-{self._counts['starts']:05d}"
        self.add_instance(name, **given, price_per_hour=self._price(given))
        self._by_token[given["client_token"]] = name
        await self.launch(self.instances[name])
        if self.faults["lose_answers"] > 0:
            self.faults["lose_answers"] -= 1
            return base.aborted_response()
        return json_response(self.instances[name], status=201)

    def _price(self, given: dict[str, typing.Any]) -> float:
        place = ("data_centre", "machine_class", "market")
        for offer in self.offers:
            if all(offer[name] == given[name] for name in place):
                return offer["price_per_hour"]
        return 0.0

    def _refuses(self, data_centre: str) -> bool:
        in_refused_place = data_centre in self.faults["refuse_data_centres"]
        return self.faults["refuse_starts"] or in_refused_place

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
        wanted = int(base.first_query_value(request, "from", "0"))
        wait_s = float(base.first_query_value(request, "wait_s", "0"))
        if wanted >= len(self._notices) and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s), self._noticed:
                    await self._noticed.wait()
            except TimeoutError:
                pass
        return json_response(self._notices[wanted:])

    async def _control_reclaim(self, request: blacksheep.Request):
        given = await base.read_json(request)
        await self.reclaim(given["instances"], given["notice_s"])
        return json_response({"reclaimed": given["instances"]})

    async def _control_instances(self, request: blacksheep.Request):
        given = await base.read_json(request)
        for instance in given["instances"]:
            self.add_instance(**instance)
        return json_response({"known": len(self.instances)})

    async def _control_bill(self) -> blacksheep.Response:
        return json_response(self.bill())

    async def _control_offers(self, request: blacksheep.Request):
        self.offers = (await base.read_json(request))["offers"]
        return json_response({"offers": len(self.offers)})


class InstanceListStandIn(base.StandIn):
    """
    Shows the cloud's instances as they were some seconds ago.

    It reads the cloud at ``source`` and lags by the fault ``lag_s``. While
    ``outage`` is set it answers 503.
    """

    def __init__(
        self, source: tuple[str, int], address: str = "127.0.0.1", port: int = 0
    ):
        super().__init__(address, port)
        self.faults = {"outage": False, "lag_s": 2.0, "poll_s": 0.2}
        self._source = source
        self._history: list[tuple[float, list[dict[str, typing.Any]]]] = []
        self._client = httpclient.HttpClient()
        self._task: asyncio.Task | None = None
        self.add_route("GET", "/instances", self._get_instances)

    async def start(self, *, is_own_process: bool = False) -> None:
        """Listen and begin to read the cloud."""
        await super().start(is_own_process=is_own_process)
        self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Stop reading and listening."""
        if self._task is not None:
            self._task.cancel()
        await super().stop()

    async def _follow(self) -> None:
        address, port = self._source
        while True:
            try:
                async with self._client.send(
                    "GET", address, port, "/instances"
                ) as response:
                    listing = json.loads(await response.read())
                self._history.append((time.monotonic(), listing))
            except httpclient.HttpError:
                # The list simply grows older while the cloud can't be read.
                pass
            self._forget_old()
            await asyncio.sleep(self.faults["poll_s"])

    def _forget_old(self) -> None:
        shown = time.monotonic() - self.faults["lag_s"]
        while len(self._history) > 1 and self._history[1][0] <= shown:
            self._history.pop(0)

    async def _get_instances(self) -> blacksheep.Response:
        if self.faults["outage"]:
            return base.refusal_response(503, "instance list is out")
        self._forget_old()
        shown = time.monotonic() - self.faults["lag_s"]
        listing = []
        if self._history and self._history[0][0] <= shown:
            listing = self._history[0][1]
        return json_response(listing)
