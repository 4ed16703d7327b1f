"""Steps for planning and renting a deployment's instances."""

import asyncio
import types

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward import documents, httpclient
from acaciaward.configuration import replay
from acaciaward.fleet import demand, fleetmanager, plan, singleentry
from acaciaward.platform import calls, cloud
from acaciaward.provider import interfaces
from standins import cloud as cloud_standin, ports

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=300, deadline=None
)
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
MARKETS = (plan.RECLAIMABLE, plan.ON_DEMAND)
ROUNDS_TIMEOUT_S = 20.0


def make_offers(prices=(1.0, 1.1, 1.2)):
    return [
        interfaces.Offer(data_centre, "standard", market, price * factor, reclaims)
        for data_centre, price in zip(DATA_CENTRES, prices, strict=True)
        for market, factor, reclaims in ((MARKETS[0], 1, 0.3), (MARKETS[1], 3, 0.0))
    ]


def make_instance(number, data_centre, market, state="live"):
    return interfaces.CloudInstance(
        f"i-{number}",
        "127.0.0.1",
        1,
        data_centre,
        "standard",
        market,
        "text",
        "",
        state,
    )


def instances():
    drawn_instance = strategies.tuples(
        strategies.sampled_from(DATA_CENTRES),
        strategies.sampled_from(MARKETS),
        strategies.sampled_from(("live", "starting", "leaving")),
    )
    return strategies.lists(drawn_instance, max_size=8).map(
        lambda drawn: [make_instance(n, *values) for n, values in enumerate(drawn)]
    )


@then(
    "for any demand and offers a plan respects its minimum, maximum and refused places"
)
def check_bounds(context):
    places = [plan.place_of(offer) for offer in make_offers()]

    @SETTINGS
    @hypothesis.given(
        strategies.floats(0, 200),
        instances(),
        strategies.sets(strategies.sampled_from(places)),
        strategies.integers(0, 3),
        strategies.booleans(),
    )
    def check(streams, rented, refused, safe_minimum, may_shrink):
        rule = plan.FleetRule(1, 6, safe_minimum, (), 8)
        snapshot = plan.Snapshot(
            "text", rule, {}, streams, rented, make_offers(), refused, may_shrink
        )
        steps = plan.make_plan(snapshot)
        starts = [step for step in steps if step.action is plan.Action.START]
        stops = [step for step in steps if step.action is plan.Action.STOP]
        staying = [instance for instance in rented if instance.state != "leaving"]
        safe = sum(instance.market == plan.ON_DEMAND for instance in staying)
        assert all(step.reason for step in steps)
        assert not (starts and stops)
        assert not refused & {plan.place_of(step.offer) for step in starts}
        safe_starts = max(0, safe_minimum - safe)
        assert len(staying) + len(starts) <= max(6, len(staying) + safe_starts)
        if not refused:
            safe_after = safe + sum(
                step.offer.market == plan.ON_DEMAND for step in starts
            )
            assert safe_after >= safe_minimum
        stopped = {step.instance for step in stops}
        kept = [instance for instance in staying if instance.name not in stopped]
        if stops:
            assert may_shrink
            assert len(kept) >= plan.desired_count(rule, streams)
            assert (
                sum(instance.market == plan.ON_DEMAND for instance in kept)
                >= safe_minimum
            )

    check()


@then("six instances at equal prices are spread over three data centres")
def check_spread(context):
    rule = plan.FleetRule(6, 6, 0, (), 8)
    offers = make_offers((1.0, 1.0, 1.0))
    steps = plan.make_plan(plan.Snapshot("text", rule, {}, 0.0, [], offers))
    chosen = [step.offer.data_centre for step in steps]
    assert sorted(chosen) == sorted([*DATA_CENTRES, *DATA_CENTRES]), chosen


class FakeConfiguration:
    """Accepts every patch."""

    def __init__(self, document):
        self.view = documents.View(1, document)
        self.is_current = True

    async def submit(self, *, base, author, changes):
        assert author == "fleet:entry-1"
        entry = self.view.document["deployments"]["text"]
        given_endpoints = changes["deployments"]["text"]["endpoints"]
        known = entry.get("endpoints", {}) | given_endpoints
        entry["endpoints"] = {name: value for name, value in known.items() if value}
        self.view = documents.View(base + 1, self.view.document)
        return replay.PatchOutcome(replay.PatchStatus.ACCEPTED, base + 1, "")


