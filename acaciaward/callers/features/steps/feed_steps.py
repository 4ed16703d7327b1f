"""Steps for the feed between dispatch and a caller's connection."""

import asyncio
import contextlib

import blacksheep
from behave import given, then, when

from acaciaward import httpclient, httpserver
from acaciaward.callers import feed
from acaciaward.dispatch import streams
from standins import ports

ADDRESS = "127.0.0.1"
BUFFER_EVENTS = 8
EVENT_BYTES = 65536
MIB = 1024 * 1024
IDLE_ROUNDS = 20
ROUND_S = 0.05


class _Source:
    """Yields numbered events and counts how many were read."""

    def __init__(self, count):
        self.count = count
        self.read_count = 0

    async def events(self):
        for number in range(self.count):
            self.read_count += 1
            await asyncio.sleep(0)
            yield number

    def encode(self, number):
        return f"{number:08d}".encode().ljust(EVENT_BYTES, b".")


@given("a stream of {count:d} events of 64 KiB behind a real server")
def start_server(context, count):
    context.sources = {"/slow": _Source(count), "/quick": _Source(count)}
    application = httpserver.make_application()
    for path, source in context.sources.items():
        _add_stream(application, path, source)
    context.port = ports.find_free_port()
    context.server = httpserver.HttpServer(application, ADDRESS, context.port)
    context.runner.run(context.server.start())


def _add_stream(application, path, source):
    async def handler(request: blacksheep.Request) -> blacksheep.Response:
        async def parts():
            stream_feed = feed.Feed(
                source.events(),
                source.encode,
                streams.StreamControl(),
                request.is_disconnected,
                max_events=BUFFER_EVENTS,
            )
            async with contextlib.aclosing(stream_feed.parts()) as encoded:
                async for part in encoded:
                    yield part
            await stream_feed.close()

        content = blacksheep.StreamedContent(b"text/plain", parts)
        return blacksheep.Response(200, content=content)

    httpserver.add_route(application, "GET", path, handler)


async def _read_all(port, path):
    client = httpclient.HttpClient()
    async with client.send("GET", ADDRESS, port, path) as response:
        body = await response.read()
    await client.close()
    return body


async def _wait_until_stalled(source):
    idle_rounds = 0
    while idle_rounds < IDLE_ROUNDS:
        before = source.read_count
        await asyncio.sleep(ROUND_S)
        idle_rounds = idle_rounds + 1 if source.read_count == before else 0


@when("its caller reads nothing until no more is read from the engine")
def read_nothing(context):
    async def work():
        client = httpclient.HttpClient()
        slow = context.sources["/slow"]
        async with client.send("GET", ADDRESS, context.port, "/slow") as response:
            await _wait_until_stalled(slow)
            context.read_bytes = slow.read_count * EVENT_BYTES
            context.quick = await _read_all(context.port, "/quick")
            context.slow = await response.read()
        await client.close()

    context.runner.run(work())


@then("at most {most:d} MiB were read, while another caller got its complete stream")
def check_bounded(context, most):
    source = context.sources["/quick"]
    assert context.read_bytes <= most * MIB, context.read_bytes
    assert len(context.quick) == source.count * EVENT_BYTES


@then("the caller that resumes reading gets every event once")
def check_slow(context):
    source = context.sources["/slow"]
    expected = b"".join(source.encode(number) for number in range(source.count))
    assert context.slow == expected
