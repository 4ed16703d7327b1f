"""
Stand-in for the platform's store and its interface for duties.

A duty is a task of the platform that one entry at a time holds: reporting usage or
ordering capacity. Topics are logs; in those whose name begins with ``keyed.`` each
key has a newest value. ``mode`` injects a fault: ``silent`` never answers, ``busy``
refuses with 503, ``reset`` resets the connection, ``lost`` carries out the call but
withholds some of the answers to writes, ``late`` leaves some appends unanswered and
carries them out seconds later, ``slow`` delays. ``delay_range_s`` delays all calls.
``restore`` brings the store back from an older copy, with the next era; ``expire``
drops old records. ``reports`` and ``orders`` record the calls of the duties' holders.
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

APPEND_PATH = "/api/log-append"
KEYED_PREFIX = "keyed."
LOST_ANSWER_SHARE = 0.3
# When an append that got no answer is carried out, if its condition still holds then.
LATE_RANGE_S = (1.0, 6.0)
MEAN_DELAY_S = 0.2
POLL_S = 0.01
MODES = ("pass", "silent", "busy", "reset", "lost", "slow", "late")
# Topics that only the operator and the servers write; they write again what a restore
# has lost.
WRITTEN_AGAIN = ("keyed.op", "keyed.servers")


class DutyCall(typing.NamedTuple):
    """
    One call by the holder of a duty.

    ``at`` is the monotonic time of its arrival, ``fence`` the fencing token.
    """

    at: float
    holder: str
    fence: int
    body: dict[str, typing.Any]


class KeyedValue(typing.NamedTuple):
    """The newest value of a key of a topic; an empty one removes the key."""

    topic: str
    key: str
    value: bytes


class Topic:
    """One topic: records, the first retained offset, newest values by key."""

    def __init__(self):
        self.records: list[bytes] = []
        self.first_offset = 0
        self.newest_values: dict[str, tuple[int, bytes]] = {}
        # Every record from offset 0 on, with the monotonic time of its append.
        self._history: list[tuple[float, bytes]] = []

    @property
    def end_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self.records)

    def append(self, record: bytes, *, is_keyed: bool) -> None:
        """
        Add a record.

        A keyed record is a byte with the key's length, the key and the value; an
        empty value removes the key.
        """
        if is_keyed:
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                self.newest_values[key] = (self.end_offset, value)
            else:
                self.newest_values.pop(key, None)
        self.records.append(record)
        self._history.append((time.monotonic(), record))

    def restore(self, before: float, *, is_keyed: bool) -> None:
        """Lose the records that were appended at ``before`` or later."""
        history = self._history
        kept = [(at, record) for at, record in history if at < before]
        first_offset = min(self.first_offset, len(kept))
        self.__init__()
        for _, record in kept:
            self.append(record, is_keyed=is_keyed)
        self._history = kept
        self.records = self.records[first_offset:]
        self.first_offset = first_offset

    def expire(self, before: float) -> None:
        """Drop the records that were appended before ``before``."""
        old_count = sum(at < before for at, _ in self._history)
        first_offset = max(self.first_offset, old_count)
        self.records = self.records[first_offset - self.first_offset :]
        self.first_offset = first_offset

    def compact(self) -> None:
        """Drop all records; the newest value of each key stays."""
        self.first_offset, self.records = self.end_offset, []


class EdgeStore:
    """The store and the duties' interface at one port."""

    def __init__(self, rng: random.Random):
        self._random = rng
        self._topics: dict[str, Topic] = collections.defaultdict(Topic)
        self._listener = edgewire.Listener(self._handle)
        self.mode = "pass"
        # The least and the longest time before a call is carried out, in seconds.
        self.delay_range_s = (0.0, 0.0)
        self.era = 1
        self.reports: list[DutyCall] = []
        self.orders: list[DutyCall] = []
        self.calls = 0
        self.started_at = 0.0
        self.restored_at: list[float] = []
        # What restores lost and nobody has written since, by topic and key.
        self._lost_values: dict[tuple[str, str], bytes] = {}
        self._late_appends: set[asyncio.Task] = set()
        self._handlers = {
            APPEND_PATH: self._append,
            "/api/log-read": self._read,
            "/api/log-newest": self._newest,
            "/usage": self._report,
            "/scale": self._order,
        }

    @property
    def port(self) -> int:
        """The port that the store listens on."""
        return self._listener.port

    async def start(self) -> None:
        """Start listening on a free port."""
        self.started_at = time.monotonic()
        await self._listener.start()

    async def stop(self) -> None:
        """Stop listening; appends that are still to be carried out are dropped."""
        for task in self._late_appends:
            task.cancel()
        await asyncio.gather(*self._late_appends, return_exceptions=True)
        await self._listener.stop()

    def put(self, topic: str, key: str, value: typing.Any) -> float:
        """Write a key as an operator or a server; return the acknowledgement time."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + data
        self._topics[topic].append(record, is_keyed=True)
        self._lost_values.pop((topic, key), None)
        return time.monotonic()

    def drop(self, topic: str, key: str) -> float:
        """Remove a key; return the monotonic time of the acknowledgement."""
        return self.put(topic, key, b"")

    def newest_values(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key of a topic."""
        values = self._topics[topic].newest_values
        return {key: value for key, (_, value) in values.items()}

    def compact(self) -> None:
        """Drop the records of all keyed topics, keeping the newest values."""
        for name, topic in self._topics.items():
            if name.startswith(KEYED_PREFIX):
                topic.compact()

    def expire(self, age_s: float) -> None:
        """Drop the records older than ``age_s`` of all topics without keys."""
        before = time.monotonic() - age_s
        for name, topic in self._topics.items():
            if not name.startswith(KEYED_PREFIX):
                topic.expire(before)

    def restore(self, age_s: float) -> list[KeyedValue]:
        """
        Go back to a copy that is ``age_s`` seconds old, and begin the next era.

        Returns what the operator and the servers have to write again: the newest values
        that the copy lacks. Every connection is reset.
        """
        before = time.monotonic() - age_s
        lost = []
        for name, topic in self._topics.items():
            newest_values = self.newest_values(name)
            topic.restore(before, is_keyed=name.startswith(KEYED_PREFIX))
            if name in WRITTEN_AGAIN:
                kept_values = self.newest_values(name)
                lost += [
                    KeyedValue(name, key, newest_values.get(key, b""))
                    for key in kept_values | newest_values
                    if kept_values.get(key) != newest_values.get(key)
                ]
        self._lost_values |= {(name, key): value for name, key, value in lost}
        self.era += 1
        self.restored_at.append(time.monotonic())
        self._listener.reset_all()
        return lost

    def write_again(self, lost: list[KeyedValue]) -> float:
        """Append values that a restore has lost; return the acknowledgement time."""
        for topic, key, value in lost:
            self.put(topic, key, value)
        return time.monotonic()

    def write_all_again(self) -> None:
        """Append all that restores have lost, unless its key was written since."""
        self.write_again(
            [KeyedValue(*name, value) for name, value in self._lost_values.items()]
        )

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
            writer.write(self._encode(503))
            return True
        if mode == "slow":
            await asyncio.sleep(self._random.uniform(0, 2 * MEAN_DELAY_S))
        await asyncio.sleep(self._random.uniform(*self.delay_range_s))
        is_append = request.path == APPEND_PATH
        if mode == "late" and is_append and self._is_left_unanswered():
            self._append_later(request)
            await asyncio.get_running_loop().create_future()
        handler = self._handlers.get(request.path)
        response = self._encode(404) if handler is None else await handler(request)
        is_write = request.method == "POST"
        if mode == "lost" and is_write and self._is_left_unanswered():
            await asyncio.get_running_loop().create_future()
        writer.write(response)
        await writer.drain()
        return True

    def _is_left_unanswered(self) -> bool:
        return self._random.random() < LOST_ANSWER_SHARE

    def _append_later(self, request: edgewire.Request) -> None:
        async def append():
            await asyncio.sleep(self._random.uniform(*LATE_RANGE_S))
            await self._append(request)

        task = asyncio.create_task(append())
        self._late_appends.add(task)
        task.add_done_callback(self._late_appends.discard)

    async def _append(self, request: edgewire.Request) -> bytes:
        name = request.query["Topic"]
        topic = self._topics[name]
        expected_offset = request.query.get("At")
        # Operators and servers write these topics, through ``put``; entries may not.
        if name in ("keyed.op", "keyed.servers"):
            return self._encode(403)
        if expected_offset is not None and int(expected_offset) != topic.end_offset:
            return self._json(412, {"EndOffset": topic.end_offset})
        first_offset, position = topic.end_offset, 0
        while position < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, position)
            record = request.body[position + 4 : position + 4 + size]
            topic.append(record, is_keyed=name.startswith(KEYED_PREFIX))
            position += 4 + size
        return self._json(200, {"Offset": first_offset, "EndOffset": topic.end_offset})

    async def _read(self, request: edgewire.Request) -> bytes:
        topic = self._topics[request.query["Topic"]]
        from_offset = int(request.query["From"])
        wait_until = time.monotonic() + int(request.query.get("WaitMs", 0)) / 1000
        while from_offset == topic.end_offset and time.monotonic() < wait_until:
            await asyncio.sleep(POLL_S)
        if not topic.first_offset <= from_offset <= topic.end_offset:
            return self._json(410, {"FirstOffset": topic.first_offset})
        records = topic.records[from_offset - topic.first_offset :]
        head = struct.pack(">QQ", topic.end_offset, topic.first_offset)
        parts = [struct.pack(">I", len(record)) + record for record in records]
        return self._encode(200, head + b"".join(parts))

    async def _newest(self, request: edgewire.Request) -> bytes:
        topic = self._topics[request.query["Topic"]]
        items = [
            {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
            for key, (offset, value) in topic.newest_values.items()
        ]
        body = {"Items": items, "HasMore": False, "EndOffset": topic.end_offset}
        return self._json(200, body)

    async def _report(self, request: edgewire.Request) -> bytes:
        self.reports.append(_duty_call(request))
        return self._encode(200)

    async def _order(self, request: edgewire.Request) -> bytes:
        self.orders.append(_duty_call(request))
        return self._encode(200)

    def _json(self, status: int, body: typing.Any) -> bytes:
        return self._encode(status, json.dumps(body).encode())

    def _encode(self, status: int, body: bytes = b"") -> bytes:
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return edgewire.encode(status, body, headers)


def _duty_call(request: edgewire.Request) -> DutyCall:
    return DutyCall(
        time.monotonic(),
        request.headers["duty-holder"],
        int(request.headers["fencing-token"]),
        json.loads(request.body),
    )
