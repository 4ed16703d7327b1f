"""Cancels asyncio tasks reliably."""

import asyncio
import typing

# A task that has not ended this long after its cancellation is cancelled again.
CANCEL_INTERVAL_S = 0.5


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
