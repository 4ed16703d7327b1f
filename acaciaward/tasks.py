"""Keeps asyncio tasks running, and cancels them reliably."""

import asyncio
import logging
import typing
from collections import abc

from acaciaward.observability import logs

log = logging.getLogger(__name__)

# A task that has not ended this long after its cancellation is cancelled again.
CANCEL_INTERVAL_S = 0.5
# Pause before a task that has failed is run again.
RESTART_DELAY_S = 0.2


async def keep_running(
    run: abc.Callable[[], typing.Coroutine],
    *,
    on_failure: abc.Callable[[str], None] = lambda name: None,
) -> None:
    """
    Run a coroutine function until it returns, and once more after each failure.

    So no message or record that it can't handle ends its duty for good.
    """
    name = getattr(run, "__qualname__", repr(run))
    while True:
        try:
            await run()
        except Exception as error:
            log.critical(
                "a task failed and is run again",
                extra=logs.fields(task=name),
                exc_info=error,
            )
            on_failure(name)
            await asyncio.sleep(RESTART_DELAY_S)
        else:
            return


async def end_tasks(tasks: typing.Collection[asyncio.Task]) -> None:
    """
    Cancel tasks and wait until they have ended.

    A library may swallow a cancellation, so a task that doesn't end is cancelled
    again.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)
