"""Steps for the plan of endpoints over data centres, and for ordering them."""

import asyncio
import types

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward.catalogue import endpoints, routes
from acaciaward.fleet import datacentreplan, endpointscaling

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=300, deadline=None
)
# Prompt tokens per second that an engine prefills while it decodes.
ENGINE_PREFILL_TOKENS_PER_S = 75_000.0
PRICES = {"north": 0.85, "south": 1.2, "west": 1.0}
SCALING = routes.Scaling(1, 4, 4.0, 0.18, PRICES)
LARGE = routes.Scaling(1, 60, 4.0, 0.18, PRICES)


def make_snapshot(ready, *, needed, without_reclaimable=(), booting=None):
    scaling = LARGE if sum(ready.values()) > 12 else SCALING
    return datacentreplan.Snapshot(
        scaling, ready, booting or {}, frozenset(without_reclaimable), needed
    )


def reclaimable(counts):
    return {
        datacentreplan.Kind(data_centre, True): count
        for data_centre, count in counts.items()
    }


def safe_counts(snapshot):
    plan = datacentreplan.make_plan(snapshot)
    return {
        kind.data_centre: count
        for kind, count in plan.items()
        if not kind.is_reclaimable
    }


@given("{count:d} reclaimable endpoints in each data centre and a need of {needed:d}")
def set_reclaimable(context, count, needed):
    context.ready = reclaimable(dict.fromkeys(PRICES, count))
    context.needed = needed
    context.without_reclaimable = set()


@given("{count:d} safe endpoints in each data centre and a need of {needed:d}")
def set_safe(context, count, needed):
    context.ready = {
        datacentreplan.Kind(data_centre, False): count for data_centre in PRICES
    }
    context.needed = needed
    context.without_reclaimable = set()


@when("the endpoints of one are reclaimed and none are available")
def lose_one(context):
    del context.ready[datacentreplan.Kind("north", True)]
    context.without_reclaimable = set(PRICES)


@when("the endpoints of two are reclaimed and none are available")
def lose_two(context):
    del context.ready[datacentreplan.Kind("north", True)]
    del context.ready[datacentreplan.Kind("south", True)]
    context.without_reclaimable = set(PRICES)


@when("{count:d} reclaimable ones serve in each")
def serve(context, count):
    context.ready |= reclaimable(dict.fromkeys(PRICES, count))


def snapshot_of(context):
    return make_snapshot(
        context.ready,
        needed=context.needed,
        without_reclaimable=context.without_reclaimable,
    )


@then("no safe endpoint is ordered")
def check_none(context):
    # A data centre without reclaimable endpoints fills its minimum with a safe one.
    snapshot = snapshot_of(context)
    empty = [
        data_centre
        for data_centre in PRICES
        if not context.ready.get(datacentreplan.Kind(data_centre, True))
    ]
    counts = safe_counts(snapshot)
    assert counts == {
        data_centre: int(data_centre in empty) for data_centre in PRICES
    }, counts


@then("{count:d} safe endpoints are ordered, in the cheapest data centres first")
def check_safe_ordered(context, count):
    counts = safe_counts(snapshot_of(context))
    assert sum(counts.values()) == count, counts
    assert counts["north"] >= counts["south"]


@then("all safe endpoints are kept")
def check_kept(context):
    counts = safe_counts(snapshot_of(context))
    assert all(counts[data_centre] >= 2 for data_centre in PRICES), counts


COUNTS = strategies.dictionaries(
    strategies.builds(
        datacentreplan.Kind,
        strategies.sampled_from(sorted(PRICES)),
        strategies.booleans(),
    ),
    strategies.integers(0, 2),
)


@then("for any snapshot the plan respects minimum and maximum")
def check_bounds(context):
    @SETTINGS
    @hypothesis.given(
        COUNTS,
        COUNTS,
        strategies.sets(strategies.sampled_from(sorted(PRICES))),
        strategies.integers(1, 9),
    )
    def check(ready, booting, without_reclaimable, needed):
        snapshot = make_snapshot(
            ready,
            needed=needed,
            without_reclaimable=without_reclaimable,
            booting=booting,
        )
        plan = datacentreplan.make_plan(snapshot)
        for data_centre in PRICES:
            total = sum(
                count for kind, count in plan.items() if kind.data_centre == data_centre
            )
            kept = sum(
                ready.get(datacentreplan.Kind(data_centre, flag), 0)
                + booting.get(datacentreplan.Kind(data_centre, flag), 0)
                for flag in (True, False)
            )
            assert SCALING.minimum <= total <= max(SCALING.maximum, kept), (
                data_centre,
                plan,
            )
            assert min(plan.values()) >= 0

    check()


