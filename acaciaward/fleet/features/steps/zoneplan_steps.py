"""Steps for the plan of the fleet over data centres."""

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward.catalogue import routes
from acaciaward.fleet import zoneplan

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=300, deadline=None
)
PRICES = {"north": 0.85, "south": 1.2, "west": 1.0}
SCALING = routes.Scaling(1, 4, 4.0, 0.18, PRICES)


def make_snapshot(ready, *, needed, dry=(), coming=None):
    return zoneplan.Snapshot(SCALING, ready, coming or {}, frozenset(dry), needed)


def reclaimable(counts):
    return {zoneplan.Kind(place, True): count for place, count in counts.items()}


def safe_counts(snapshot):
    plan = zoneplan.make_plan(snapshot)
    return {kind.data_centre: n for kind, n in plan.items() if not kind.is_reclaimable}


@given("{count:d} reclaimable endpoints in each data centre and a need of {needed:d}")
def start_reclaimable(context, count, needed):
    context.ready = reclaimable(dict.fromkeys(PRICES, count))
    context.needed = needed
    context.dry = set()


@given("{count:d} safe endpoints in each data centre and a need of {needed:d}")
def start_safe(context, count, needed):
    context.ready = {zoneplan.Kind(place, False): count for place in PRICES}
    context.needed = needed
    context.dry = set()


@when("the endpoints of one are reclaimed and none are to be had")
def lose_one(context):
    del context.ready[zoneplan.Kind("north", True)]
    context.dry = set(PRICES)


@when("the endpoints of two are reclaimed and none are to be had")
def lose_two(context):
    del context.ready[zoneplan.Kind("north", True)]
    del context.ready[zoneplan.Kind("south", True)]
    context.dry = set(PRICES)


@when("{count:d} reclaimable ones serve in each")
def serve(context, count):
    context.ready |= reclaimable(dict.fromkeys(PRICES, count))


def snapshot_of(context):
    return make_snapshot(context.ready, needed=context.needed, dry=context.dry)


@then("no safe endpoint is ordered")
def check_none(context):
    # Where nothing reclaimable stands, the minimum has to be a safe one.
    snapshot = snapshot_of(context)
    empty = [p for p in PRICES if not context.ready.get(zoneplan.Kind(p, True))]
    counts = safe_counts(snapshot)
    assert counts == {place: int(place in empty) for place in PRICES}, counts


@then("{count:d} safe endpoints are ordered, in the cheapest data centres first")
def check_safe(context, count):
    counts = safe_counts(snapshot_of(context))
    assert sum(counts.values()) == count, counts
    assert counts["north"] >= counts["south"]


@then("all safe endpoints are kept")
def check_kept(context):
    counts = safe_counts(snapshot_of(context))
    assert all(counts[place] >= 2 for place in PRICES), counts


COUNTS = strategies.dictionaries(
    strategies.builds(
        zoneplan.Kind, strategies.sampled_from(sorted(PRICES)), strategies.booleans()
    ),
    strategies.integers(0, 2),
)


@then("for any snapshot the plan keeps minimum and maximum")
def check_bounds(context):
    @SETTINGS
    @hypothesis.given(
        COUNTS,
        COUNTS,
        strategies.sets(strategies.sampled_from(sorted(PRICES))),
        strategies.integers(1, 9),
    )
    def check(ready, coming, dry, needed):
        snapshot = make_snapshot(ready, needed=needed, dry=dry, coming=coming)
        plan = zoneplan.make_plan(snapshot)
        for place in PRICES:
            total = sum(n for kind, n in plan.items() if kind.data_centre == place)
            kept = sum(
                ready.get(zoneplan.Kind(place, flag), 0)
                + coming.get(zoneplan.Kind(place, flag), 0)
                for flag in (True, False)
            )
            assert SCALING.minimum <= total <= max(SCALING.maximum, kept), (place, plan)
            assert min(plan.values()) >= 0

    check()


@then("for any demand the plan settles")
def check_settles(context):
    for needed in range(1, 10):
        ready = {zoneplan.Kind(place, False): 2 for place in PRICES}
        for _ in range(6):
            plan = zoneplan.make_plan(make_snapshot(ready, needed=needed))
            is_settled = plan == {kind: ready.get(kind, 0) for kind in plan}
            ready = dict(plan)
        assert is_settled, (needed, plan)
