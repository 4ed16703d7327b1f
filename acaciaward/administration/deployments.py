"""Routes for deployments, their endpoints, and quarantined requests."""

import re
import time
import typing

import blacksheep

from acaciaward import errors
from acaciaward.administration import access, patches, routes
from acaciaward.configuration import logconfiguration
from acaciaward.membership import interfaces as membership_interfaces

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}\Z")
# Later kinds take precedence: an endpoint with both hints is dead.
STATE_BY_HINT_KIND = {
    membership_interfaces.HintKind.ENDPOINT_LEAVING: "leaving",
    membership_interfaces.HintKind.ENDPOINT_DEAD: "dead",
}


class DeploymentBody(typing.TypedDict, total=False):
    """A merge patch ``entry`` for one deployment; None removes the deployment."""

    base: int
    id: str
    entry: dict[str, typing.Any] | None


class DeploymentRoutes:
    """Routes for deployments, their endpoints and quarantined requests."""

    def __init__(
        self,
        configuration: logconfiguration.LogConfiguration,
        access_control: access.AccessControl,
        hints: membership_interfaces.Hints,
    ):
        self._configuration = configuration
        self._access = access_control
        self._hints = hints
        self._submitter = patches.PatchSubmitter(configuration)

    def routes(self) -> list[routes.Route]:
        """Return the routes of this group."""
        deployments_path = "/v1/admin/deployments"
        deployment_path = f"{deployments_path}/{{deployment}}"
        quarantine_path = "/v1/admin/quarantine"
        return [
            routes.Route("GET", deployments_path, self._get_all),
            routes.Route("GET", deployment_path, self._get),
            routes.Route("PATCH", deployment_path, self._patch),
            routes.Route("GET", "/v1/admin/endpoints", self._get_endpoints),
            routes.Route("GET", quarantine_path, self._get_quarantine),
            routes.Route("POST", f"{quarantine_path}/{{digest}}/lift", self._lift),
        ]

    async def _get_all(self, request: blacksheep.Request):
        """List the deployments."""
        self._access.require(request, access.Right.READ)
        deployments = self._configuration.view.document.get("deployments", {})
        return {
            "deployments": [
                {"name": name} | deployment_entry
                for name, deployment_entry in sorted(deployments.items())
            ]
        }

    async def _get(self, deployment: str, request: blacksheep.Request):
        """Show one deployment."""
        self._access.require(request, access.Right.READ)
        deployments = self._configuration.view.document.get("deployments", {})
        if deployment not in deployments:
            raise errors.NotFoundError(f"there is no deployment {deployment[:80]!r}")
        return {"name": deployment} | deployments[deployment]

    async def _patch(self, deployment: str, request: blacksheep.Request):
        """Create, change or remove a deployment by a JSON merge patch."""
        author = self._access.require(request, access.Right.CHANGE)
        body = await routes.read_json(request, DeploymentBody)
        if "entry" not in body:
            raise errors.InvalidRequestError("a change of a deployment needs entry")
        changes = {"deployments": {deployment: body["entry"]}}
        return await self._submitter.submit(author, changes, body)

    async def _get_endpoints(self, request: blacksheep.Request):
        """List every endpoint with its state and load as known to this entry."""
        self._access.require(request, access.Right.READ)
        deployments = self._configuration.view.document.get("deployments", {})
        return {
            "endpoints": [
                {"name": name, "deployment": deployment}
                | endpoint_entry
                | self._hinted_state(name)
                for deployment, deployment_entry in sorted(deployments.items())
                for name, endpoint_entry in sorted(
                    deployment_entry.get("endpoints", {}).items()
                )
            ]
        }

    def _hinted_state(self, endpoint: str) -> dict[str, typing.Any]:
        states = [
            state
            for kind, state in STATE_BY_HINT_KIND.items()
            if self._hints.get(kind, endpoint)
        ]
        loads = self._hints.get(membership_interfaces.HintKind.ENDPOINT_LOAD, endpoint)
        latest_load = max(loads, key=lambda hint: hint.stamp, default=None)
        return {
            "state": states[-1] if states else "live",
            "load": latest_load.value if latest_load is not None else None,
        }

    async def _get_quarantine(self, request: blacksheep.Request):
        """List the quarantined requests that this entry knows of, and lifted ones."""
        self._access.require(request, access.Right.READ)
        lifted = self._configuration.view.document.get("lifted", {})
        hints = self._hints.all(membership_interfaces.HintKind.QUARANTINED_REQUEST)
        return {
            "quarantined": [
                {
                    "subject": hint.subject,
                    "organisation": hint.subject.rpartition("/")[0],
                    "digest": hint.subject.rpartition("/")[2],
                    "origin": hint.origin,
                    "since": hint.stamp,
                    "until": hint.stamp + hint.lifetime_s,
                    "details": hint.value,
                }
                for hint in sorted(hints, key=lambda hint: hint.stamp)
            ],
            "lifted": lifted,
        }

    async def _lift(self, digest: str, request: blacksheep.Request):
        """Lift the quarantine of the request with this digest, so that it can run."""
        author = self._access.require(request, access.Right.CHANGE)
        body = await routes.read_json(request, patches.ChangeBody)
        if not DIGEST_PATTERN.match(digest):
            raise errors.InvalidRequestError("a digest has 64 hexadecimal digits")
        changes = {"lifted": {digest: time.time()}}
        return await self._submitter.submit(author, changes, body)
