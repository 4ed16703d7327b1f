"""Steps for parts of prompts that crash endpoints."""

import asyncio
import collections
import time

from behave import given, then, when

from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import fleet

# How many requests with a deadly part may still arrive, and the crashes before that.
LATE_ARRIVALS = 3
CRASHES = 5
WARM_UP_S = 3.0
# How long is watched, and how long the crashes may take.
WATCHED_S = 5.0
CRASHES_TIMEOUT_S = 10.0


@given(
    "{data_centres:d} data centres of {count:d} entries with {endpoints:d} endpoints"
    " and callers that stream {rate:d} a second"
)
def start_fleet(context, data_centres, count, endpoints, rate):
    context.front = fleet.Fleet(data_centres, count, endpoints)
    context.runner.run(context.front.start(rate))
    context.runner.run(asyncio.sleep(WARM_UP_S))


@given("streams end with their connection")
def set_unframed(context):
    context.front.set_unframed()


@when("a part crashes endpoints, in {percent:d}% of the requests")
def taint(context, percent):
    taint_parts(context, ["deadly-1"], percent)


@when("two parts crash endpoints, in {percent:d}% of the requests")
def taint_two(context, percent):
    taint_parts(context, ["deadly-1", "deadly-2"], percent)


def taint_parts(context, parts, percent):
    context.tainted_at = time.monotonic()
    context.front.taint(parts, percent / 100)


def last_of_first_crashes(context):
    """Return when each part had crashed its fifth endpoint, or its last before that."""
    begin = context.tainted_at
    crashed = collections.defaultdict(list)
    for at, part in context.front.crashes:
        crashed[part].append(at)
    return {
        part: crashed[part][:CRASHES][-1] if crashed[part] else begin
        for part in context.front.deadly_parts
    }


@then(
    "no more than {most:d} such requests arrive later than the contact time after the"
    " fifth crash"
)
def check_late_arrivals(context, most):
    front = context.front
    context.runner.run(
        asyncio.sleep(CRASHES_TIMEOUT_S + 2 * delivery.CONTACT_S + WATCHED_S)
    )
    for part, crashed_at in last_of_first_crashes(context).items():
        crashes = sum(found == part for _, found in front.crashes)
        late = [
            arrival
            for arrival in front.arrivals
            if part in arrival.parts and arrival.at > crashed_at + delivery.CONTACT_S
        ]
        assert len(late) <= most, (part, len(late), crashes)


@then("sound requests with the same first part begin half as often as before, or more")
def check_sound(context):
    begin = max(last_of_first_crashes(context).values()) + 2 * delivery.CONTACT_S
    for first in fleet.FIRST_PARTS:
        tries = [
            sent
            for sent in context.front.tries
            if sent.is_first
            and sent.parts[0] == first
            and not context.front.deadly_parts.intersection(sent.parts)
        ]
        before = [
            bool(sent.events) for sent in tries if sent.sent_at < context.tainted_at
        ]
        after = [bool(sent.events) for sent in tries if sent.sent_at > begin]
        assert len(before) >= 20 and len(after) >= 20, (len(before), len(after))
        share_before = sum(before) / len(before)
        share_after = sum(after) / len(after)
        assert share_after >= share_before / 2, (first, share_before, share_after)
