"""
Notices that the endpoint of an attempt is silent.

Each attempt has a single polling timer, however many parts its answer has.
"""

import asyncio
import types
import typing
from collections import abc

# How often an attempt checks whether its endpoint is silent.
CHECK_INTERVAL_S = 0.1
# An entry whose event loop was blocked reads in this time what arrived meanwhile.
RECHECK_DELAY_S = 0.03


class Source(typing.Protocol):
    """The connection that an attempt waits on for bytes of its answer."""

    @property
    def is_waiting(self) -> bool:
        """Whether a call waits for bytes."""


class Guard:
    """
    Monitors one attempt while its block runs.

        with responsiveness.Guard(upstream, is_silent, contender.start_backup):
            await upstream.exchange(...)

    ``on_silent`` is called while the block waits for bytes and the endpoint was silent
    at two checks in a row, again and again. Time spent otherwise, such as on a slow
    caller, doesn't count. The first check comes after ``first_check_s``.
    """

    def __init__(
        self,
        source: Source,
        is_silent: abc.Callable[[], bool],
        on_silent: abc.Callable[[], None],
        *,
        first_check_s: float = CHECK_INTERVAL_S,
    ):
        self._source = source
        self._is_silent = is_silent
        self._on_silent = on_silent
        self._first_check_s = first_check_s
        self._was_silent = False
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "Guard":
        self._schedule_check(self._first_check_s)
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
        if not self._is_silent():
            self._was_silent = False
            self._schedule_check(CHECK_INTERVAL_S)
        elif not self._was_silent:
            self._was_silent = True
            self._schedule_check(RECHECK_DELAY_S)
        else:
            self._schedule_check(CHECK_INTERVAL_S)
            if self._source.is_waiting:
                self._on_silent()
