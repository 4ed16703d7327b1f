"""Steps for long prompts: simulated engines that prefill prompts and send streams."""

import bisect
import random

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls
from acaciaward.relays import aggregation
from acaciaward.routing import demand, placement

PREFILL_TOKENS_PER_S = 60_000.0
MAX_GAP_S = 0.5
STREAM_S = 2.0
SHORT_TOKENS = (1000, 9000)
LONG_TOKENS = (18_000, 50_000)
LONG_SHARE = 0.2


def make_candidate(name):
    endpoint = endpoints.Endpoint(
        name, 1, "s", "127.0.0.1", 1, "dc", 64, endpoints.EndpointState.READY
    )
    return placement.Candidate(endpoint, prefill_tokens_per_s=PREFILL_TOKENS_PER_S)


class Engine:
    """Prefills one prompt after another; records when it does so, and its streams."""

    def __init__(self):
        self.busy_until = 0.0
        self.prefill_periods = []
        self.streams = []
        self.history = [(0.0, 0.0, 0)]

    def add_prompt(self, now, tokens):
        began = max(now, self.busy_until)
        if not self.prefill_periods or self.busy_until <= now:
            self.prefill_periods.append([now, now])
        self.busy_until = began + tokens / PREFILL_TOKENS_PER_S
        self.prefill_periods[-1][1] = self.busy_until
        self.streams.append((self.busy_until, self.busy_until + STREAM_S))
        self.history.append((now, self.busy_until, len(self.streams)))
        return self.busy_until - now

    def reported_at(self, moment):
        """Return the backlog tokens and streams at a moment, as reported later."""
        place = bisect.bisect_right(self.history, (moment, float("inf"))) - 1
        _, busy_until, count = self.history[place]
        running = sum(end > moment for _, end in self.streams[:count])
        return max(0.0, busy_until - moment) * PREFILL_TOKENS_PER_S, running

    def count_paused(self):
        """Return how many streams were paused for longer than is allowed."""
        return sum(
            any(
                min(end, until) - max(start, since) > MAX_GAP_S
                for since, until in self.prefill_periods
            )
            for start, end in self.streams
        )


def simulate(seconds, lag_s, *, has_reserved, count=30, per_s=40):
    """Place prompts; return the paused streams and the mean wait of long prompts."""
    rng = random.Random(7)
    engines = {f"e-{number}": Engine() for number in range(count)}
    reserved = (
        placement.reserved_for_long(list(engines), LONG_SHARE)
        if has_reserved
        else frozenset()
    )
    now, waits = 0.0, []
    while (now := now + rng.expovariate(per_s)) < seconds:
        is_long = rng.random() < 1 / 8
        tokens = rng.randint(*(LONG_TOKENS if is_long else SHORT_TOKENS))
        prompt = calls.Prompt(tokens, 100, (("own", tokens),))
        seen = []
        for name, engine in engines.items():
            backlog, running = engine.reported_at(now - lag_s)
            seen.append(
                make_candidate(name)._replace(backlog_tokens=backlog, running=running)
            )
        pool = None
        if reserved:
            pool = reserved if is_long else engines.keys() - reserved
        chosen = placement.choose(seen, prompt, rng, pool=pool)
        wait_s = engines[chosen.endpoint.name].add_prompt(now, tokens)
        if is_long:
            waits.append(wait_s)
    return (
        sum(engine.count_paused() for engine in engines.values()),
        sum(waits) / len(waits),
    )


@given(
    "{count:d} engines, and {per_s:d} prompts a second of which one in eight is long"
)
def make_engines(context, count, per_s):
    context.count, context.per_s = count, per_s
    context.names = [f"e-{number}" for number in range(count)]


@when("they are placed for {seconds:d} s with load reports {lag_s:g} s late")
def simulate_both(context, seconds, lag_s):
    options = {"count": context.count, "per_s": context.per_s}
    context.divided = simulate(seconds, lag_s, has_reserved=True, **options)
    context.mixed = simulate(seconds, lag_s, has_reserved=False, **options)


@then(
    "less than half as many streams are paused beyond 0.5 s as without endpoints for"
    " long prompts"
)
def check_paused(context):
    assert context.divided[0] < 0.5 * context.mixed[0], (context.divided, context.mixed)


