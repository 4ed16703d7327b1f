"""Steps for long prompts: engines that read, and streams beside the reading."""

import bisect
import random

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls
from acaciaward.relays import hub
from acaciaward.routing import demand, placement

PACE = 60_000.0
MAX_GAP_S = 0.5
STREAM_S = 2.0
SHORT_TOKENS = (1000, 9000)
LONG_TOKENS = (18_000, 50_000)
SHARE = 0.2


def make_candidate(name):
    endpoint = endpoints.Endpoint(
        name, 1, "s", "127.0.0.1", 1, "dc", 64, endpoints.EndpointState.READY
    )
    return placement.Candidate(endpoint, prefill_per_s=PACE)


class Engine:
    """Reads one prompt after another; keeps when it read, and its streams."""

    def __init__(self):
        self.read_until = 0.0
        self.periods = []
        self.streams = []
        self.history = [(0.0, 0.0, 0)]

    def take(self, now, tokens):
        began = max(now, self.read_until)
        if not self.periods or self.read_until <= now:
            self.periods.append([now, now])
        self.read_until = began + tokens / PACE
        self.periods[-1][1] = self.read_until
        self.streams.append((self.read_until, self.read_until + STREAM_S))
        self.history.append((now, self.read_until, len(self.streams)))
        return self.read_until - now

    def seen_at(self, moment):
        """Return the unread tokens and streams at a moment, as told later."""
        place = bisect.bisect_right(self.history, (moment, float("inf"))) - 1
        _, read_until, count = self.history[place]
        running = sum(end > moment for _, end in self.streams[:count])
        return max(0.0, read_until - moment) * PACE, running

    def paused(self):
        """Return how many streams were held up for longer than they may be."""
        return sum(
            any(
                min(end, until) - max(start, since) > MAX_GAP_S
                for since, until in self.periods
            )
            for start, end in self.streams
        )


def play(seconds, lag_s, *, is_divided, count=30, per_s=40):
    """Place prompts; return the paused streams and the mean wait of long prompts."""
    chooser = random.Random(7)
    engines = {f"e-{number}": Engine() for number in range(count)}
    kept = placement.reserve(list(engines), SHARE) if is_divided else frozenset()
    now, waits = 0.0, []
    while (now := now + chooser.expovariate(per_s)) < seconds:
        is_long = chooser.random() < 1 / 8
        tokens = chooser.randint(*(LONG_TOKENS if is_long else SHORT_TOKENS))
        prompt = calls.Prompt(tokens, 100, (("own", tokens),))
        seen = []
        for name, engine in engines.items():
            backlog, running = engine.seen_at(now - lag_s)
            seen.append(
                make_candidate(name)._replace(backlog_tokens=backlog, running=running)
            )
        own = None
        if kept:
            own = kept if is_long else engines.keys() - kept
        chosen = placement.choose(seen, prompt, chooser, own=own)
        wait_s = engines[chosen.endpoint.name].take(now, tokens)
        if is_long:
            waits.append(wait_s)
    return sum(one.paused() for one in engines.values()), sum(waits) / len(waits)


@given(
    "{count:d} engines, and {per_s:d} prompts a second of which one in eight is long"
)
def make_engines(context, count, per_s):
    context.count, context.per_s = count, per_s
    context.names = [f"e-{number}" for number in range(count)]


@when("they are placed for {seconds:d} s, loads being known {lag_s:g} s late")
def play_both(context, seconds, lag_s):
    options = {"count": context.count, "per_s": context.per_s}
    context.divided = play(seconds, lag_s, is_divided=True, **options)
    context.mixed = play(seconds, lag_s, is_divided=False, **options)


@then(
    "not half as many streams are paused beyond 0.5 s as without endpoints for long"
    " prompts"
)
def check_paused(context):
    assert context.divided[0] < 0.5 * context.mixed[0], (context.divided, context.mixed)


@then("long prompts are read within the objective of {target_s:g} s, on the mean")
def check_waits(context, target_s):
    assert context.divided[1] <= target_s, (context.divided, context.mixed)


@then("with a share of {share:g} for long prompts, {count:d} endpoints are theirs")
def check_count(context, share, count):
    context.kept = placement.reserve(context.names, share)
    assert len(context.kept) == count, context.kept


@then("with one endpoint less, at most {count:d} of these changes")
def check_stable(context, count):
    for gone in context.names:
        names = [name for name in context.names if name != gone]
        left = placement.reserve(names, SHARE)
        assert len(context.kept - left - {gone}) <= count, (gone, left)


@then("with a share of {share:g}, all of these stay")
def check_nested(context, share):
    assert context.kept <= placement.reserve(context.names, share)


@then("of {count:d} endpoints and a share of {share:g}, {kept:d} are for long prompts")
def check_few(context, count, share, kept):
    names = [f"e-{number}" for number in range(count)]
    assert len(placement.reserve(names, share)) == kept


@when("the endpoints for long prompts have {tokens:d} tokens to read")
def fill_long(context, tokens):
    context.kept = placement.reserve(context.names, SHARE)
    context.seen = [
        make_candidate(name)._replace(
            backlog_tokens=tokens if name in context.kept else 0
        )
        for name in context.names
    ]


@then("long prompts go to the others")
def check_overflow(context):
    prompt = calls.Prompt(30_000, 100, (("own", 30_000),))
    chooser = random.Random(1)
    for _ in range(50):
        chosen = placement.choose(context.seen, prompt, chooser, own=context.kept)
        assert chosen.backlog_tokens == 0 or chosen.endpoint.name in context.kept
        context.others = getattr(context, "others", 0) + (chosen.backlog_tokens == 0)
    # One of the others is looked at each time, unless it is drawn from the full ones.
    assert context.others > 25, context.others


@then(
    "a prompt of {tokens:d} tokens is long where pauses may be {short:g} s,"
    " but not where {long:g} s or any"
)
def check_long(context, tokens, short, long):
    prompt = calls.Prompt(tokens, 100, (("own", tokens),))
    found = [placement.is_long(prompt, PACE, gap) for gap in (short, long, None)]
    assert found == [True, False, False], found


@given(
    "{entries:d} entries of which each sees {count:d} prompts, one in eight of them"
    " long"
)
def see_prompts(context, entries, count):
    chooser = random.Random(5)
    context.names = [f"e-{number}" for number in range(30)]
    context.told = []
    for _ in range(entries):
        asked = demand.Demand(lambda: 1.0, lambda name: 0.1)
        for _ in range(count):
            is_long = chooser.random() < 1 / 8
            tokens = chooser.randint(*(LONG_TOKENS if is_long else SHORT_TOKENS))
            asked.note("s", tokens, is_long=is_long)
        context.told.append(asked.wanted())


@when("each hears the sums over all")
def hear_sums(context):
    reader = hub.Hub(lambda: 1.0)
    for number, wanted in enumerate(context.told):
        report = {"sender": f"n-{number}", "start": f"n-{number}", "uptime_s": 9.0}
        report |= {"use": {}, "load": {}, "windows": {}, "now": 0.0}
        report["crashes"] = {"crashes": {}, "cleared": []}
        reader.receive_report({**report, "demand": wanted})
    context.kept = [
        placement.reserve(context.names, demand.Wanted(*sums["s"]).long_share)
        for sums in (
            reader.sums_for(f"n-{number}").demand for number in range(len(context.told))
        )
    ]


@then("all keep the same endpoints for long prompts, and a fifth to a half of them")
def check_same(context):
    assert len(set(context.kept)) == 1, {len(one) for one in context.kept}
    assert 6 <= len(context.kept[0]) <= 15, context.kept[0]
