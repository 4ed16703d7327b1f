"""
Tells a crash of an endpoint from a lost connection, a reclaim and a wider loss.

A broken connection alone proves nothing, so the endpoint is asked for another
one. An endpoint that leaves as announced, or whose whole data centre is gone,
was not killed by a request.
"""

import asyncio
import enum

from acaciaward import requests
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.membership import interfaces as membership_interfaces

PROBE_TIMEOUT_S = 0.4
PROBE_PAUSES_S = (0.0, 0.05, 0.15)
MAX_SIBLINGS = 3


class DeathCause(enum.Enum):
    """What a lost connection to an endpoint turned out to be."""

    ALIVE = "alive"
    ANNOUNCED = "announced"
    DATA_CENTRE_LOST = "data_centre_lost"
    CRASHED = "crashed"


async def accepts(endpoint: requests.Endpoint) -> bool:
    """Return whether an endpoint accepts a connection."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def stays_alive(endpoint: requests.Endpoint) -> bool:
    """
    Return whether an endpoint goes on accepting connections.

    A process that ends closes its connections a moment before the port that it
    listens on, so one accepted connection proves nothing.
    """
    for pause_s in PROBE_PAUSES_S:
        await asyncio.sleep(pause_s)
        if not await accepts(endpoint):
            return False
    return True


class DeathJudge:
    """Judges the deaths that dispatch suspects."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        hints: membership_interfaces.Hints,
    ):
        self._configuration = configuration
        self._hints = hints

    async def judge(
        self, endpoint: requests.Endpoint, known_dead: set[str]
    ) -> DeathCause:
        """
        Return why an endpoint's connections broke.

        ``known_dead`` names endpoints that died on their own before, which say
        nothing about their data centre.
        """
        leaving = membership_interfaces.HintKind.ENDPOINT_LEAVING
        if self._hints.get(leaving, endpoint.name):
            return DeathCause.ANNOUNCED
        if await stays_alive(endpoint):
            return DeathCause.ALIVE
        siblings = self._siblings(endpoint, known_dead)
        if not siblings:
            return DeathCause.CRASHED
        answers = await asyncio.gather(*(accepts(one) for one in siblings))
        return DeathCause.CRASHED if any(answers) else DeathCause.DATA_CENTRE_LOST

    def _siblings(
        self, endpoint: requests.Endpoint, known_dead: set[str]
    ) -> list[requests.Endpoint]:
        deployments = self._configuration.view.document.get("deployments", {})
        siblings = [
            one
            for name in deployments
            for one in self._configuration.endpoints(name)
            if one.data_centre == endpoint.data_centre
            and one.name != endpoint.name
            and one.name not in known_dead
        ]
        return siblings[:MAX_SIBLINGS]
