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
# Share of resumable streams whose caller closes the connection midway and takes the
# stream up; it does so with each stream that breaks off.
CUT_SHARE = 0.1
# Share of streams with a part that crashes servers, while there is one.
TAINTED_SHARE = 0.1
MEAN_PAUSE_S = 0.06
# For how long a caller tries to take a stream up, and its pause between two tries.
TAKE_UP_S = 4.0
TAKE_UP_PAUSE_S = 0.1
UNAVAILABLE = 503
# Errors of a call to discovery; an entry that is killed ends its answer anywhere.
UNRESOLVED = (OSError, TimeoutError, ValueError, LookupError, EOFError)
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
        # Parts of prompts that crash servers; some of the streams have one.
        self.deadly_parts: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Send requests until ``is_stopping`` is set."""
        weights = [kind.weight for kind in self._kinds]
        while not self.is_stopping:
            (kind,) = self._random.choices(self._kinds, weights)
            await self.send(kind)
            await asyncio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
        self.close()

    async def send(self, kind: RequestKind) -> None:
        """Send a request; a stream that may be taken up is, if it breaks off."""
        await self._resolve()
        with contextlib.suppress(OSError, TimeoutError):
            await self._send(kind)

    async def send_same(self, kind: RequestKind, path: str, body: bytes) -> None:
        """Send a request that has been sent before, or will be again, once."""
        await self._resolve()
        with contextlib.suppress(OSError, TimeoutError):
            await self._try(kind, same=(path, body))

    def close(self) -> None:
        """Close the connections that are open."""
        for connection in self._open_connections.values():
            connection.writer.close()

    async def _resolve(self) -> None:
        if time.monotonic() - self._resolved_at < RESOLVE_S:
            return
        entry = self._random.choice(list(self._entries.values()))
        with contextlib.suppress(*UNRESOLVED):
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
        # Those of entries that have ended for good aren't among the entries.
        known = [
            address for address in self._known_addresses if address in self._entries
        ]
        address = self._random.choice(known or list(self._entries))
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
        attempt = await self._try(kind)
        is_broken_off = not attempt.is_complete and attempt.events > 0
        if kind.name == "resumable" and is_broken_off:
            await self._take_up(kind, attempt)

    async def _take_up(self, kind: RequestKind, origin: ledger.Attempt) -> None:
        """Take a stream up at an entry that can be reached and doesn't refuse."""
        deadline = time.monotonic() + TAKE_UP_S
        while time.monotonic() < deadline:
            # All entries may be down, and their proxies then close connections.
            with contextlib.suppress(OSError, TimeoutError):
                attempt = await self._try(kind, origin=origin)
                has_left = attempt.caller_left_at is not None
                if has_left or attempt.status not in (None, UNAVAILABLE):
                    return
            await asyncio.sleep(TAKE_UP_PAUSE_S)
            await self._resolve()

    async def _try(
        self,
        kind: RequestKind,
        *,
        origin: ledger.Attempt | None = None,
        same: tuple[str, bytes] | None = None,
    ) -> ledger.Attempt:
        """
        Make one attempt, which takes a stream up if it has an ``origin``.

        ``same`` are its path and body, drawn unless they are given.
        """
        connection, _ = await self._connect()
        attempt = self._new_attempt(kind, connection, origin)
        if same is not None:
            attempt.path, attempt.body = same
        connection.writer.write(self._encode(kind, attempt))
        timeout_s = kind.timeout_s
        is_early_close = self._random.random() < EARLY_CLOSE_SHARE
        if is_early_close:
            timeout_s = self._random.uniform(0.02, 0.5)
        max_chunks = None
        if kind.name == "resumable" and self._random.random() < CUT_SHARE:
            max_chunks = self._random.randint(1, kind.event_count // 2)
        answer = None
        try:
            async with asyncio.timeout(timeout_s):
                answer = await _read_answer(connection.reader, max_chunks)
        except TimeoutError:
            self._recorder.record_caller_left(attempt)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self._recorder.record_connection_lost(attempt)
        if answer is None:
            connection.writer.transport.abort()
            return attempt
        self._recorder.record_answer(attempt, answer)
        if answer.is_complete and "close" not in answer.headers.get("connection", ""):
            for address, entry in self._entries.items():
                if entry == connection.entry:
                    self._open_connections[address] = connection
        else:
            connection.writer.close()
        return attempt

    def _new_attempt(
        self,
        kind: RequestKind,
        connection: _Connection,
        origin: ledger.Attempt | None,
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
            timeout_s=kind.timeout_s,
            event_count=kind.event_count,
            origin=origin,
        )
        if origin is not None:
            attempt.path, attempt.body = origin.path, origin.body
            attempt.first_event = origin.first_event + origin.events
            attempt.part = origin.part
        elif (
            kind.event_count
            and self.deadly_parts
            and self._random.random() < TAINTED_SHARE
        ):
            attempt.part = self._random.choice(sorted(self.deadly_parts))
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
            parts = ["aa", attempt.part, "bb"] if attempt.part else ["aa", "bb"]
            prefix = ",".join(f"{part}:100" for part in parts)
            lines.append(f"Prompt-Prefix: {prefix}")
        if attempt.origin is not None:
            lines.append(f"Last-Event-Id: {attempt.first_event - 1}")
            lines.append(f"Resumes: {attempt.origin.attempt_id}")
        return "\r\n".join([*lines, "", ""]).encode() + attempt.body


async def _read_answer(
    reader: asyncio.StreamReader, max_chunks: int | None = None
) -> ledger.Answer:
    """
    Return an answer, also a truncated one; raise if its head doesn't arrive.

    Of a stream no more than ``max_chunks`` are read, if given.
    """
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
    chunks = 0
    try:
        while chunks != max_chunks:
            chunks += 1
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if size == 0:
                return ledger.Answer(status, headers, body, True)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return ledger.Answer(status, headers, body, False)
    return ledger.Answer(status, headers, body, False, is_cut=True)
