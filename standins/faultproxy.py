"""
A TCP proxy that injects faults between two processes.

Faults can be set at run time through ``faults`` or the control API:
``mode`` is one of pass, hold (accept connections but forward no data), refuse (abort
each new connection) and cut (close each connection once ``cut_after_bytes`` have been
forwarded). ``direction`` names the direction that a hold or cut applies to: request,
answer or both. ``delay_s`` delays each chunk of data in both directions.
``silence_connections`` lets open connections carry nothing more, while new ones work.
``peer_faults`` cuts peers off by their addresses: with ``hang`` their connections carry
nothing, with ``refuse`` new ones are aborted while open ones work, with ``reset`` new
ones are aborted (``cut_connections`` aborts the open ones).
"""

import asyncio
import contextlib
import typing

from standins import base

READ_BYTES = 65536
HOLD_POLL_S = 0.02
MODES = frozenset({"pass", "hold", "refuse", "cut"})


class FaultProxy:
    """Forwards connections from one listening port to one target."""

    def __init__(self, target: tuple[str, int], address: str = "127.0.0.1", port=0):
        self._target = target
        self._address = address
        self.port = port
        self.faults: dict[str, typing.Any] = {
            "mode": "pass",
            "direction": "both",
            "delay_s": 0.0,
            "cut_after_bytes": 0,
        }
        self.peer_faults: dict[str, str] = {}
        # The address of the peer for which each port connects to the target.
        self.peers_by_port: dict[int, str] = {}
        self._server: asyncio.Server | None = None
        # The writers to both ends of each connection, with the address of its peer.
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._silenced_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening; with port 0, pick a free port and set ``port`` to it."""
        self._server = await asyncio.start_server(self._serve, self._address, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close every connection and stop listening."""
        self.cut_connections()
        if self._server is not None:
            self._server.close()

    def cut_connections(self, peer: str | None = None) -> None:
        """Abort every open connection, or those of one peer's address."""
        for writer, address in list(self._writers.items()):
            if peer in (None, address):
                writer.transport.abort()

    def silence_connections(self) -> None:
        """Forward nothing more on the open connections, without closing them."""
        self._silenced_writers |= self._writers.keys()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")[0]
        is_peer_refused = self.peer_faults.get(peer) in ("refuse", "reset")
        if self.faults["mode"] == "refuse" or is_peer_refused:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, target_writer}
        self._writers |= dict.fromkeys(pair, peer)
        self.peers_by_port[target_writer.get_extra_info("sockname")[1]] = peer
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, target_writer, "request", pair))
                group.create_task(self._pump(target_reader, writer, "answer", pair))
        finally:
            for pair_writer in pair:
                del self._writers[pair_writer]
            self._silenced_writers -= pair

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
        pair: set[asyncio.StreamWriter],
    ) -> None:
        forwarded_bytes = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await asyncio.sleep(self.faults["delay_s"])
                while self._is_held(writer, direction):
                    await asyncio.sleep(HOLD_POLL_S)
                if self._is_mode_active("cut", direction):
                    allowed_bytes = max(
                        0, self.faults["cut_after_bytes"] - forwarded_bytes
                    )
                    if len(data) >= allowed_bytes:
                        writer.write(data[:allowed_bytes])
                        await writer.drain()
                        break
                forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
        for pair_writer in pair:
            pair_writer.close()

    def _is_held(self, writer: asyncio.StreamWriter, direction: str) -> bool:
        return (
            self._is_mode_active("hold", direction)
            or writer in self._silenced_writers
            or self.peer_faults.get(self._writers[writer]) == "hang"
        )

    def _is_mode_active(self, mode: str, direction: str) -> bool:
        is_matching_direction = self.faults["direction"] in ("both", direction)
        return self.faults["mode"] == mode and is_matching_direction


class FaultProxyStandIn(base.StandIn):
    """A fault proxy with a control API; ``port`` is the control port."""

    def __init__(
        self,
        target: tuple[str, int],
        listen_port: int,
        address: str = "127.0.0.1",
        port: int = 0,
    ):
        super().__init__(address, port)
        self.proxy = FaultProxy(target, address, listen_port)
        self.faults = self.proxy.faults
        self.add_route("POST", "/control/cut", self._control_cut)

    async def start(self, *, is_own_process: bool = False) -> None:
        """Listen on both ports."""
        await self.proxy.start()
        await super().start(is_own_process=is_own_process)

    async def stop(self) -> None:
        """Stop the proxy and the control API."""
        await self.proxy.stop()
        await super().stop()

    async def _control_cut(self) -> dict[str, bool]:
        self.proxy.cut_connections()
        return {"cut": True}
