"""Steps for how streams leave their endpoint, and for the limits of evacuation."""

import asyncio

from behave import given, then, when

from acaciaward import requests
from acaciaward.evacuation import budgets, plans, watchers

MAX_BYTES = 32 * 1024 * 1024


@given(
    "a stream of {context_tokens:d} tokens with {remaining:d} to come at 0.01 s each"
)
def set_stream(context, context_tokens, remaining):
    context.stream = {"context_tokens": context_tokens, "remaining_tokens": remaining}


@given("{left:g} s left, {bytes_per_token:d} bytes a token and {rate:d} bytes a second")
def set_endpoint(context, left, bytes_per_token, rate):
    context.snapshot = plans.Snapshot(
        left_s=left,
        step_s=0.01,
        bytes_per_token=bytes_per_token,
        bytes_per_s=rate,
        max_bytes=MAX_BYTES,
        **context.stream,
    )


@when("the weights are {cost:g} for cost and {recomputed:g} for recomputed tokens")
def choose(context, cost, recomputed):
    weights = {"cost": cost, "recomputed_tokens": recomputed}
    context.way = plans.choose_way(context.snapshot, weights)


@then('the way is "{way}"')
def check_way(context, way):
    assert context.way.value == way, context.way


@given("streams of every class and deadline")
def set_streams(context):
    context.streams = [
        (service_class, deadline)
        for service_class in reversed(requests.ServiceClass)
        for deadline in (9.0, 3.0)
    ]


@then("their order is urgent, short and long, each by its deadline")
def check_order(context):
    ordered = sorted(context.streams, key=lambda stream: plans.urgency(*stream, 100))
    expected = [
        (service_class, deadline)
        for service_class in requests.ServiceClass
        for deadline in (3.0, 9.0)
    ]
    assert ordered == expected, ordered


@given("a budget of {rate:d} bytes a second")
def set_budget(context, rate):
    context.budget = budgets.ByteBudget(rate)


@when("{first:d} and then {second:d} bytes are reserved at one endpoint")
def reserve(context, first, second):
    async def reserve_both():
        await context.budget.reserve("engine-1", first)
        # The second waits until the first is sent, and is not awaited here.
        waiting = asyncio.ensure_future(context.budget.reserve("engine-1", second))
        await asyncio.sleep(0)
        context.waits = [
            context.budget.wait_s(name) for name in ("engine-1", "engine-2")
        ]
        waiting.cancel()

    asyncio.run(reserve_both())


@then(
    "the next transfer there waits between {least:g} and {most:g} s, and elsewhere not"
)
def check_waits(context, least, most):
    here, elsewhere = context.waits
    assert least <= here <= most, here
    assert elsewhere == 0, elsewhere


@given(
    "a pause of {pause_s:g} s and a bound of {bound:d} bytes a second for the "
    "instance list"
)
def set_list_limits(context, pause_s, bound):
    context.limits = watchers.WatcherSettings(pause_s, 5.0, bound)


@then("a list of {count:d} instances is read every {least:g} to {most:g} s")
def check_list_pause(context, count, least, most):
    pause_s = watchers.list_pause_s(count, context.limits)
    assert least <= pause_s <= most, pause_s
