"""Steps for entries that are cut off from all endpoints."""

import asyncio
import collections
import math
import time

from behave import given, then, when

from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import cutoff

WARM_UP_S = 2.0
# First tries at cut entries must be served this often, against those at the others,
# unless no more of all first tries than this number and share fail there.
SERVED_RATIO = 2 / 3
FAILED_COUNT = 10
FAILED_SHARE = 1 / 50
# Judged first tries without which a scenario shows nothing, for each of the two groups.
LEAST_TRIES = 15
UNAVAILABLE = 503
LEAST_SERVED = 0.9
# The gateway's defaults, by which quotas are judged.
QUOTA_WINDOW_S = 8.0
QUOTA_OVERSHOOT = 0.1
# Each of the two organisations sends half of the calls, 40 a second.
SPENT = {"Name": "spent", "ApiKeys": ["key-spent"], "RatePerS": 10, "Burst": 10}
FREE = {"Name": "free", "ApiKeys": ["key-free"]}


def start(context, rate, **options):
    context.front = cutoff.CutFleet(**options)
    context.runner.run(context.front.start(rate))
    context.runner.run(asyncio.sleep(WARM_UP_S))


@given("2 data centres of 3 entries with 6 endpoints, and {rate:d} calls a second")
def start_fleet(context, rate):
    start(context, rate)


@given("2 data centres of 3 entries with 12 endpoints, and {rate:d} calls a second")
def start_large_fleet(context, rate):
    start(context, rate, endpoints=12)


@given(
    "2 data centres of 3 entries with 6 endpoints, {rate:d} calls a second and a quota"
)
def start_fleet_with_quota(context, rate):
    organisations = (SPENT, FREE)
    keys = tuple(row["ApiKeys"][0] for row in organisations)
    start(context, rate, organisations=organisations, keys=keys)


@when("{share} can't reach endpoints for {duration_s:g} s ({mode})")
def cut(context, share, duration_s, mode):
    async def run():
        front = context.front
        entries = front.entries(share)
        context.cut_entries = {entry.name for entry in entries}
        context.cut_at = time.monotonic()
        front.partition.cut(entries, mode)
        await asyncio.sleep(duration_s)
        context.healed_at = time.monotonic()
        front.partition.heal()
        await front.finish()

    context.runner.run(run())


@when("{duration_s:g} s pass after healing")
def wait(context, duration_s):
    async def run():
        left_s = context.healed_at + duration_s - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
        await context.front.finish()

    context.runner.run(run())


@when("{count:d} endpoints end, and are listed for {duration_s:g} s")
def end_endpoints(context, count, duration_s):
    async def run():
        front = context.front
        await asyncio.sleep(1.0)
        context.ended_at = time.monotonic()
        front.end_endpoints(count)
        await asyncio.sleep(duration_s)
        await front.finish()

    context.runner.run(run())


@then("nine in ten first tries from {settled_s:g} s after their end on are served")
def check_others_serve(context, settled_s):
    tries = [
        one
        for one in context.front.first_tries(context.ended_at + settled_s, math.inf)
        if one.took_s < math.inf
    ]
    assert len(tries) >= LEAST_TRIES, len(tries)
    assert served_share(tries) >= LEAST_SERVED, (served_share(tries), describe(tries))


def judged_tries(context, before_end_s=0.0):
    """
    Return the first tries from the contact time after the cut's begin to its end.

    Those of the last ``before_end_s`` are left out.
    """
    begin = context.cut_at + delivery.CONTACT_S
    return context.front.first_tries(begin, context.healed_at - before_end_s)


def served_share(tries):
    return sum(one.is_served for one in tries) / len(tries)


def describe(tries):
    """Return how many tries had each outcome, for messages."""
    return dict(
        collections.Counter(
            "served" if one.is_served else f"{one.kind} {one.status}" for one in tries
        )
    )


@then("first tries at cut entries are served as often as at the others, or few fail")
def check_recovered(context):
    tries = judged_tries(context)
    at_cut = [one for one in tries if one.entry in context.cut_entries]
    at_others = [one for one in tries if one.entry not in context.cut_entries]
    assert len(at_cut) >= LEAST_TRIES and len(at_others) >= LEAST_TRIES, (
        len(at_cut),
        len(at_others),
    )
    failed = sum(not one.is_served for one in at_cut)
    is_served = served_share(at_cut) >= SERVED_RATIO * served_share(at_others)
    has_few_failed = failed <= FAILED_COUNT + FAILED_SHARE * len(tries)
    assert is_served or has_few_failed, (
        f"served {len(at_cut) - failed} of {len(at_cut)} at cut entries, "
        f"{sum(one.is_served for one in at_others)} of {len(at_others)} at the others; "
        f"at cut entries: {describe(at_cut)}"
    )


