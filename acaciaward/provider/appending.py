"""
Appends records in batches, so that many share one call of the log.

The first record after a pause leaves at once; the following ones wait until the
interval since the last append is over and leave together.

    appender = BatchAppender(log, "claims", interval_s=lambda: 0.02)
    await appender.append(record)
"""

import asyncio
import collections
import logging
import typing
from collections import abc

import prometheus_client

from acaciaward import errors
from acaciaward.observability import logs
from acaciaward.provider import interfaces as provider_interfaces

log = logging.getLogger(__name__)

MAX_BATCH = 500
MAX_APPENDS_AT_ONCE = 16
MAX_REFUSALS = 3
LONGEST_PAUSE_S = 0.5
REPEAT_PAUSE_S = 0.2
MAX_REPEATED = 20_000

APPENDS = prometheus_client.Counter(
    "acaciaward_log_appends_total",
    "Batched appends by stream and result",
    ["stream", "result"],
)


class _Waiting(typing.NamedTuple):
    record: typing.Mapping[str, typing.Any]
    done: asyncio.Future


class BatchAppender:
    """Collects records and appends them; ``run`` does the work."""

    def __init__(
        self,
        platform_log: provider_interfaces.Log,
        stream: str,
        *,
        interval_s: abc.Callable[[], float],
    ):
        self._log = platform_log
        self._stream = stream
        self._interval_s = interval_s
        self._waiting: collections.deque[_Waiting] = collections.deque()
        self._arrived = asyncio.Event()
        self._turns = asyncio.Semaphore(MAX_APPENDS_AT_ONCE)
        self._tasks: set[asyncio.Task] = set()
        self._repeated: collections.deque[typing.Mapping] = collections.deque()
        self._repeated_arrived = asyncio.Event()

    async def append(self, record: typing.Mapping[str, typing.Any]) -> None:
        """
        Append a record with others and return when the log has taken it.

        Raises ``PlatformRefusedError`` if it certainly hasn't and
        ``PlatformUnknownError`` if that is open.
        """
        done = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(record, done))
        self._arrived.set()
        await done

    def append_surely(self, record: typing.Mapping[str, typing.Any]) -> None:
        """Append a record that may be repeated, as often as the log needs."""
        if len(self._repeated) >= MAX_REPEATED:
            log.error("too many records wait for the log; one was dropped")
            return
        self._repeated.append(record)
        self._repeated_arrived.set()

    async def _append_repeated(self) -> None:
        while True:
            await self._repeated_arrived.wait()
            self._repeated_arrived.clear()
            while self._repeated:
                count = min(MAX_BATCH, len(self._repeated))
                batch = [self._repeated[number] for number in range(count)]
                try:
                    await asyncio.gather(*(self.append(record) for record in batch))
                except errors.PlatformError:
                    await asyncio.sleep(REPEAT_PAUSE_S)
                    continue
                for _ in range(count):
                    self._repeated.popleft()

    async def run(self) -> None:
        """Append what arrives until cancelled."""
        self._start_task(self._append_repeated())
        try:
            while True:
                await self._arrived.wait()
                self._arrived.clear()
                while self._waiting:
                    await self._turns.acquire()
                    batch = self._take_batch()
                    self._start_task(self._append_batch(batch))
                    await asyncio.sleep(self._interval_s())
        finally:
            for task in list(self._tasks):
                task.cancel()

    def _take_batch(self) -> list[_Waiting]:
        count = min(MAX_BATCH, len(self._waiting))
        batch = [self._waiting.popleft() for _ in range(count)]
        return [waiting for waiting in batch if not waiting.done.done()]

    async def _append_batch(self, batch: list[_Waiting]) -> None:
        try:
            if batch:
                await self._append_with_pauses([dict(one.record) for one in batch])
        except errors.PlatformError as error:
            APPENDS.labels(self._stream, type(error).__name__).inc()
            log.warning(
                "records not appended",
                extra=logs.fields(stream=self._stream, reason=error),
            )
            for waiting in batch:
                if not waiting.done.done():
                    waiting.done.set_exception(error)
        else:
            for waiting in batch:
                if not waiting.done.done():
                    waiting.done.set_result(None)
        finally:
            self._turns.release()

    async def _append_with_pauses(self, records: list[dict]) -> None:
        """Append, coming back when the log refuses for a stated short time."""
        for refusals in range(1, MAX_REFUSALS + 1):
            try:
                await self._log.append(self._stream, records)
                APPENDS.labels(self._stream, "taken").inc()
                return
            except errors.PlatformRefusedError as error:
                pause_s = error.retry_after_s
                is_short = pause_s is not None and pause_s <= LONGEST_PAUSE_S
                if not is_short or refusals == MAX_REFUSALS:
                    raise
                await asyncio.sleep(pause_s)

    def _start_task(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
