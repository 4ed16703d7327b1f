"""Steps for routing."""

import random
import types

import hypothesis
from behave import then
from hypothesis import strategies

from acaciaward import documents, errors, requests
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.membership import hints, interfaces as membership_interfaces
from acaciaward.routing import balanced, choice, loads, prefix, subset

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=300, deadline=None
)
LONG = requests.ServiceClass.LONG
SHORT = requests.ServiceClass.SHORT


def make_endpoint(number, *, reclaimable=True, data_centres=3):
    return requests.Endpoint(
        f"e-{number}",
        "127.0.0.1",
        1,
        f"dc-{number % data_centres}",
        "text",
        requests.DeploymentKind.MODEL,
        reclaimable,
    )


def make_request(prompt="", service_class=SHORT):
    return requests.Request(
        request_id="r",
        organisation="org",
        deployment="text",
        kind=requests.DeploymentKind.MODEL,
        service_class=service_class,
        idempotent=True,
        key=None,
        digest="",
        deadline=0.0,
        prompt=prompt,
        max_tokens=20,
    )


def make_router(endpoints, hint_table, seed):
    configuration = types.SimpleNamespace(
        view=documents.View(0, {}),
        endpoints=lambda deployment: endpoints,
        subscribe=lambda listener: None,
    )
    return balanced.BalancedRouter(
        configuration,
        hint_table,
        loads.LoadTracker(None, poll_interval_s=1.0),
        entry="entry-1",
        data_centre="dc-0",
        subset_size=4,
        rng=random.Random(seed),
    )


@then("for any pool the router never returns an unavailable endpoint")
def check_never_out(context):
    @SETTINGS
    @hypothesis.given(
        strategies.integers(1, 12),
        strategies.sets(strategies.integers(0, 11)),
        strategies.sets(strategies.integers(0, 11)),
        strategies.sets(strategies.integers(0, 11)),
        strategies.booleans(),
        strategies.integers(0, 1000),
    )
    def check(size, excluded, leaving, dead, alone, seed):
        hint_table = hints.HintTable("entry-1")
        kinds = membership_interfaces.HintKind
        for kind, numbers in (
            (kinds.ENDPOINT_LEAVING, leaving),
            (kinds.ENDPOINT_DEAD, dead),
        ):
            for number in numbers:
                hint_table.publish(kind, f"e-{number}", {}, lifetime_s=60.0)
        endpoints = [make_endpoint(number) for number in range(size)]
        unavailable = {f"e-{number}" for number in excluded | leaving | dead}
        router = make_router(endpoints, hint_table, seed)
        try:
            chosen = router.choose(
                make_request("a b c " * 20),
                excluded={f"e-{number}" for number in excluded},
                avoided_data_centres={"dc-1"},
                prefers_idle=alone,
            )
        except errors.NoEndpointError:
            assert {one.name for one in endpoints} <= unavailable
        else:
            assert chosen.name not in unavailable

    check()


def snapshots():
    fields = strategies.tuples(
        strategies.floats(1, 50), strategies.integers(0, 9), strategies.integers(0, 20)
    )
    return strategies.lists(fields, min_size=1, max_size=12).map(
        lambda drawn: [
            choice.Snapshot(
                make_endpoint(number),
                slowness=slowness,
                failures=failures,
                own_in_flight=own_in_flight,
            )
            for number, (slowness, failures, own_in_flight) in enumerate(drawn)
        ]
    )


@then("for any pool ejection leaves at least half of it")
def check_ejection(context):
    @SETTINGS
    @hypothesis.given(snapshots())
    def check(pool):
        ejected = choice.ejected(pool)
        assert len(pool) - len(ejected) >= max(1, len(pool) / 2)

    check()


@then("for any pool the subset keeps its size and spread, and changes little")
def check_subset(context):
    @SETTINGS
    @hypothesis.given(
        strategies.integers(1, 60),
        strategies.integers(3, 16),
        strategies.integers(0, 9),
    )
    def check(size, subset_size, entry):
        name = f"entry-{entry}"
        pool = [make_endpoint(number) for number in range(size)]
        chosen = subset.choose_subset(name, "dc-0", pool, size=subset_size)
        assert chosen == subset.choose_subset(name, "dc-0", pool, size=subset_size)
        assert len(chosen) == min(size, subset_size)
        data_centres = {endpoint.data_centre for endpoint in chosen}
        assert len(data_centres) == min(3, size)
        fewer = [one for one in pool if one is not chosen[0]]
        again = subset.choose_subset(name, "dc-0", fewer, size=subset_size)
        assert len(set(chosen) - set(again)) <= 2

    check()


@then("the estimated load moves from the report to the mean as the report ages")
def check_ageing(context):
    @SETTINGS
    @hypothesis.given(
        strategies.floats(0, 50), strategies.floats(0, 50), strategies.floats(0, 100)
    )
    def check(others_in_flight, mean, age):
        fresh = choice.Snapshot(
            make_endpoint(0), others_in_flight=others_in_flight, report_age_s=0.0
        )
        old = fresh._replace(report_age_s=age)
        ancient = fresh._replace(report_age_s=1000.0)
        assert abs(choice.estimated_load(fresh, mean) - others_in_flight) < 1e-6
        assert abs(choice.estimated_load(ancient, mean) - mean) < 1e-6
        estimated = choice.estimated_load(old, mean)
        assert (
            min(others_in_flight, mean) - 1e-6
            <= estimated
            <= max(others_in_flight, mean) + 1e-6
        )

    check()


@then("no prompt is cached under the salt of another organisation")
def check_salts(context):
    @SETTINGS
    @hypothesis.given(
        strategies.text("ab ", min_size=40, max_size=200), strategies.text(min_size=1)
    )
    def check(prompt, salt):
        held = prefix.CachedBlocks()
        held.record_sent(prefix.block_names(prompt, salt))
        other = prefix.block_names(prompt, f"{salt}-other")
        assert held.cached_tokens(other) == 0

    check()


@then("a gap discards everything before it")
def check_gap(context):
    cached = prefix.CachedBlocks()
    names = prefix.block_names("word " * 64, "org")
    events = [
        endpoints_interfaces.CacheEvent(number, name, True)
        for number, name in enumerate(names)
    ]
    cached.record_events(events)
    assert cached.cached_tokens(names) == 64
    cached.record_events([endpoints_interfaces.CacheEvent(9, "other", True)])
    assert cached.cached_tokens(names) == 0
    cached.record_events(events)
    assert cached.cached_tokens(names) == 0


@then("long work goes to on-demand capacity only where recomputed tokens weigh more")
def check_weights(context):
    pool = [
        choice.Snapshot(make_endpoint(number, reclaimable=number > 0))
        for number in range(3)
    ]
    shares = {}
    for recompute_weight in (0.2, 0.8):
        weights = {"recomputed_tokens": recompute_weight, "cost": 1 - recompute_weight}
        profile = choice.RequestProfile(10, 100, LONG, "dc-1", weights)
        rng = random.Random(1)
        chosen = [choice.choose(pool, profile, rng) for _ in range(200)]
        shares[recompute_weight] = (
            sum(not endpoint.reclaimable for endpoint in chosen) / 200
        )
    assert shares[0.8] > 0.95, shares
    assert shares[0.2] < 0.05, shares
