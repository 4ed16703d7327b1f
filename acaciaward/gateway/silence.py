"""
Ends an attempt whose endpoint gives no sign of life.

One timer an attempt looks, however many parts its answer has.
"""

import asyncio
import types
import typing
from collections import abc

from acaciaward.gateway import errors

# How often an attempt looks whether its endpoint is silent, in seconds.
POLL_S = 0.1
# An entry that was held up reads in this time what came meanwhile, in seconds.
SETTLE_S = 0.03


class Source(typing.Protocol):
    """What bytes of the answer are awaited from."""

    def interrupt(self, error: errors.BrokenOffError) -> bool:
        """Raise an error in whoever waits for bytes; return whether anyone did."""


class Guard:
    """
    Watches one attempt while its block runs.

        with silence.Guard(link, lambda: board.is_silent(endpoint)):
            await link.exchange(...)

    The block ends with ``SilentError`` if it waits for bytes while the endpoint is
    silent at two looks in a row; time spent otherwise, such as on a slow caller,
    doesn't count.
    """

    def __init__(self, source: Source, is_silent: abc.Callable[[], bool]):
        self._source = source
        self._is_silent = is_silent
        self._was_silent = False
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "Guard":
        self._look_after(POLL_S)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _look_after(self, pause_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(pause_s, self._look)

    def _look(self) -> None:
        if not self._is_silent():
            self._was_silent = False
            self._look_after(POLL_S)
        elif not self._was_silent:
            self._was_silent = True
            self._look_after(SETTLE_S)
        else:
            silent = errors.SilentError("endpoint is silent on all its calls")
            if not self._source.interrupt(silent):
                self._look_after(POLL_S)
