"""
A fleet whose entries can be cut off from all endpoints, with callers of all kinds.

Callers spread their first tries evenly over the entries and repeat a call once, at
another entry, if that is safe.
"""

import asyncio
import collections
import contextlib
import dataclasses
import math
import random
import re
import time

from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import fleet, partition
from standins import edgeserver, edgewire

STREAM = "stream"
IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non-idempotent"
PREFIXES = {STREAM: "/a/", IDEMPOTENT: "/b/", NON_IDEMPOTENT: "/c/"}
ROUTE_TYPES = {
    STREAM: fleet.ROUTE,
    IDEMPOTENT: fleet.ROUTE | {"RouteType": "idempotent", "Sticky": False},
    NON_IDEMPOTENT: fleet.ROUTE | {"RouteType": "non_idempotent", "Sticky": False},
}
DATA_CENTRES = 2
ENTRIES_EACH = 3
ENDPOINTS = 6
# Short, so that few of the calls that a cut holds up outlast it.
TIMEOUT_S = 1.0
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) \d+\n\n")
# Share of the time left for which a caller waits before it repeats a call, at most.
MAX_WAIT_SHARE = 1 / 3
# How long after the end of its call a request may reach an endpoint and still be seen.
LATE_RUN_S = 0.2
# A call isn't repeated with less time than this.
MIN_LEFT_S = 0.05
# Answers with these promise that the call hasn't run and won't run.
PROMISES = frozenset({408, 421, 429, 503})
LAST_CHUNK = b"0\r\n\r\n"


@dataclasses.dataclass
class Try:
    """One try of a call, and its answer; ``status`` is 0 if there was none."""

    number: int
    kind: str
    is_first: bool
    entry: str
    key: str | None
    attempt_id: str
    sent_at: float
    took_s: float = math.inf
    is_connected: bool = False
    status: int = 0
    retry_after_s: float = 0.0
    # Number and Attempt-Id of each whole event.
    events: tuple[tuple[int, str], ...] = ()
    # Whether the answer claims to be complete, and whether it is the right one.
    is_complete: bool = False
    is_served: bool = False


class CutFleet(fleet.Fleet):
    """Entries that can be cut off, endpoints, and callers."""

    def __init__(
        self,
        organisations: tuple[dict, ...] = (),
        keys: tuple[str, ...] = (),
        endpoints: int = ENDPOINTS,
    ):
        """Start nothing yet; calls have the ``keys`` by turns, if there are any."""
        rows = [
            row | {"Name": kind, "Host": "x.example", "Service": fleet.SERVICE}
            for kind, row in ROUTE_TYPES.items()
        ]
        for row in rows:
            row["PathPrefix"] = PREFIXES[row["Name"]]
            row["Resumable"] = row["Name"] == STREAM
        configuration = {"Routes": rows, "Tenants": list(organisations)}
        super().__init__(
            DATA_CENTRES, ENTRIES_EACH, endpoints, configuration=configuration
        )
        self.partition = partition.Partition(self._is_endpoint)
        # When each request began to run at an endpoint, with its Attempt-Id.
        self.runs: list[tuple[float, str]] = []
        self._keys = keys
        self._rng = random.Random(2)

    def _is_endpoint(self, port: int) -> bool:
        return any(port == server.port for server in self._servers.values())

    def ran(self, server, request):
        """Record the begin of a run."""
        self.runs.append((time.monotonic(), request.headers["attempt-id"]))

    def run_counts(self) -> collections.Counter[str]:
        """Return how often each Attempt-Id has run."""
        return collections.Counter(attempt_id for _, attempt_id in self.runs)

    async def start(self, rate):
        """Start everything, and callers that send ``rate`` calls a second."""
        self.partition.install()
        await super().start(rate)

    def entries(self, share: str) -> list[delivery.Entry]:
        """Return the entries that are named by ``share``."""
        first, last = self.world.entries_by_data_centre().values()
        return {
            "one entry": first[1:2],
            "two of three of a data centre": first[:2],
            "all of a data centre": first,
            "two of three of the other data centre": last[:2],
            "all entries": first + last,
        }[share]

    def end_endpoints(self, count: int) -> None:
        """End endpoints without a word to the store, which lists them on."""
        for server in list(self._servers.values())[:count]:
            server.on_crash = None
            server.crash()

    async def finish(self) -> None:
        """Wait until all calls that were sent before have ended, also at endpoints."""
        sent_until = time.monotonic()
        await self.world.wait_until(
            lambda: all(
                one.took_s < math.inf for one in self.tries if one.sent_at < sent_until
            ),
            2 * TIMEOUT_S,
        )
        await asyncio.sleep(LATE_RUN_S)

    def first_tries(self, begin: float, end: float) -> list[Try]:
        """Return the first tries that were sent in a time."""
        return [
            one for one in self.tries if one.is_first and begin <= one.sent_at < end
        ]

    async def _call(self, number):
        # All kinds and keys go to all entries equally often.
        entries = self.world.entries
        turn, position = divmod(number, len(entries))
        kind = list(PREFIXES)[turn % len(PREFIXES)]
        key = self._keys[(number + turn) % len(self._keys)] if self._keys else None
        first = self._rng.choice(fleet.FIRST_PARTS)
        parts = [first, f"session-{self._rng.randrange(fleet.SESSIONS)}"]
        deadline = time.monotonic() + TIMEOUT_S
        one = await self._try_at(entries[position], number, kind, key, parts, deadline)
        if one.is_served or not _may_repeat(one):
            return
        left_s = max(0.0, deadline - time.monotonic())
        await asyncio.sleep(min(one.retry_after_s, MAX_WAIT_SHARE * left_s))
        if deadline - time.monotonic() > MIN_LEFT_S:
            others = [entry for entry in entries if entry.name != one.entry]
            other = self._rng.choice(others)
            await self._try_at(other, number, kind, key, parts, deadline, one)

    async def _try_at(self, entry, number, kind, key, parts, deadline, before=None):
        left_s = deadline - time.monotonic()
        one = Try(
            number,
            kind,
            before is None,
            entry.name,
            key,
            f"r-{number}-{0 if before is None else 1}",
            time.monotonic(),
        )
        self.tries.append(one)
        data = bytearray()
        # What has arrived before an error counts.
        with contextlib.suppress(OSError):
            async with asyncio.timeout(left_s):
                await _exchange(entry, one, _encode(one, parts, left_s, before), data)
        _read_answer(one, bytes(data), 1 + _last_event(before))
        one.took_s = time.monotonic() - one.sent_at
        return one


