"""Steps for the fault proxy, with peers at several loopback addresses."""

import asyncio

from behave import given, then, when

from standins import faultproxy

ANSWER_TIMEOUT_S = 0.4


class Peers:
    """An echo server behind a proxy, and an open connection of each peer."""

    def __init__(self):
        self.proxy: faultproxy.FaultProxy | None = None
        self.open_connections: dict[str, tuple] = {}
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self, addresses):
        self._server = await asyncio.start_server(self._echo, "127.0.0.1", 0)
        target = self._server.sockets[0].getsockname()
        self.proxy = faultproxy.FaultProxy(target)
        await self.proxy.start()
        for address in addresses:
            self.open_connections[address] = await self.connect(address)
            assert await exchange(self.open_connections[address]) == "carries data"

    async def _echo(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def connect(self, address):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.proxy.port, local_addr=(address, 0)
        )
        self._writers.append(writer)
        return reader, writer

    async def stop(self):
        for writer in self._writers:
            writer.close()
        await self.proxy.stop()
        self._server.close()


async def exchange(connection, data=b"echo"):
    """Say what becomes of data that is sent."""
    reader, writer = connection
    try:
        writer.write(data)
        received = await asyncio.wait_for(
            reader.readexactly(len(data)), ANSWER_TIMEOUT_S
        )
    except TimeoutError:
        return "hangs"
    except (asyncio.IncompleteReadError, ConnectionError):
        return "is reset"
    assert received == data, received
    return "carries data"


def check_new(context, address, expected):
    async def try_new():
        return await exchange(await context.cluster.connect(address))

    assert context.runner.run(try_new()) == expected


def check_open(context, address, expected):
    connection = context.cluster.open_connections[address]
    assert context.runner.run(exchange(connection)) == expected


@given(
    "an echo server behind a fault proxy, with connections from {first} and {second}"
)
def start_peers(context, first, second):
    # The environment stops what is called the cluster.
    context.cluster = Peers()
    context.runner.run(context.cluster.start((first, second)))


@when("{address} is cut off by {mode}")
def cut_off(context, address, mode):
    async def cut():
        context.cluster.proxy.peer_faults[address] = mode
        if mode == "reset":
            context.cluster.proxy.cut_connections(address)

    context.cut_address = address
    context.runner.run(cut())


@then("its open connection {expected}")
def check_own_open(context, expected):
    check_open(context, context.cut_address, expected)


@then("a new connection of {address} {expected}")
def check_own_new(context, address, expected):
    check_new(context, address, expected)


@then("open and new connections of {address} carry data")
def check_other(context, address):
    check_open(context, address, "carries data")
    check_new(context, address, "carries data")


@then("once the cut is over, new connections of {address} carry data")
def check_healed(context, address):
    context.cluster.proxy.peer_faults.clear()
    check_new(context, address, "carries data")


@then("once the cut is over, its open connection brings what it held up")
def check_held_up(context):
    async def read():
        context.cluster.proxy.peer_faults.clear()
        reader, _ = context.cluster.open_connections[context.cut_address]
        return await asyncio.wait_for(reader.readexactly(4), ANSWER_TIMEOUT_S)

    assert context.runner.run(read()) == b"echo"
