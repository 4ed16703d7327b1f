"""Builds an entry's links: connections to endpoints and peers, and what they reach."""

from acaciaward.catalogue import endpoints
from acaciaward.gateway import probing, upstreams
from acaciaward.routing import occupancy, reachability


class Links:
    """
    The connections of one entry to endpoints and peers.

    ``pool`` has those to endpoints, ``peer_pool`` those to peers, ``reachability`` says
    which services are reached and ``prober`` finds that out.
    """

    def __init__(
        self,
        directory: endpoints.Directory,
        tracker: occupancy.Occupancy,
        membership: probing.Membership,
    ):
        self._directory = directory
        self.reachability = reachability.Reachability(
            directory, tracker.is_unresponsive
        )
        self.reachability.on_cut_off = self._drop_service
        self.pool = upstreams.UpstreamPool(on_connect=self.reachability.record_connect)
        self.peer_pool = upstreams.UpstreamPool()
        self.prober = probing.Prober(
            self.reachability, membership, self.pool, self.peer_pool
        )
        directory.subscribe(self._drop_ended)

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close()
        self.peer_pool.close()

    def _drop_ended(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        if before is None:
            return
        if after is None or after.incarnation != before.incarnation:
            self.pool.drop(before.incarnation)

    def _drop_service(self, service: str) -> None:
        for endpoint in self._directory.of_service(service):
            self.pool.drop(endpoint.incarnation)
