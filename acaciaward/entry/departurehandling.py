"""
Builds an entry's handling of leaving instances: their departures and the evacuation.
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


class DepartureHandling:
    """
    The departures that one entry knows, their watchers and the evacuation.

    A departure is the announced end of an instance, with its deadline. The evacuation
    moves the instance's streams to other endpoints before that.
    """

    def __init__(
        self,
        settings: dict[str, typing.Any],
        configuration: configuration_interfaces.Configuration,
        hints: membership_interfaces.Hints,
        engine: endpoints_interfaces.ModelEngine,
        targets: evacuation_interfaces.TargetChooser,
        *,
        publish_hints: abc.Callable[[], abc.Awaitable[None]],
    ):
        self._configuration = configuration
        self._engine = engine
        self._watcher_settings = watchers.WatcherSettings(
            settings["poll_s"],
            settings["assumed_notice_s"],
            settings["list_bytes_per_s"],
        )
        self._departures = departures.Departures(hints, publish_hints=publish_hints)
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
        """The known departures."""
        return self._departures

    @property
    def evacuator(self) -> evacuator.Evacuator:
        """Moves streams off leaving endpoints."""
        return self._evacuator

    def watchers(
        self,
        cloud_service: calls.PlatformService | None,
        list_service: calls.PlatformService | None,
    ) -> list[typing.Coroutine]:
        """Return the watchers to run; a service that is None gets no watcher."""
        known_departures, watcher_settings = self._departures, self._watcher_settings
        busy_endpoints, endpoints = (
            self._evacuator.busy_endpoints,
            self._model_endpoints,
        )
        coroutines = [
            watchers.watch_engines(
                self._engine,
                busy_endpoints,
                endpoints,
                known_departures,
                watcher_settings,
            ),
        ]
        if cloud_service is not None:
            cloud_client = cloud.HttpCloud(cloud_service)
            coroutines.append(
                watchers.watch_notices(cloud_client, known_departures, watcher_settings)
            )
        if list_service is not None:
            list_client = cloud.HttpInstanceList(list_service)
            coroutines.append(
                watchers.watch_instances(
                    list_client, known_departures, watcher_settings
                )
            )
        return coroutines

    def _weights_of(self, deployment: str) -> documents.CostWeights:
        deployments = self._configuration.view.document.get("deployments", {})
        return deployments.get(deployment, {}).get("weights", {})

    def _model_endpoints(self) -> list[requests.Endpoint]:
        deployments = self._configuration.view.document.get("deployments", {})
        return [
            endpoint
            for name, deployment_entry in deployments.items()
            if deployment_entry["kind"] == requests.DeploymentKind.MODEL.value
            for endpoint in self._configuration.endpoints(name)
        ]