@then("for any demand the plan becomes stable")
def check_stable(context):
    for needed in range(1, 10):
        ready = {datacentreplan.Kind(data_centre, False): 2 for data_centre in PRICES}
        for _ in range(12):
            plan = datacentreplan.make_plan(make_snapshot(ready, needed=needed))
            is_stable = plan == {kind: ready.get(kind, 0) for kind in plan}
            ready = dict(plan)
        assert is_stable, (needed, plan)


class Holder:
    """A scaler with a held lease; its platform may refuse reclaimable orders."""

    def __init__(self, scaling=SCALING):
        self.now = 100.0
        self.demand = (100_000.0, 5.0)
        self.without_reclaimable = False
        self.orders = []
        self.directory = endpoints.Directory(lambda: self.now)
        service = routes.Service("llm", 100, scaling=scaling)
        self.scaler = endpointscaling.EndpointScaler(
            types.SimpleNamespace(held=lambda for_s: types.SimpleNamespace(fence=1)),
            self.directory,
            lambda: [service],
            lambda name: endpointscaling.Load(*self.demand),
            self.send,
            clock=lambda: self.now,
        )
        self.service = service

    async def send(self, order, fence):
        if self.without_reclaimable and order.kind.is_reclaimable and order.count:
            raise endpointscaling.NoneAvailableError("none")
        self.orders.append((self.now, order))

    def serve(self, data_centre, count, *, state=endpoints.EndpointState.READY):
        for number in range(count):
            name = f"{data_centre}-{number}"
            self.directory.update(
                endpoints.Endpoint(
                    name, 1, "llm", "127.0.0.1", 1, data_centre, 64, state, 0.0, True
                )
            )

    def serve_safe(self, data_centre):
        ready = endpoints.EndpointState.READY
        self.directory.update(
            endpoints.Endpoint(
                f"{data_centre}-safe", 1, "llm", "127.0.0.1", 1, data_centre, 64, ready
            )
        )

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            asyncio.run(self.scaler.reconcile(self.service))
            self.now += 0.3

    def safe_ordered(self):
        counts = {}
        for _, order in self.orders:
            if not order.kind.is_reclaimable:
                counts[order.kind.data_centre] = order.count
        return sum(counts.values())


@given("a fleet of 2 reclaimable endpoints in each data centre under one lease holder")
def make_holder(context):
    context.holder = Holder()
    context.holder.run(1.0)
    for data_centre in PRICES:
        context.holder.serve(data_centre, 2)
    # The demand needs a third endpoint, which is refused.
    context.holder.without_reclaimable = True
    context.holder.run(5.0)


@when("two data centres are reclaimed {seconds:g} s apart and none are available")
def reclaim_two(context, seconds):
    holder = context.holder
    leaving = endpoints.EndpointState.LEAVING
    holder.serve("north", 2, state=leaving)
    holder.run(seconds)
    holder.serve("south", 2, state=leaving)
    context.reclaimed_at = holder.now
    holder.run(1.0)


@then("safe endpoints are ordered within {seconds:g} s of the second")
def check_safe_ordered_soon(context, seconds):
    holder = context.holder
    assert holder.safe_ordered() >= 2, holder.orders
    late = context.reclaimed_at + seconds
    soon = [order for at, order in holder.orders if context.reclaimed_at <= at <= late]
    assert any(not order.kind.is_reclaimable and order.count for order in soon), soon


@given("a fleet with 1 safe endpoint in each data centre and bounds of 1 to 3")
def make_safe_holder(context):
    context.holder = Holder(routes.Scaling(1, 3, 4.0, 0.18, PRICES))
    for data_centre in PRICES:
        context.holder.serve_safe(data_centre)


@when("the demand needs 3 reclaimable endpoints in each")
def need_three(context):
    context.holder.run(1.5)


@then("the safe ones are kept until the reclaimable ones serve")
def check_safe_stay(context):
    holder = context.holder
    assert holder.safe_ordered() == 3, holder.orders
    for data_centre in PRICES:
        holder.serve(data_centre, 2)
    holder.run(1.5)
    assert holder.safe_ordered() == 0, holder.orders


