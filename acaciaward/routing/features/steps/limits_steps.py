"""Steps for limits that endpoints name, with entries that run in this process."""

import asyncio
import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward.catalogue import endpoints
from acaciaward.catalogue.features import delivery
from acaciaward.routing import endpointlimits
from acaciaward.routing.features import traffic

# Span of time, factor and number of requests by which a limit may be exceeded.
WINDOW_S = 4.0
OVERSHOOT = 1.5
EXTRA_REQUESTS = 5


def find_most_in_window(arrivals):
    """Return the largest number of arrivals in any window of ``WINDOW_S``."""
    return max(
        (sum(begin <= at < begin + WINDOW_S for at in arrivals) for begin in arrivals),
        default=0,
    )


@given(
    "{data_centres:d} data centres of {count:d} entries with callers that send"
    " {rate:d} requests a second"
)
@given(
    "{data_centres:d} data centres of {count:d} entries with callers that send"
    " {rate:d} requests a second, each to {attempts:d} endpoints at most"
)
def start_traffic(context, data_centres, count, rate, attempts=1):
    route = {"MaxAttempts": attempts}
    context.world = delivery.World(data_centres, count, route=route)
    context.traffic = traffic.Traffic(context.world)
    context.runner.run(context.traffic.start(["app-1", "app-2"], rate))
    context.runner.run(asyncio.sleep(1.0))


@when("{name} names a limit of {limit:g} requests a second")
def name_limit(context, name, limit):
    context.traffic.servers[name].limit_per_s = limit
    context.limited_at = time.monotonic()


@when("{name} names no limit")
def name_no_limit(context, name):
    context.traffic.servers[name].limit_per_s = None


@when("{seconds:g} s pass")
def wait(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@then(
    "{name} gets no more than its limit allows for {seconds:g} s after the contact time"
)
def check_limit(context, name, seconds):
    begin = context.limited_at + delivery.CONTACT_S
    wait_s = begin + seconds - time.monotonic()
    context.runner.run(asyncio.sleep(max(0.0, wait_s)))
    limit = context.traffic.servers[name].limit_per_s
    allowed = OVERSHOOT * limit * WINDOW_S + EXTRA_REQUESTS
    arrivals = [at for at in context.traffic.arrivals[name] if at >= begin]
    most = find_most_in_window(arrivals)
    assert most <= allowed, (most, allowed)


@then("all requests were served meanwhile")
def check_served(context):
    answers = context.traffic.answers_since(context.limited_at)
    failed = [answer for answer in answers if answer.status != traffic.OK]
    assert answers and not failed, (len(answers), failed[:5])


@then("at least {rate:g} requests a second were served meanwhile")
def check_rate(context, rate):
    begin = context.limited_at + delivery.CONTACT_S
    answers = context.traffic.answers_since(begin)
    served = [answer for answer in answers if answer.status == traffic.OK]
    seconds = time.monotonic() - begin
    assert len(served) >= rate * seconds, (len(served), seconds)


@then("the others were refused within {limit_s:g} s, with a time to retry")
def check_refusals(context, limit_s):
    answers = context.traffic.answers_since(context.limited_at + delivery.CONTACT_S)
    others = [answer for answer in answers if answer.status != traffic.OK]
    wrong = [
        answer
        for answer in others
        if answer.status != traffic.UNAVAILABLE
        or answer.took_s > limit_s
        or not answer.retry_after_s
    ]
    assert others and not wrong, (len(others), wrong[:5])


@then("{name} gets a third of the requests or more for {seconds:g} s")
def check_share(context, name, seconds):
    begin = time.monotonic()
    context.runner.run(asyncio.sleep(seconds))
    counts = {
        server: sum(at >= begin for at in arrivals)
        for server, arrivals in context.traffic.arrivals.items()
    }
    assert counts[name] * 3 >= sum(counts.values()), counts


@then(
    "any {least:d} to {most:d} entries that send as much as they may keep to any limit"
)
def check_shares(context, least, most):
    ready = endpoints.EndpointState.READY
    endpoint = endpoints.Endpoint("s-1", 1, "s", "127.0.0.1", 1, "dc", 4, ready)

    @hypothesis.settings(
        database=None, derandomize=True, max_examples=60, deadline=None
    )
    @hypothesis.given(
        strategies.integers(least, most),
        strategies.floats(0.0, 60.0),
        strategies.randoms(use_true_random=False),
    )
    def check(count, limit, rng):
        now = 100.0
        names = [f"e-{number}" for number in range(count)]
        entries = [
            endpointlimits.EndpointLimits(name, lambda: names, clock=lambda: now)
            for name in names
        ]
        for entry in entries:
            entry.record(endpoint, limit, now)
        arrivals = []
        while now < 112.0:
            for entry in rng.sample(entries, rng.randint(0, count)):
                while entry.may_send(endpoint):
                    entry.spend(endpoint)
                    arrivals.append(now)
            now += 0.1
        allowed = OVERSHOOT * limit * WINDOW_S + EXTRA_REQUESTS
        most_arrivals = find_most_in_window(arrivals)
        assert most_arrivals <= allowed, (count, limit, most_arrivals, allowed)
        served = len(arrivals) / 12.0
        assert served >= 0.5 * limit - 1, (count, limit, served)

    check()
