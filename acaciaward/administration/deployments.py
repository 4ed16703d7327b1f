"""Routes for deployments, their endpoints, and quarantined requests."""

import re
import time
import typing

import blacksheep

from acaciaward import errors
from acaciaward.administration import access, patches, routes
from acaciaward.configuration import follower
from acaciaward.membership import interfaces as membership_interfaces

DIGEST = re.compile(r"[0-9a-f]{64}\Z")
STATE_OF_HINT = {
    membership_interfaces.HintKind.ENDPOINT_LEAVING: "leaving",
    membership_interfaces.HintKind.ENDPOINT_DEAD: "dead",
}


class DeploymentBody(typing.TypedDict, total=False):
    """A merge patch of one deployment's entry; None removes the deployment."""

    base: int
    id: str
    entry: dict[str, typing.Any] | None


class DeploymentRoutes:
    """What is deployed, where it runs and what must not run."""

    def __init__(
        self,
        configuration: follower.LogConfiguration,
        allowed: access.Access,
        hints: membership_interfaces.Hints,
    ):
        self._configuration = configuration
        self._access = allowed
        self._hints = hints
        self._patches = patches.Patches(configuration)

    def routes(self) -> list[routes.Route]:
        """Return the routes of this duty."""
        top = "/v1/admin/deployments"
        one = f"{top}/{{deployment}}"
        quarantine = "/v1/admin/quarantine"
        return [
            routes.Route("GET", top, self._get_all),
            routes.Route("GET", one, self._get),
            routes.Route("PATCH", one, self._patch),
            routes.Route("GET", "/v1/admin/endpoints", self._get_endpoints),
            routes.Route("GET", quarantine, self._get_quarantine),
            routes.Route("POST", f"{quarantine}/{{digest}}/lift", self._lift),
        ]

    async def _get_all(self, request: blacksheep.Request):
        """List the deployments."""
        self._access.require(request, access.Right.READ)
        known = self._configuration.view.document.get("deployments", {})
        return {
            "deployments": [
                {"name": name} | entry for name, entry in sorted(known.items())
            ]
        }

    async def _get(self, deployment: str, request: blacksheep.Request):
        """Show one deployment."""
        self._access.require(request, access.Right.READ)
        known = self._configuration.view.document.get("deployments", {})
        if deployment not in known:
            raise errors.NotFoundError(f"there is no deployment {deployment[:80]!r}")
        return {"name": deployment} | known[deployment]

    async def _patch(self, deployment: str, request: blacksheep.Request):
        """Create, change or remove a deployment by a JSON merge patch."""
        author = self._access.require(request, access.Right.CHANGE)
        body = await routes.read_json(request, DeploymentBody)
        if "entry" not in body:
            raise errors.InvalidRequestError("a change of a deployment needs entry")
        changes = {"deployments": {deployment: body["entry"]}}
        return await self._patches.submit(author, changes, body)

    async def _get_endpoints(self, request: blacksheep.Request):
        """List every endpoint with the state that this entry believes it has."""
        self._access.require(request, access.Right.READ)
        deployments = self._configuration.view.document.get("deployments", {})
        return {
            "endpoints": [
                {"name": name, "deployment": deployment} | place | self._state_of(name)
                for deployment, entry in sorted(deployments.items())
                for name, place in sorted(entry.get("endpoints", {}).items())
            ]
        }

    def _state_of(self, endpoint: str) -> dict[str, typing.Any]:
        states = [
            state
            for kind, state in STATE_OF_HINT.items()
            if self._hints.get(kind, endpoint)
        ]
        loads = self._hints.get(membership_interfaces.HintKind.ENDPOINT_LOAD, endpoint)
        newest = max(loads, key=lambda hint: hint.stamp, default=None)
        return {
            "state": states[-1] if states else "live",
            "load": newest.value if newest is not None else None,
        }

    async def _get_quarantine(self, request: blacksheep.Request):
        """List the quarantined requests that this entry knows of."""
        self._access.require(request, access.Right.READ)
        lifted = self._configuration.view.document.get("lifted", {})
        hints = self._hints.all(membership_interfaces.HintKind.QUARANTINED_REQUEST)
        return {
            "quarantined": [
                {
                    "subject": hint.subject,
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
        """Let the request of this digest run again."""
        author = self._access.require(request, access.Right.CHANGE)
        body = await routes.read_json(request, patches.ChangeBody)
        if not DIGEST.match(digest):
            raise errors.InvalidRequestError("a digest has 64 hexadecimal digits")
        changes = {"lifted": {digest: time.time()}}
        return await self._patches.submit(author, changes, body)
