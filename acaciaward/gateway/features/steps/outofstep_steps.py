"""Steps for streams that are taken up at an entry that was out of step."""

import asyncio
import time

from behave import given, then, when

from acaciaward.gateway.features import outofstep

STREAMS = 40
# Streams that must have begun at another version, or the scenario shows nothing.
LEAST_OTHERS = 6
# Until the entries in step know what has joined and go to it.
KNOWN_S = 1.3
NAMES_ATTEMPT = {"naming their attempts": True, "naming nothing": False}
SHORT_S = 1.0
# After the entries have ended, until their callers have seen it.
SEEN_S = 0.05


@given("six entries that have known endpoints of v1 for as long as streams run")
def start(context):
    context.group = outofstep.Group()
    context.runner.run(context.group.start())


@given("six entries with streams at v1, of which {role} may stand still")
def start_apart(context, role):
    context.group = outofstep.Group()
    context.group.put_apart(role)
    context.runner.run(context.group.start())


@given('endpoints of v2 serve "other", and the route is split in halves')
def split(context):
    async def run():
        await context.group.join("other", "v2")
        shares = [{"Service": name, "Weight": 50} for name in ("app", "other")]
        context.group.change_route({"Backends": shares})
        await asyncio.sleep(outofstep.STREAM_S + 2.0)

    context.runner.run(run())


@given('endpoints of v2 serve "other", and the route leads to "app"')
def serve_other(context):
    async def run():
        await context.group.join("other", "v2")
        await asyncio.sleep(outofstep.STREAM_S + 2.0)

    context.runner.run(run())


@when('the route moves to "{service}"')
def move(context, service):
    async def run():
        context.group.change_route({"Service": service})
        await asyncio.sleep(KNOWN_S)

    context.runner.run(run())


@when("an entry is cut off from the store and the others")
def cut(context):
    context.group.cut_off(context.group.odd)


@when("that entry is back in touch")
def heal(context):
    context.group.heal(context.group.odd)


@when("{pause:g} s pass")
def wait(context, pause):
    context.runner.run(asyncio.sleep(pause))


@when("it stands still")
def stand_still(context):
    context.stopped_at = time.monotonic()
    context.group.stand_still()


@when("endpoints of {version} join")
def join(context, version):
    async def run():
        await context.group.join("app", version)
        await asyncio.sleep(KNOWN_S)

    context.runner.run(run())


@when("endpoints of {version} join a moment before")
def join_now(context, version):
    async def run():
        await context.group.join("app", version)
        await asyncio.sleep(0.7)

    context.runner.run(run())


@when("endpoints of {version} end")
def end_version(context, version):
    context.runner.run(context.group.end(version))


@when("streams begin at the other entries")
def begin(context):
    async def run():
        await context.group.begin(STREAMS, context.group.others())
        await asyncio.sleep(0.15)

    context.runner.run(run())


@when("the other entries end")
def end_others(context):
    async def run():
        await context.group.end_entries(context.group.others())
        await asyncio.sleep(SEEN_S)

    context.runner.run(run())


@when("an entry ends")
def end_one(context):
    async def run():
        await context.group.end_entries(context.group.others()[:1])
        await asyncio.sleep(SEEN_S)

    context.runner.run(run())


@when("callers of the other entries lose their connections")
def cut_callers(context):
    for entry in context.group.others():
        entry.gateway._callers.abort()
    context.runner.run(asyncio.sleep(SEEN_S))


@when("callers take the streams up there {tries:d} times, {naming}")
def take_up(context, tries, naming):
    group = context.group
    context.runner.run(
        group.take_up(group.odd, names_attempt=NAMES_ATTEMPT[naming], tries=tries)
    )


@when("callers take the streams up as it goes on after {pause:g} s, {naming}")
def take_up_on_return(context, pause, naming):
    group = context.group

    async def run():
        taking_up = asyncio.create_task(
            group.take_up(group.odd, names_attempt=NAMES_ATTEMPT[naming], tries=6)
        )
        await asyncio.sleep(context.stopped_at + pause - time.monotonic())
        group.go_on()
        await taking_up

    context.runner.run(run())


def taken_up(context):
    found = [stream for stream in context.group.streams if stream.answers]
    # Others than v1 must be among them, or nothing could have been joined.
    others = [stream for stream in found if stream.versions[0] != "v1"]
    assert len(others) >= LEAST_OTHERS, (len(others), len(found))
    return found


@then("no stream holds events of two versions")
def check_joined(context):
    found = taken_up(context)
    joined = [stream for stream in found if stream.is_joined]
    assert not joined, (len(joined), len(found), joined[0].answers)


@then("streams that don't go on are refused within {limit_s:g} s, to be retried soon")
def check_refused(context, limit_s):
    refused = [
        answer
        for stream in taken_up(context)
        for answer in stream.answers
        if not answer.events
    ]
    wrong = [
        answer
        for answer in refused
        if answer.status != outofstep.UNAVAILABLE
        or answer.took_s > limit_s
        or answer.retry_after_s is None
        or answer.retry_after_s > SHORT_S
    ]
    assert not wrong, (len(wrong), len(refused), wrong[:3])


@then("{share:g} of the streams that were taken up go on")
def check_share(context, share):
    found = taken_up(context)
    went_on = [stream for stream in found if stream.went_on]
    assert len(went_on) >= share * len(found), (len(went_on), len(found))
