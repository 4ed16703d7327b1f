"""Steps for endpoints that are brittle."""

import asyncio
import collections
import time

from behave import given, then, when

from acaciaward.gateway import refusals
from acaciaward.gateway.features import brittle
from standins import rooms

STEADY_S = 1.5
CUT_S = 3.0
DOWN_S = 1.0
BACK_S = 3.0
BURST_S = 1.0
BURST_FACTOR = 2.0
SETTLE_S = 2.0


def begin(context, load, is_brittle, slots=brittle.SLOTS):
    context.load = load
    context.world = brittle.World(is_brittle=is_brittle, slots=slots)
    context.runner.run(context.world.start())
    context.group = context.world
    context.world.rate = load * context.world.capacity_per_s


@given("brittle endpoints, and callers that ask for {load:g} of what they can do")
def begin_brittle(context, load):
    begin(context, load, is_brittle=True)


@given(
    "brittle endpoints with {slots:d} place each, and callers that ask for {load:g} of"
    " what they can do"
)
def begin_small(context, slots, load):
    begin(context, load, is_brittle=True, slots=slots)


@given(
    "endpoints that aren't brittle, and callers that ask for {load:g} of what they"
    " can do"
)
def begin_sound(context, load):
    begin(context, load, is_brittle=False)


async def disturb(world):
    """Play the faults; return the time from which on answers count."""
    await asyncio.sleep(STEADY_S)
    world.make_brittle()
    await asyncio.sleep(rooms.SHRINK_AFTER_S)
    began_at = time.monotonic()
    await asyncio.sleep(STEADY_S)
    world.cut_peers([world.entries[1]])
    await asyncio.sleep(CUT_S)
    world.heal_peers()
    await asyncio.sleep(STEADY_S)
    await world.restart(world.entries[3], DOWN_S)
    await asyncio.sleep(BACK_S)
    world.rate *= BURST_FACTOR
    await asyncio.sleep(BURST_S)
    world.rate /= BURST_FACTOR
    await asyncio.sleep(SETTLE_S)
    world.rate = 0.0
    await asyncio.sleep(brittle.DEADLINE_S)
    return began_at


def share_served(answers):
    return sum(answer.status == brittle.OK for answer in answers) / len(answers)


@when("an entry is cut off from its peers, one is restarted, and a burst comes")
def play(context):
    context.began_at = context.runner.run(disturb(context.world))
    context.answers = context.world.answers_since(context.began_at)


@when("they are brittle for {seconds:g} s from the contact time on")
def play_without_faults(context, seconds):
    world = context.world
    context.runner.run(asyncio.sleep(STEADY_S))
    world.make_brittle()
    context.runner.run(asyncio.sleep(rooms.SHRINK_AFTER_S))
    context.began_at = time.monotonic()
    context.runner.run(asyncio.sleep(seconds))
    world.rate = 0.0
    context.runner.run(asyncio.sleep(brittle.DEADLINE_S))
    context.answers = world.answers_since(context.began_at)


@when("the same is played with brittle endpoints")
def play_again(context):
    context.share_before = share_served(context.answers)
    context.runner.run(context.world.stop())
    begin(context, context.load, is_brittle=True)
    play(context)


@then("the endpoints fell over 2 times and a tenth of their number at most")
def check_falls(context):
    falls = len(context.world.fallen_at)
    statuses = collections.Counter(answer.status for answer in context.answers)
    rejections = context.world.rejections_since(context.began_at)
    figures = f"{falls} falls, {rejections} turned away, {dict(statuses)}"
    print(figures)
    assert falls <= 2 + 0.1 * brittle.ENDPOINTS, figures


@then("no refusal was held for longer than {limit_s:g} s, and each had a time to retry")
def check_refusals(context, limit_s):
    refused = [
        answer for answer in context.answers if answer.status in refusals.PROMISES
    ]
    late = [
        answer
        for answer in refused
        if answer.took_s > limit_s or not answer.has_retry_after
    ]
    assert not late, (len(refused), len(late), late[:5])


@then("{factor:g} times the share of before was served or more")
def check_share(context, factor):
    share = share_served(context.answers)
    print(f"{share:.3f} served, {context.share_before:.3f} before")
    assert share >= factor * context.share_before, (share, context.share_before)


@then("callers of each entry were served half as often as the mean or more")
def check_entries(context):
    answers = collections.defaultdict(list)
    for answer in context.answers:
        answers[answer.entry].append(answer)
    shares = {name: share_served(answers[name]) for name in sorted(answers)}
    mean = share_served(context.answers)
    print(f"{mean:.3f} served, {shares}")
    assert mean > 0 and len(shares) == len(context.world.entries), shares
    assert min(shares.values()) >= 0.5 * mean, (mean, shares)
