"""
Follows a stream of the log and wakes up tasks that wait for a record's nonce.

While no task waits, a stream is read once in ``IDLE_PAUSE_S``, so that an entry's
work doesn't grow with the number of batches that all others append.
"""

import asyncio
import contextlib
import logging
import time
import typing
from collections import abc

from acaciaward import errors
from acaciaward.observability import logs
from acaciaward.provider import interfaces

log = logging.getLogger(__name__)

MAX_RECORDS_PER_READ = 5000
POLL_WAIT_S = 1.0
IDLE_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.1


class ReplayTarget(typing.Protocol):
    """The consumer of the records of a stream."""

    @property
    def next_offset(self) -> int:
        """The offset of the first record that hasn't been replayed."""

    def restart(self, first_offset: int) -> None:
        """Continue at an offset; the records before it are no longer in the log."""

    def apply_page(self, page: interfaces.LogPage) -> None:
        """Replay consecutive records."""


class LogFollower:
    """
    Passes the records of a stream to a replay target.

    Records may have a field ``nonce`` that ``wait_for_nonce`` waits for. For a stream
    with few records use ``is_long_polling``: reads then wait at the log (long polling).
    ``after_page`` is called when a page was replayed.
    """

    def __init__(
        self,
        platform_log: interfaces.Log,
        stream: str,
        replay: ReplayTarget,
        *,
        is_long_polling: bool = False,
        after_page: abc.Callable[[], None] | None = None,
    ):
        self._log = platform_log
        self._stream = stream
        self._replay = replay
        self._is_long_polling = is_long_polling
        self._after_page = after_page
        self._waiters: dict[str, asyncio.Future] = {}
        self._read_requested = asyncio.Event()
        self._page_read = asyncio.Condition()
        self._is_reachable = False
        self._is_caught_up = False
        self._page_count = 0
        self._log_time = 0.0
        self._log_time_read_at = 0.0

    @property
    def is_reachable(self) -> bool:
        """Whether the last read succeeded and reached the stream's end."""
        return self._is_reachable and self._is_caught_up

    def log_time(self) -> float:
        """Return the current time by the log's clock, in Unix seconds, extrapolated."""
        return self._log_time + time.monotonic() - self._log_time_read_at

    def wait_for_nonce(self, nonce: str) -> asyncio.Future:
        """Return a future that completes when a record with this nonce is replayed."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[nonce] = waiter
        self._read_requested.set()
        return waiter

    def cancel_wait(self, nonce: str) -> None:
        """Stop waiting for a nonce."""
        self._waiters.pop(nonce, None)

    def read_soon(self) -> None:
        """End the idle pause between reads."""
        self._read_requested.set()

    async def wait_until_replayed(self, timeout_s: float) -> bool:
        """Wait until the stream is replayed to its end; return whether it was."""
        try:
            async with asyncio.timeout(timeout_s), self._page_read:
                await self._page_read.wait_for(lambda: self._is_caught_up)
        except TimeoutError:
            return False
        return True

    async def catch_up(self, timeout_s: float) -> bool:
        """
        Wait for a read that begins after this call to reach the stream's end.

        Returns whether it did within ``timeout_s``.
        """
        # The next page may have been requested before this call, the one after it not.
        target_count = self._page_count + 2
        try:
            async with asyncio.timeout(timeout_s), self._page_read:
                while self._page_count < target_count or not self._is_caught_up:
                    self.read_soon()
                    await self._page_read.wait()
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self._read_once()
            except errors.RecordsExpiredError as error:
                self._warn("records expired before they were read", error)
                self._restart(error.first_offset)
            except errors.PlatformError as error:
                self._is_reachable = False
                self._warn("could not read the stream", error)
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await self._pause()

    def _warn(self, event: str, reason: object) -> None:
        log.warning(event, extra=logs.fields(stream=self._stream, reason=reason))

    def _restart(self, first_offset: int) -> None:
        self._replay.restart(first_offset)
        self._is_caught_up = False

    async def _pause(self) -> None:
        if not self._is_caught_up or self._waiters or self._is_long_polling:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_PAUSE_S):
                await self._read_requested.wait()
        self._read_requested.clear()

    async def _read_once(self) -> None:
        may_wait = self._is_long_polling or self._waiters
        wait_s = POLL_WAIT_S if may_wait and self._is_caught_up else 0.0
        page = await self._log.read(
            self._stream,
            self._replay.next_offset,
            limit=MAX_RECORDS_PER_READ,
            wait_s=wait_s,
        )
        if page.next_offset < self._replay.next_offset:
            # The log has lost records, so the replayed state may be wrong: start again.
            self._warn("the log lost records of the stream", page.next_offset)
            self._restart(page.first_offset)
            return
        self._replay.apply_page(page)
        self._log_time = page.time
        self._log_time_read_at = time.monotonic()
        self._is_reachable = True
        self._is_caught_up = self._replay.next_offset >= page.next_offset
        for record in page.records:
            self._complete_waiter(record)
        if self._after_page is not None:
            self._after_page()
        self._page_count += 1
        async with self._page_read:
            self._page_read.notify_all()

    def _complete_waiter(self, record: interfaces.LogRecord) -> None:
        if not isinstance(record.data, dict):
            return
        waiter = self._waiters.get(record.data.get("nonce"))
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
