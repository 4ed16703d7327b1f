"""Steps for a fleet whose callers allow only short pauses between events."""

import asyncio
import math
import types

from behave import given, then, when

from acaciaward.catalogue import endpoints, routes
from acaciaward.fleet import datacentreplan, endpointscaling
from acaciaward.gateway import fleetload
from acaciaward.routing import demand

DATA_CENTRES = ("a", "b", "c")
SLOTS = 48
PREFILL_TOKENS_PER_S = 64_000.0
BOOT_S = 4.0
STEP_S = 0.3


class Cloud:
    """A scaler with a platform that boots what is ordered and may reclaim it."""

    def __init__(self, *, max_gap_s, price=0.18, maximum=60):
        self.now = 100.0
        self.fence = 1
        self.is_dry = False
        self.demand = (0.0, 0.0)
        self.max_gap_s = max_gap_s
        self.wanted = {}
        # What boots: when it is ready, and its kind.
        self.booting = []
        self.fewest = math.inf
        self.directory = endpoints.Directory(lambda: self.now)
        scaling = routes.Scaling(
            1, maximum, BOOT_S, price, dict.fromkeys(DATA_CENTRES, 1.0)
        )
        self.service = routes.Service(
            "llm", 100, engine=routes.Engine(SLOTS, 600_000), scaling=scaling
        )
        self.scaler = endpointscaling.EndpointScaler(
            types.SimpleNamespace(
                held=lambda for_s: types.SimpleNamespace(fence=self.fence)
            ),
            self.directory,
            lambda: [self.service],
            lambda name: endpointscaling.Load(
                *self.demand,
                prefill_tokens_per_s=PREFILL_TOKENS_PER_S,
                max_gap_s=self.max_gap_s,
            ),
            self.send,
            clock=lambda: self.now,
        )
        self._numbers = iter(range(10_000))

    def serving(self, kind=None):
        return [
            endpoint
            for endpoint in self.directory.ready("llm")
            if kind in (None, kind_of(endpoint))
        ]

    def need(self, engines):
        per_engine = datacentreplan.engine_tokens_per_s(
            PREFILL_TOKENS_PER_S, self.max_gap_s
        )
        # Slightly less, so that rounding up gives just this number.
        share = (engines - 0.5) / datacentreplan.HEADROOM_FACTOR
        self.demand = (share * per_engine, 1.0)

    def add(self, kind):
        self.directory.update(
            endpoints.Endpoint(
                f"e-{next(self._numbers)}",
                1,
                "llm",
                "127.0.0.1",
                1,
                kind.data_centre,
                SLOTS,
                endpoints.EndpointState.READY,
                is_reclaimable=kind.is_reclaimable,
            )
        )

    async def send(self, order, fence):
        kind, serving = order.kind, self.serving(order.kind)
        booting = [known for _, known in self.booting if known == kind]
        missing = order.count - len(serving) - len(booting)
        if kind.is_reclaimable and self.is_dry and missing > 0:
            raise endpointscaling.NoneAvailableError("none")
        self.wanted[kind] = order.count
        self.booting += [(self.now + BOOT_S, kind)] * max(0, missing)
        for endpoint in serving[order.count :]:
            self.directory.remove_now(endpoint.name, "released")

    def reclaim(self, data_centre):
        for endpoint in self.serving(datacentreplan.Kind(data_centre, True)):
            self.directory.update(
                endpoint._replace(state=endpoints.EndpointState.LEAVING)
            )
        self.booting = [
            (at, kind)
            for at, kind in self.booting
            if kind != datacentreplan.Kind(data_centre, True)
        ]

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            for ready_at, kind in [one for one in self.booting if one[0] <= self.now]:
                self.booting.remove((ready_at, kind))
                self.add(kind)
            asyncio.run(self.scaler.reconcile(self.service))
            self.fewest = min(self.fewest, len(self.serving()))
            self.now += STEP_S


def kind_of(endpoint):
    return datacentreplan.Kind(endpoint.data_centre, endpoint.is_reclaimable)


@then(
    "an engine that prefills {rate:g} tokens a second is planned with {planned:g}, if"
    " pauses of {gap} s are allowed"
)
def check_planned(context, rate, planned, gap):
    max_gap_s = None if gap == "none" else float(gap)
    found = datacentreplan.engine_tokens_per_s(rate, max_gap_s)
    assert math.isclose(found, planned), found


@given("a holder without requests, whose callers allow pauses of {gap_s:g} s")
def make_idle_cloud(context, gap_s):
    context.cloud = Cloud(max_gap_s=gap_s)


