"""
Puts together what an entry knows of leaving instances and does about them.
"""

import typing
from collections import abc

from acaciaward import documents, requests
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import (
    departures,
    evacuator,
    interfaces as evacuation_interfaces,
    watchers,
)
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.platform import calls, cloud


class Leaving:
    """The departures that one entry knows, their watchers and the evacuation."""

    def __init__(
        self,
        settings: dict[str, typing.Any],
        configuration: configuration_interfaces.Configuration,
        hints: membership_interfaces.Hints,
        engine: endpoints_interfaces.ModelEngine,
        targets: evacuation_interfaces.TargetChooser,
        *,
        spread: abc.Callable[[], abc.Awaitable[None]],
    ):
        self._configuration = configuration
        self._engine = engine
        self._limits = watchers.WatchLimits(
            settings["poll_s"],
            settings["assumed_notice_s"],
            settings["list_bytes_per_s"],
        )
        self._departures = departures.Departures(hints, spread=spread)
        self._evacuator = evacuator.Evacuator(
            self._departures,
            engine,
            targets,
            self._weights_of,
            evacuator.Limits(
                settings["source_bytes_per_s"], settings["target_bytes_per_s"]
            ),
        )

    @property
    def departures(self) -> departures.Departures:
        """The leaving instances."""
        return self._departures

    @property
    def evacuator(self) -> evacuator.Evacuator:
        """Moves streams off leaving endpoints."""
        return self._evacuator

    def watchers(
        self,
        notices: calls.PlatformService | None,
        listing: calls.PlatformService | None,
    ) -> list[typing.Coroutine]:
        """Return the tasks to run; a service that isn't there has none."""
        known, limits = self._departures, self._limits
        busy, others = self._evacuator.busy_endpoints, self._model_endpoints
        tasks = [
            watchers.watch_engines(self._engine, busy, others, known, limits),
        ]
        if notices is not None:
            read = cloud.HttpCloud(notices)
            tasks.append(watchers.watch_notices(read, known, limits))
        if listing is not None:
            read = cloud.HttpInstanceList(listing)
            tasks.append(watchers.watch_instances(read, known, limits))
        return tasks

    def _weights_of(self, deployment: str) -> documents.Weights:
        deployments = self._configuration.view.document.get("deployments", {})
        return deployments.get(deployment, {}).get("weights", {})

    def _model_endpoints(self) -> list[requests.Endpoint]:
        deployments = self._configuration.view.document.get("deployments", {})
        return [
            endpoint
            for name, entry in deployments.items()
            if entry["kind"] == requests.DeploymentKind.MODEL.value
            for endpoint in self._configuration.endpoints(name)
        ]
