"""
Lets many callers share reads of the store, each of which begins after they asked.

    listing = sharedread.SharedRead(topic.read_all)
    await listing.get()  # began no earlier than this call

One lost answer is no reason to refuse all that wait for it: while a read has no answer,
another one begins beside it, and one that failed is repeated. A store that can't be
reached delays a caller by ``LIMIT_S`` and the time of one call.
"""

import asyncio
import logging
import math
import time
import typing
from collections import abc

from acaciaward import errors
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Shortest time between the beginnings of two reads.
INTERVAL_S = 0.1
# A read without an answer for this long gets another one beside it.
PATIENCE_S = 0.2
# Reads that fail are repeated for this long after a caller has asked.
LIMIT_S = 0.4

Value = typing.TypeVar("Value")


class Read(typing.NamedTuple, typing.Generic[Value]):
    """The value that a read returned, or its error; ``began_at`` is monotonic."""

    began_at: float
    value: Value | None = None
    error: errors.PlatformError | None = None


class SharedRead(typing.Generic[Value]):
    """
    Reads when asked, once for all that ask within ``INTERVAL_S``.

    ``read`` may raise ``PlatformError``, and may run several times at once.
    """

    def __init__(
        self,
        read: abc.Callable[[], abc.Awaitable[Value]],
        *,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._read = read
        self._clock = clock
        # The last of those that have ended, by their beginning.
        self._newest: Read[Value] = Read(-math.inf)
        self._failed: Read[Value] = Read(-math.inf)
        self._last_began_at = -math.inf
        self._reading: set[asyncio.Task] = set()

    async def get(self) -> Read[Value]:
        """
        Return a read that begins from now on; raise if none succeeds in time.

        What an earlier read returned may have changed since.
        """
        asked_at = self._clock()
        while self._newest.began_at < asked_at:
            waited_s = self._clock() - asked_at
            if self._failed.began_at >= asked_at and waited_s >= LIMIT_S:
                raise self._failed.error
            due_s = self._due_s(asked_at)
            if due_s <= 0:
                self._begin()
                due_s = PATIENCE_S
            if self._reading:
                # A caller that gives up doesn't end the read of the others.
                await asyncio.wait(
                    self._reading,
                    timeout=due_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            else:
                await asyncio.sleep(due_s)
        return self._newest

    def _due_s(self, asked_at: float) -> float:
        """Return how long to wait before the next read begins."""
        is_awaited = self._reading and self._last_began_at >= asked_at
        pause_s = PATIENCE_S if is_awaited else INTERVAL_S
        return self._last_began_at + pause_s - self._clock()

    def _begin(self) -> None:
        self._last_began_at = self._clock()
        task = asyncio.create_task(self._read_once(self._last_began_at))
        self._reading.add(task)
        task.add_done_callback(self._reading.discard)

    async def _read_once(self, began_at: float) -> None:
        try:
            read = Read(began_at, await self._read())
        except errors.PlatformError as error:
            self._note_failure(began_at, error)
        except Exception as error:
            log.error("reading for several callers failed", exc_info=error)
            failure = errors.PlatformUnknownError(f"reading failed: {error!r}")
            self._note_failure(began_at, failure)
        else:
            if began_at > self._newest.began_at:
                self._newest = read

    def _note_failure(self, began_at: float, error: errors.PlatformError) -> None:
        log.info(
            "read for several callers failed",
            extra=logs.fields(reason=error),
        )
        if began_at > self._failed.began_at:
            self._failed = Read(began_at, error=error)
