"""Waits for an endpoint only as long as it gives a sign of life."""

import asyncio
import typing
from collections import abc

from acaciaward.gateway import errors

# How often a call that waits looks whether its endpoint is silent, in seconds.
POLL_S = 0.1
# What has come is read in this time, in seconds.
SETTLE_S = 0.03

_Awaited = typing.TypeVar("_Awaited")


async def unless(
    awaited: abc.Coroutine[typing.Any, typing.Any, _Awaited],
    is_silent: abc.Callable[[], bool],
) -> _Awaited:
    """Return what is awaited, or raise ``SilentError`` once the endpoint is silent."""
    waiting = asyncio.ensure_future(awaited)
    try:
        while True:
            await asyncio.wait({waiting}, timeout=POLL_S)
            if waiting.done():
                return waiting.result()
            if not is_silent():
                continue
            # An entry that was held up has yet to read what came meanwhile.
            await asyncio.wait({waiting}, timeout=SETTLE_S)
            if not waiting.done() and is_silent():
                raise errors.SilentError("endpoint is silent on all its calls")
    finally:
        waiting.cancel()
