"""
Finds out whether this entry reaches endpoints again, and tells the other entries.

Costs nothing while endpoints answer: only doubts lead to connections.
"""

import asyncio
import logging
import typing

from acaciaward import tasks
from acaciaward.gateway import metrics, upstreams
from acaciaward.routing import reachability

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1


class Membership(typing.Protocol):
    """Where an entry announces that it doesn't reach endpoints."""

    def set_isolated(self, is_isolated: bool) -> None:
        """Announce whether this entry is cut off from endpoints, if that changed."""


class Prober:
    """Connects to the endpoints that ``reachability`` names."""

    def __init__(
        self,
        links: reachability.Reachability,
        membership: Membership,
        pool: upstreams.UpstreamPool,
        peer_pool: upstreams.UpstreamPool,
    ):
        self._links = links
        self._membership = membership
        self._pool = pool
        self._peer_pool = peer_pool
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Probe when needed, until cancelled."""
        was_cut_off = False
        try:
            while True:
                for endpoint in self._links.due_probes():
                    task = asyncio.create_task(self._pool.probe(endpoint))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                cut_off = self._links.cut_off_services
                metrics.CUT_OFF_SERVICES.set(len(cut_off))
                self._membership.set_isolated(self._links.is_isolated)
                if was_cut_off and not cut_off:
                    self._peer_pool.close()
                was_cut_off = bool(cut_off)
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            await tasks.end_tasks(self._tasks)
