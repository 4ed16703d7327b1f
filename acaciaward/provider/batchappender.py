"""
Appends records in batches, so that many records share one call to the log.

The first record after an idle period is appended at once; later ones are
collected until the interval since the last append is over and go as one batch.

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

MAX_BATCH_RECORDS = 500
MAX_CONCURRENT_APPENDS = 16
MAX_REFUSALS = 3
MAX_RETRY_AFTER_S = 0.5
RETRY_DELAY_S = 0.2
MAX_RETRIED_RECORDS = 20_000

APPENDS = prometheus_client.Counter(
    "acaciaward_log_appends_total",
    "Batched appends by stream and result",
    ["stream", "result"],
)


class _PendingRecord(typing.NamedTuple):
    record: typing.Mapping[str, typing.Any]
    done: asyncio.Future


class BatchAppender:
    """Collects records and appends them in batches while ``run`` runs."""

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
        self._pending: collections.deque[_PendingRecord] = collections.deque()
        self._pending_added = asyncio.Event()
        self._append_slots = asyncio.Semaphore(MAX_CONCURRENT_APPENDS)
        self._tasks: set[asyncio.Task] = set()
        self._retried: collections.deque[typing.Mapping] = collections.deque()
        self._retried_added = asyncio.Event()

    async def append(self, record: typing.Mapping[str, typing.Any]) -> None:
        """
        Append a record in a batch and return when the log has accepted it.

        Raises ``PlatformRefusedError`` if it was certainly not appended and
        ``PlatformUnknownError`` if it may have been.
        """
        done = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingRecord(record, done))
        self._pending_added.set()
        await done

    def append_with_retry(self, record: typing.Mapping[str, typing.Any]) -> None:
        """
        Queue a record and retry its append until the log accepts it.

        The log may then hold it more than once.
        """
        if len(self._retried) >= MAX_RETRIED_RECORDS:
            log.error("retry queue of the log is full; a record was dropped")
            return
        self._retried.append(record)
        self._retried_added.set()

    async def _append_retried(self) -> None:
        while True:
            await self._retried_added.wait()
            self._retried_added.clear()
            while self._retried:
                count = min(MAX_BATCH_RECORDS, len(self._retried))
                batch = [self._retried[index] for index in range(count)]
                try:
                    await asyncio.gather(*(self.append(record) for record in batch))
                except errors.PlatformError:
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                for _ in range(count):
                    self._retried.popleft()

    async def run(self) -> None:
        """Append queued records until cancelled."""
        self._start_task(self._append_retried())
        try:
            while True:
                await self._pending_added.wait()
                self._pending_added.clear()
                while self._pending:
                    await self._append_slots.acquire()
                    batch = self._next_batch()
                    self._start_task(self._append_batch(batch))
                    await asyncio.sleep(self._interval_s())
        finally:
            for task in list(self._tasks):
                task.cancel()

    def _next_batch(self) -> list[_PendingRecord]:
        count = min(MAX_BATCH_RECORDS, len(self._pending))
        batch = [self._pending.popleft() for _ in range(count)]
        return [pending for pending in batch if not pending.done.done()]

    async def _append_batch(self, batch: list[_PendingRecord]) -> None:
        try:
            if batch:
                await self._append_with_retries([dict(item.record) for item in batch])
        except errors.PlatformError as error:
            APPENDS.labels(self._stream, type(error).__name__).inc()
            log.warning(
                "records not appended",
                extra=logs.fields(stream=self._stream, reason=error),
            )
            for pending in batch:
                if not pending.done.done():
                    pending.done.set_exception(error)
        else:
            for pending in batch:
                if not pending.done.done():
                    pending.done.set_result(None)
        finally:
            self._append_slots.release()

    async def _append_with_retries(self, records: list[dict]) -> None:
        """Append; retries when the log refuses with a short ``retry_after_s``."""
        for refusals in range(1, MAX_REFUSALS + 1):
            try:
                await self._log.append(self._stream, records)
                APPENDS.labels(self._stream, "taken").inc()
                return
            except errors.PlatformRefusedError as error:
                retry_after_s = error.retry_after_s
                is_short = (
                    retry_after_s is not None and retry_after_s <= MAX_RETRY_AFTER_S
                )
                if not is_short or refusals == MAX_REFUSALS:
                    raise
                await asyncio.sleep(retry_after_s)

    def _start_task(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
