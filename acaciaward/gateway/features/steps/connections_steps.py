"""Steps for connections to an endpoint that takes no bytes, or not for a while."""

import asyncio
import pathlib
import re
import time

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls, errors, upstreams
from acaciaward.platform import headers

ROOT = pathlib.Path(__file__).resolve().parents[4]
NOTE = ROOT / "docs/design/connections.md"
OPTIONS = re.compile(
    r"TCP_USER_TIMEOUT|SO_KEEPALIVE|TCP_KEEP\w+|HEARTBEAT_IVL|TCP_KEEPALIVE\w*"
)
SIZES = {"kB": 1_000, "MB": 1_000_000}
ANSWER = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Signature: s\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class Endpoint:
    """Accepts connections, and reads nothing for a while."""

    def __init__(self, silent_s):
        self._silent_s = silent_s
        self._tasks = set()
        self.pool = upstreams.UpstreamPool()
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.endpoint = endpoints.Endpoint(
            "s-1",
            1,
            "service",
            "127.0.0.1",
            port,
            "dc",
            8,
            endpoints.EndpointState.READY,
        )

    async def stop(self):
        self.pool.close()
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._tasks.add(asyncio.current_task())
        writer.transport.pause_reading()
        try:
            await asyncio.sleep(self._silent_s)
            writer.transport.resume_reading()
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # asyncio logs a server's task that ends as cancelled as an error.
            pass
        finally:
            writer.close()

    async def send(self, size):
        call = calls.Call(
            b"POST", b"/", "x", [], b"x" * size, time.monotonic(), attempt_id="a1"
        )
        lines = [(b"Host", b"x"), (b"Content-Length", b"%d" % size)]
        upstream = await self.pool.acquire(self.endpoint)
        try:
            reply = await upstream.exchange(call, lines, headers.decode_reply)
            await reply.read(10)
        except errors.ForwardingError:
            upstream.close()
            raise
        self.pool.release(upstream, reply.head)


@given("an endpoint that reads nothing")
def start_silent(context):
    start(context, 30.0)


@given("an endpoint that reads nothing for {seconds:g} s, and answers")
def start(context, seconds):
    context.front = Endpoint(seconds)
    context.runner.run(context.front.start())


@when("a call of {size:d} {unit} is sent there")
def send(context, size, unit):
    began = time.monotonic()
    context.error = None
    try:
        context.runner.run(context.front.send(size * SIZES[unit]))
    except errors.ConnectionLostError as error:
        context.error = error
    context.took_s = time.monotonic() - began


@when("{seconds:g} s pass on its connection")
def wait(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@then("its connection is lost after {least_s:g} to {most_s:g} s")
def check_lost(context, least_s, most_s):
    assert context.error is not None
    assert least_s <= context.took_s <= most_s, context.took_s


@then("it is answered")
def check_answered(context):
    assert context.error is None, context.error


@then("another call gets a new connection")
def check_new(context):
    context.runner.run(context.front.send(1))
    assert context.front.connections == 2, context.front.connections


@then("the modules that set such options are those of docs/design/connections.md")
def check_note(context):
    note = NOTE.read_text()
    for path in (ROOT / "acaciaward").rglob("*.py"):
        if "features" in path.parts:
            continue
        for option in OPTIONS.findall(path.read_text()):
            name = str(path.relative_to(ROOT / "acaciaward"))
            assert name in note and option in note, (name, option)
