"""Steps for the metrics of calls to services of the platform."""

import asyncio
import contextlib
import types

import prometheus_client
from behave import given, then, when

from acaciaward import errors, httpclient
from acaciaward.platform import calls as platform_calls


class FakeClient:
    """HTTP client whose calls end with the status or error in ``next_outcome``."""

    def __init__(self):
        self.next_outcome = 200
        self.released = None

    @contextlib.asynccontextmanager
    async def send(self, *args, **options):
        if isinstance(self.next_outcome, Exception):
            raise self.next_outcome

        async def read():
            return b"{}"

        if self.released is not None:
            await self.released.wait()
        yield types.SimpleNamespace(
            status=self.next_outcome, read=read, retry_after_s=None, headers={}
        )


def call_once(context):
    with contextlib.suppress(errors.PlatformError):
        asyncio.run(context.service.exchange("GET", "/api/soundings?x=1", b""))


@given("a service of the platform that was called once")
def make_service(context):
    context.client = FakeClient()
    context.service = platform_calls.PlatformService(
        context.client, "127.0.0.1", 1, timeout_s=1.0, name="sounding"
    )
    call_once(context)
    context.line_count = prometheus_client.generate_latest().count(b"\n")


@when("calls of that kind are answered, refused, lost and not connected")
def call_all(context):
    for outcome in (
        200,
        404,
        503,
        500,
        httpclient.ConnectFailedError("closed"),
        httpclient.HttpError("broken"),
    ):
        context.client.next_outcome = outcome
        call_once(context)


@given("a service of the platform that keeps its first call waiting")
def make_waiting(context):
    context.client = FakeClient()
    context.service = platform_calls.PlatformService(
        context.client, "127.0.0.1", 1, timeout_s=1.0, name="waiting"
    )


@when("that call is answered")
def answer_waiting(context):
    async def wait():
        context.client.released = asyncio.Event()
        call = asyncio.ensure_future(
            context.service.exchange("GET", "/api/notices?wait_s=10", b"")
        )
        await asyncio.sleep(0)
        context.line_count = prometheus_client.generate_latest().count(b"\n")
        context.client.released.set()
        await call

    asyncio.run(wait())


@then("the metrics have as many lines as while it waited")
@then("the metrics have as many lines as after the first call")
def check_lines(context):
    found = prometheus_client.generate_latest().count(b"\n")
    assert found == context.line_count, (found, context.line_count)