def start_cloud(context, **faults):
    context.cloud = cloud_standin.CloudStandIn(port=ports.find_free_port())
    context.cloud.offers = [offer._asdict() for offer in make_offers()]
    context.cloud.faults |= faults
    context.standins.append(context.cloud)
    context.runner.run(context.cloud.start())


@given("a cloud whose responses are lost for its next {count:d} starts")
def start_losing_cloud(context, count):
    start_cloud(context, lose_answers=count)


@given("a cloud that refuses starts in its cheapest data centre")
def start_refusing_cloud(context):
    start_cloud(context, refuse_data_centres=["dc-1"])


def make_fleet(context, leases):
    async def reserve_at_once(model, version):
        return 0.0

    async def accept_order(endpoint, order):
        pass

    service = calls.PlatformService(
        httpclient.HttpClient(), "127.0.0.1", context.cloud.port, timeout_s=2.0
    )
    rule = {"minimum": 2, "maximum": 4, "safe_minimum": 1}
    context.configuration = FakeConfiguration(
        {"deployments": {"text": {"kind": "model", "fleet": rule}}}
    )
    platform = fleetmanager.FleetPlatform(
        cloud.HttpCloud(service),
        cloud.HttpInstanceList(service),
        types.SimpleNamespace(reserve=reserve_at_once),
    )
    return fleetmanager.FleetManager(
        context.configuration,
        leases,
        platform,
        types.SimpleNamespace(order=accept_order),
        lambda deployment: 0.0,
        name="entry-1",
        interval_s=0.02,
        hold_s=60.0,
        drain_s=1.0,
    )


@when("the fleet manages a deployment that needs 2 instances")
def keep_deployment(context):
    async def run_fleet():
        fleet = make_fleet(context, singleentry.SingleEntryLeases("entry-1"))
        task = asyncio.create_task(fleet.run())
        entry = context.configuration.view.document["deployments"]["text"]
        async with asyncio.timeout(ROUNDS_TIMEOUT_S):
            while len(entry.get("endpoints", {})) < 2:
                assert not task.done(), task.exception()
                await asyncio.sleep(0.01)
        # Further rounds must not rent more.
        await asyncio.sleep(0.3)
        task.cancel()

    context.runner.run(run_fleet())


@when("the fleet runs several rounds with a configuration that isn't current")
def run_frozen(context):
    run_rounds(context, singleentry.SingleEntryLeases("entry-1"), is_current=False)


@when("the fleet runs several rounds without a lease")
def run_without_lease(context):
    leases_never_held = types.SimpleNamespace(
        request=lambda duty: None, held=lambda duty: None, release=lambda duty: None
    )
    run_rounds(context, leases_never_held, is_current=True)


def run_rounds(context, leases, *, is_current):
    async def run_fleet():
        fleet = make_fleet(context, leases)
        context.configuration.is_current = is_current
        task = asyncio.create_task(fleet.run())
        await asyncio.sleep(0.3)
        assert not task.done(), task.exception()
        task.cancel()

    context.runner.run(run_fleet())


@then("the cloud has rented {count:d} instances in all")
def check_rented(context, count):
    stats = context.cloud.stats()
    assert stats["starts"] == count, stats


@then("each is an endpoint of the deployment")
def check_endpoints(context):
    entry = context.configuration.view.document["deployments"]["text"]
    assert set(entry["endpoints"]) == set(context.cloud.instances)


@then("demand falls only after its hold time")
def check_hold(context):
    now = 0.0
    held = demand.PeakDemand(hold_s=10.0, clock=lambda: now)
    assert held.record("text", 8.0) == 8.0
    for step in range(1, 10):
        now = float(step)
        assert held.record("text", 1.0) == 8.0, now
    now = 11.0
    assert held.record("text", 1.0) == 1.0
