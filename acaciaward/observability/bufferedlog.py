"""
Writes log lines to standard output without ever blocking the process.

Lines wait in bounded buffers and are written as fast as the reader accepts them.
Below the level of warnings, lines beyond a rate are dropped, and the oldest ones
when their buffer is full. Warnings and errors have a buffer of their own and are
written first; when it is full, new ones are dropped. The number of dropped lines
is logged in a line of its own.
"""

import asyncio
import collections
import contextlib
import logging
import os
import time
import typing

import prometheus_client

from acaciaward.observability import logs

MAX_BUFFERED_LINES = 4000
FLUSH_INTERVAL_S = 0.1
MAX_WRITE_BYTES = 65536

DROPPED = prometheus_client.Counter(
    "acaciaward_log_lines_dropped_total", "Log lines that were not written"
)


class BufferedHandler(logging.Handler):
    """A logging handler that only buffers lines; ``run`` writes them."""

    def __init__(
        self,
        process_fields: dict[str, str] | None = None,
        *,
        lines_per_s: float = 400.0,
        descriptor: int = 1,
    ):
        super().__init__()
        self.setFormatter(logs.KeyValueFormatter(process_fields))
        self._lines: collections.deque[str] = collections.deque()
        self._urgent_lines: collections.deque[str] = collections.deque()
        self._lines_per_s = lines_per_s
        self._allowed_lines = lines_per_s
        self._refilled_at = time.monotonic()
        self._descriptor = descriptor
        self._unwritten = b""
        self.dropped_count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or drop it beyond the limits."""
        if record.levelno >= logging.WARNING:
            if len(self._urgent_lines) >= MAX_BUFFERED_LINES:
                self._count_drop()
                return
            self._urgent_lines.append(self.format(record))
            return
        if not self._consume_allowance():
            self._count_drop()
            return
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._lines.popleft()
            self._count_drop()
        self._lines.append(self.format(record))

    def _consume_allowance(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._refilled_at = now
        self._allowed_lines = min(self._lines_per_s, self._allowed_lines + refill)
        if self._allowed_lines < 1:
            return False
        self._allowed_lines -= 1
        return True

    def _count_drop(self) -> None:
        self.dropped_count += 1
        DROPPED.inc()

    def flush(self) -> None:
        """Write as much as the reader accepts now."""
        if self.dropped_count:
            record = logging.LogRecord(
                __name__, logging.WARNING, "", 0, "log lines dropped", None, None
            )
            record.__dict__.update(logs.fields(count=self.dropped_count))
            self.dropped_count = 0
            self._urgent_lines.append(self.format(record))
        while self._unwritten or self._urgent_lines or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten[:MAX_WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the process continues without a log.
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        lines = []
        size = 0
        while size < MAX_WRITE_BYTES and (self._urgent_lines or self._lines):
            line = (self._urgent_lines or self._lines).popleft()
            lines.append(line)
            size += len(line)
        return ("\n".join(lines) + "\n").encode()

    async def run(self) -> None:
        """Write buffered lines until cancelled."""
        try:
            while True:
                self.flush()
                await asyncio.sleep(FLUSH_INTERVAL_S)
        finally:
            self.flush()


def configure(
    level: str, process_fields: dict[str, str], *, lines_per_s: float
) -> BufferedHandler:
    """Send all log lines to standard output through a buffered handler."""
    handler = BufferedHandler(process_fields, lines_per_s=lines_per_s)
    with contextlib.suppress(OSError):
        os.set_blocking(1, False)
    root = logging.getLogger()
    root.handlers[:] = [typing.cast(logging.Handler, handler)]
    root.setLevel(level.upper())
    return handler
