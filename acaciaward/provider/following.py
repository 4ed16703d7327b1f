"""
Reads a stream of the log to its end and wakes up who waits for a nonce.

While nobody waits, a stream is read at a steady slow pace, so that the work of an
entry doesn't grow with the batches of all others.
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

READ_RECORDS = 5000
POLL_WAIT_S = 1.0
IDLE_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.1


class Replay(typing.Protocol):
    """What a follower feeds."""

    @property
    def next_offset(self) -> int:
        """The offset of the first record that hasn't been replayed."""

    def restart(self, first_offset: int) -> None:
        """Go on at an offset, since the records before it are gone."""

    def apply_page(self, page: interfaces.LogPage) -> None:
        """Replay consecutive records."""


class LogFollower:
    """
    Feeds a replay from the log.

    Records may have a field ``nonce`` that ``watch`` waits for. A quiet stream
    is best read with ``waits_when_idle``, which leaves the waiting to the log.
    ``after_page`` is called when a page was replayed.
    """

    def __init__(
        self,
        platform_log: interfaces.Log,
        stream: str,
        replay: Replay,
        *,
        waits_when_idle: bool = False,
        after_page: abc.Callable[[], None] | None = None,
    ):
        self._log = platform_log
        self._stream = stream
        self._replay = replay
        self._waits_when_idle = waits_when_idle
        self._after_page = after_page
        self._watched: dict[str, asyncio.Future] = {}
        self._wanted = asyncio.Event()
        self._page_read = asyncio.Condition()
        self._is_reachable = False
        self._is_replayed = False
        self._pages = 0
        self._log_time = 0.0
        self._log_time_seen = 0.0

    @property
    def is_reachable(self) -> bool:
        """Whether the last read succeeded and reached the stream's end."""
        return self._is_reachable and self._is_replayed

    def log_time(self) -> float:
        """Return the log's clock as it should be now, in Unix seconds."""
        return self._log_time + time.monotonic() - self._log_time_seen

    def watch(self, nonce: str) -> asyncio.Future:
        """Return a future that ends when a record with this nonce is replayed."""
        seen = asyncio.get_running_loop().create_future()
        self._watched[nonce] = seen
        self._wanted.set()
        return seen

    def unwatch(self, nonce: str) -> None:
        """Stop waiting for a nonce."""
        self._watched.pop(nonce, None)

    def read_soon(self) -> None:
        """End the pause between reads."""
        self._wanted.set()

    async def wait_until_replayed(self, timeout_s: float) -> bool:
        """Return whether the stream was replayed to its end in time."""
        try:
            async with asyncio.timeout(timeout_s), self._page_read:
                await self._page_read.wait_for(lambda: self._is_replayed)
        except TimeoutError:
            return False
        return True

    async def catch_up(self, timeout_s: float) -> bool:
        """Return whether a read that began after this call reached the end."""
        # The page after next has certainly been asked for after now.
        wanted = self._pages + 2
        try:
            async with asyncio.timeout(timeout_s), self._page_read:
                while self._pages < wanted or not self._is_replayed:
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
                self._warn("records expired unread", error)
                self._restart(error.first_offset)
            except errors.PlatformError as error:
                self._is_reachable = False
                self._warn("stream unread", error)
                await asyncio.sleep(RETRY_PAUSE_S)
            else:
                await self._pause()

    def _warn(self, event: str, reason: object) -> None:
        log.warning(event, extra=logs.fields(stream=self._stream, reason=reason))

    def _restart(self, first_offset: int) -> None:
        self._replay.restart(first_offset)
        self._is_replayed = False

    async def _pause(self) -> None:
        if not self._is_replayed or self._watched or self._waits_when_idle:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_PAUSE_S):
                await self._wanted.wait()
        self._wanted.clear()

    async def _read_once(self) -> None:
        waits = self._waits_when_idle or self._watched
        wait_s = POLL_WAIT_S if waits and self._is_replayed else 0.0
        page = await self._log.read(
            self._stream, self._replay.next_offset, limit=READ_RECORDS, wait_s=wait_s
        )
        if page.next_offset < self._replay.next_offset:
            # The log has lost records, so nothing replayed so far is certain.
            self._warn("stream was cut", page.next_offset)
            self._restart(page.first_offset)
            return
        self._replay.apply_page(page)
        self._log_time = page.time
        self._log_time_seen = time.monotonic()
        self._is_reachable = True
        self._is_replayed = self._replay.next_offset >= page.next_offset
        for record in page.records:
            self._announce(record)
        if self._after_page is not None:
            self._after_page()
        self._pages += 1
        async with self._page_read:
            self._page_read.notify_all()

    def _announce(self, record: interfaces.LogRecord) -> None:
        if not isinstance(record.data, dict):
            return
        seen = self._watched.get(record.data.get("nonce"))
        if seen is not None and not seen.done():
            seen.set_result(None)
