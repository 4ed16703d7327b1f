"""
Writes log lines to standard output without ever holding up the process.

Lines wait in a bounded buffer and are written as the reader takes them. Beyond a
rate, lines below warnings are dropped; when the buffer is full, the oldest of them
go first. What was dropped is counted, and said in a line of its own.
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

MAX_LINES = 4000
FLUSH_S = 0.1
WRITE_BYTES = 65536

DROPPED = prometheus_client.Counter(
    "acaciaward_log_lines_dropped_total", "Log lines that were not written"
)


class Outlet(logging.Handler):
    """A logging handler that buffers; ``run`` writes."""

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
        self._urgent: collections.deque[str] = collections.deque()
        self._lines_per_s = lines_per_s
        self._allowance = lines_per_s
        self._since = time.monotonic()
        self._descriptor = descriptor
        self._rest = b""
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line, unless it is one too many."""
        if record.levelno >= logging.WARNING:
            if len(self._urgent) >= MAX_LINES:
                self._drop()
                return
            self._urgent.append(self.format(record))
            return
        if not self._allow():
            self._drop()
            return
        if len(self._lines) >= MAX_LINES:
            self._lines.popleft()
            self._drop()
        self._lines.append(self.format(record))

    def _allow(self) -> bool:
        now = time.monotonic()
        gained = (now - self._since) * self._lines_per_s
        self._since = now
        self._allowance = min(self._lines_per_s, self._allowance + gained)
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _drop(self) -> None:
        self.dropped += 1
        DROPPED.inc()

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        if self.dropped:
            record = logging.LogRecord(
                __name__, logging.WARNING, "", 0, "log lines dropped", None, None
            )
            record.__dict__.update(logs.fields(count=self.dropped))
            self.dropped = 0
            self._urgent.append(self.format(record))
        while self._rest or self._urgent or self._lines:
            if not self._rest:
                self._rest = self._take()
            try:
                written = os.write(self._descriptor, self._rest[:WRITE_BYTES])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the process goes on without a log.
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _take(self) -> bytes:
        lines = []
        size = 0
        while size < WRITE_BYTES and (self._urgent or self._lines):
            line = (self._urgent or self._lines).popleft()
            lines.append(line)
            size += len(line)
        return ("\n".join(lines) + "\n").encode()

    async def run(self) -> None:
        """Write until cancelled."""
        try:
            while True:
                self.flush()
                await asyncio.sleep(FLUSH_S)
        finally:
            self.flush()


def configure(
    level: str, process_fields: dict[str, str], *, lines_per_s: float
) -> Outlet:
    """Send all log lines to standard output through an outlet."""
    outlet = Outlet(process_fields, lines_per_s=lines_per_s)
    with contextlib.suppress(OSError):
        os.set_blocking(1, False)
    root = logging.getLogger()
    root.handlers[:] = [typing.cast(logging.Handler, outlet)]
    root.setLevel(level.upper())
    return outlet
