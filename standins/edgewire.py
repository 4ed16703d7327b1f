"""
HTTP/1.1 for the stand-ins of the platform. They receive complete requests and write
raw bytes, so that they can truncate, duplicate or withhold responses.
"""

import asyncio
import socket
import struct
import typing
import urllib.parse
from collections import abc

MAX_HEAD_BYTES = 65536
# Interval at which the connection of a running request is checked for a disconnect.
DISCONNECT_POLL_S = 0.02


class Request(typing.NamedTuple):
    """
    One complete request; header names are in lower case.

    ``peer_port`` is the port from which its connection was made.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer_port: int = 0

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The first value of each query parameter."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


def parse_head(head: bytes) -> tuple[list[str], dict[str, str]]:
    """Return the three parts of the first line, and the headers by lower-case name."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, or None if it has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        words, headers = parse_head(head)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    return Request(words[0], words[1], headers, body)


def encode(
    status: int, body: bytes = b"", headers: abc.Mapping[str, str] | None = None
) -> bytes:
    """Return the bytes of a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with a TCP reset."""
    connection_socket = writer.get_extra_info("socket")
    if connection_socket is not None and not writer.transport.is_closing():
        connection_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Listener:
    """
    Serves each connection one request at a time; ``stop`` resets all of them.

    ``handle`` writes the response and returns whether the connection stays open.
    """

    def __init__(
        self,
        handle: abc.Callable[[Request, asyncio.StreamWriter], abc.Awaitable[bool]],
        address: str = "127.0.0.1",
    ):
        self._handle = handle
        self._address = address
        self._writers: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Start listening; with port 0, pick any free port."""
        self._server = await asyncio.start_server(
            self._serve, self._address, port, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._writers[task] = writer
        try:
            peer_port = writer.get_extra_info("peername")[1]
            while (request := await read_request(reader)) is not None:
                request = request._replace(peer_port=peer_port)
                if not await self._handle_until_disconnect(request, reader, writer):
                    break
        except (OSError, asyncio.CancelledError):
            # asyncio's streams report a cancelled connection task as an error.
            pass
        finally:
            self._writers.pop(task, None)
            writer.close()

    async def _handle_until_disconnect(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Handle a request, and cancel it if the connection closes."""
        handling = asyncio.ensure_future(self._handle(request, writer))
        try:
            while not handling.done():
                await asyncio.wait({handling}, timeout=DISCONNECT_POLL_S)
                if reader.at_eof() or writer.transport.is_closing():
                    return False
            return handling.result()
        finally:
            handling.cancel()
            await asyncio.gather(handling, return_exceptions=True)

    def reset_all(self) -> None:
        """Reset every connection."""
        for writer in list(self._writers.values()):
            reset(writer)

    def close(self) -> None:
        """Stop listening and reset every connection, without waiting for them."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()

    async def stop(self) -> None:
        """Stop listening and reset every connection."""
        tasks = list(self._writers)
        self.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
