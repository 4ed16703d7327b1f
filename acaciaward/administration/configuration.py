"""Routes that read the numbered configuration and patch it."""

import typing

import blacksheep

from acaciaward import errors
from acaciaward.administration import access, patches, redaction, routes
from acaciaward.configuration import follower


class PatchBody(typing.TypedDict, total=False):
    """The body of a patch; ``id`` makes a repeated submission harmless."""

    base: int
    changes: dict[str, typing.Any]
    id: str


class ConfigurationRoutes:
    """The document, its history and patches."""

    def __init__(
        self, configuration: follower.LogConfiguration, allowed: access.Access
    ):
        self._configuration = configuration
        self._access = allowed
        self._patches = patches.Patches(configuration)

    def routes(self) -> list[routes.Route]:
        """Return the routes of this duty."""
        top = "/v1/admin/config"
        return [
            routes.Route("GET", top, self._get_configuration),
            routes.Route("GET", f"{top}/history", self._get_history),
            routes.Route("GET", f"{top}/diff", self._get_diff),
            routes.Route("POST", f"{top}/patches", self._post_patch),
            routes.Route("GET", f"{top}/patches/{{patch_id}}", self._get_patch),
        ]

    async def _get_configuration(self, request: blacksheep.Request):
        """Return the version in force and its document, without signing keys."""
        self._access.require(request, access.Right.READ)
        view = self._configuration.view
        return {"version": view.version, "document": redaction.redact(view.document)}

    async def _get_history(self, request: blacksheep.Request):
        """Return the accepted patches that are still known, oldest first."""
        self._access.require(request, access.Right.READ)
        history = [redaction.show(entry) for entry in self._configuration.history]
        return {"history": history}

    async def _get_diff(self, request: blacksheep.Request):
        """Return the patches and the changes between two versions."""
        self._access.require(request, access.Right.READ)
        newest = self._configuration.view.version
        first = int(routes.read_number(request, "from", 0))
        last = int(routes.read_number(request, "to", newest))
        if first > last or last > newest:
            raise errors.InvalidRequestError(
                "from and to must be versions that exist, in this order"
            )
        steps = self._configuration.changes_since(first)
        return {
            "from": first,
            "to": last,
            "changes": redaction.redact(self._configuration.diff(first, last)),
            "patches": [redaction.show(one) for one in steps if one.version <= last],
        }

    async def _post_patch(self, request: blacksheep.Request):
        """Submit a JSON merge patch against a numbered version."""
        principal = self._access.require(request, access.Right.CHANGE)
        body = await routes.read_json(request, PatchBody)
        if "base" not in body or "changes" not in body:
            raise errors.InvalidRequestError("a patch needs base and changes")
        return await self._patches.submit(principal, body["changes"], body)

    async def _get_patch(self, patch_id: str, request: blacksheep.Request):
        """Return what became of the patch of this id."""
        self._access.require(request, access.Right.READ)
        outcome = self._configuration.outcome(patch_id)
        if outcome is None:
            raise errors.NotFoundError("no patch of this id is known here")
        return patches.answer_of(outcome, patch_id)._replace(status=200)
