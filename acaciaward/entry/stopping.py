"""
Stops an entry in phases.

Callers may still use a discovery answer that lists this entry, so new requests are
served until the last such answer has expired. Requests still open then get some time
to finish. After that, streams and model requests are handed over to a peer, and
shortly before the limit all others get their final answer.
"""

import asyncio
import time
import typing

from acaciaward import httpserver
from acaciaward.callers import drain

# Fractions of the limit: how much at most the wait for discovery answers to expire may
# use, and how much is reserved for the hand-over.
MAX_EXPIRY_WAIT_SHARE = 0.5
HAND_OVER_SHARE = 0.3
ABORT_S = 0.5


class StopLimits(typing.NamedTuple):
    """
    Durations of a stop in seconds.

    ``limit_s`` bounds the whole stop, ``discovery_lifetime_s`` is how long discovery
    answers are valid, ``finish_s`` how long requests may run on before hand-over.
    """

    limit_s: float
    discovery_lifetime_s: float
    finish_s: float


async def drain_requests(request_drain: drain.Drain, limits: StopLimits) -> float:
    """
    End every open request and return the seconds that are left.

    A short limit, such as that of a reclaim notice, shortens each phase.
    """
    deadline = time.monotonic() + limits.limit_s
    request_drain.enter(drain.Phase.LEAVING)
    expiry_wait_s = min(
        limits.discovery_lifetime_s, limits.limit_s * MAX_EXPIRY_WAIT_SHARE
    )
    await asyncio.sleep(expiry_wait_s)
    left_s = deadline - time.monotonic()
    finish_s = min(limits.finish_s, left_s - limits.limit_s * HAND_OVER_SHARE)
    if not await request_drain.wait_until_idle(finish_s):
        request_drain.enter(drain.Phase.HANDING_OVER)
    await request_drain.wait_until_idle(deadline - time.monotonic() - ABORT_S)
    request_drain.enter(drain.Phase.ABORTING)
    await request_drain.wait_until_idle(ABORT_S)
    return max(0.0, deadline - time.monotonic())


async def stop_server(
    server: httpserver.HttpServer, request_drain: drain.Drain, left_s: float
) -> int:
    """Stop listening and return how many requests were aborted by the limit."""
    stop_task = asyncio.ensure_future(server.stop())
    await asyncio.wait({stop_task}, timeout=max(ABORT_S, left_s))
    aborted = request_drain.aborted_requests + request_drain.open_requests
    if not stop_task.done():
        await server.kill()
    await asyncio.gather(stop_task, return_exceptions=True)
    return aborted
