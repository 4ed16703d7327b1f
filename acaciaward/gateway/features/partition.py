"""
Cuts entries off from endpoints, in one process; all other connections work on.

A connection counts as an entry's if the entry's gateway opens it to an endpoint's port.
Bytes that are held up are lost if their sender resets the connection meanwhile.
"""

import asyncio
import socket
import struct
import typing
from collections import abc

from acaciaward.catalogue.features import delivery


class Mode(typing.NamedTuple):
    """What a cut does to open connections and to new ones."""

    is_holding: bool = False
    is_resetting: bool = False
    is_refusing: bool = False


MODES = {
    "hang": Mode(is_holding=True),
    "reset": Mode(is_resetting=True, is_refusing=True),
    "refuse": Mode(is_refusing=True),
}
CONNECTED = Mode()
NO_LINGER = struct.pack("ii", 1, 0)


class _Connection(asyncio.Transport):
    """The transport that a gateway uses, and the protocol of the real one below."""

    def __init__(self, link: "_Link", protocol: asyncio.Protocol):
        super().__init__()
        self._link = link
        self._protocol = protocol
        self._lower: asyncio.Transport | None = None
        self._held_bytes: list[bytes] = []
        # Events from the endpoint, and how the gateway ended the connection.
        self._held_events: list[abc.Callable[[], None]] = []
        self._held_end: abc.Callable[[], None] | None = None
        self._is_closing = False
        self._is_lost = False

    # As the protocol of the real transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._lower = transport
        self._link.connections.add(self)
        self._protocol.connection_made(self)

    def data_received(self, data: bytes) -> None:
        self._receive(lambda: self._deliver(self._protocol.data_received, data))

    def eof_received(self) -> bool:
        self._receive(lambda: self._deliver(self._deliver_end))
        return True

    def connection_lost(self, error: Exception | None) -> None:
        if error is not None:
            self._held_events.clear()
        self._receive(lambda: self._lose(error))
        if not self._link.mode.is_holding:
            self._link.connections.discard(self)

    def pause_writing(self) -> None:
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        self._protocol.resume_writing()

    def _receive(self, event: abc.Callable[[], None]) -> None:
        if self._link.mode.is_holding:
            self._held_events.append(event)
        else:
            event()

    def _deliver(self, callback: abc.Callable, *arguments: typing.Any) -> None:
        if not self._is_closing:
            callback(*arguments)

    def _deliver_end(self) -> None:
        if not self._protocol.eof_received():
            self.close()

    def _lose(self, error: Exception | None) -> None:
        self._is_closing = True
        if not self._is_lost:
            self._is_lost = True
            self._protocol.connection_lost(error)

    # As the transport of the gateway's protocol.

    def get_extra_info(self, name: str, default: typing.Any = None) -> typing.Any:
        return self._lower.get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self._is_closing

    def write(self, data: bytes) -> None:
        if self._is_closing:
            return
        if self._link.mode.is_holding:
            self._held_bytes.append(bytes(data))
        else:
            self._lower.write(data)

    def get_write_buffer_size(self) -> int:
        return self._lower.get_write_buffer_size()

    def pause_reading(self) -> None:
        self._lower.pause_reading()

    def resume_reading(self) -> None:
        self._lower.resume_reading()

    def close(self) -> None:
        if not self._is_closing:
            self._end(self._lower.close)

    def abort(self) -> None:
        self._held_bytes.clear()
        self._end(self._lower.abort)

    def _end(self, end: abc.Callable[[], None]) -> None:
        self._is_closing = True
        if self._link.mode.is_holding:
            self._held_end = end
            asyncio.get_running_loop().call_soon(self._lose, None)
        else:
            end()

    # For the link.

    def reset(self) -> None:
        """Reset the connection at both ends; bytes on their way are lost."""
        self._held_bytes.clear()
        self._held_events.clear()
        if not self._lower.is_closing():
            raw = self._lower.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self._lower.abort()
        self._lose(ConnectionResetError("reset by the cut"))

    def deliver_held(self) -> None:
        """Let what was held up arrive on both sides."""
        events, self._held_events = self._held_events, []
        if not self._lower.is_closing():
            self._lower.writelines(self._held_bytes)
        self._held_bytes.clear()
        if self._held_end is not None:
            self._held_end()
        for event in events:
            event()
        if self._is_lost and self._lower.is_closing():
            self._link.connections.discard(self)


class _Link:
    """All connections of one entry to endpoints."""

    def __init__(self):
        self.mode = CONNECTED
        self.connections: set[_Connection] = set()
        self._changed = asyncio.Event()

    def set_mode(self, mode: Mode) -> None:
        self.mode = mode
        self._changed.set()
        self._changed = asyncio.Event()
        if mode.is_holding:
            return
        for connection in list(self.connections):
            if mode.is_resetting:
                connection.reset()
            else:
                connection.deliver_held()

    async def pass_connect(self) -> None:
        """Wait while the link holds everything up; raise if it refuses connections."""
        while self.mode.is_holding:
            await self._changed.wait()
        if self.mode.is_refusing:
            raise ConnectionRefusedError("refused by the cut")


class Partition:
    """The links of all entries to endpoints."""

    def __init__(self, is_endpoint: abc.Callable[[int], bool]):
        """Cut nothing yet; ``is_endpoint`` tells whether a port is an endpoint's."""
        self._is_endpoint = is_endpoint
        self._links: dict[str, _Link] = {}
        self._create_connection: abc.Callable | None = None

    def install(self) -> None:
        """Let all new connections of the running event loop pass the links."""
        loop = asyncio.get_running_loop()
        self._create_connection = loop.create_connection
        loop.create_connection = self._connect

    def cut(self, entries: abc.Iterable[delivery.Entry], mode: str) -> None:
        """Cut entries off from all endpoints."""
        for entry in entries:
            self._link(entry.name).set_mode(MODES[mode])

    def heal(self) -> None:
        """End all cuts."""
        for link in self._links.values():
            if link.mode is not CONNECTED:
                link.set_mode(CONNECTED)

    def _link(self, name: str) -> _Link:
        return self._links.setdefault(name, _Link())

    async def _connect(self, factory, host=None, port=None, **options):
        name = delivery.entry_name.get()
        if name is None or not self._is_endpoint(port):
            return await self._create_connection(factory, host, port, **options)
        link = self._link(name)
        await link.pass_connect()
        protocol = factory()
        _, connection = await self._create_connection(
            lambda: _Connection(link, protocol), host, port, **options
        )
        try:
            await link.pass_connect()
        except BaseException:
            connection.abort()
            raise
        return connection, protocol
