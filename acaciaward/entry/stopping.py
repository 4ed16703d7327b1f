"""
The sequence in which an entry stops.

Callers with an older answer of discovery are served until it has expired. What
still runs then may finish for a while; streams and model requests are handed to
a peer after that; and shortly before the limit everything else is answered.
"""

import asyncio
import time
import typing

from acaciaward import httpserver
from acaciaward.callers import drain

OLDER_ANSWERS_SHARE = 0.5
HAND_OVER_SHARE = 0.3
GIVE_UP_S = 0.5


class StopLimits(typing.NamedTuple):
    """
    Times of a stop in seconds.

    ``limit_s`` bounds all of it, ``lifetime_s`` is that of discovery's answers,
    and ``finish_s`` what running requests may take before they are handed over.
    """

    limit_s: float
    lifetime_s: float
    finish_s: float


async def drain_requests(requests_drain: drain.Drain, limits: StopLimits) -> float:
    """
    End every open request and return the seconds that are left.

    A short limit, such as that of a reclaim notice, shortens each phase.
    """
    deadline = time.monotonic() + limits.limit_s
    requests_drain.enter(drain.Phase.LEAVING)
    older_s = min(limits.lifetime_s, limits.limit_s * OLDER_ANSWERS_SHARE)
    await asyncio.sleep(older_s)
    left_s = deadline - time.monotonic()
    finish_s = min(limits.finish_s, left_s - limits.limit_s * HAND_OVER_SHARE)
    if not await requests_drain.wait_until_idle(finish_s):
        requests_drain.enter(drain.Phase.HANDING_OVER)
    await requests_drain.wait_until_idle(deadline - time.monotonic() - GIVE_UP_S)
    requests_drain.enter(drain.Phase.GIVING_UP)
    await requests_drain.wait_until_idle(GIVE_UP_S)
    return max(0.0, deadline - time.monotonic())


async def stop_server(
    server: httpserver.HttpServer, requests_drain: drain.Drain, left_s: float
) -> int:
    """Stop listening; return how many requests had to be cut at the limit."""
    stopping = asyncio.ensure_future(server.stop())
    await asyncio.wait({stopping}, timeout=max(GIVE_UP_S, left_s))
    cut = requests_drain.cut_requests + requests_drain.open_requests
    if not stopping.done():
        await server.kill()
    await asyncio.gather(stopping, return_exceptions=True)
    return cut