@then("no order was reduced within the first second")
def check_not_reduced(context):
    counts = {}
    for at, order in context.holder.orders:
        if at >= context.reclaimed_at and not order.kind.is_reclaimable:
            counts.setdefault(order.kind, []).append(order.count)
    assert all(ordered == sorted(ordered) for ordered in counts.values()), counts


@given("a fleet of {count:d} safe endpoints that has had no requests yet")
def make_initial(context, count):
    context.holder = Holder(LARGE)
    context.holder.demand = (0.0, 0.0)
    add_safe_endpoints(context, count)


def add_safe_endpoints(context, count):
    ready = endpoints.EndpointState.READY
    for number in range(count):
        data_centre = sorted(PRICES)[number % len(PRICES)]
        context.holder.directory.update(
            endpoints.Endpoint(
                f"initial-{number}", 1, "llm", "127.0.0.1", 1, data_centre, 12, ready
            )
        )


@given("a lease holder that knows no endpoint yet")
def make_empty(context):
    context.holder = Holder(LARGE)
    context.holder.demand = (0.0, 0.0)


@when("{seconds:d} s passes")
def pass_time(context, seconds):
    context.holder.run(seconds)


@then("no safe endpoint was ordered or released")
def check_no_safe(context):
    found = [
        order for _, order in context.holder.orders if not order.kind.is_reclaimable
    ]
    assert not found, found


@then("{count:d} reclaimable endpoints are ordered in each data centre")
def check_reclaimable(context, count):
    found = {order.kind: order.count for _, order in context.holder.orders}
    assert found == {
        datacentreplan.Kind(data_centre, True): count for data_centre in PRICES
    }, found


@when("{count:d} safe endpoints appear in each data centre, and {seconds:d} s pass")
def discover_safe(context, count, seconds):
    add_safe_endpoints(context, count)
    context.holder.run(0.5)
    add_safe_endpoints(context, 3 * count)
    context.holder.run(seconds)


@then("for any snapshot reclaimable endpoints that serve are kept up to the need")
def check_kept_reclaimable(context):
    @SETTINGS
    @hypothesis.given(COUNTS, COUNTS, strategies.integers(1, 9))
    def check(ready, booting, needed):
        snapshot = make_snapshot(
            ready, needed=needed, booting=booting, without_reclaimable=PRICES
        )
        plan = datacentreplan.make_plan(snapshot)
        for kind, count in ready.items():
            if kind.is_reclaimable:
                assert plan[kind] >= count, (kind, plan)

    check()


@then("at least {count:d} endpoints are kept or ordered until demand is known")
def check_initial_kept(context, count):
    holder = context.holder
    # Nothing is ordered in the first 2.5 s, so all is kept.
    for seconds in (4.0, 4.0, 12.0):
        holder.run(seconds)
        newest = {order.kind: order.count for _, order in holder.orders}
        assert sum(newest.values()) >= count, newest
        for kind, ordered in newest.items():
            if kind.is_reclaimable:
                holder.serve(kind.data_centre, ordered)


@then("no data centre is asked for more than it has room for")
def check_room(context):
    for _, order in context.holder.orders:
        if order.kind.is_reclaimable:
            assert order.count <= 2, order


@given("a fleet of 2 reclaimable endpoints in each data centre, a third ordered")
def make_ordered(context):
    context.holder = Holder()
    for data_centre in PRICES:
        context.holder.serve(data_centre, 2)
    context.holder.run(1.0)
    counts = {order.kind: order.count for _, order in context.holder.orders}
    assert counts[datacentreplan.Kind("north", True)] == 3, counts


@when("one data centre is reclaimed")
def reclaim_one(context):
    holder = context.holder
    holder.without_reclaimable = True
    holder.serve("north", 2, state=endpoints.EndpointState.LEAVING)
    context.reclaimed_at = holder.now
    holder.run(0.7)


@then("safe endpoints are ordered within {seconds:g} s")
def check_safe_ordered_by_now(context, seconds):
    assert context.holder.safe_ordered() >= 1, context.holder.orders


@then(
    "there are enough engines for {tokens:d} prompt tokens a second, if a sixth of all"
    " prefilled tokens are shared prefixes"
)
def check_prefill_share(context, tokens):
    needed = datacentreplan.engines_needed(tokens, 1.0, 64)
    prefilled_by_each = tokens / (1 - 1 / 6) / needed
    assert prefilled_by_each <= 0.7 * ENGINE_PREFILL_TOKENS_PER_S, (
        needed,
        prefilled_by_each,
    )
