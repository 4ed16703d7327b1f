"""Steps for urgent and patient requests: a model of a day, and single rules."""

import math
import random

from behave import given, then, when

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import calls
from acaciaward.routing import demand, occupancy, patientdemand, placement, urgency
from acaciaward.routing.features import urgencymodel, urgencytraffic

ENGINES = {
    "45 engines": [(0, 45)],
    "20 engines": [(0, 20)],
    "16 engines": [(0, 16)],
    "12 engines": [(0, 12)],
    "9 engines": [(0, 9)],
    "30 engines of which 18 are lost": [(0, 30), (4, 20), (7, 12), (9, 30)],
}
KINDS = {"long": urgencytraffic.LONG, "short": urgencytraffic.SHORT}
SEED = 11
NAMES = [f"e-{number}" for number in range(30)]
SERVICE = routes.Service("s", 8)


def make_route(name, target_s, rank, *, weight=1.0):
    return routes.Route(
        name,
        "host",
        f"/{name}",
        routes.RequestKind.STREAM,
        10.0,
        target_s,
        rank,
        (("s", weight),),
        1,
    )


@given("74 entries with long patient and short urgent requests, and {engines}")
def set_engines(context, engines):
    context.engine_counts = ENGINES[engines]


@when("{kind} requests double for 5 s, with and without a share for patient requests")
def run_model(context, kind):
    context.before, context.after = (
        urgencymodel.mean_result(
            engine_counts=context.engine_counts,
            is_divided=is_divided,
            burst_kind=KINDS[kind],
        )
        for is_divided in (False, True)
    )


@then("the share raises the worth by {gain:g} or more, to {worth:g} or more")
def check_worth(context, gain, worth):
    assert context.after.worth >= worth, (context.before, context.after)
    raised = context.after.worth - context.before.worth
    assert raised >= gain, (context.before, context.after)


@then("it raises the worth of the worst 2 s by {gain:g} or more")
def check_worst(context, gain):
    raised = context.after.worst_2s - context.before.worst_2s
    assert raised >= gain, (context.before, context.after)


@then("{short:g} of the short and {long:g} of the long requests are on time")
def check_on_time(context, short, long):
    on_time = context.after.on_time
    assert on_time["short"] >= short and on_time["long"] >= long, context.after


@then(
    "at most {more:g} more of the long streams are paused, and none of the short ones"
)
def check_paused(context, more):
    """Guards against patient streams that pause since their engines read too much."""
    before, after = context.before.paused, context.after.paused
    assert after["long"] <= before["long"] + more, (before, after)
    assert after["short"] <= before["short"], (before, after)


@then("no kind is starved, nor are the longest prompts")
def check_starved(context):
    served = context.after.served
    overall = sum(served.values()) / len(served)
    assert min(served.values()) >= overall / 4, context.after
    assert context.after.largest_tenth >= served["long"] / 2, context.after


@then("no request waits at an entry for more than half of its time")
def check_waits(context):
    limit_s = urgency.MAX_WAIT_SHARE * urgencytraffic.LONG.deadline_s
    # One look for room may come after the limit.
    limit_s += urgencymodel.POLL_S
    assert context.after.longest_wait_s <= limit_s, context.after


@given("a service with routes of objectives and ranks {texts}")
def make_routes(context, texts):
    context.engine = routes.Engine(48, 600_000)
    context.routes = [
        make_route(str(number), float(target), int(rank))
        for number, (target, rank) in enumerate(
            text.split("/") for text in texts.split()
        )
    ]


@given("a route of objective {target_s:g} that leads there with weight 0")
def add_route(context, target_s):
    context.routes.append(make_route("elsewhere", target_s, 0, weight=0.0))


@when("it has no engines")
def remove_engines(context):
    context.engine = None


