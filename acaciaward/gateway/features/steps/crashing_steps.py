"""Steps for a request that crashes endpoints again and again."""

import asyncio
import random

from behave import given, then, when

from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import fleet

WARM_UP_S = 3.0
DEADLY_ID = "r-deadly-"
# Reasons of refusals that name crashes: of the request itself, and of a part.
OWN_REASON = "endpoints broke off under it"
REASONS = (OWN_REASON, "endpoints crashed under a part of its prompt")
RELEASED = "v2"
# Events of a request that is served in short time where it crashes nothing.
SERVED_EVENTS = 10
# How long all entries are down, and what they then get to know each other.
DOWN_S = 0.3
SETTLE_S = 3.0


@given(
    "{data_centres:d} data centres of {count:d} entries with {endpoints:d} endpoints"
    " and callers that stream {rate:d} a second, of {events:d} events"
)
def start_fleet(context, data_centres, count, endpoints, rate, events):
    context.front = fleet.Fleet(data_centres, count, endpoints, events=events)
    context.runner.run(context.front.start(rate))
    context.runner.run(asyncio.sleep(WARM_UP_S))


@given("an endpoint crashes by itself every {pause:g} s")
def crash_often(context, pause):
    async def crash():
        while True:
            await asyncio.sleep(pause)
            context.front.crash_one()

    async def begin():
        context.front._start_task(crash())

    context.runner.run(begin())


def crash_at_deadly_path(after_s, version=None):
    """Return a rule of endpoints: the request crashes those of a version, or all."""

    def crash_after(server, request):
        is_deadly = request.path == fleet.DEADLY_PATH
        return after_s if is_deadly and version in (None, server.version) else None

    return crash_after


@when(
    "a request that crashes endpoints {after:g} s into its answer is sent {times:d}"
    " times, {pause:g} s apart"
)
def send_deadly(context, after, times, pause):
    context.front.crash_after = crash_at_deadly_path(after)
    context.runner.run(context.front.send_deadly(times, pause))


async def lose_all(front):
    await front.end_all()
    await asyncio.sleep(DOWN_S)
    await front.start_all()
    await asyncio.sleep(SETTLE_S)


@when(
    "all entries are lost, and the request is sent {times:d} times, {count:d} times"
    " over"
)
def lose_and_send(context, times, count):
    for _ in range(count):
        context.runner.run(lose_all(context.front))
        context.runner.run(context.front.send_deadly(times, 0.5))


@when("{seconds:g} s pass, and all entries are lost, {count:d} times over")
def lose_often(context, seconds, count):
    for _ in range(count):
        context.runner.run(asyncio.sleep(seconds))
        context.runner.run(lose_all(context.front))


async def replace_version(front):
    old = front._versions[0]
    await front.add_version(RELEASED)
    await asyncio.sleep(1.0)
    await front.retire_version(old)


@when(
    "all endpoints are released, and {percent:d} in 100 runs crash the new ones for"
    " {seconds:g} s"
)
def release(context, percent, seconds):
    front = context.front
    rng = random.Random(1)

    def crash_after(server, request):
        is_hit = server.version == RELEASED and rng.random() < percent / 100
        return rng.choice([0.0, 0.05]) if is_hit else None

    front.crash_after = crash_after
    context.runner.run(replace_version(front))
    context.runner.run(asyncio.sleep(seconds))


@when(
    "a request is served, and crashes endpoints of a new version once all are released"
)
def serve_and_release(context):
    serve_deadly(context)
    context.runner.run(replace_version(context.front))


@when("a request is served, and crashes endpoints of a new version beside the old one")
def serve_and_release_beside(context):
    serve_deadly(context)
    context.runner.run(context.front.add_version(RELEASED))


def serve_deadly(context):
    context.front.deadly_events = SERVED_EVENTS
    context.front.crash_after = crash_at_deadly_path(0.0, RELEASED)
    context.runner.run(context.front.send_deadly(3, 0.1))
    assert not context.front.deadly_crashes
    context.front.deadly_arrivals.clear()


@when("it is sent {times:d} times, {pause:g} s apart")
def send_again(context, times, pause):
    context.runner.run(context.front.send_deadly(times, pause))


@then(
    "it arrives no more than {most:d} times later than the contact time after its third"
    " crash"
)
def check_arrivals(context, most):
    front = context.front
    assert len(front.deadly_crashes) >= 3, front.deadly_crashes
    from_ = front.deadly_crashes[2] + delivery.CONTACT_S
    late = [at for at in front.deadly_arrivals if at > from_]
    assert len(late) <= most, (len(late), len(front.deadly_crashes))


@then("no sound request is refused for its own crashes")
def check_none_suspected(context):
    check_no_sound_refused(context, reasons=(OWN_REASON,))


@then("no sound request is refused for crashes")
def check_no_sound_refused(context, reasons=REASONS):
    refused = [
        (fields["request"], fields["reason"])
        for fields in context.lines.fields("refused")
        if fields["reason"] in reasons
    ]
    sound = [found for found in refused if not found[0].startswith(DEADLY_ID)]
    assert not sound, (len(sound), len(context.front.tries), sound[:5])
