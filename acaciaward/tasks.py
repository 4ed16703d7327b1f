"""Ends tasks of asyncio surely."""

import asyncio
import typing

# A task that has not ended this long after a cancel is cancelled again, in seconds.
CANCEL_AGAIN_S = 0.5


async def end_tasks(tasks: typing.Collection[asyncio.Task]) -> None:
    """
    Cancel tasks until they have ended.

    A library may lose a cancel, so one that doesn't end is cancelled again.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)