@then("long prompts are prefilled within the objective of {target_s:g} s on average")
def check_waits(context, target_s):
    assert context.divided[1] <= target_s, (context.divided, context.mixed)


@then("with a share of {share:g} for long prompts, {count:d} endpoints are reserved")
def check_count(context, share, count):
    context.reserved = placement.reserved_for_long(context.names, share)
    assert len(context.reserved) == count, context.reserved


@then("with one endpoint less, at most {count:d} of these changes")
def check_stable(context, count):
    for removed in context.names:
        names = [name for name in context.names if name != removed]
        left = placement.reserved_for_long(names, LONG_SHARE)
        assert len(context.reserved - left - {removed}) <= count, (removed, left)


@then("with a share of {share:g}, all of these stay")
def check_nested(context, share):
    assert context.reserved <= placement.reserved_for_long(context.names, share)


@then(
    "of {count:d} endpoints and a share of {share:g}, {reserved:d} are for long prompts"
)
def check_few(context, count, share, reserved):
    names = [f"e-{number}" for number in range(count)]
    assert len(placement.reserved_for_long(names, share)) == reserved


@when("the endpoints for long prompts have {tokens:d} tokens to prefill")
def fill_long(context, tokens):
    context.reserved = placement.reserved_for_long(context.names, LONG_SHARE)
    context.seen = [
        make_candidate(name)._replace(
            backlog_tokens=tokens if name in context.reserved else 0
        )
        for name in context.names
    ]


@then("long prompts go to the others")
def check_overflow(context):
    prompt = calls.Prompt(30_000, 100, (("own", 30_000),))
    rng = random.Random(1)
    for _ in range(50):
        chosen = placement.choose(context.seen, prompt, rng, pool=context.reserved)
        assert chosen.backlog_tokens == 0 or chosen.endpoint.name in context.reserved
        context.others = getattr(context, "others", 0) + (chosen.backlog_tokens == 0)
    # One of the others is compared each time, unless the random one is a full one.
    assert context.others > 25, context.others


@then(
    "a prompt of {tokens:d} tokens is long where pauses may be {short:g} s,"
    " but not where {long:g} s or any"
)
def check_long(context, tokens, short, long):
    prompt = calls.Prompt(tokens, 100, (("own", tokens),))
    found = [
        placement.is_long(prompt, PREFILL_TOKENS_PER_S, gap)
        for gap in (short, long, None)
    ]
    assert found == [True, False, False], found


@given(
    "{entries:d} entries of which each sees {count:d} prompts, one in eight of them"
    " long"
)
def see_prompts(context, entries, count):
    rng = random.Random(5)
    context.names = [f"e-{number}" for number in range(30)]
    context.demands = []
    for _ in range(entries):
        measured = demand.Demand(lambda: 1.0, lambda name: 0.1)
        for _ in range(count):
            is_long = rng.random() < 1 / 8
            tokens = rng.randint(*(LONG_TOKENS if is_long else SHORT_TOKENS))
            measured.record("s", tokens, is_long=is_long)
        context.demands.append(measured.by_service())


@when("each receives the sums over all")
def receive_sums(context):
    reader = aggregation.Aggregator(lambda: 1.0)
    for number, service_demand in enumerate(context.demands):
        report = {"sender": f"n-{number}", "start": f"n-{number}", "uptime_s": 9.0}
        report |= {"use": {}, "load": {}, "windows": {}, "now": 0.0}
        report["crashes"] = {"crashes": {}, "cleared": []}
        reader.receive_report({**report, "demand": service_demand})
    context.reserved = [
        placement.reserved_for_long(
            context.names, demand.ServiceDemand(*sums["s"]).long_share
        )
        for sums in (
            reader.sums_for(f"n-{number}").demand
            for number in range(len(context.demands))
        )
    ]


@then("all reserve the same endpoints for long prompts, a fifth to a half of them")
def check_same(context):
    assert len(set(context.reserved)) == 1, {len(names) for names in context.reserved}
    assert 6 <= len(context.reserved[0]) <= 15, context.reserved[0]
