"""Steps for the HTTP client, against raw TCP servers."""

import asyncio
import contextlib

from behave import given, then, when

from acaciaward import httpclient

ADDRESS = "127.0.0.1"
TIMEOUT_S = 0.3
WAIT_S = 10.0
CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
ANSWERS = {
    "nothing and closes": b"",
    "half a body of known length": HEAD + b"content-length: 10\r\n\r\nhalf",
    "a chunk without its end": HEAD
    + b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    "no HTTP at all": b"what do you want?\r\n\r\n",
}
COMPLETE_ANSWER = HEAD + b"content-length: 2\r\n\r\nok"


class RawServer:
    """Counts requests and answers each with the given function."""

    def __init__(self, answer):
        self._answer = answer
        self.requests = 0
        self.sent = 0
        self.closed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        request_number = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                request_number += 1
                if not await self._answer(self, writer, request_number):
                    break
        writer.transport.abort()
        self.closed.set()


async def start(context, answer):
    context.server = RawServer(answer)
    await context.server.start()
    context.port = context.server.port
    context.client = httpclient.HttpClient()


async def send(context):
    async with context.client.send(
        "GET", ADDRESS, context.port, "/", timeout_s=TIMEOUT_S
    ) as response:
        return await response.read()


async def send_and_record_error(context):
    context.error = None
    try:
        await send(context)
    except httpclient.HttpError as error:
        context.error = type(error).__name__


@given("a port that no server listens on")
def no_server(context):
    async def prepare():
        await start(context, None)
        context.server.server.close()
        await context.server.server.wait_closed()

    context.runner.run(prepare())


@given("a server that answers with {answer}")
def broken_server(context, answer):
    async def respond(server, writer, request_number):
        if answer == "silence":
            await asyncio.sleep(WAIT_S)
        writer.write(ANSWERS[answer])
        await writer.drain()
        writer.write_eof()
        await asyncio.sleep(TIMEOUT_S / 3)
        return False

    context.runner.run(start(context, respond))


@given("a server that closes a reused connection after reading the request")
def closing_server(context):
    async def respond(server, writer, request_number):
        if request_number == 1:
            writer.write(COMPLETE_ANSWER)
        return request_number == 1

    context.runner.run(start(context, respond))


@given("a server that answers without end")
def endless_server(context):
    async def respond(server, writer, request_number):
        writer.write(HEAD + b"transfer-encoding: chunked\r\n\r\n")
        while True:
            writer.write(CHUNK)
            await writer.drain()
            server.sent += len(CHUNK)
            await asyncio.sleep(0)

    context.runner.run(start(context, respond))


@when("a request is sent")
def send_one(context):
    context.runner.run(send_and_record_error(context))


@when("two requests are sent one after the other")
def send_two(context):
    async def both():
        assert await send(context) == b"ok"
        await send_and_record_error(context)

    context.runner.run(both())


@when("the response is closed after its first chunk")
def leave_early(context):
    async def leave():
        async with context.client.send("GET", ADDRESS, context.port, "/") as response:
            async with contextlib.aclosing(response.chunks()) as chunks:
                await anext(chunks)
                return

    context.runner.run(leave())


@when("the response is not read for a while")
def do_not_read(context):
    async def wait():
        async with context.client.send("GET", ADDRESS, context.port, "/"):
            sent_before = -1
            while sent_before != context.server.sent:
                sent_before = context.server.sent
                await asyncio.sleep(TIMEOUT_S)

    context.runner.run(wait())


@then('it fails as "{name}" and {count} request arrived')
@then('the second fails as "{name}" and {count} requests arrived')
def check_failure(context, name, count):
    assert context.error == name, context.error
    arrived = 0 if count == "no" else int(count)
    assert context.server.requests == arrived, context.server.requests


@then("the server sees the connection closed")
def check_closed(context):
    async def wait():
        async with asyncio.timeout(WAIT_S):
            await context.server.closed.wait()

    context.runner.run(wait())


@then("the server could send less than {limit:d} bytes")
def check_backpressure(context, limit):
    assert 0 < context.server.sent < limit, context.server.sent


@given("a server that goes silent on connections that were idle")
def start_silent_when_reused(context):
    async def answer(server, writer, request_number):
        if request_number == 1:
            writer.write(COMPLETE_ANSWER)
            await writer.drain()
        return True

    context.runner.run(start(context, answer))


@when(
    "two requests are sent {pause_s:g} s apart by a client that trusts idle ones"
    " for {idle_s:g} s"
)
def send_apart(context, pause_s, idle_s):
    async def send_both():
        context.client = httpclient.HttpClient(max_idle_s=idle_s)
        await send(context)
        await asyncio.sleep(pause_s)
        await send(context)

    context.runner.run(send_both())


@then("both are answered")
def check_both(context):
    assert context.server.requests == 2, context.server.requests
