"""Steps for endpoints that are left as they are silent; the clock is simulated."""

import random

from behave import given, then, when

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import calls
from acaciaward.routing import health, occupancy, placement

SERVICE = routes.Service("s", 64)
ANSWER_S = 0.05
LONGEST_PAUSE_S = 4.0


class SilentEndpoint:
    """An endpoint with calls, beside one that answers all that it gets."""

    def __init__(self, count):
        self.now = 50.0
        directory = endpoints.Directory(lambda: self.now)
        self.silent, self.other = (self._make(name) for name in ("e-1", "e-2"))
        directory.update(self.silent)
        directory.update(self.other)
        self.occupancy = occupancy.Occupancy(
            directory, data_centre="dc", rng=random.Random(1), clock=lambda: self.now
        )
        self.works = [
            self.occupancy.start(placement.Candidate(self.silent), self._call())
            for _ in range(count)
        ]
        self.left_at = self.now
        # When the endpoint got calls, and how many of them it had then.
        self.got: list[tuple[float, int]] = []

    @staticmethod
    def _make(name):
        return endpoints.Endpoint(
            name, 1, "s", "127.0.0.1", 1, "dc", 64, endpoints.EndpointState.READY
        )

    def _call(self):
        return calls.Call(b"POST", b"/a", "h", [], b"", self.now)

    @property
    def health(self):
        return self.occupancy._health_of(self.silent)

    @property
    def may_get_calls(self):
        return self.occupancy.has_alternative("s", {self.other.incarnation})

    def send(self):
        """Send a call to the endpoint that is chosen."""
        call = self._call()
        chosen = self.occupancy.choose(SERVICE, call)
        work = self.occupancy.start(chosen, call)
        if chosen.endpoint == self.other:
            self.occupancy.record_data(self.other)
            work.end(health.Outcome.SERVED)
            return
        self.works.append(work)
        self.got.append((self.now, len(self.works)))

    def leave_if_silent(self):
        """End the calls that another endpoint goes on with."""
        if not self.occupancy.is_unresponsive(self.silent):
            return
        for work in self.works:
            work.end(health.Outcome.SILENT)
        self.works.clear()

    def answer(self):
        """Answer the calls that the endpoint has had for long enough."""
        for work in list(self.works):
            if self.now - work.started_at >= ANSWER_S:
                self.occupancy.record_data(self.silent)
                work.end(health.Outcome.SERVED)
                self.works.remove(work)


@given("an endpoint with {count:d} calls that has sent nothing for {seconds:g} s")
def make_silent(context, count, seconds):
    context.silence = SilentEndpoint(count)
    context.silence.now += seconds


@when("{count:d} of its calls are left as it is silent, one each {seconds:g} s")
def leave_calls(context, count, seconds):
    silence = context.silence
    silence.left_at = silence.now
    for _ in range(count):
        silence.works.pop().end(health.Outcome.SILENT)
        silence.now += seconds


@when("the last of its calls gets data")
def send_data(context):
    context.silence.occupancy.record_data(context.silence.silent)


@when("{count:d} calls there end as {outcome}")
def end_calls(context, count, outcome):
    silence = context.silence
    for _ in range(count):
        candidate = placement.Candidate(silence.silent)
        work = silence.occupancy.start(candidate, silence._call())
        work.end(health.Outcome(outcome))


@when(
    "it stays silent while {rate:d} calls a second are sent for {seconds:g} s, to it or"
    " to another"
)
def stay_silent(context, rate, seconds):
    for _ in range(round(rate * seconds)):
        context.silence.leave_if_silent()
        context.silence.send()
        context.silence.now += 1 / rate


@when(
    "it goes on while {rate:d} calls a second are sent for {seconds:g} s, to it or to"
    " another"
)
def go_on(context, rate, seconds):
    for _ in range(round(rate * seconds)):
        context.silence.answer()
        context.silence.send()
        context.silence.now += 1 / rate


@then("it is paused for {seconds:g} s from the first of them on")
def check_pause(context, seconds):
    silence = context.silence
    assert silence.health.is_paused(silence.left_at + seconds - 0.01), silence.health
    assert not silence.health.is_paused(silence.left_at + seconds + 0.01), (
        silence.health
    )
    silence.now = silence.left_at + seconds + 0.01


@then("it looks as good as one that never failed")
@then("it looks as good as one that never failed from then on")
def check_sound(context):
    silence = context.silence
    assert silence.may_get_calls, silence.health
    assert not silence.health.failed_share, silence.health


@then("it counts as reached")
def check_reached(context):
    assert not context.silence.health.is_unreachable, context.silence.health


@then("it is still paused")
def check_paused(context):
    silence = context.silence
    assert silence.health.is_paused(silence.now), silence.health


@then("it got no two calls at once, and at most {most:d}")
def check_single(context, most):
    got = context.silence.got
    assert 2 <= len(got) <= most, got
    assert all(running == 1 for _, running in got), got


@then("the pauses between them grow to 4 s")
def check_growing(context):
    times = [at for at, _ in context.silence.got]
    pauses = [later - at for at, later in zip(times, times[1:], strict=False)]
    assert pauses[0] < 1.5, pauses
    # Silence is found, and calls are sent, in steps of 0.05 s.
    steps = [later - pause for pause, later in zip(pauses, pauses[1:], strict=False)]
    assert min(steps) > -0.1 and pauses[-1] >= LONGEST_PAUSE_S, pauses


@then("it got {least:d} calls or more")
def check_used(context, least):
    assert len(context.silence.got) >= least, context.silence.got
