"""
Distinguishes an endpoint's crash from a lost connection, a reclaim or a wider loss.

A lost connection alone doesn't prove a crash, so the endpoint is probed with new
connections. An endpoint that leaves as announced, or whose data centre is lost as a
whole, was not killed by a request.
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
    """
    Why connections to an endpoint were lost.

    ``ALIVE``: the endpoint still accepts connections. ``ANNOUNCED``: a hint had
    announced that it leaves. ``DATA_CENTRE_LOST``: no probed endpoint of its data
    centre accepts connections either. ``CRASHED``: none of these.
    """

    ALIVE = "alive"
    ANNOUNCED = "announced"
    DATA_CENTRE_LOST = "data_centre_lost"
    CRASHED = "crashed"


async def accepts_connection(endpoint: requests.Endpoint) -> bool:
    """Return whether an endpoint accepts a connection."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(endpoint.address, endpoint.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def keeps_accepting(endpoint: requests.Endpoint) -> bool:
    """
    Return whether an endpoint accepts a connection in every probe.

    A process that ends closes its connections shortly before its listening port, so
    one accepted connection doesn't prove that it is alive.
    """
    for pause_s in PROBE_PAUSES_S:
        await asyncio.sleep(pause_s)
        if not await accepts_connection(endpoint):
            return False
    return True


class DeathClassifier:
    """Finds the cause of the endpoint deaths that dispatch suspects."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        hints: membership_interfaces.Hints,
    ):
        self._configuration = configuration
        self._hints = hints

    async def classify(
        self, endpoint: requests.Endpoint, known_dead: set[str]
    ) -> DeathCause:
        """
        Return why connections to an endpoint were lost.

        ``known_dead`` names endpoints that died individually before; they are no
        evidence about their data centre.
        """
        leaving = membership_interfaces.HintKind.ENDPOINT_LEAVING
        if self._hints.get(leaving, endpoint.name):
            return DeathCause.ANNOUNCED
        if await keeps_accepting(endpoint):
            return DeathCause.ALIVE
        siblings = self._siblings(endpoint, known_dead)
        if not siblings:
            return DeathCause.CRASHED
        reachable = await asyncio.gather(
            *(accepts_connection(sibling) for sibling in siblings)
        )
        return DeathCause.CRASHED if any(reachable) else DeathCause.DATA_CENTRE_LOST

    def _siblings(
        self, endpoint: requests.Endpoint, known_dead: set[str]
    ) -> list[requests.Endpoint]:
        deployments = self._configuration.view.document.get("deployments", {})
        siblings = [
            candidate
            for name in deployments
            for candidate in self._configuration.endpoints(name)
            if candidate.data_centre == endpoint.data_centre
            and candidate.name != endpoint.name
            and candidate.name not in known_dead
        ]
        return siblings[:MAX_SIBLINGS]
