"""
Keeps what an entry's stop means for its calls.

While the entry only leaves, calls are served as before. Once it is closed, by the clock
and however late the entry notices, a call that arrives is refused, since it might not
end in time. Calls that still run when the time is up are ended by their time limit, so
that their callers get an answer.

    shutdown = Shutdown()
    async with shutdown.limit(progress, responder):
        ...
    shutdown.give_up()  # raises TimeoutError inside the block

A stream that has begun goes on for as long as the process runs, since it can't be
answered in another way.
"""

import asyncio
import contextlib
import math
import time
import typing

from acaciaward.gateway import callers, callprogress

Running = tuple[callprogress.Progress, callers.Responder]


class Shutdown:
    """The state of the stop, and the time limits of the calls that run."""

    def __init__(self):
        self.is_stopping = False
        self._closes_at = math.inf
        self.has_given_up = False
        self.has_ended = False
        self._running: dict[asyncio.Timeout, Running] = {}

    @property
    def running(self) -> list[Running]:
        """The calls whose answers aren't complete."""
        return [
            running for running in self._running.values() if not running[1].is_finished
        ]

    @property
    def is_closed(self) -> bool:
        """Whether calls are refused now."""
        return time.monotonic() >= self._closes_at

    @contextlib.asynccontextmanager
    async def limit(
        self, progress: callprogress.Progress, responder: callers.Responder
    ) -> typing.AsyncIterator[None]:
        """Raise ``TimeoutError`` at a call's deadline, or when giving up."""
        async with asyncio.timeout_at(progress.deadline) as limit:
            self._running[limit] = (progress, responder)
            try:
                yield
            finally:
                del self._running[limit]

    def close_at(self, closes_at: float) -> None:
        """Take no more calls from a time of the steady clock on."""
        self._closes_at = closes_at

    def give_up(self) -> None:
        """End the calls that have no answer yet, now."""
        self.has_given_up = True
        now = asyncio.get_running_loop().time()
        for limit, (_, responder) in self._running.items():
            if not (responder.has_begun or limit.expired()):
                limit.reschedule(now)
