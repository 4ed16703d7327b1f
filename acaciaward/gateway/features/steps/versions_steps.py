"""Steps for streams of endpoints of two software versions."""

import asyncio
import collections
import time

from behave import given, then, when

from acaciaward.gateway.features import fleet

VERSIONS = ("v1", "v2")
ENDPOINTS = 8
# Streams of 0.6 s, so that many are running whenever something ends.
EVENTS = 40
RATE = 40
WARM_UP_S = 3.0
SETTLE_S = 4.0
# As many streams must have been taken up for their share to count.
LEAST_TAKEN_UP = 12
UNAVAILABLE = 503


@given(
    "{data_centres:d} data centres of {count:d} entries, 4 endpoints of each of two"
    " versions, and streams"
)
def start_fleet(context, data_centres, count):
    context.front = fleet.Fleet(
        data_centres, count, ENDPOINTS, versions=VERSIONS, events=EVENTS
    )
    context.runner.run(context.front.start(RATE))
    context.runner.run(asyncio.sleep(WARM_UP_S))


@when("an endpoint crashes {count:d} times, {pause:g} s apart")
def crash_endpoints(context, count, pause):
    async def run():
        for _ in range(count):
            context.front.crash_one()
            await asyncio.sleep(pause)
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@when(
    "the callers of an entry lose their connections {count:d} times, {pause:g} s apart"
)
def cut_callers(context, count, pause):
    async def run():
        for number in range(count):
            entries = context.front.world.entries
            context.front.cut_callers(entries[number % len(entries)])
            await asyncio.sleep(pause)
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@when("an entry ends and starts anew, {count:d} times")
def restart_entries(context, count):
    async def run():
        for number in range(count):
            entries = context.front.world.entries
            await context.front.restart(entries[number % len(entries)])
            await asyncio.sleep(0.5)
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@given("{data_centres:d} data centres of {count:d} entries, 4 endpoints, and streams")
def start_one_version(context, data_centres, count):
    context.front = fleet.Fleet(
        data_centres, count, ENDPOINTS // 2, versions=VERSIONS[:1], events=EVENTS
    )
    context.runner.run(context.front.start(RATE))
    context.runner.run(asyncio.sleep(WARM_UP_S))


@given("entries have known the endpoints for as long as streams run")
def watch(context):
    context.runner.run(asyncio.sleep(fleet.ROUTE["TimeoutMs"] / 1000))


@when("endpoints of a second version join, and {pause:g} s pass")
def add_version(context, pause):
    async def run():
        await context.front.add_version(VERSIONS[1])
        await asyncio.sleep(pause)

    context.runner.run(run())


@when("all entries end at once, {count:d} times, and are back after {down:g} s")
def lose_all(context, count, down):
    async def run():
        for _ in range(count):
            await context.front.end_all()
            await asyncio.sleep(down)
            await context.front.start_all()
            await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@when("endpoints of a second version join while all entries are down for {down:g} s")
def add_version_while_down(context, down):
    async def run():
        await context.front.end_all()
        await context.front.add_version(VERSIONS[1])
        await asyncio.sleep(down)
        await context.front.start_all()
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


@when("all endpoints of the second version end")
def end_version(context):
    async def run():
        context.ended_at = time.monotonic()
        context.front.end_version(VERSIONS[1])
        await asyncio.sleep(SETTLE_S)

    context.runner.run(run())


def tries_by_stream(context):
    tries = collections.defaultdict(list)
    for one in context.front.tries:
        tries[one.number].append(one)
    return tries.values()


def is_taken_up(tries):
    """Return whether a stream broke off after an event, and its caller took it up."""
    return len(tries) == 2 and tries[0].events and not tries[0].is_complete


@then("no more than {most:d} streams hold events of two versions")
def check_versions(context, most):
    mixed = [
        tries
        for tries in tries_by_stream(context)
        if len(frozenset().union(*(one.versions for one in tries))) > 1
    ]
    assert len(mixed) <= most, (len(mixed), len(context.front.tries))


@then("of the streams that were taken up half as many go on as new ones begin, or more")
def check_half(context):
    taken_up = [tries for tries in tries_by_stream(context) if is_taken_up(tries)]
    if len(taken_up) >= LEAST_TAKEN_UP:
        check_share(context, taken_up, 0.5)


@then("the streams that were taken up go on {share:g} times as often as new ones begin")
def check_go_on(context, share):
    taken_up = [tries for tries in tries_by_stream(context) if is_taken_up(tries)]
    assert len(taken_up) >= LEAST_TAKEN_UP, len(taken_up)
    check_share(context, taken_up, share)


def goes_on(tries):
    """Return whether a take-up brought events, or the end if all had arrived before."""
    first, second = tries
    return second.events or (first.events == EVENTS and second.is_complete)


def check_share(context, taken_up, share):
    went_on = sum(bool(goes_on(tries)) for tries in taken_up) / len(taken_up)
    first = [one for one in context.front.tries if one.is_first]
    began = sum(bool(one.events) for one in first) / len(first)
    assert went_on >= share * began, (went_on, began, len(taken_up))


@then(
    "streams of that version that are taken up later are refused within {limit_s:g} s"
)
def check_refused(context, limit_s):
    later = [
        tries[1]
        for tries in tries_by_stream(context)
        if is_taken_up(tries)
        and VERSIONS[1] in tries[0].versions
        and tries[1].sent_at > context.ended_at
    ]
    wrong = [one for one in later if one.status != UNAVAILABLE or one.took_s > limit_s]
    assert later and not wrong, (len(later), wrong[:3])