@then("its patient routes are {names}")
def check_routes(context, names):
    expected = set() if names == "none" else set(names.split())
    services = {"s": SERVICE._replace(engine=context.engine)}
    catalogue = routes.Catalogue(1, tuple(context.routes), services)
    found = urgency.patient_routes(catalogue)
    assert found.get("s", set()) == expected, found
    index = routes.Index(catalogue)
    known = urgency.PatientRoutes()
    for route in context.routes:
        is_patient = route.name in expected if expected else None
        assert known.is_patient(index, "s", route.name) is is_patient, route
    assert known.is_patient(None, "s", "0") is None


@then("with routes that have prompts, its patient routes are {names}")
def check_prompts(context, names):
    context.routes = [route._replace(has_prompt=True) for route in context.routes]
    check_routes(context, names)


@then(
    "of {count:d} endpoints and a share of {share:g}, {kept:d} are for patient prompts"
)
def check_count(context, count, share, kept):
    names = [f"e-{number}" for number in range(count)]
    found = urgency.patient_endpoints(names, share)
    assert len(found) == kept, found


@then(
    "with one of 30 endpoints less, at most {count:d} other changes between the shares"
)
def check_stable(context, count):
    before = urgency.patient_endpoints(NAMES, 0.57)
    for removed in NAMES:
        left = [name for name in NAMES if name != removed]
        after = urgency.patient_endpoints(left, 0.57)
        assert len((before ^ after) - {removed}) <= count, removed


@then("with a higher share, patient requests keep all endpoints that they have")
def check_nested(context):
    before = frozenset()
    for percent in range(1, 101):
        after = urgency.patient_endpoints(NAMES, percent / 100)
        assert before <= after, percent
        before = after


class Directory:
    """Lists endpoints that are ready."""

    def __init__(self, known):
        self._known = known

    def subscribe(self, listener):
        """Ignore a listener: nothing changes."""

    def ready(self, service):
        """Return all endpoints."""
        return self._known

    def lapsed(self, service):
        """Return no endpoints."""
        return []

    def of_service(self, service):
        """Return all endpoints."""
        return self._known


def make_occupancy(loads):
    known = [
        endpoints.Endpoint(
            name, 1, "s", "127.0.0.1", 1, "dc", 48, endpoints.EndpointState.READY
        )
        for name in NAMES
    ]
    made = occupancy.Occupancy(
        Directory(known),
        data_centre="dc",
        rng=random.Random(SEED),
        clock=lambda: 10.0,
    )
    made.receive_load(loads)
    return made, known


@given("30 endpoints with random loads, known to an entry")
def make_loads(context):
    rng = random.Random(SEED)
    context.loads = {
        name: (rng.randrange(20), rng.randrange(0, 90_000, 1000)) for name in NAMES
    }
    context.occupancy, context.known = make_occupancy(context.loads)
    # Patient sums of another service mustn't matter, nor does the share of long ones.
    context.occupancy.pools.patients.receive({"other patient": (1.0, 1.0, 9e9)})
    context.occupancy.pools.receive_long_shares({"s": 0.2})


@then(
    "{count:d} calls of a service without patient routes go where placement alone sends"
    " them"
)
def check_unchanged(context, count):
    """Guards against a choice that changed where nothing is divided."""
    rng, sizes = random.Random(SEED), random.Random(3)
    reserved = placement.reserved_for_long(NAMES, 0.2)
    for number in range(count):
        own, part = sizes.randrange(100, 40_000), f"part-{sizes.randrange(9)}"
        parts = ((part, 5000), (f"own-{number}", own))
        prompt = calls.Prompt(own + 5000, 10, parts)
        call = calls.Call(b"POST", b"/", "host", [], b"", 0.0, prompt=prompt)
        is_long = placement.is_long(prompt, placement.DEFAULT_PREFILL_TOKENS_PER_S, 0.3)
        pool = [name for name in NAMES if (name in reserved) is is_long]
        preferred = placement.preferred_endpoints(prompt, pool)[:1]
        candidates = [
            placement.Candidate(
                endpoint,
                running=context.loads[endpoint.name][0],
                backlog_tokens=context.loads[endpoint.name][1],
                cached_tokens=5000 if endpoint.name in preferred else 0,
            )
            for endpoint in context.known
        ]
        expected = placement.choose(candidates, prompt, rng, pool=set(pool))
        chosen = context.occupancy.choose(SERVICE, call, max_gap_s=0.3)
        assert chosen.endpoint.name == expected.endpoint.name, number


