"""Steps for a stream that is moved while its engine is silent, with fakes."""

import asyncio
import contextlib
import time
import types

from behave import given, then, when

from acaciaward import errors, requests, verdicts
from acaciaward.dispatch import streams
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import interfaces as evacuation_interfaces

LEAVING = types.SimpleNamespace(name="engine-1")
OTHER = types.SimpleNamespace(name="engine-2")
TOKENS = 8
SEEN = 5
SILENCE_S = 0.2
SETTLED_AFTER_S = 0.1
LEFT_S = 6.0


class FakeEngine:
    """Streams tokens; the engine that leaves falls silent."""

    async def generate(self, endpoint, order):
        """Yield the frames of a stream."""
        yield endpoints_interfaces.StreamStarted(f"s-{endpoint.name}")
        last = SEEN if endpoint is LEAVING else TOKENS
        for number in range(len(order.delivered), last):
            yield requests.TokenFrame(number, "a")
        if endpoint is LEAVING:
            await asyncio.sleep(LEFT_S)
        yield requests.Completion(TOKENS, "", "stop", 3)

    async def cancel(self, endpoint, stream_id):
        """Fail, as the engine can't be reached."""
        raise errors.EndpointError("gone", verdict=verdicts.Verdict.MAY_HAVE_RUN)


class FakeEvacuation:
    """Settles the move of a stream though its engine doesn't answer."""

    def add(self, running):
        """Begin to move a stream that runs at the engine that leaves."""
        if running.endpoint is LEAVING:
            self._settling = asyncio.create_task(self._settle(running))

    async def _settle(self, running):
        await asyncio.sleep(SETTLED_AFTER_S)
        running.move_future = asyncio.get_running_loop().create_future()
        running.move_future.set_result(evacuation_interfaces.Move())

    def remove(self, running):
        """Do nothing."""

    def is_leaving(self, name):
        """Return whether an engine leaves."""
        return name == LEAVING.name


class FakeRunner:
    """Chooses the engine that leaves first, and then the other one."""

    silence_s = SILENCE_S

    def __init__(self):
        self._deadline = time.monotonic() + LEFT_S
        self._chosen = iter((LEAVING, OTHER, OTHER))

    def time_left(self, request):
        """Return the seconds until the deadline."""
        return self._deadline - time.monotonic()

    def counted(self, endpoint, request):
        """Count nothing."""
        return contextlib.nullcontext()

    def choose(self, progress):
        """Return the endpoint of the next attempt."""
        return next(self._chosen)

    def choose_beside(self, progress, silent):
        """Return no endpoint."""

    def check_deadline(self, progress):
        """Raise if the time of the request is up."""
        if self.time_left(None) <= 0:
            raise errors.DeadlineExceededError(
                "the deadline has passed", verdict=verdicts.Verdict.MAY_HAVE_RUN
            )

    async def prepare(self, progress):
        """Do nothing."""

    async def after_failure(self, progress, endpoint, error):
        """Do nothing."""

    def record_failure(self, progress, endpoint, error):
        """Do nothing."""


class FakeAdmission:
    """Admits all."""

    async def admit(self, request):
        """Return a ticket."""
        return types.SimpleNamespace(priority=0)

    def release(self, ticket):
        """Do nothing."""

    def charge(self, ticket, **tokens):
        """Do nothing."""


@given("a stream whose engine leaves, and is silent from its fifth token on")
def make_stream(context):
    dependencies = types.SimpleNamespace(
        quarantine=types.SimpleNamespace(check=lambda request: None),
        admission=FakeAdmission(),
        engine=FakeEngine(),
        evacuation=FakeEvacuation(),
    )
    context.dispatcher = streams.StreamDispatcher(dependencies, FakeRunner())


@when("the move is settled without its engine")
def read_stream(context):
    request = types.SimpleNamespace(
        organisation="org",
        prompt_tokens=3,
        request_id="r",
        deadline=0.0,
        idempotent=True,
        max_tokens=TOKENS,
    )
    context.events = []

    async def read():
        began_at = time.monotonic()
        async for event in context.dispatcher.stream(request):
            context.events.append(event)
        context.took_s = time.monotonic() - began_at

    context.runner.run(read())


@then("the stream is complete at the other engine within {limit_s:g} s")
def check_moved(context, limit_s):
    frames = [one for one in context.events if isinstance(one, requests.TokenFrame)]
    assert [frame.index for frame in frames] == list(range(TOKENS)), frames
    opened = [one for one in context.events if isinstance(one, streams.StreamOpened)]
    assert opened[-1].endpoint == OTHER.name, opened
    assert context.took_s < limit_s, context.took_s
