"""
An event loop whose time passes at once while nothing is due.

Scenarios in one process then take as long as their work, and their outcome doesn't
depend on how busy the machine is: no timer fires late because another process ran.
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
    """The moment, in seconds."""

    def __init__(self):
        self.now = 1000.0

    def read(self):
        return self.now


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs by a clock of its own."""

    def __init__(self, clock):
        super().__init__(_Selector(clock))
        self._virtual_clock = clock
        self._clock_resolution = 1e-9

    def time(self):
        return self._virtual_clock.now


@contextlib.contextmanager
def virtual_runner():
    """Yield a runner by virtual time."""
    clock = Clock()
    with mock.patch.object(time, "monotonic", clock.read):
        with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(clock)) as runner:
            yield runner
