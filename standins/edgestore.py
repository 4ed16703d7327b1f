"""
The platform's store and its interface for duties, as entries on the platform see them.

Topics are logs; in those whose name begins with ``keyed.`` each key has a newest
value. ``mode`` makes the store fail: ``silent`` answers nothing, ``busy`` refuses,
``reset`` resets, ``lost`` does what it is asked and loses some answers, ``slow``
delays. What the duties' holders send is kept in ``reports`` and ``orders``.
"""

import asyncio
import base64
import collections
import json
import random
import struct
import time
import typing

from standins import edgewire

KEYED = "keyed."
LOST_SHARE = 0.3
SLOW_S = 0.2
POLL_S = 0.01
MODES = ("pass", "silent", "busy", "reset", "lost", "slow")


class DutyCall(typing.NamedTuple):
    """One call of a duty's holder."""

    at: float
    holder: str
    fence: int
    body: dict[str, typing.Any]


class Topic:
    """One partition: records, the first retained offset, newest values by key."""

    def __init__(self):
        self.records: list[bytes] = []
        self.first = 0
        self.newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, record: bytes, *, is_keyed: bool) -> None:
        """Add a record."""
        if is_keyed:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
        self.records.append(record)

    def compact(self) -> None:
        """Forget the history; the newest value of each key stays."""
        self.first, self.records = self.end, []


class EdgeStore:
    """Store and duties at one port."""

    def __init__(self, chooser: random.Random):
        self._random = chooser
        self._topics: dict[str, Topic] = collections.defaultdict(Topic)
        self._listener = edgewire.Listener(self._handle)
        self.mode = "pass"
        self.reports: list[DutyCall] = []
        self.orders: list[DutyCall] = []
        self.calls = 0
        self._paths = {
            "/api/log-append": self._append,
            "/api/log-read": self._read,
            "/api/log-newest": self._newest,
            "/usage": self._report,
            "/scale": self._order,
        }

    @property
    def port(self) -> int:
        """Where the store listens."""
        return self._listener.port

    async def start(self) -> None:
        """Listen on a free port."""
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._listener.stop()

    def put(self, topic: str, key: str, value: typing.Any) -> float:
        """Write as the operator or a server does; return when it was acknowledged."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + data
        self._topics[topic].append(record, is_keyed=True)
        return time.monotonic()

    def drop(self, topic: str, key: str) -> float:
        """Remove a key."""
        return self.put(topic, key, b"")

    def compact(self) -> None:
        """Forget the history of all topics with keys."""
        for name, topic in self._topics.items():
            if name.startswith(KEYED):
                topic.compact()

    async def _handle(
        self, request: edgewire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        self.calls += 1
        mode = self.mode
        if mode == "silent":
            await asyncio.get_running_loop().create_future()
        if mode == "reset":
            edgewire.reset(writer)
            return False
        if mode == "busy":
            writer.write(edgewire.encode(503))
            return True
        if mode == "slow":
            await asyncio.sleep(self._random.uniform(0, 2 * SLOW_S))
        handler = self._paths.get(request.path)
        answer = edgewire.encode(404) if handler is None else await handler(request)
        is_write = request.method == "POST"
        if mode == "lost" and is_write and self._random.random() < LOST_SHARE:
            await asyncio.get_running_loop().create_future()
        writer.write(answer)
        await writer.drain()
        return True

    async def _append(self, request: edgewire.Request) -> bytes:
        name = request.query["Topic"]
        topic = self._topics[name]
        at = request.query.get("At")
        if name in ("keyed.op", "keyed.servers"):
            return edgewire.encode(403)
        if at is not None and int(at) != topic.end:
            return _json(412, {"EndOffset": topic.end})
        first, place = topic.end, 0
        while place < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, place)
            record = request.body[place + 4 : place + 4 + size]
            topic.append(record, is_keyed=name.startswith(KEYED))
            place += 4 + size
        return _json(200, {"Offset": first, "EndOffset": topic.end})

    async def _read(self, request: edgewire.Request) -> bytes:
        topic = self._topics[request.query["Topic"]]
        start = int(request.query["From"])
        until = time.monotonic() + int(request.query.get("WaitMs", 0)) / 1000
        while start >= topic.end and time.monotonic() < until:
            await asyncio.sleep(POLL_S)
        if start < topic.first:
            return _json(410, {"FirstOffset": topic.first})
        records = topic.records[start - topic.first :]
        head = struct.pack(">QQ", topic.end, topic.first)
        parts = [struct.pack(">I", len(record)) + record for record in records]
        return edgewire.encode(200, head + b"".join(parts))

    async def _newest(self, request: edgewire.Request) -> bytes:
        topic = self._topics[request.query["Topic"]]
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in topic.newest.items()
        ]
        body = {"Items": items, "HasMore": False, "EndOffset": topic.end}
        return _json(200, body)

    async def _report(self, request: edgewire.Request) -> bytes:
        self.reports.append(_duty_call(request))
        return edgewire.encode(200)

    async def _order(self, request: edgewire.Request) -> bytes:
        self.orders.append(_duty_call(request))
        return edgewire.encode(200)


def _duty_call(request: edgewire.Request) -> DutyCall:
    return DutyCall(
        time.monotonic(),
        request.headers["duty-holder"],
        int(request.headers["fencing-token"]),
        json.loads(request.body),
    )


def _json(status: int, body: typing.Any) -> bytes:
    headers = {"Content-Type": "application/json"}
    return edgewire.encode(status, json.dumps(body).encode(), headers)
