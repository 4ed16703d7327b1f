"""Routes that read the versioned configuration and submit patches to it."""

import typing

import blacksheep

from acaciaward import errors
from acaciaward.administration import access, patches, redaction, routes
from acaciaward.configuration import logconfiguration


class PatchBody(typing.TypedDict, total=False):
    """The body of a patch; a repeated submission with the same ``id`` is harmless."""

    base: int
    changes: dict[str, typing.Any]
    id: str


class ConfigurationRoutes:
    """Routes for the configuration document, its history and its patches."""

    def __init__(
        self,
        configuration: logconfiguration.LogConfiguration,
        access_control: access.AccessControl,
    ):
        self._configuration = configuration
        self._access = access_control
        self._submitter = patches.PatchSubmitter(configuration)

    def routes(self) -> list[routes.Route]:
        """Return the routes of this group."""
        config_path = "/v1/admin/config"
        return [
            routes.Route("GET", config_path, self._get_configuration),
            routes.Route("GET", f"{config_path}/history", self._get_history),
            routes.Route("GET", f"{config_path}/diff", self._get_diff),
            routes.Route("POST", f"{config_path}/patches", self._post_patch),
            routes.Route("GET", f"{config_path}/patches/{{patch_id}}", self._get_patch),
        ]

    async def _get_configuration(self, request: blacksheep.Request):
        """Return the current version and its document, without signing keys."""
        self._access.require(request, access.Right.READ)
        view = self._configuration.view
        return {
            "version": view.version,
            "document": redaction.redact_document(view.document),
        }

    async def _get_history(self, request: blacksheep.Request):
        """Return the accepted patches that this entry still keeps, oldest first."""
        self._access.require(request, access.Right.READ)
        history = [
            redaction.redact_patch(patch) for patch in self._configuration.history
        ]
        return {"history": history}

    async def _get_diff(self, request: blacksheep.Request):
        """Return the patches between two versions and the changes that they make."""
        self._access.require(request, access.Right.READ)
        current_version = self._configuration.view.version
        first_version = int(routes.read_number(request, "from", 0))
        last_version = int(routes.read_number(request, "to", current_version))
        if first_version > last_version or last_version > current_version:
            raise errors.InvalidRequestError(
                "from and to must be versions that exist, in this order"
            )
        patches_after_first = self._configuration.changes_since(first_version)
        return {
            "from": first_version,
            "to": last_version,
            "changes": redaction.redact_document(
                self._configuration.diff(first_version, last_version)
            ),
            "patches": [
                redaction.redact_patch(patch)
                for patch in patches_after_first
                if patch.version <= last_version
            ],
        }

    async def _post_patch(self, request: blacksheep.Request):
        """Submit a JSON merge patch against a base version."""
        author = self._access.require(request, access.Right.CHANGE)
        body = await routes.read_json(request, PatchBody)
        if "base" not in body or "changes" not in body:
            raise errors.InvalidRequestError("a patch needs base and changes")
        return await self._submitter.submit(author, body["changes"], body)

    async def _get_patch(self, patch_id: str, request: blacksheep.Request):
        """Return the outcome of the patch with this id."""
        self._access.require(request, access.Right.READ)
        outcome = self._configuration.outcome(patch_id)
        if outcome is None:
            raise errors.NotFoundError("no patch of this id is known here")
        return patches.outcome_answer(outcome, patch_id)._replace(status=200)