@given("an entry that reports what patient requests bring")
def make_reporting(context):
    context.patients = patientdemand.PatientDemand(lambda: 1.0, random.Random(1))
    context.patients.record("s", 3000, is_patient=True)
    context.patients.record("s", 1000, is_patient=False)
    context.patients.add_waiting("s", 3000)
    context.report = {"s": (2.0, 1.0, 0.0), **context.patients.report()}


@then("its demand is read by builds that expect three figures of each service")
def check_old(context):
    read = {
        name: demand.ServiceDemand(*figures) for name, figures in context.report.items()
    }
    assert read["s"] == demand.ServiceDemand(2.0, 1.0, 0.0), read


@then("an entry that receives the sum has the share, and no demand of another service")
def check_new(context):
    receiving = patientdemand.PatientDemand(lambda: 1.0, random.Random(1))
    assert receiving.receive(context.report) == {"s": (2.0, 1.0, 0.0)}
    assert receiving.share("s") == 0.75
    assert receiving.waiting_tokens("s") == 3000
    # Its own part isn't counted twice by the one that reported it.
    context.patients.receive(context.report)
    assert context.patients.waiting_tokens("s") == 3000


@when("an entry receives the sums {texts}")
def receive_odd(context, texts):
    context.patients = patientdemand.PatientDemand(lambda: 1.0, random.Random(1))
    context.patients.receive({"s patient": tuple(map(float, texts.split()))})


@then("the share for patient requests is {share:g}")
def check_share(context, share):
    found = context.patients.share("s")
    assert math.isclose(found, share), found


@given("{count:d} entries in each of which one prompt of {tokens:d} tokens waits")
def make_waiting(context, count, tokens):
    context.tokens = tokens
    context.entries = []
    for number in range(count):
        patients = patientdemand.PatientDemand(lambda: 1.0, random.Random(number))
        patients.add_waiting("s", tokens)
        patients.record("s", tokens, is_patient=True)
        patients.report()
        context.entries.append(patients)
    context.sums = {"s patient": (1.0, 1.0, float(count * tokens))}
    for patients in context.entries:
        patients.receive(context.sums)


@when("each looks {times:d} times whether it may use a room of {tokens:d} tokens")
def look(context, times, tokens):
    context.room_tokens = tokens
    context.sent = [
        any(patients.may_send("s", context.tokens, tokens) for _ in range(times))
        for patients in context.entries
    ]


@then("{low:d} to {high:d} of them send their prompt")
def check_sent(context, low, high):
    """Guards against all entries rushing to the same room, and against idle room."""
    assert low <= sum(context.sent) <= high, sum(context.sent)


@then("after the next report, others may")
def check_next(context):
    for patients in context.entries:
        patients.receive(context.sums)
    sent = [
        patients.may_send("s", context.tokens, context.room_tokens)
        for patients in context.entries
    ]
    assert any(sent) and sent != context.sent, sum(sent)


@given("an entry that has received sums with a share of {share:g}")
def make_received(context, share):
    context.now = 1.0
    context.patients = patientdemand.PatientDemand(
        lambda: context.now, random.Random(1)
    )
    context.patients.receive({"s patient": (share, 1 - share, 0.0)})
    assert math.isclose(context.patients.share("s"), share)


@when("it hears nothing for {seconds:g} s")
def pass_time(context, seconds):
    context.now += seconds
