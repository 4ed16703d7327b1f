"""
Stand-in for the platform's append-only log service with offsets.

Faults: ``outage`` answers 503 to everything, ``slow_s`` delays each call,
``lose_answers`` is the number of next appends whose answer is lost after the
effect, ``late_s`` makes appends land that much after their answer was lost,
``appends_per_s`` and ``retention_s`` are limits.
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
        self.grown = asyncio.Condition()

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
        self._allowance = 0.0
        self._allowance_time = time.monotonic()
        self._counts = {"appends": 0, "reads": 0, "records": 0, "refused": 0}
        self._late: set[asyncio.Task] = set()
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
        for number, data in enumerate(records):
            stream.records.append({"offset": first + number, "time": now, "data": data})
        self._counts["records"] += len(records)
        return list(range(first, stream.next_offset))

    async def _append(
        self, name: str, request: blacksheep.Request
    ) -> blacksheep.Response:
        await asyncio.sleep(self.faults["slow_s"])
        if self.faults["outage"]:
            return self._refuse_outage()
        if not self._take_allowance():
            self._counts["refused"] += 1
            return base.refusal_response(429, "too many appends", retry_after_s=0.2)
        given = await base.read_json(request)
        self._counts["appends"] += 1
        if self.faults["late_s"]:
            task = asyncio.create_task(self._append_late(name, given["records"]))
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return base.aborted_response()
        offsets = self.append(name, given["records"])
        await self._announce(name)
        if self.faults["lose_answers"] > 0:
            self.faults["lose_answers"] -= 1
            return base.aborted_response()
        return json_response({"offsets": offsets, "time": time.time()})

    async def _append_late(self, name: str, records: list[dict]) -> None:
        await asyncio.sleep(self.faults["late_s"])
        self.append(name, records)
        await self._announce(name)

    async def _read(self, name: str, request: blacksheep.Request):
        await asyncio.sleep(self.faults["slow_s"])
        if self.faults["outage"]:
            return self._refuse_outage()
        self._counts["reads"] += 1
        stream = self._stream(name)
        wanted = int(base.first_query_value(request, "from", "0"))
        limit = min(
            int(base.first_query_value(request, "limit", "1000")), MAX_READ_RECORDS
        )
        wait_s = float(base.first_query_value(request, "wait_s", "0"))
        await self._wait_for_record(stream, wanted, wait_s)
        self._expire(stream)
        if wanted < stream.first_offset:
            return json_response(
                {"error": "expired", "first_offset": stream.first_offset}, status=410
            )
        begin = wanted - stream.first_offset
        return json_response(
            {
                "records": stream.records[begin : begin + limit],
                "first_offset": stream.first_offset,
                "next_offset": stream.next_offset,
                "time": time.time(),
            }
        )

    async def _wait_for_record(
        self, stream: _Stream, wanted: int, wait_s: float
    ) -> None:
        if wait_s <= 0 or wanted < stream.next_offset:
            return
        try:
            async with asyncio.timeout(wait_s), stream.grown:
                await stream.grown.wait()
        except TimeoutError:
            pass

    async def _announce(self, name: str) -> None:
        stream = self._stream(name)
        async with stream.grown:
            stream.grown.notify_all()

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _expire(self, stream: _Stream) -> None:
        oldest = time.time() - self.faults["retention_s"]
        kept = 0
        while kept < len(stream.records) and stream.records[kept]["time"] < oldest:
            kept += 1
        del stream.records[:kept]
        stream.first_offset += kept

    def _take_allowance(self) -> bool:
        rate = self.faults["appends_per_s"]
        now = time.monotonic()
        self._allowance += (now - self._allowance_time) * rate
        self._allowance = min(self._allowance, max(1.0, rate * BURST_S))
        self._allowance_time = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _refuse_outage(self) -> blacksheep.Response:
        self._counts["refused"] += 1
        return base.refusal_response(503, "log service is out")
