"""
Three sources that announce departures: notices, instance list, engines.

Each is one task that reads its source until cancelled. A source that is down is
asked again after a pause; the others go on meanwhile.
"""

import asyncio
import logging
import random
import time
import typing
from collections import abc

from acaciaward import errors, requests
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import departures
from acaciaward.observability import logs
from acaciaward.provider import interfaces as provider_interfaces

log = logging.getLogger(__name__)

NOTICE_WAIT_S = 10.0
LEAVING_STATE = "leaving"
INSTANCE_BYTES = 210


class WatchLimits(typing.NamedTuple):
    """
    Pause between two looks and the notice assumed when none is told.

    ``list_bytes_per_s`` bounds what reading the instance list may cost.
    """

    poll_s: float
    assumed_notice_s: float
    list_bytes_per_s: float


def list_pause_s(instance_count: int, limits: WatchLimits) -> float:
    """
    Return the seconds between two reads of the instance list.

    The list is read whole, so the pause grows with its length once its bytes
    would pass the bound. Notices and engines' words don't wait for it.
    """
    bound_s = instance_count * INSTANCE_BYTES / limits.list_bytes_per_s
    return max(limits.poll_s, bound_s)


async def watch_notices(
    cloud: provider_interfaces.Cloud,
    known: departures.Departures,
    limits: WatchLimits,
) -> None:
    """Read the cloud's notices by long poll."""
    offset = 0
    while True:
        try:
            notices = await cloud.notices(offset, wait_s=NOTICE_WAIT_S)
        except errors.PlatformError as error:
            log.warning("notices can't be read", extra=logs.fields(reason=error))
            await asyncio.sleep(limits.poll_s)
            continue
        for notice in notices:
            offset = max(offset, notice.offset + 1)
            known.announce(
                notice.instance, notice.deadline, source="notice", is_firm=True
            )


async def watch_instances(
    listing: provider_interfaces.InstanceList,
    known: departures.Departures,
    limits: WatchLimits,
) -> None:
    """Read the lagging instance list."""
    while True:
        try:
            instances = await listing.instances()
        except errors.PlatformError as error:
            log.warning("instance list can't be read", extra=logs.fields(reason=error))
            instances = []
        for instance in instances:
            if instance.state == LEAVING_STATE:
                deadline = time.time() + limits.assumed_notice_s
                known.announce(instance.name, deadline, source="instance_list")
        await asyncio.sleep(list_pause_s(len(instances), limits))


async def watch_engines(
    engine: endpoints_interfaces.ModelEngine,
    busy: abc.Callable[[], abc.Sequence[requests.Endpoint]],
    others: abc.Callable[[], abc.Sequence[requests.Endpoint]],
    known: departures.Departures,
    limits: WatchLimits,
    chooser: random.Random | None = None,
) -> None:
    """
    Ask engines whether they leave.

    Each round asks those that run streams of this entry and one other, so the
    cost doesn't grow with the number of engines.
    """
    drawn = chooser or random.Random()
    while True:
        asked = {endpoint.name: endpoint for endpoint in busy()}
        rest = [endpoint for endpoint in others() if endpoint.name not in asked]
        if rest:
            one = drawn.choice(rest)
            asked[one.name] = one
        await asyncio.gather(
            *(_ask_engine(engine, one, known, limits) for one in asked.values())
        )
        await asyncio.sleep(limits.poll_s)


async def _ask_engine(
    engine: endpoints_interfaces.ModelEngine,
    endpoint: requests.Endpoint,
    known: departures.Departures,
    limits: WatchLimits,
) -> None:
    if known.is_leaving(endpoint.name):
        return
    try:
        load = await engine.load(endpoint)
    except errors.EndpointError:
        # Whether an engine that doesn't answer is dead is for others to judge.
        return
    if load.leaving:
        deadline = time.time() + limits.assumed_notice_s
        known.announce(endpoint.name, deadline, source="engine")
