"""Steps for the tracking of work at endpoints; the clock is simulated."""

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls
from acaciaward.routing import health, occupancy, placement

STEP_S = 0.01


class TrackedEndpoint:
    """An occupancy tracker with one endpoint."""

    def __init__(self):
        self.now = 50.0
        directory = endpoints.Directory(lambda: self.now)
        self.endpoint = endpoints.Endpoint(
            "e-1", 1, "s", "127.0.0.1", 1, "dc", 64, endpoints.EndpointState.READY
        )
        directory.update(self.endpoint)
        self.occupancy = occupancy.Occupancy(
            directory, data_centre="dc", clock=lambda: self.now
        )

    def send(self, tokens):
        prompt = calls.Prompt(tokens, 10, (("own", tokens),))
        call = calls.Call(b"POST", b"/a", "h", [], b"", self.now, prompt=prompt)
        return self.occupancy.start(placement.Candidate(self.endpoint), call)

    def unresponsive_after(self, longest_s):
        """Return the seconds until the endpoint counts as unresponsive."""
        began = self.now
        while self.now - began < longest_s:
            if self.occupancy.is_unresponsive(self.endpoint):
                return self.now - began
            self.now += STEP_S
        return longest_s


@given("an endpoint that was sent a call with {tokens:d} tokens to prefill")
def make_tracked(context, tokens):
    context.tracked = TrackedEndpoint()
    context.work = context.tracked.send(tokens)


@when("other entries report {tokens:d} tokens to prefill there")
def report_load(context, tokens):
    context.tracked.occupancy.receive_load({"e-1": (1.0, float(tokens))})


@when("it sends something every {pause:g} s for {seconds:g} s")
def send_often(context, pause, seconds):
    tracked = context.tracked
    context.waits_s = []
    for _ in range(round(seconds / pause)):
        context.waits_s.append(tracked.unresponsive_after(pause))
        tracked.occupancy.record_data(tracked.endpoint)


@then("it was never considered failed")
def check_alive(context):
    assert min(context.waits_s) >= 0.3 - STEP_S, context.waits_s


@then("it is considered failed after {most:g} s, but not after {least:g} s")
def check_unresponsive(context, most, least):
    found = context.tracked.unresponsive_after(most + 1)
    assert least < found <= most, found


@given("an endpoint that failed two calls in a row")
def make_failed(context):
    context.tracked = TrackedEndpoint()
    for _ in range(2):
        context.tracked.send(10).end(health.Outcome.FAILED)


@given("an endpoint that wasn't reached")
def make_unreached(context):
    context.tracked = TrackedEndpoint()
    context.tracked.send(10).end(health.Outcome.UNREACHED)


@when("a call there ends as {outcome}")
def end_call(context, outcome):
    context.tracked.send(10).end(health.Outcome(outcome))


@when("{seconds:g} s pass there, and the call ends as {outcome}")
def end_call_later(context, seconds, outcome):
    context.tracked.now += seconds
    context.work.end(health.Outcome(outcome))


@then("the endpoint {state}")
def check_state(context, state):
    tracked = context.tracked
    record = tracked.occupancy._health_of(tracked.endpoint)
    is_paused = record.is_paused(tracked.now)
    found = {
        "is paused": is_paused,
        "is not paused": not is_paused,
        "counts as reached": not record.is_unreachable,
        "counts as unreached": record.is_unreachable,
    }
    assert found[state], record


@then("the service takes {seconds:g} s")
def check_service_time(context, seconds):
    found = context.tracked.occupancy.service_s("s")
    assert found == seconds, found
