"""
Accepts connections and reads them in small pieces.

asyncio receives up to 256 KiB for a connection before anybody decides whether these may
be held, and accepts as many connections at once as its queue is long. A thousand
clients could fill the memory, or take all descriptors, in one turn of the event loop.
"""

import asyncio
import functools
import socket
from collections import abc

# Bytes that are received of one connection in a turn of the event loop.
RECEIVE_BYTES = 16384
# A reader holds back its connection when it has more than twice as many bytes.
READER_BYTES = 16384
# Length of the accept queue: enough for a burst of callers that reconnect.
ACCEPT_BACKLOG = 1024
# Connections that a listener accepts in a turn of the event loop.
ACCEPTS_PER_TURN = 32

Serve = abc.Callable[[asyncio.StreamReader, asyncio.StreamWriter], abc.Awaitable[None]]


class _PiecewiseProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Feeds a stream reader from a buffer that all connections share."""

    def __init__(self, buffer: memoryview, serve: Serve):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=READER_BYTES, loop=loop)
        super().__init__(reader, serve, loop=loop)
        self._buffer = buffer

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes are received."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes on that were received."""
        self.data_received(bytes(self._buffer[:nbytes]))


async def listen(serve: Serve, address: str, port: int) -> asyncio.Server:
    """Call ``serve`` for each connection to an address."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    listener = socket.create_server((address, port), family=family)
    listener.setblocking(False)
    buffer = memoryview(bytearray(RECEIVE_BYTES))
    server = await asyncio.get_running_loop().create_server(
        functools.partial(_PiecewiseProtocol, buffer, serve),
        sock=listener,
        backlog=ACCEPTS_PER_TURN,
    )
    # asyncio has one number for the accept queue and for how many it accepts at once.
    listener.listen(ACCEPT_BACKLOG)
    return server
