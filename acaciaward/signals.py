"""
Handles the signals of a command that serves callers, up to the process's exit.

    signals.handle(asyncio.get_running_loop(), {signal.SIGTERM: stop.set})
    signals.ignore([signal.SIGTERM])

A loop's own ``add_signal_handler`` isn't used: when the loop closes, it restores the
default actions, which end the process with a failure while it exits.
"""

import asyncio
import signal
from collections import abc

Handlers = abc.Mapping[signal.Signals, abc.Callable[[], object]]


def handle(loop: asyncio.AbstractEventLoop, handlers: Handlers) -> None:
    """Call each signal's handler in the loop when the signal arrives."""

    def schedule(number: int, frame: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(handlers[signal.Signals(number)])

    for number in handlers:
        signal.signal(number, schedule)


def ignore(numbers: abc.Iterable[signal.Signals]) -> None:
    """Ignore signals from now on, as the interpreter's exit keeps no handlers."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
