"""Callers: they ask where to connect, keep connections, and go on using them."""

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

CONNECT_S = 1.0
RESOLVE_S = 1.0
# Share of requests on a connection that is open already.
REUSED_SHARE = 0.7
# Share of requests whose caller closes before the answer.
LEAVING_SHARE = 0.05
PAUSE_S = 0.06
TOKENS_PER_EVENT = 5


class Kind(typing.NamedTuple):
    """A kind of request: its route, whose key, its patience, events of a stream."""

    name: str
    prefix: str
    organisation: str
    patience_s: float
    weight: float
    events: int = 0


class Place(typing.NamedTuple):
    """An entry as callers reach it: its name, and ports behind the proxies."""

    name: str
    port: int
    directory_port: int


class _Connection(typing.NamedTuple):
    place: Place
    incarnation: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """One caller; ``places`` maps an entry's public address to how to reach it."""

    def __init__(
        self,
        book: ledger.Ledger,
        kinds: abc.Sequence[Kind],
        keys: abc.Mapping[str, str],
        places: abc.Mapping[str, Place],
        incarnation: abc.Callable[[str], int],
        chooser: random.Random,
    ):
        self._book = book
        self._kinds = kinds
        self._keys = keys
        self._places = places
        self._incarnation = incarnation
        self._random = chooser
        self._known = list(places)
        self._resolved_at = 0.0
        self._open: dict[str, _Connection] = {}
        self.is_ended = False

    async def run(self) -> None:
        """Send requests until ``is_ended``."""
        weights = [kind.weight for kind in self._kinds]
        while not self.is_ended:
            (kind,) = self._random.choices(self._kinds, weights)
            await self._resolve()
            with contextlib.suppress(OSError, TimeoutError):
                await self._ask(kind)
            await asyncio.sleep(self._random.expovariate(1 / PAUSE_S))
        for one in self._open.values():
            one.writer.close()

    async def _resolve(self) -> None:
        if time.monotonic() - self._resolved_at < RESOLVE_S:
            return
        place = self._random.choice(list(self._places.values()))
        with contextlib.suppress(OSError, TimeoutError, ValueError, LookupError):
            async with asyncio.timeout(RESOLVE_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", place.directory_port
                )
                writer.write(b"GET /api/resolve HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await _read_answer(reader)
                writer.close()
            addresses = json.loads(answer.body)["Addresses"]
            self._known = [one for one in addresses if one in self._places]
            self._resolved_at = time.monotonic()

    async def _connect(self) -> tuple[_Connection, bool]:
        address = self._random.choice(self._known or list(self._places))
        kept = self._open.pop(address, None)
        if kept is not None and not kept.reader.at_eof():
            if self._random.random() < REUSED_SHARE:
                return kept, True
            kept.writer.close()
        place = self._places[address]
        incarnation = self._incarnation(place.name)
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", place.port)
        return _Connection(place, incarnation, reader, writer), False

    async def _ask(self, kind: Kind) -> None:
        connection, _ = await self._connect()
        attempt = self._new_attempt(kind, connection)
        connection.writer.write(self._encode(kind, attempt))
        patience_s = kind.patience_s
        leaves = self._random.random() < LEAVING_SHARE
        if leaves:
            patience_s = self._random.uniform(0.02, 0.5)
        answer = None
        try:
            async with asyncio.timeout(patience_s):
                answer = await _read_answer(connection.reader)
        except TimeoutError:
            self._book.left(attempt)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self._book.broken_off(attempt)
        if answer is None:
            connection.writer.transport.abort()
            return
        self._book.answered(attempt, answer)
        if answer.is_complete and "close" not in answer.headers.get("connection", ""):
            for address, place in self._places.items():
                if place == connection.place:
                    self._open[address] = connection
        else:
            connection.writer.close()

    def _new_attempt(self, kind: Kind, connection: _Connection) -> ledger.Attempt:
        attempt = ledger.Attempt(
            attempt_id=uuid.UUID(int=self._random.getrandbits(128)).hex[:16],
            kind=kind.name,
            path=f"{kind.prefix}{self._random.randrange(50)}",
            organisation=kind.organisation,
            body=self._random.randbytes(self._random.choice((0, 20, 3000))),
            entry=connection.place.name,
            incarnation=connection.incarnation,
            sent_at=time.monotonic(),
            events=kind.events,
        )
        if kind.events and self._random.random() < 0.1:
            attempt.first_event = self._random.randint(2, kind.events)
        self._book.attempts[attempt.attempt_id] = attempt
        return attempt

    def _encode(self, kind: Kind, attempt: ledger.Attempt) -> bytes:
        lines = [
            f"POST {attempt.path} HTTP/1.1",
            "Host: soak.example",
            f"Attempt-Id: {attempt.attempt_id}",
            f"Deadline-Ms: {int(kind.patience_s * 1000)}",
            f"Authorization: Bearer {self._keys[kind.organisation]}",
            "Tenant: forged",
            "Hold: forged",
            f"Content-Length: {len(attempt.body)}",
        ]
        if kind.events:
            lines.append(f"Token-Usage: 200,{kind.events * TOKENS_PER_EVENT}")
            lines.append("Prompt-Prefix: aa:100,bb:100")
        if attempt.first_event > 1:
            lines.append(f"Last-Event-Id: {attempt.first_event - 1}")
        return "\r\n".join([*lines, "", ""]).encode() + attempt.body


async def _read_answer(reader: asyncio.StreamReader) -> ledger.Answer:
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
            part = await reader.readexactly(size + 2)
            body += part[:-2]
            if size == 0:
                return ledger.Answer(status, headers, body, True)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return ledger.Answer(status, headers, body, False)
