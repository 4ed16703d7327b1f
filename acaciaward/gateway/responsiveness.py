"""
Ends an attempt whose endpoint is unresponsive.

Each attempt has a single polling timer, however many parts its answer has.
"""

import asyncio
import types
import typing
from collections import abc

from acaciaward.gateway import errors

# How often an attempt checks whether its endpoint is unresponsive.
CHECK_INTERVAL_S = 0.1
# An entry whose event loop was blocked reads in this time what arrived meanwhile.
RECHECK_DELAY_S = 0.03


class Source(typing.Protocol):
    """The connection that an attempt waits on for bytes of its answer."""

    def interrupt(self, error: errors.BrokenOffError) -> bool:
        """Raise an error in a call that waits for bytes; return whether one does."""


class Guard:
    """
    Monitors one attempt while its block runs.

        with responsiveness.Guard(upstream, lambda: tracker.is_unresponsive(endpoint)):
            await upstream.exchange(...)

    The block ends with ``SilentError`` if it waits for bytes while the endpoint is
    unresponsive at two checks in a row. Time spent otherwise, such as on a slow
    caller, doesn't count.
    """

    def __init__(self, source: Source, is_unresponsive: abc.Callable[[], bool]):
        self._source = source
        self._is_unresponsive = is_unresponsive
        self._was_unresponsive = False
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "Guard":
        self._schedule_check(CHECK_INTERVAL_S)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_check(self, delay_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._check)

    def _check(self) -> None:
        if not self._is_unresponsive():
            self._was_unresponsive = False
            self._schedule_check(CHECK_INTERVAL_S)
        elif not self._was_unresponsive:
            self._was_unresponsive = True
            self._schedule_check(RECHECK_DELAY_S)
        else:
            error = errors.SilentError("endpoint sends no data to any of its calls")
            if not self._source.interrupt(error):
                self._schedule_check(CHECK_INTERVAL_S)
