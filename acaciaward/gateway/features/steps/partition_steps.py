"""Steps for the stand-in that cuts entries off from endpoints."""

import asyncio
import contextlib
import contextvars
import types

from behave import given, then, when

from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import partition

ENTRY = types.SimpleNamespace(name="e-1")
TIMEOUT_S = 2.0


class Cut:
    """An endpoint, another listener, and an entry's connection to the endpoint."""

    def __init__(self):
        self.received = b""
        self._servers = []

    async def start(self):
        for _ in range(2):
            self._servers.append(await asyncio.start_server(self._echo, "127.0.0.1", 0))
        self.port, self.other_port = (
            server.sockets[0].getsockname()[1] for server in self._servers
        )
        self.partition = partition.Partition(lambda port: port == self.port)
        self.partition.install()
        self.reader, self.writer = await self.connect()

    async def stop(self):
        self.writer.transport.abort()
        for server in self._servers:
            server.close()

    async def _echo(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(100):
                self.received += data
                writer.write(data)
        writer.close()

    async def connect(self, entry=ENTRY.name, port=None):
        """Connect as an entry, with a short timeout."""
        context = contextvars.copy_context()
        context.run(delivery.entry_name.set, entry)
        connecting = asyncio.open_connection("127.0.0.1", port or self.port)
        return await asyncio.wait_for(
            asyncio.create_task(connecting, context=context), 0.2
        )


@given("an endpoint that echoes, and an entry connected to it")
def start_cut(context):
    context.front = Cut()
    context.runner.run(context.front.start())


@when('the cut "{mode}" begins')
def begin_cut(context, mode):
    async def run():
        context.front.partition.cut([ENTRY], mode)

    context.runner.run(run())


@when("the cut ends")
def end_cut(context):
    async def run():
        context.front.partition.heal()

    context.runner.run(run())


@when('the entry sends "{text}"')
def send(context, text):
    async def run():
        context.front.writer.write(text.encode())
        await asyncio.sleep(0)

    context.runner.run(run())


@when("the entry resets the connection")
def reset(context):
    async def run():
        context.front.writer.transport.abort()
        await asyncio.sleep(0)

    context.runner.run(run())


def receive(context, timeout_s):
    async def run():
        return await asyncio.wait_for(context.front.reader.read(100), timeout_s)

    return context.runner.run(run())


def connect_error(context, **where):
    """Return the error of a new connection, None if it is made."""

    async def run():
        try:
            _, writer = await context.front.connect(**where)
        except OSError as error:
            return error
        writer.transport.abort()
        return None

    return context.runner.run(run())


@then("the entry receives nothing in {timeout_s:g} s")
def check_silence(context, timeout_s):
    try:
        data = receive(context, timeout_s)
    except TimeoutError:
        return
    raise AssertionError(data)


@then('the entry receives "{text}"')
def check_received(context, text):
    data = receive(context, TIMEOUT_S)
    assert data == text.encode(), data


@then("the endpoint has received nothing in {timeout_s:g} s")
def check_lost(context, timeout_s):
    context.runner.run(asyncio.sleep(timeout_s))
    assert context.front.received == b"", context.front.received


@then("the entry's connection is reset")
def check_reset(context):
    try:
        data = receive(context, TIMEOUT_S)
    except ConnectionResetError:
        return
    raise AssertionError(data)


@then("a new connection isn't made in 0.2 s")
def check_hanging(context):
    error = connect_error(context)
    assert isinstance(error, TimeoutError), error


@then("a new connection is refused")
def check_refused_connection(context):
    error = connect_error(context)
    assert isinstance(error, ConnectionRefusedError), error


@then("a new connection is made")
def check_made(context):
    error = connect_error(context)
    assert error is None, error


@then("a new connection of the entry to another port is made")
def check_other_port(context):
    error = connect_error(context, port=context.front.other_port)
    assert error is None, error


@then("a new connection of another entry is made")
def check_other_entry(context):
    error = connect_error(context, entry="e-2")
    assert error is None, error
