"""Steps for placement; loads are simulated."""

import collections
import random

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls
from acaciaward.routing import health, placement


def make_endpoint(number):
    return endpoints.Endpoint(
        f"e-{number}",
        1,
        "s",
        "127.0.0.1",
        1,
        "dc",
        64,
        endpoints.EndpointState.READY,
    )


@given("{count:d} idle endpoints")
def make_endpoints(context, count):
    context.candidates = {
        f"e-{number}": placement.Candidate(make_endpoint(number))
        for number in range(count)
    }
    context.rng = random.Random(3)
    context.placed = collections.defaultdict(collections.Counter)


@given("{count:d} idle endpoints of which {name} fails {share:g} of its calls")
def make_partially_failed(context, count, name, share):
    make_endpoints(context, count)
    context.candidates[name] = context.candidates[name]._replace(failed_share=share)


def place(context, part, *, keeps_running):
    prompt = calls.Prompt(12_000, 100, (("all", 500), (part, 5000), ("own", 6500)))
    names = list(context.candidates)
    first = placement.preferred_endpoints(prompt, names)[:1]
    seen = [
        candidate._replace(
            cached_tokens=5500 if candidate.endpoint.name in first else 0
        )
        for candidate in context.candidates.values()
    ]
    name = placement.choose(seen, prompt, context.rng).endpoint.name
    context.placed[part][name] += 1
    if keeps_running:
        chosen = context.candidates[name]
        context.candidates[name] = chosen._replace(
            running=chosen.running + 1, backlog_tokens=chosen.backlog_tokens + 6500
        )


@when("{count:d} prompts with {parts:d} shared parts are placed")
def place_many(context, count, parts):
    for number in range(count):
        place(context, f"part-{number % parts}", keeps_running=False)


@when("{count:d} prompts with one shared part are placed and keep running")
def place_hot(context, count):
    for _ in range(count):
        place(context, "hot", keeps_running=True)


@when("{count:d} prompts share a part of {tokens:d} tokens while no load is reported")
def place_small(context, count, tokens):
    prompt = calls.Prompt(2000, 25, (("small", tokens), ("own", 2000 - tokens)))
    names = list(context.candidates)
    first = placement.preferred_endpoints(prompt, names)[:1]
    seen = [
        candidate._replace(
            cached_tokens=tokens if candidate.endpoint.name in first else 0
        )
        for candidate in context.candidates.values()
    ]
    for _ in range(count):
        chosen = placement.choose(seen, prompt, context.rng)
        context.placed["small"][chosen.endpoint.name] += 1


@then("no endpoint gets more than {count:d} of them")
def check_dispersed(context, count):
    assert max(context.placed["small"].values()) <= count, context.placed["small"]


@when("{count:d} plain calls are placed")
def place_plain(context, count):
    seen = list(context.candidates.values())
    for _ in range(count):
        name = placement.choose(seen, None, context.rng).endpoint.name
        context.placed["plain"][name] += 1


@then("each part is mostly at one endpoint")
def check_affinity(context):
    for part, counts in context.placed.items():
        assert max(counts.values()) >= 0.9 * sum(counts.values()), (part, counts)


@then("at least {count:d} endpoints have work and none has more than twice the mean")
def check_spread(context, count):
    counts = context.placed["hot"]
    assert len(counts) >= count, counts
    assert max(counts.values()) <= 2 * sum(counts.values()) / 6, counts


@then("{name} gets less than {count:d} of them")
def check_few_calls(context, name, count):
    assert context.placed["plain"][name] < count, context.placed


@then("pauses double from 0.3 s to 4 s and end with a success")
def check_pauses(context):
    record = health.Health()
    pauses = []
    for _ in range(6):
        record = record.after(health.Outcome.UNREACHED, 10.0)
        pauses.append(round(record.paused_until - 10.0, 3))
    assert pauses == [0.3, 0.6, 1.2, 2.4, 4.0, 4.0], pauses
    assert record.is_paused(13.9) and not record.is_paused(14.1)
    assert not record.after(health.Outcome.SERVED, 10.0).is_paused(10.0)
    once = health.Health().after(health.Outcome.FAILED, 10.0)
    assert not once.is_paused(10.0)


@when("{count:d} prompts arrive at once with a timeout of {timeout_s:g} s")
def place_burst(context, count, timeout_s):
    prompt = calls.Prompt(1800, 25, (("own", 1800),))
    context.waits, context.refused = [], 0
    for _ in range(count):
        seen = list(context.candidates.values())
        chosen = placement.choose(seen, prompt, context.rng)
        if placement.exceeds_wait_limit(chosen, prompt, timeout_s):
            context.refused += 1
            continue
        context.waits.append(placement.wait_s(chosen, prompt))
        name = chosen.endpoint.name
        context.candidates[name] = chosen._replace(
            running=chosen.running + 1, backlog_tokens=chosen.backlog_tokens + 1800
        )


@then("some are refused and none that is placed is expected to wait over {most:g} s")
def check_refused(context, most):
    assert context.refused > 0 and context.waits
    assert max(context.waits) <= most, max(context.waits)


@when(
    "{count:d} plain calls with a timeout of {timeout_s:g} s come to an entry"
    " that has just started"
)
def place_at_new_entry(context, count, timeout_s):
    busy = [
        candidate._replace(running=10.0, endpoint=candidate.endpoint._replace(slots=6))
        for candidate in context.candidates.values()
    ]
    context.refused = 0
    for _ in range(count):
        chosen = placement.choose(busy, None, context.rng)
        context.refused += placement.exceeds_wait_limit(chosen, None, timeout_s)


@then("none is refused")
def check_none_refused(context):
    assert context.refused == 0


@when(
    "the endpoint that has cached {held:d} tokens of a prompt has {backlog:d} others"
    " to prefill"
)
def load_holder(context, held, backlog):
    context.prompt = calls.Prompt(12_000, 100, (("part", held), ("own", 12_000 - held)))
    (holder,) = placement.preferred_endpoints(context.prompt, list(context.candidates))[
        :1
    ]
    context.holder = holder
    context.candidates[holder] = context.candidates[holder]._replace(
        cached_tokens=held, backlog_tokens=backlog
    )


@then("the prompt {goes}")
def check_goes(context, goes):
    seen = list(context.candidates.values())
    found = {
        placement.choose(seen, context.prompt, context.rng).endpoint.name
        for _ in range(20)
    }
    stays = found == {context.holder}
    assert stays if goes == "stays" else context.holder not in found, found
