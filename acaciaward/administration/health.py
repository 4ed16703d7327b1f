"""Routes for probes and scrapers, which need no key."""

import blacksheep

from acaciaward.administration import routes
from acaciaward.callers import answers
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.observability import metrics

READINESS = {True: 200, False: 503}


class HealthRoutes:
    """Whether the entry lives and is ready, and its metrics."""

    def __init__(self, configuration: configuration_interfaces.Configuration):
        self._configuration = configuration

    def routes(self) -> list[routes.Route]:
        """Return the routes of this duty."""
        return [
            routes.Route("GET", "/healthz", self._get_health),
            routes.Route("GET", "/readyz", self._get_readiness),
            routes.Route("GET", "/metrics", self._get_metrics),
        ]

    async def _get_health(self) -> blacksheep.Response:
        """Tell that the process answers."""
        return answers.json_response({"status": "alive"})

    async def _get_readiness(self) -> blacksheep.Response:
        """Tell whether the configuration here is known to be current."""
        is_current = self._configuration.is_current
        body = {"current": is_current, "version": self._configuration.view.version}
        return answers.json_response(body, READINESS[is_current])

    async def _get_metrics(self) -> blacksheep.Response:
        """Return all metrics in the Prometheus text format."""
        content = blacksheep.Content(b"text/plain; version=0.0.4", metrics.exposition())
        return blacksheep.Response(200, content=content)
