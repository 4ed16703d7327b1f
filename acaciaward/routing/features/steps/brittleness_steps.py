"""Steps for the places of brittle endpoints, with a clock of their own."""

import collections
import logging
import random

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls
from acaciaward.routing import brittleness, health, occupancy, placement

RUN_S = 0.5
STEP_S = 0.02


class Entries:
    """Implements ``brittleness.Entries``."""

    def __init__(self, name, names, count=None):
        self.name = name
        self.names = frozenset(names)
        self._count = len(self.names) if count is None else count

    def count(self):
        return self._count


def make_endpoint(name="app-1", slots=8, service="app"):
    ready = endpoints.EndpointState.READY
    return endpoints.Endpoint(name, 1, service, "127.0.0.1", 1, "dc", slots, ready)


def make_names(count):
    return [f"e-{number}" for number in range(count)]


def make_brittle(context, known, endpoint, bears=2):
    brittle = brittleness.Brittleness(
        known,
        rng=random.Random(known.name),
        clock=lambda: context.now,
        unix_time=lambda: context.now,
    )
    brittle.follow(None, endpoint)
    brittle.announcements.record(endpoint, bears, context.now)
    brittle.update()
    return brittle


@then(
    "any {least:d} to {most:d} entries have no more places than an endpoint has, and"
    " none is unused"
)
def check_places(context, least, most):
    context.now = 1.0

    @hypothesis.settings(
        database=None, derandomize=True, max_examples=60, deadline=None
    )
    @hypothesis.given(strategies.integers(least, most), strategies.integers(1, 64))
    def check(count, slots):
        endpoint = make_endpoint(slots=slots)
        names = make_names(count)
        shares = [
            make_brittle(context, Entries(name, names), endpoint).places(endpoint)
            for name in names
        ]
        assert sum(shares) == slots, (count, slots, shares)
        assert max(shares) - min(shares) <= 1, (count, slots, shares)

    check()


@given("an endpoint with {slots:d} places that is brittle, and {count:d} entries")
@given("an endpoint with {slots:d} places that is brittle, and {count:d} entry")
def make_entries(context, slots, count):
    context.now = 1.0
    context.endpoint = make_endpoint(slots=slots)
    context.names = make_names(count)
    context.known = {name: Entries(name, context.names) for name in context.names}


def make_all(context, bears=2):
    return {
        name: make_brittle(context, known, context.endpoint, bears)
        for name, known in context.known.items()
    }


@when("one entry has just started and knows nobody")
def start_anew(context):
    name = context.names[0]
    context.known[name] = Entries(name, [name], 10)


@when("one entry is cut off and remembers the others")
def cut_off(context):
    """Both sides go by the names that they remember."""


@when("one entry has left, and the others remember it")
def leave(context):
    del context.known[context.names[0]]


@then("all entries together have {most:d} places at most")
def check_sum(context, most):
    shares = {
        name: brittle.places(context.endpoint)
        for name, brittle in make_all(context).items()
    }
    assert sum(shares.values()) <= most, shares


@when("a request that took {seconds:g} s is given up")
def give_up(context, seconds):
    (context.brittle,) = make_all(context).values()
    context.brittle.record_end(context.endpoint, health.Outcome.UNDECIDED, seconds)


@then("the entry has room for 1 request for {seconds:g} s, and for 2 afterwards")
def check_held(context, seconds):
    brittle, endpoint = context.brittle, context.endpoint
    context.now += seconds - 0.01
    assert brittle.has_room(endpoint, 0, 0.0) and not brittle.has_room(endpoint, 1, 0.0)
    context.now += 0.02
    assert brittle.has_room(endpoint, 1, 0.0) and not brittle.has_room(endpoint, 2, 0.0)


@then(
    "the entry has room while others report {few:d} requests, and none while they"
    " report {many:d}"
)
def check_others(context, few, many):
    (brittle,) = make_all(context).values()
    assert brittle.has_room(context.endpoint, 0, few)
    assert not brittle.has_room(context.endpoint, 0, many)


@given(
    "an endpoint that has {room:d} places of {slots:d}, bears {bears:d} rejections, and"
    " {count:d} entries"
)
def make_small(context, room, slots, bears, count):
    make_entries(context, slots, count)
    context.room, context.bears = room, bears


@when("they send what they may for {seconds:g} s")
def send(context, seconds):
    entries = make_all(context, context.bears)
    running = {name: [] for name in entries}
    context.rejected_at = []
    end = context.now + seconds
    while context.now < end:
        for name, brittle in entries.items():
            own = running[name] = [at for at in running[name] if at > context.now]
            while brittle.has_room(context.endpoint, len(own), 0.0):
                if sum(map(len, running.values())) < context.room:
                    own.append(context.now + RUN_S)
                    continue
                context.rejected_at.append(context.now)
                brittle.record_end(context.endpoint, health.Outcome.REFUSED, RUN_S)
        context.now += STEP_S


@then("no second has more rejections than it bears")
def check_rejections(context):
    counts = [
        sum(at <= other < at + 1.0 for other in context.rejected_at)
        for at in context.rejected_at
    ]
    assert counts and max(counts) <= context.bears, (max(counts), context.bears)


@when("another endpoint of its service starts")
def start_other(context):
    context.brittle = next(iter(make_all(context).values()))
    context.other = make_endpoint("app-2")
    context.brittle.follow(None, context.other)


@then("it counts as brittle, and one of another service doesn't")
def check_other(context):
    assert context.brittle.is_brittle(context.other)
    assert not context.brittle.is_brittle(make_endpoint("web-1", service="web"))


class _Log(logging.Handler):
    """Counts events."""

    def __init__(self):
        super().__init__()
        self.events = collections.Counter()

    def emit(self, record):
        self.events[record.getMessage()] += 1


@given(
    "a service whose brittle endpoint has {slots:d} places, and an entry with {count:d}"
    " calls there"
)
def make_busy(context, slots, count):
    context.now = 1.0
    context.log = _Log()
    logger = logging.getLogger("acaciaward.routing.brittleness")
    logger.setLevel(logging.INFO)
    logger.addHandler(context.log)
    context.add_cleanup(logger.removeHandler, context.log)
    context.directory = endpoints.Directory(
        lambda: context.now, unix_time=lambda: context.now
    )
    context.occupancy = occupancy.Occupancy(
        context.directory,
        data_centre="dc",
        clock=lambda: context.now,
        unix_time=lambda: context.now,
    )
    endpoint = make_endpoint(slots=slots)
    context.directory.update(endpoint)
    context.occupancy.brittle.announcements.record(endpoint, 2, context.now)
    context.occupancy.brittle.update()
    call = calls.Call(b"GET", b"/a", "h", [], b"", context.now)
    for _ in range(count):
        context.occupancy.start(placement.Candidate(endpoint), call)


@when("its record names no start for a moment")
def change_start(context):
    endpoint = context.directory.get("app-1")
    context.directory.update(endpoint._replace(born=0))
    context.occupancy.brittle.update()


@then("the entry has no room there")
def check_no_room(context):
    room = context.occupancy.room("app", None)
    assert room is not None and not room.is_free, room


@then("it was logged once that the endpoint is brittle")
def check_logged(context):
    assert context.log.events == {"endpoint is brittle": 1}, context.log.events