async def _exchange(entry, one, request, data):
    """Send a request, and add what comes back until the connection's end to data."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.ports["Frontend"])
    try:
        one.is_connected = True
        writer.write(request)
        while part := await reader.read(65536):
            data += part
    finally:
        writer.close()


def _last_event(one: Try | None) -> int:
    return one.events[-1][0] if one is not None and one.events else 0


def _encode(one, parts, left_s, before):
    lines = [f"POST {PREFIXES[one.kind]}{one.number} HTTP/1.1", "Host: x.example"]
    lines += [f"Attempt-Id: {one.attempt_id}", f"Deadline-Ms: {left_s * 1000:.0f}"]
    if one.key is not None:
        lines.append(f"Authorization: Bearer {one.key}")
    if one.kind == STREAM:
        prefix = ",".join(f"{part}:100" for part in [*parts, f"own-{one.number}"])
        tokens = fleet.EVENTS * edgeserver.TOKENS_PER_EVENT
        lines += [f"Token-Usage: 400,{tokens}", f"Prompt-Prefix: {prefix}"]
    if _last_event(before):
        lines.append(f"Last-Event-Id: {_last_event(before)}")
        lines.append(f"Resumes: {before.attempt_id}")
    lines += ["Connection: close", "Content-Length: 0", "", ""]
    return "\r\n".join(lines).encode()


def _read_answer(one, data, first_event):
    """Record an answer; a stream must begin with ``first_event``."""
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return
    words, headers = edgewire.parse_head(head)
    one.status = int(words[1])
    one.retry_after_s = float(headers.get("retry-after", 0))
    if one.kind == STREAM:
        one.events = tuple(
            (int(number), attempt_id.decode())
            for number, attempt_id in EVENT.findall(body)
        )
        expected = [(n, one.attempt_id) for n in range(first_event, fleet.EVENTS + 1)]
        one.is_complete = one.status == 200 and body.endswith(LAST_CHUNK)
        is_whole = one.is_complete and list(one.events) == expected
    else:
        path = f"{PREFIXES[one.kind]}{one.number}"
        is_whole = body == edgeserver.body_of(one.attempt_id, path)
    one.is_served = one.status == 200 and is_whole


def _may_repeat(one: Try) -> bool:
    """Return whether a caller may repeat a try that has failed."""
    is_safe = one.kind != NON_IDEMPOTENT
    return is_safe or not one.is_connected or one.status in PROMISES
