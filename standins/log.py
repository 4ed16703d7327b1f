"""
Stand-in for the platform's append-only log service with offsets.

Faults: ``outage`` answers 503 to everything, ``slow_s`` delays each call,
``lose_answers`` is how many of the next appends take effect but have their
response aborted, ``late_s`` aborts the response of each append and applies the
append that much later, ``appends_per_s`` and ``retention_s`` are limits.
"""

import asyncio
import time
import typing

import blacksheep
from blacksheep.server.responses import json as json_response

from standins import base

MAX_READ_RECORDS = 5000
BURST_S = 0.5


class _Stream:
    def __init__(self):
        self.first_offset = 0
        self.records: list[dict[str, typing.Any]] = []
        self.appended = asyncio.Condition()

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)


class LogStandIn(base.StandIn):
    """Keeps streams of records in memory."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0):
        super().__init__(address, port)
        self.faults = {
            "outage": False,
            "slow_s": 0.0,
            "lose_answers": 0,
            "late_s": 0.0,
            "appends_per_s": 500.0,
            "retention_s": 86400.0,
        }
        self._streams: dict[str, _Stream] = {}
        self._append_permits = 0.0
        self._permits_updated_at = time.monotonic()
        self._counts = {"appends": 0, "reads": 0, "records": 0, "refused": 0}
        self._late_append_tasks: set[asyncio.Task] = set()
        self.add_route("POST", "/streams/{name}/records", self._append)
        self.add_route("GET", "/streams/{name}/records", self._read)

    def stats(self) -> dict[str, typing.Any]:
        """Return the counters of appends, reads, records and refusals."""
        return dict(self._counts)

    def append(self, name: str, records: list[dict]) -> list[int]:
        """Append records at once, as an operator with direct access would."""
        stream = self._stream(name)
        first = stream.next_offset
        now = time.time()
        for position, data in enumerate(records):
            stream.records.append(
                {"offset": first + position, "time": now, "data": data}
            )
        self._counts["records"] += len(records)
        return list(range(first, stream.next_offset))

    async def _append(
        self, name: str, request: blacksheep.Request
    ) -> blacksheep.Response:
        await asyncio.sleep(self.faults["slow_s"])
        if self.faults["outage"]:
            return self._refuse_outage()
        if not self._acquire_append_permit():
            self._counts["refused"] += 1
            return base.refusal_response(429, "too many appends", retry_after_s=0.2)
        body = await base.read_json(request)
        self._counts["appends"] += 1
        if self.faults["late_s"]:
            task = asyncio.create_task(self._append_late(name, body["records"]))
            self._late_append_tasks.add(task)
            task.add_done_callback(self._late_append_tasks.discard)
            return base.aborted_response()
        offsets = self.append(name, body["records"])
        await self._notify_readers(name)
        if self.faults["lose_answers"] > 0:
            self.faults["lose_answers"] -= 1
            return base.aborted_response()
        return json_response({"offsets": offsets, "time": time.time()})

    async def _append_late(self, name: str, records: list[dict]) -> None:
        await asyncio.sleep(self.faults["late_s"])
        self.append(name, records)
        await self._notify_readers(name)

    async def _read(self, name: str, request: blacksheep.Request):
        await asyncio.sleep(self.faults["slow_s"])
        if self.faults["outage"]:
            return self._refuse_outage()
        self._counts["reads"] += 1
        stream = self._stream(name)
        from_offset = int(base.first_query_value(request, "from", "0"))
        limit = min(
            int(base.first_query_value(request, "limit", "1000")), MAX_READ_RECORDS
        )
        wait_s = float(base.first_query_value(request, "wait_s", "0"))
        await self._wait_for_record(stream, from_offset, wait_s)
        self._expire(stream)
        if from_offset < stream.first_offset:
            return json_response(
                {"error": "expired", "first_offset": stream.first_offset}, status=410
            )
        begin_index = from_offset - stream.first_offset
        return json_response(
            {
                "records": stream.records[begin_index : begin_index + limit],
                "first_offset": stream.first_offset,
                "next_offset": stream.next_offset,
                "time": time.time(),
            }
        )

    async def _wait_for_record(
        self, stream: _Stream, from_offset: int, wait_s: float
    ) -> None:
        if wait_s <= 0 or from_offset < stream.next_offset:
            return
        try:
            async with asyncio.timeout(wait_s), stream.appended:
                await stream.appended.wait()
        except TimeoutError:
            pass

    async def _notify_readers(self, name: str) -> None:
        stream = self._stream(name)
        async with stream.appended:
            stream.appended.notify_all()

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, stream: _Stream) -> None:
        oldest = time.time() - self.faults["retention_s"]
        expired_count = 0
        while (
            expired_count < len(stream.records)
            and stream.records[expired_count]["time"] < oldest
        ):
            expired_count += 1
        del stream.records[:expired_count]
        stream.first_offset += expired_count

    def _acquire_append_permit(self) -> bool:
        rate = self.faults["appends_per_s"]
        now = time.monotonic()
        self._append_permits += (now - self._permits_updated_at) * rate
        self._append_permits = min(self._append_permits, max(1.0, rate * BURST_S))
        self._permits_updated_at = now
        if self._append_permits < 1:
            return False
        self._append_permits -= 1
        return True

    def _refuse_outage(self) -> blacksheep.Response:
        self._counts["refused"] += 1
        return base.refusal_response(503, "log service is out")
