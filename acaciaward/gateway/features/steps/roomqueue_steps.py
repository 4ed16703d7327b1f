"""Steps for the queue of calls before brittle endpoints, without a network."""

import asyncio
import random
import time
import types
import typing

from behave import given, then, when

from acaciaward.gateway import callprogress, refusals, roomqueue
from acaciaward.routing import brittleness

ROOMY = ("app-1", 1)
SERVICE = types.SimpleNamespace(name="app")
RESPONDER = types.SimpleNamespace(has_begun=False)
LEFT_S = 2.0
AT_ONCE_S = 0.1


class FakeOccupancy:
    """Knows two brittle endpoints, of which only ``ROOMY`` has room."""

    def room(self, service, version, excluded=()):
        """Return the room at the endpoints that aren't excluded."""
        is_free = ROOMY not in excluded
        return brittleness.Room(is_free, 2 + 2 * is_free, frozenset({"edge-1"}))

    def service_s(self, service):
        """Return how long a call takes."""
        return 0.05


class FakeProgress:
    """A call that has 2 s left, and has tried some endpoints."""

    endpoint_version = None

    def __init__(self, tried, *, may_have_run):
        self.tried = tried
        self.may_have_run = may_have_run
        now = time.monotonic()
        self.call = types.SimpleNamespace(received_at=now)
        self._end = now + LEFT_S

    @property
    def left_s(self):
        """How long the call has left, in seconds."""
        return self._end - time.monotonic()


class Outcome(typing.NamedTuple):
    """Whether a call is sent, and how long it waited."""

    is_sent: bool
    took_s: float


async def wait(context, tried, *, may_have_run=False):
    progress = FakeProgress(tried, may_have_run=may_have_run)
    began_at = time.monotonic()
    try:
        await context.rooms.wait(SERVICE, progress, RESPONDER)
    except callprogress.RefusedError:
        return Outcome(False, time.monotonic() - began_at)
    return Outcome(True, time.monotonic() - began_at)


@given("a brittle endpoint with room, and one that turned a request away")
def make_queue(context):
    dependencies = types.SimpleNamespace(occupancy=FakeOccupancy())
    refuser = refusals.Refusals(random.Random(1))
    context.rooms = roomqueue.RoomQueue(dependencies, refuser)


@when("a call that may have run waits, after the first endpoint was tried")
def wait_long(context):
    async def begin():
        context.waiting = asyncio.create_task(wait(context, {ROOMY}, may_have_run=True))
        await asyncio.sleep(0.05)

    context.runner.run(begin())


@when("{count:d} more calls come")
def come(context, count):
    async def send():
        context.outcomes = [await wait(context, set()) for _ in range(count)]
        context.waiting.cancel()

    context.runner.run(send())


@when("{count:d} calls come after the first endpoint was tried")
def come_again(context, count):
    async def send():
        context.outcomes = await asyncio.gather(
            *(wait(context, {ROOMY}) for _ in range(count))
        )

    context.runner.run(send())


@then("each of them is sent at once")
def check_sent(context):
    for outcome in context.outcomes:
        assert outcome.is_sent and outcome.took_s < AT_ONCE_S, context.outcomes


@then("each of them is refused within {limit_s:g} s")
def check_refused(context, limit_s):
    for outcome in context.outcomes:
        assert not outcome.is_sent and outcome.took_s < limit_s, context.outcomes
