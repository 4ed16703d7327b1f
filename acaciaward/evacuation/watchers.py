"""
Watches three sources of departures: notices, the instance list and engines.

Each watcher is a task that polls its source until cancelled. A source that is down is
retried after a pause, without affecting the others.
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

NOTICE_POLL_TIMEOUT_S = 10.0
LEAVING_STATE = "leaving"
LIST_BYTES_PER_INSTANCE = 210


class WatcherSettings(typing.NamedTuple):
    """
    The pause between two polls, and limits of the watchers.

    ``assumed_notice_s`` is the time to the deadline where the source doesn't give it.
    ``list_bytes_per_s`` bounds the traffic of reading the instance list.
    """

    poll_s: float
    assumed_notice_s: float
    list_bytes_per_s: float


def list_pause_s(instance_count: int, limits: WatcherSettings) -> float:
    """
    Return the seconds between two reads of the instance list.

    Each read transfers the complete list, so the pause grows with its length once the
    traffic would exceed the bound. Notices and engines are polled independently.
    """
    min_pause_s = instance_count * LIST_BYTES_PER_INSTANCE / limits.list_bytes_per_s
    return max(limits.poll_s, min_pause_s)


async def watch_notices(
    cloud: provider_interfaces.Cloud,
    known_departures: departures.Departures,
    limits: WatcherSettings,
) -> None:
    """Announce the instances that the cloud's notices name, by long poll."""
    offset = 0
    while True:
        try:
            notices = await cloud.notices(offset, wait_s=NOTICE_POLL_TIMEOUT_S)
        except errors.PlatformError as error:
            log.warning("reading notices failed", extra=logs.fields(reason=error))
            await asyncio.sleep(limits.poll_s)
            continue
        for notice in notices:
            offset = max(offset, notice.offset + 1)
            known_departures.announce(
                notice.instance, notice.deadline, source="notice", is_firm=True
            )


async def watch_instances(
    listing: provider_interfaces.InstanceList,
    known_departures: departures.Departures,
    limits: WatcherSettings,
) -> None:
    """Announce the instances that the instance list, which lags, shows as leaving."""
    while True:
        try:
            instances = await listing.instances()
        except errors.PlatformError as error:
            log.warning("reading instance list failed", extra=logs.fields(reason=error))
            instances = []
        for instance in instances:
            if instance.state == LEAVING_STATE:
                deadline = time.time() + limits.assumed_notice_s
                known_departures.announce(
                    instance.name, deadline, source="instance_list"
                )
        await asyncio.sleep(list_pause_s(len(instances), limits))


async def watch_engines(
    engine: endpoints_interfaces.ModelEngine,
    busy_endpoints: abc.Callable[[], abc.Sequence[requests.Endpoint]],
    model_endpoints: abc.Callable[[], abc.Sequence[requests.Endpoint]],
    known_departures: departures.Departures,
    limits: WatcherSettings,
    rng: random.Random | None = None,
) -> None:
    """
    Announce engines that report that they are leaving.

    Each round polls the engines that run streams of this entry and one other at
    random, so the cost doesn't grow with the number of engines.
    """
    generator = rng or random.Random()
    while True:
        polled = {endpoint.name: endpoint for endpoint in busy_endpoints()}
        other_endpoints = [
            endpoint for endpoint in model_endpoints() if endpoint.name not in polled
        ]
        if other_endpoints:
            sampled = generator.choice(other_endpoints)
            polled[sampled.name] = sampled
        await asyncio.gather(
            *(
                _poll_engine(engine, endpoint, known_departures, limits)
                for endpoint in polled.values()
            )
        )
        await asyncio.sleep(limits.poll_s)


async def _poll_engine(
    engine: endpoints_interfaces.ModelEngine,
    endpoint: requests.Endpoint,
    known_departures: departures.Departures,
    limits: WatcherSettings,
) -> None:
    if known_departures.is_leaving(endpoint.name):
        return
    try:
        load = await engine.load(endpoint)
    except errors.EndpointError:
        # Other modules detect engines that have failed.
        return
    if load.leaving:
        deadline = time.time() + limits.assumed_notice_s
        known_departures.announce(endpoint.name, deadline, source="engine")