@when("{count:d} safe endpoints are discovered over {seconds:g} s")
def discover(context, count, seconds):
    for number in range(count):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        context.cloud.add(datacentreplan.Kind(data_centre, False))
        context.cloud.run(seconds / count)


@then("at least {count:d} endpoints serve for {seconds:g} s")
def check_not_released(context, count, seconds):
    context.cloud.fewest = math.inf
    context.cloud.run(seconds)
    check_fewest(context, count)


@then("any one data centre serves the need of {count:d}")
def check_initial_need(context, count):
    serving = [
        len(context.cloud.serving(datacentreplan.Kind(name, True)))
        for name in DATA_CENTRES
    ]
    assert min(serving) >= count, serving


@given(
    "a holder with a demand that needs {needed:d} engines, at a price of {price:g},"
    " whose callers allow pauses of {gap_s:g} s"
)
def make_cloud(context, needed, price, gap_s):
    context.cloud = Cloud(max_gap_s=gap_s, price=price)
    context.cloud.need(needed)
    context.cloud.run(20.0)
    context.cloud.fewest = math.inf


@when("two data centres are reclaimed {seconds:g} s apart and none are to be had")
def reclaim_in_a_row(context, seconds):
    cloud = context.cloud
    cloud.is_dry = True
    cloud.reclaim("a")
    cloud.run(seconds)
    cloud.reclaim("b")
    cloud.run(BOOT_S)


@then("at least {count:d} endpoints serve all the while")
def check_fewest(context, count):
    assert context.cloud.fewest >= count, context.cloud.fewest


@when("safe endpoints fill the maximum of {maximum:d} in each data centre")
def fill_with_safe(context, maximum):
    needed = context.cloud.demand
    context.cloud = Cloud(max_gap_s=context.cloud.max_gap_s, maximum=maximum)
    context.cloud.demand = needed
    for data_centre in DATA_CENTRES:
        for _ in range(maximum):
            context.cloud.add(datacentreplan.Kind(data_centre, False))


@then(
    "within {seconds:g} s reclaimable endpoints serve the need and no safe one is left"
)
def check_replaced(context, seconds):
    cloud = context.cloud
    cloud.run(seconds)
    safe = [one for one in cloud.serving() if not one.is_reclaimable]
    assert not safe, len(safe)


@when("the lease passes on and the demand falls to {needed:d} engines")
def pass_lease(context, needed):
    context.cloud.need(needed)
    context.cloud.fence = 2
    context.cloud.now += 1.0


@then("at least {count:d} endpoints are ordered for {seconds:g} s")
def check_kept(context, count, seconds):
    context.cloud.run(seconds)
    assert context.cloud.fewest >= count, context.cloud.fewest


@then("fewer than {count:d} endpoints are ordered after {seconds:g} s")
def check_shrunk(context, count, seconds):
    context.cloud.run(seconds)
    assert sum(context.cloud.wanted.values()) < count, context.cloud.wanted


@given("requests that take {seconds:g} s, {rate:g} a second")
def make_load(context, seconds, rate):
    context.now, context.duration_s, context.rate = 0.0, seconds, rate
    route = routes.Route(
        "r",
        "h",
        "/",
        routes.RequestKind.STREAM,
        15.0,
        0.5,
        0,
        (("llm", 1.0),),
        1,
        max_gap_s=0.3,
    )
    index = routes.Index(routes.Catalogue(1, (route,)))
    context.load = fleetload.FleetLoad(
        lambda: index,
        demand_of=lambda name: demand.ServiceDemand(
            100_000.0, context.rate * context.load.duration_s(name)
        ),
        requests_of=lambda name: context.rate * context.duration_s,
        duration_s=lambda name: context.duration_s,
        prefill_tokens_per_s=lambda name: PREFILL_TOKENS_PER_S,
        clock=lambda: context.now,
    )
    context.load.load_of("llm")


@when("they take {duration_s:g} s for {seconds:g} s")
def change_duration(context, duration_s, seconds):
    context.duration_s = duration_s
    end = context.now + seconds
    while context.now < end:
        context.now += 0.25
        context.load.load_of("llm")


@then("at most {count:d} at once are reckoned with")
def check_at_most(context, count):
    found = context.load.load_of("llm").at_once
    assert found <= count, found


@then("at least {count:d} at once are reckoned with")
def check_at_least(context, count):
    found = context.load.load_of("llm").at_once
    assert found >= count, found
