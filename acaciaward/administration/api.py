"""
The operators' HTTP API, put together from one module for each duty.

Everything under ``/v1/admin`` needs a key; ``access`` says who may do what.
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
from acaciaward.configuration import follower
from acaciaward.fleet import keeper
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import recorder


class Collaborators(typing.NamedTuple):
    """What the operators' API reads and drives."""

    configuration: follower.LogConfiguration
    membership: entries.EntryNetwork
    hints: membership_interfaces.Hints
    claims: claims_interfaces.ClaimBook
    observed: recorder.Recorder
    drain: abc.Callable[[], None]
    fleet: keeper.FleetKeeper | None = None


def add_api(
    application: blacksheep.Application,
    collaborators: Collaborators,
    *,
    bootstrap_key_digest: str | None,
) -> None:
    """Add the routes of operators to an application."""
    configuration = collaborators.configuration
    allowed = access.Access(configuration, bootstrap_key_digest)
    duties = (
        health.HealthRoutes(configuration, collaborators.membership, allowed),
        configuration_routes.ConfigurationRoutes(configuration, allowed),
        organisations.OrganisationRoutes(configuration, allowed, collaborators.claims),
        deployments.DeploymentRoutes(configuration, allowed, collaborators.hints),
        entries.EntryRoutes(
            configuration,
            allowed,
            collaborators.membership,
            collaborators.observed,
            collaborators.drain,
        ),
        fleet_routes.FleetRoutes(allowed, collaborators.fleet),
    )
    for duty in duties:
        routes.add_routes(application, duty.routes())
    routes.add_fallback(application)
    _add_description(application)


def _add_description(application: blacksheep.Application) -> None:
    """Serve the OpenAPI document, without pages that load scripts from elsewhere."""
    description = v3.OpenAPIHandler(
        info=openapidocs.v3.Info("acaciaward", acaciaward.__version__),
        json_spec_path="/openapi.json",
        yaml_spec_path="/openapi.yaml",
        anonymous_access=True,
    )
    description.ui_providers.clear()
    description.bind_app(application)
