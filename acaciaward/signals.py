"""
Handles the signals of a command that serves callers, up to the process's exit.

    signals.handle(asyncio.get_running_loop(), {signal.SIGTERM: request_stop})
    signals.ignore([signal.SIGTERM])

A loop's own ``add_signal_handler`` isn't used: when the loop closes, it restores the
default actions, which end the process with a failure while it exits.
"""

import asyncio
import signal
import time
from collections import abc

# Gets the time of the steady clock at which the signal arrived.
Handler = abc.Callable[[float], object]
Handlers = abc.Mapping[signal.Signals, Handler]


def handle(loop: asyncio.AbstractEventLoop, handlers: Handlers) -> None:
    """Call each signal's handler in the loop when the signal arrives."""

    def schedule(number: int, frame: object) -> None:
        if not loop.is_closed():
            handler = handlers[signal.Signals(number)]
            loop.call_soon_threadsafe(handler, time.monotonic())

    for number in handlers:
        signal.signal(number, schedule)


def ignore(numbers: abc.Iterable[signal.Signals]) -> None:
    """Ignore signals from now on, as the interpreter's exit keeps no handlers."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)
