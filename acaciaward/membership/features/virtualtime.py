"""
An event loop whose clock skips to the next timer when there is nothing to do.

Scenarios then take no longer than their work, and their outcome doesn't depend on
the load of the machine: no timer fires late because another process ran.
``time.monotonic`` follows the loop's clock while the loop is in use.
"""

import asyncio
import contextlib
import selectors
import time
from unittest import mock


class _Selector(selectors.SelectSelector):
    """Advances the clock by the time that it would have waited."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self._clock.now += timeout
        return ready


class Clock:
    """The virtual time, in seconds."""

    def __init__(self):
        self.now = 1000.0

    def read(self):
        return self.now


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Schedules its timers by a virtual clock."""

    def __init__(self, clock):
        super().__init__(_Selector(clock))
        self._virtual_clock = clock
        self._clock_resolution = 1e-9

    def time(self):
        return self._virtual_clock.now


@contextlib.contextmanager
def virtual_runner():
    """Yield a runner whose loop uses virtual time."""
    clock = Clock()
    with mock.patch.object(time, "monotonic", clock.read):
        with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(clock)) as runner:
            yield runner
