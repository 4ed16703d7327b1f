"""Steps for the queue of patient calls, without a network."""

import asyncio
import logging
import random
import time
import types

from behave import given, then, when

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import (
    callprogress,
    calls,
    endpointchoice,
    prefillqueue,
    refusals,
)
from acaciaward.routing import occupancy

SERVICE = routes.Service("chat", 8, engine=routes.Engine(48, 600_000))
TARGET_S = 2.5
TIMEOUT_S = 15.0
TOKENS = 6000
# Assumed by an entry that has measured nothing.
READ_PER_S = 60_000
AT_ONCE_S = 0.03
# Several looks for room.
SETTLE_S = 0.1


def make_route(name, target_s, rank):
    return routes.Route(
        name,
        "host",
        f"/{name}",
        routes.RequestKind.STREAM,
        TIMEOUT_S,
        target_s,
        rank,
        (("chat", 1.0),),
        1,
        max_gap_s=0.3,
    )


URGENT = make_route("urgent", 0.5, 0)
PATIENT = make_route("patient", TARGET_S, 2)


class Directory:
    """Lists endpoints that are ready."""

    def __init__(self, known):
        self.known = known

    def subscribe(self, listener):
        """Ignore a listener: nothing changes."""

    def ready(self, service):
        """Return all endpoints."""
        return self.known

    def lapsed(self, service):
        """Return no endpoints."""
        return []

    def of_service(self, service):
        """Return all endpoints."""
        return self.known


class LineCounter(logging.Handler):
    """Counts lines."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def emit(self, record):
        """Count a line."""
        self.count += 1


def make_progress(*, came_s=0.0, route=PATIENT, left_s=TIMEOUT_S, **changed):
    own = ("own", TOKENS)
    fields = {"prompt": calls.Prompt(TOKENS, 10, (own,)), **changed}
    received_at = time.monotonic() - came_s
    call = calls.Call(b"POST", b"/", "host", [], b"", received_at, **fields)
    return callprogress.Progress(call, route, received_at + came_s + left_s)


def use_routes(context, *used):
    context.index = routes.Index(routes.Catalogue(1, used, {"chat": SERVICE}))


def load_engines(context, tokens):
    names = [endpoint.name for endpoint in context.directory.known]
    context.occupancy.receive_load(dict.fromkeys(names, (0, tokens)))


async def wait(context, progress):
    """Return how a call's wait ends and how long it took, in order of the ends."""
    began_at = time.monotonic()
    responder = types.SimpleNamespace(has_begun=False)
    result = "gone on"
    try:
        await context.queue.wait(SERVICE, progress, responder)
    except callprogress.RefusedError as error:
        context.refusals.append(error)
        result = "refused"
    context.ended.append(progress)
    return result, time.monotonic() - began_at


@given("8 engines of a service with an urgent and a patient route")
def make_queue(context):
    known = [
        endpoints.Endpoint(
            f"e-{number}",
            1,
            "chat",
            "127.0.0.1",
            1,
            "dc",
            48,
            endpoints.EndpointState.READY,
        )
        for number in range(8)
    ]
    context.directory = Directory(known)
    context.occupancy = occupancy.Occupancy(
        context.directory, data_centre="dc", rng=random.Random(4)
    )
    patients = context.occupancy.pools.patients
    patients.receive({"chat patient": (1.0, 1.0, 0.0)})
    use_routes(context, URGENT, PATIENT)
    context.is_closed = False
    context.refusals, context.ended = [], []
    peers = types.SimpleNamespace(
        is_unreached=lambda *known: False, is_any_usable=lambda *known: False
    )
    dependencies = types.SimpleNamespace(
        occupancy=context.occupancy, index=lambda: context.index, peers=peers
    )
    refuser = refusals.Refusals(random.Random(1))
    context.queue = prefillqueue.PrefillQueue(
        dependencies, refuser, is_closed=lambda: context.is_closed
    )
    context.choice = endpointchoice.EndpointChoice(dependencies, refuser, context.queue)


@given("the service has routes of similar objectives only")
@when("a configuration comes with routes of similar objectives only")
def make_similar(context):
    use_routes(context, URGENT._replace(target_s=TARGET_S), PATIENT)


@when("engines have {tokens:d} tokens each to read")
def set_load(context, tokens):
    load_engines(context, tokens)


KINDS = {
    "a patient call": {},
    "an urgent call": {"route": URGENT},
    "a patient call that may have run": {},
    "a resumed patient call": {"last_event_id": 3},
    "a patient call without prompt": {"prompt": None},
    "an urgent call that may have run": {"route": URGENT},
    "a resumed urgent call": {"route": URGENT, "last_event_id": 3},
}


@then("{kind} goes on at once")
def check_at_once(context, kind):
    progress = make_progress(**KINDS[kind])
    if "may have run" in kind:
        progress.record_written()
    result, took_s = context.runner.run(wait(context, progress))
    assert result == "gone on" and took_s < AT_ONCE_S, (result, took_s)
    assert context.occupancy.pools.patients.waiting_tokens("chat") == 0


@when("a patient call waits")
def wait_one(context):
    start_waiting(context, [0.0])


