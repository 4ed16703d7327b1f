"""Routes for health probes, which need no key, and for metrics, which need one."""

import collections

import blacksheep

from acaciaward.administration import access, routes
from acaciaward.callers import answers
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import metrics

STATUS_BY_READINESS = {True: 200, False: 503}


class HealthRoutes:
    """Routes for liveness, readiness and metrics."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        membership: membership_interfaces.Membership,
        access_control: access.AccessControl,
    ):
        self._configuration = configuration
        self._access = access_control
        self._membership = membership

    def routes(self) -> list[routes.Route]:
        """Return the routes of this group."""
        return [
            routes.Route("GET", "/healthz", self._get_health),
            routes.Route("GET", "/readyz", self._get_readiness),
            routes.Route("GET", "/metrics", self._get_metrics),
        ]

    async def _get_health(self) -> blacksheep.Response:
        """Confirm that the process answers requests (liveness)."""
        return answers.json_response({"status": "alive"})

    async def _get_readiness(self) -> blacksheep.Response:
        """Return 200 if this entry's configuration is known to be current, else 503."""
        is_current = self._configuration.is_current
        body = {"current": is_current, "version": self._configuration.view.version}
        return answers.json_response(body, STATUS_BY_READINESS[is_current])

    async def _get_metrics(self, request: blacksheep.Request) -> blacksheep.Response:
        """Return all metrics in the Prometheus text format; needs a viewer's key."""
        self._access.require(request, access.Right.READ)
        self._update_gauges()
        content = blacksheep.Content(b"text/plain; version=0.0.4", metrics.render())
        return blacksheep.Response(200, content=content)

    def _update_gauges(self) -> None:
        metrics.CONFIGURATION_CURRENT.set(self._configuration.is_current)
        counts = collections.Counter(peer.state for peer in self._membership.peers())
        for state in membership_interfaces.PeerState:
            metrics.ENTRIES.labels(state.value).set(counts[state])