@then("calls keep their promises")
def check_promises(context):
    run_counts = context.front.run_counts()
    ended = [one for one in context.front.tries if one.took_s < math.inf]
    twice = [
        one
        for one in ended
        if one.kind == cutoff.NON_IDEMPOTENT and run_counts[one.attempt_id] > 1
    ]
    assert not twice, ("ran twice", len(twice), twice[:3])
    broken = [
        one
        for one in ended
        if one.status in cutoff.PROMISES and run_counts[one.attempt_id]
    ]
    assert not broken, ("refused and ran", len(broken), broken[:3])
    torn = torn_streams(ended)
    assert not torn, ("torn streams", len(torn), torn[:3])


def torn_streams(tries):
    """Return the streams in which an event is missing, repeated, or of another run."""
    streams = collections.defaultdict(list)
    for one in tries:
        if one.kind == cutoff.STREAM:
            streams[one.number].append(one)
    torn = []
    for stream in streams.values():
        numbers = [number for one in stream for number, _ in one.events]
        has_foreign = any(
            attempt_id != one.attempt_id
            for one in stream
            for _, attempt_id in one.events
        )
        is_cut_short = any(one.is_complete and not one.is_served for one in stream)
        is_in_order = numbers == list(range(1, len(numbers) + 1))
        if has_foreign or is_cut_short or not is_in_order:
            torn.append(stream)
    return torn


@then(
    "first tries later than the contact time are refused with 503 within {limit_s:g} s"
)
def check_refused(context, limit_s):
    # Later ones may meet the end of the cut and be served.
    tries = judged_tries(context, limit_s)
    wrong = [one for one in tries if one.status != UNAVAILABLE or one.took_s > limit_s]
    report_wrong(tries, wrong, limit_s)


@then(
    "first tries later than the contact time are served, or refused with 503 within"
    " {limit_s:g} s"
)
def check_served_or_refused(context, limit_s):
    tries = judged_tries(context, limit_s)
    wrong = [
        one
        for one in tries
        if not one.is_served and (one.status != UNAVAILABLE or one.took_s > limit_s)
    ]
    report_wrong(tries, wrong, limit_s)


def report_wrong(tries, wrong, limit_s):
    late = sum(one.took_s > limit_s for one in wrong)
    assert tries and not wrong, (
        f"{len(wrong)} of {len(tries)} are neither, {late} of these late: "
        f"{describe(wrong)}"
    )


@then("{settled_s:g} s after healing nine in ten first tries are served")
def check_served_again(context, settled_s):
    begin = context.healed_at + settled_s
    tries = [
        one
        for one in context.front.first_tries(begin, math.inf)
        if one.took_s < math.inf
    ]
    assert len(tries) >= LEAST_TRIES, len(tries)
    assert served_share(tries) >= LEAST_SERVED, (served_share(tries), describe(tries))


def organisation_runs(context, organisation):
    """Return the times at which calls of an organisation began to run, in order."""
    attempt_ids = {
        one.attempt_id
        for one in context.front.tries
        if one.key in organisation["ApiKeys"]
    }
    return sorted(at for at, name in context.front.runs if name in attempt_ids)


@then("the runs of an organisation that asks too much stay within its quota")
def check_quota(context):
    quota = SPENT["RatePerS"] * QUOTA_WINDOW_S + SPENT["Burst"]
    limit = quota * (1 + QUOTA_OVERSHOOT)
    times = organisation_runs(context, SPENT)
    most = max(
        sum(begin <= at < begin + QUOTA_WINDOW_S for at in times[index:])
        for index, begin in enumerate(times)
    )
    assert most <= limit, (most, limit)


@then("its runs use {share:g} of the quota while the cut lasts, or more")
def check_quota_used(context, share):
    times = organisation_runs(context, SPENT)
    runs = sum(context.cut_at <= at < context.healed_at for at in times)
    allowed = SPENT["RatePerS"] * (context.healed_at - context.cut_at)
    assert runs >= share * allowed, (runs, allowed)
