"""Steps for endpoints that start again under their names; the clock is simulated."""

from behave import given, then, when

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import calls
from acaciaward.routing import health, occupancy, placement

PROMPT = calls.Prompt(1000, 10, (("own", 1000),))
OFF_S = 30.0


class Restarts:
    """An entry that knows one endpoint."""

    def __init__(self, slots, started_at):
        self.now = 200.0
        self.directory = endpoints.Directory(lambda: self.now, lambda: self.now)
        self.occupancy = occupancy.Occupancy(
            self.directory,
            data_centre="dc",
            clock=lambda: self.now,
            unix_time=lambda: self.now,
        )
        self.slots = slots
        self.works = []
        self.update(started_at)

    @property
    def endpoint(self):
        return self.directory.get("e-1")

    def update(self, started_at):
        self.directory.update(
            endpoints.Endpoint(
                "e-1",
                round(1000 * started_at),
                "s",
                "127.0.0.1",
                1,
                "dc",
                self.slots,
                endpoints.EndpointState.READY,
            )
        )

    def make_call(self):
        return calls.Call(b"POST", b"/a", "h", [], b"", self.now, prompt=PROMPT)

    def choose(self):
        # Called periodically.
        self.directory.remove_due()
        return self.occupancy.choose(routes.Service("s", 64), self.make_call())


@given("endpoint e-1 with {slots:d} slots, which started at {at:g} s")
def make_entry(context, slots, at):
    context.entry = Restarts(slots, at)


@when("e-1 says at 200 s that it {statement}")
def say(context, statement):
    entry = context.entry
    if statement == "leaves":
        entry.directory.record_leaving(entry.endpoint.incarnation, by_peer=False)
    else:
        entry.occupancy.backoffs.record(entry.endpoint, OFF_S)
    assert entry.choose() is None


@when("e-1 is listed as started at {at:g} s")
def restart(context, at):
    context.entry.now = max(context.entry.now, at)
    context.entry.update(at)


@when("e-1 loses its record and is listed as started at {at:g} s")
def restart_later(context, at):
    context.entry.directory.remove_now("e-1", "test")
    restart(context, at)


@then("e-1 gets work {after:g} s later")
def check_work(context, after):
    context.entry.now += after
    assert context.entry.choose() is not None


@then("e-1 gets no work {after:g} s later")
def check_no_work(context, after):
    # An endpoint is asked for all the time.
    for _ in range(10):
        context.entry.now += after / 10
        candidate = context.entry.choose()
        assert candidate is None, candidate


@when("other entries report {count:d} calls with {tokens:d} tokens at e-1")
def report(context, count, tokens):
    context.entry.occupancy.receive_load({"e-1": (float(count), float(tokens))})


@when(
    "{seconds:g} s pass, and other entries report {count:d} calls with {tokens:d} "
    "tokens at e-1"
)
def report_later(context, seconds, count, tokens):
    context.entry.now += seconds
    report(context, count, tokens)


@then("{count:d} calls with {tokens:d} tokens are counted at e-1")
def check_counted(context, count, tokens):
    candidate = context.entry.choose()
    assert candidate.running == count, candidate
    assert candidate.backlog_tokens == tokens, candidate
    assert context.entry.occupancy.service_load("s") == (count, tokens)


@given("{count:d} calls run at e-1")
@when("{count:d} calls run at e-1")
def run(context, count):
    entry = context.entry
    for _ in range(count):
        candidate = placement.Candidate(entry.endpoint)
        entry.works.append(entry.occupancy.start(candidate, entry.make_call()))


@then("this entry reports {count} calls at e-1")
def check_reported(context, count):
    found = context.entry.occupancy.load()
    expected = 0 if count == "no" else int(count)
    assert found.get("e-1", (0, 0)) == (expected, expected * 1000), found


@given("e-1 says that it is brittle")
@when("e-1 says that it is brittle")
def say_brittle(context):
    entry = context.entry
    entry.occupancy.brittle.announcements.record(entry.endpoint, 2.0, entry.now)
    entry.occupancy.brittle.update()


@when("its calls end as {outcome}")
def end(context, outcome):
    # Requests at a service take 0.9 s, so given up ones hold their places for long.
    context.entry.occupancy.service_s = lambda service: 5.0
    context.entry.now = 202.5
    for work in context.entry.works:
        work.end(health.Outcome(outcome))


@then("e-1 has {room}")
def check_room(context, room):
    assert (context.entry.choose() is not None) is (room == "room")
