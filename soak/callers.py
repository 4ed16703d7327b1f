"""Simulates callers that resolve entries' addresses and reuse connections."""

import asyncio
import contextlib
import json
import random
import time
import typing
import uuid
from collections import abc

from soak import ledger
from standins import edgewire

CONNECT_TIMEOUT_S = 1.0
# How long a caller uses resolved addresses, and the timeout for resolving them.
RESOLVE_S = 1.0
# Probability that a caller reuses its connection to an entry, if that is still open.
REUSED_SHARE = 0.7
# Share of requests whose caller closes the connection before the answer.
EARLY_CLOSE_SHARE = 0.05
MEAN_PAUSE_S = 0.06
TOKENS_PER_EVENT = 5


class RequestKind(typing.NamedTuple):
    """
    A kind of request: its route, the organisation whose key it has, and its timeout.

    ``weight`` is its relative frequency; ``event_count`` is 0 unless it is streamed.
    """

    name: str
    path_prefix: str
    organisation: str
    timeout_s: float
    weight: float
    event_count: int = 0


class EntryPorts(typing.NamedTuple):
    """An entry's name and the ports by which callers reach it, one by a proxy."""

    name: str
    proxy_port: int
    directory_port: int


class _Connection(typing.NamedTuple):
    entry: EntryPorts
    incarnation: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """One caller; ``entries`` maps the address that an entry publishes to its ports."""

    def __init__(
        self,
        recorder: ledger.Recorder,
        kinds: abc.Sequence[RequestKind],
        keys: abc.Mapping[str, str],
        entries: abc.Mapping[str, EntryPorts],
        get_incarnation: abc.Callable[[str], int],
        rng: random.Random,
    ):
        self._recorder = recorder
        self._kinds = kinds
        self._keys = keys
        self._entries = entries
        self._get_incarnation = get_incarnation
        self._random = rng
        self._known_addresses = list(entries)
        self._resolved_at = 0.0
        self._open_connections: dict[str, _Connection] = {}
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests until ``is_stopping`` is set."""
        weights = [kind.weight for kind in self._kinds]
        while not self.is_stopping:
            (kind,) = self._random.choices(self._kinds, weights)
            await self._resolve()
            with contextlib.suppress(OSError, TimeoutError):
                await self._send(kind)
            await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
        for connection in self._open_connections.values():
            connection.writer.close()

    async def _resolve(self) -> None:
        if time.monotonic() - self._resolved_at < RESOLVE_S:
            return
        entry = self._random.choice(list(self._entries.values()))
        with contextlib.suppress(OSError, TimeoutError, ValueError, LookupError):
            async with asyncio.timeout(RESOLVE_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", entry.directory_port
                )
                writer.write(b"GET /api/resolve HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await _read_answer(reader)
                writer.close()
            addresses = json.loads(answer.body)["Addresses"]
            self._known_addresses = [
                address for address in addresses if address in self._entries
            ]
            self._resolved_at = time.monotonic()

    async def _connect(self) -> tuple[_Connection, bool]:
        """Return a connection to some entry, and whether it was open already."""
        address = self._random.choice(self._known_addresses or list(self._entries))
        idle = self._open_connections.pop(address, None)
        if idle is not None and not idle.reader.at_eof():
            if self._random.random() < REUSED_SHARE:
                return idle, True
            idle.writer.close()
        entry = self._entries[address]
        incarnation = self._get_incarnation(entry.name)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", entry.proxy_port
            )
        return _Connection(entry, incarnation, reader, writer), False

    async def _send(self, kind: RequestKind) -> None:
        connection, _ = await self._connect()
        attempt = self._new_attempt(kind, connection)
        connection.writer.write(self._encode(kind, attempt))
        timeout_s = kind.timeout_s
        is_early_close = self._random.random() < EARLY_CLOSE_SHARE
        if is_early_close:
            timeout_s = self._random.uniform(0.02, 0.5)
        answer = None
        try:
            async with asyncio.timeout(timeout_s):
                answer = await _read_answer(connection.reader)
        except TimeoutError:
            self._recorder.record_caller_left(attempt)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self._recorder.record_connection_lost(attempt)
        if answer is None:
            connection.writer.transport.abort()
            return
        self._recorder.record_answer(attempt, answer)
        if answer.is_complete and "close" not in answer.headers.get("connection", ""):
            for address, entry in self._entries.items():
                if entry == connection.entry:
                    self._open_connections[address] = connection
        else:
            connection.writer.close()

    def _new_attempt(
        self, kind: RequestKind, connection: _Connection
    ) -> ledger.Attempt:
        attempt = ledger.Attempt(
            attempt_id=uuid.UUID(int=self._random.getrandbits(128)).hex[:16],
            kind=kind.name,
            path=f"{kind.path_prefix}{self._random.randrange(50)}",
            organisation=kind.organisation,
            body=self._random.randbytes(self._random.choice((0, 20, 3000))),
            entry=connection.entry.name,
            incarnation=connection.incarnation,
            sent_at=time.monotonic(),
            event_count=kind.event_count,
        )
        if kind.event_count and self._random.random() < 0.1:
            attempt.first_event = self._random.randint(2, kind.event_count)
        self._recorder.attempts[attempt.attempt_id] = attempt
        return attempt

    def _encode(self, kind: RequestKind, attempt: ledger.Attempt) -> bytes:
        # The entry must replace the forged headers, or drop them.
        lines = [
            f"POST {attempt.path} HTTP/1.1",
            "Host: soak.example",
            f"Attempt-Id: {attempt.attempt_id}",
            f"Deadline-Ms: {int(kind.timeout_s * 1000)}",
            f"Authorization: Bearer {self._keys[kind.organisation]}",
            "Tenant: forged",
            "Hold: forged",
            f"Content-Length: {len(attempt.body)}",
        ]
        if kind.event_count:
            lines.append(f"Token-Usage: 200,{kind.event_count * TOKENS_PER_EVENT}")
            lines.append("Prompt-Prefix: aa:100,bb:100")
        if attempt.first_event > 1:
            lines.append(f"Last-Event-Id: {attempt.first_event - 1}")
        return "\r\n".join([*lines, "", ""]).encode() + attempt.body


async def _read_answer(reader: asyncio.StreamReader) -> ledger.Answer:
    """Return an answer, also a truncated one; raise if its head doesn't arrive."""
    head = await reader.readuntil(b"\r\n\r\n")
    words, headers = edgewire.parse_head(head)
    status = int(words[1])
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except asyncio.IncompleteReadError as error:
            return ledger.Answer(status, headers, error.partial, False)
        except OSError:
            return ledger.Answer(status, headers, b"", False)
        return ledger.Answer(status, headers, body, True)
    body = b""
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if size == 0:
                return ledger.Answer(status, headers, body, True)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return ledger.Answer(status, headers, body, False)
