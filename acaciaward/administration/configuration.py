"""Routes that read the numbered configuration and patch it."""

import copy
import typing

import blacksheep

from acaciaward import documents, errors
from acaciaward.administration import access, patches, routes
from acaciaward.configuration import follower

# Shorter than a real key may be, so that a document that was read and sent
# back is refused instead of replacing the keys.
REDACTED = "redacted"


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
        return {"version": view.version, "document": redact(view.document)}

    async def _get_history(self, request: blacksheep.Request):
        """Return the accepted patches that are still known, oldest first."""
        self._access.require(request, access.Right.READ)
        return {"history": self._history()}

    def _history(self) -> list[dict[str, typing.Any]]:
        return [
            {
                "version": entry.version,
                "patch_id": entry.patch_id,
                "author": entry.author,
                "time": entry.time,
                "changes": redact(entry.changes),
            }
            for entry in self._configuration.history
        ]

    async def _get_diff(self, request: blacksheep.Request):
        """Return the patches that lead from version ``from`` to version ``to``."""
        self._access.require(request, access.Right.READ)
        first = routes.read_number(request, "from", 0)
        last = routes.read_number(request, "to", self._configuration.view.version)
        if first > last or last > self._configuration.view.version:
            raise errors.InvalidRequestError(
                "from and to must be versions that exist, in this order"
            )
        steps = [one for one in self._history() if first < one["version"] <= last]
        if len(steps) != int(last) - int(first):
            raise errors.NotFoundError("the history no longer reaches back that far")
        return {"from": int(first), "to": int(last), "patches": steps}

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


def redact(document: documents.Document) -> documents.Document:
    """Return a copy of a document, or of changes to one, without signing keys."""
    shown = copy.deepcopy(document)
    if shown.get("resume_keys"):
        shown["resume_keys"] = [REDACTED] * len(shown["resume_keys"])
    return shown
