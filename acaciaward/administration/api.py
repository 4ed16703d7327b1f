"""
Assembles the operators' HTTP API from modules that each hold a group of routes.

Every path under ``/v1/admin`` needs an API key; ``access`` defines each role's rights.
``/openapi.json`` describes every route of the application.
"""

import typing
from collections import abc

import blacksheep
import openapidocs.v3
from blacksheep.server.openapi import v3

import acaciaward
from acaciaward.administration import (
    access,
    configuration as configuration_routes,
    deployments,
    entries,
    fleet as fleet_routes,
    health,
    organisations,
    routes,
)
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.configuration import logconfiguration
from acaciaward.fleet import fleetmanager
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import recorder


class Dependencies(typing.NamedTuple):
    """Parts of the entry that the operators' API reads and controls."""

    configuration: logconfiguration.LogConfiguration
    membership: entries.EntryNetwork
    hints: membership_interfaces.Hints
    claims: claims_interfaces.ClaimRegistry
    request_recorder: recorder.Recorder
    drain: abc.Callable[[], None]
    fleet: fleetmanager.FleetManager | None = None


def add_api(
    application: blacksheep.Application,
    dependencies: Dependencies,
    *,
    bootstrap_key_digest: str | None,
) -> None:
    """Add the operators' routes to an application."""
    configuration = dependencies.configuration
    access_control = access.AccessControl(configuration, bootstrap_key_digest)
    route_groups = (
        health.HealthRoutes(configuration, dependencies.membership, access_control),
        configuration_routes.ConfigurationRoutes(configuration, access_control),
        organisations.OrganisationRoutes(
            configuration, access_control, dependencies.claims
        ),
        deployments.DeploymentRoutes(configuration, access_control, dependencies.hints),
        entries.EntryRoutes(
            configuration,
            access_control,
            dependencies.membership,
            dependencies.request_recorder,
            dependencies.drain,
        ),
        fleet_routes.FleetRoutes(access_control, dependencies.fleet),
    )
    for route_group in route_groups:
        routes.add_routes(application, route_group.routes())
    routes.add_fallback(application)
    _add_openapi_document(application)


def _add_openapi_document(application: blacksheep.Application) -> None:
    """Serve the OpenAPI document; its UI pages would load scripts from elsewhere."""
    openapi_handler = v3.OpenAPIHandler(
        info=openapidocs.v3.Info("acaciaward", acaciaward.__version__),
        json_spec_path="/openapi.json",
        yaml_spec_path="/openapi.yaml",
        anonymous_access=True,
    )
    openapi_handler.ui_providers.clear()
    openapi_handler.bind_app(application)