@when("patient calls wait that came {texts} s ago")
def wait_several(context, texts):
    start_waiting(context, to_times(texts))


def to_times(texts):
    return [float(text) for text in texts.replace(" and ", ", ").split(", ")]


def start_waiting(context, came_s, *, version=None):
    async def begin():
        context.came_s = came_s
        context.waiting = [make_progress(came_s=age_s) for age_s in came_s]
        for progress in context.waiting:
            progress.version_choice = version
        context.tasks = [
            asyncio.create_task(wait(context, progress)) for progress in context.waiting
        ]
        await asyncio.sleep(SETTLE_S)
        assert not context.ended, context.ended

    context.runner.run(begin())


def finish(context, limit_s):
    async def end():
        async with asyncio.timeout(limit_s):
            return await asyncio.gather(*context.tasks)

    return context.runner.run(end())


@then("the call goes on within {limit_s:g} s")
@then("the others go on within {limit_s:g} s")
def check_gone_on(context, limit_s):
    results = finish(context, limit_s)
    assert {result for result, _ in results} == {"gone on"}, results


@then("nothing is counted as waiting")
def check_none_waiting(context):
    assert context.occupancy.pools.patients.waiting_tokens("chat") == 0


@then("they go on in the order {texts}")
def check_order(context, texts):
    finish(context, 2.0)
    order = [context.came_s[context.waiting.index(ended)] for ended in context.ended]
    assert order == to_times(texts), order


@when("the caller of the first one leaves")
def leave(context):
    async def cancel():
        task = context.tasks.pop(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.runner.run(cancel())


@then("only the tokens of the other are counted as waiting")
def check_left(context):
    assert context.occupancy.pools.patients.waiting_tokens("chat") == TOKENS


@then(
    "{count:d} patient calls are refused at once, with retry delays spread over"
    " {spread_s:g} s or more"
)
def check_refused(context, count, spread_s):
    counter = LineCounter()
    prefillqueue.log.addHandler(counter)
    prefillqueue.log.setLevel(logging.INFO)

    async def send():
        return await asyncio.gather(
            *(wait(context, make_progress()) for _ in range(count))
        )

    results = context.runner.run(send())
    prefillqueue.log.removeHandler(counter)
    context.line_count = counter.count
    assert {result for result, _ in results} == {"refused"}, results
    assert max(took_s for _, took_s in results) < 10 * AT_ONCE_S, results
    delays = sorted(error.retry_after_s for error in context.refusals)
    assert delays[-1] - delays[0] >= spread_s, delays
    assert all(error.status == 503 for error in context.refusals)


@then("callers that come back then have more than two thirds of their time left")
def check_delays(context):
    """Guards against retry delays that callers don't honour."""
    longest_s = max(error.retry_after_s for error in context.refusals)
    assert 0 < longest_s < TIMEOUT_S / 3, longest_s


@then("at most {count:d} line is logged about them")
def check_lines(context, count):
    assert context.line_count <= count, context.line_count


@then(
    "a patient call with {left_s:g} s left and an objective of {target_s:g} s goes on"
    " after {low_s:g} to {high_s:g} s"
)
def check_due(context, left_s, target_s, low_s, high_s):
    route = PATIENT._replace(target_s=target_s)
    use_routes(context, URGENT._replace(target_s=target_s / 5), route)
    progress = make_progress(route=route, left_s=left_s)
    # The expected wait is within the limit, but each engine has more than its share.
    load_engines(context, int(left_s / 2 * 0.7 * READ_PER_S))
    result, took_s = context.runner.run(wait(context, progress))
    assert result == "gone on" and low_s <= took_s <= high_s, (result, took_s)


@when("the entry closes")
def close(context):
    context.is_closed = True


@then(
    "the call is refused within {limit_s:g} s, and may be sent elsewhere after"
    " {delay_s:g} s"
)
def check_closed(context, limit_s, delay_s):
    results = finish(context, limit_s)
    assert [result for result, _ in results] == ["refused"], results
    assert context.refusals[0].retry_after_s == delay_s, context.refusals


@when("{count:d} of the engines are left")
def keep(context, count):
    context.directory.known = context.directory.known[:count]


@when("prompts of {tokens:d} tokens wait at other entries")
def wait_elsewhere(context, tokens):
    context.occupancy.pools.patients.receive({"chat patient": (1.0, 1.0, tokens)})


@when("the other entries' prompts are sent")
def send_elsewhere(context):
    wait_elsewhere(context, 0.0)


@when("a patient call waits that may go to one version only")
def wait_at_version(context):
    start_waiting(context, [0.0], version="")


@when("all endpoints are lost")
def lose(context):
    context.directory.known = []


@then("the choice for {kind} is: {result}")
def check_choice(context, kind, result):
    progress = make_progress(**KINDS[kind])
    if "may have run" in kind:
        progress.record_written()
    try:
        found = "sent" if context.choice.choose(SERVICE, progress) else "none"
    except callprogress.RefusedError as error:
        found = "refused"
        assert error.status == 503 and error.retry_after_s > 0, error
    assert found == result, found
