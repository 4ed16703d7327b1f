"""
Lets many callers share reads of the store, each of which begins after they asked.

    listing = sharedread.SharedRead(topic.read_all)
    await listing.get()  # began no earlier than this call

A read that fails fails for all that wait for it, so that a store which can't be reached
delays none of them by more than one call.
"""

import asyncio
import logging
import math
import time
import typing
from collections import abc

from acaciaward import errors

log = logging.getLogger(__name__)

# Shortest time between the beginnings of two reads.
INTERVAL_S = 0.1

Value = typing.TypeVar("Value")


class Read(typing.NamedTuple, typing.Generic[Value]):
    """The value that a read returned, or its error; ``began_at`` is monotonic."""

    began_at: float
    value: Value | None = None
    error: errors.PlatformError | None = None


class SharedRead(typing.Generic[Value]):
    """
    Reads when asked, once for all that ask within ``INTERVAL_S``.

    ``read`` may raise ``PlatformError``.
    """

    def __init__(
        self,
        read: abc.Callable[[], abc.Awaitable[Value]],
        *,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._read = read
        self._clock = clock
        self._newest: Read[Value] = Read(-math.inf)
        self._reading: asyncio.Task | None = None

    async def get(self) -> Read[Value]:
        """
        Return the first read that begins from now on; raise if it fails.

        What an earlier read returned may have changed since.
        """
        asked_at = self._clock()
        while self._newest.began_at < asked_at:
            if self._reading is None:
                self._reading = asyncio.create_task(self._read_next())
            # A caller that gives up doesn't end the read of the others.
            await asyncio.wait([self._reading])
        if self._newest.error is not None:
            raise self._newest.error
        return self._newest

    async def _read_next(self) -> None:
        since_s = self._clock() - self._newest.began_at
        began_at = self._clock()
        try:
            await asyncio.sleep(max(0.0, INTERVAL_S - since_s))
            began_at = self._clock()
            self._newest = Read(began_at, await self._read())
        except errors.PlatformError as error:
            self._newest = Read(began_at, error=error)
        except Exception as error:
            log.error("reading for several callers failed", exc_info=error)
            failure = errors.PlatformUnknownError(f"reading failed: {error!r}")
            self._newest = Read(began_at, error=failure)
        finally:
            self._reading = None
