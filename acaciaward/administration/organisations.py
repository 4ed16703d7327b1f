"""
Routes for organisations and their keys.

A key is answered once, when it is made; the configuration keeps its salted
hash. A rotation makes a new key and lets the old one expire after an overlap.
"""

import time
import typing

import blacksheep

from acaciaward import documents, errors
from acaciaward.administration import access, patches, routes
from acaciaward.callers import parsing
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.configuration import follower
from acaciaward.identity import apikeys

DEFAULT_KEY_NAME = "key-1"
DEFAULT_OVERLAP_S = 3600.0
MAX_OVERLAP_S = 30 * 86400.0


class OrganisationBody(typing.TypedDict, total=False):
    """A new organisation, or changes to one; ``deployments`` it may use."""

    base: int
    id: str
    name: str
    share: float
    limits: dict[str, float | None]
    suspended: bool
    deployments: list[str]


class KeyBody(typing.TypedDict, total=False):
    """A new key of an organisation."""

    base: int
    id: str
    name: str
    role: str


class RotationBody(typing.TypedDict, total=False):
    """A new key ``name`` instead of another, which stays valid for a while."""

    base: int
    id: str
    name: str
    overlap_s: float


class OrganisationRoutes:
    """Organisations, their keys, and outcomes of their requests."""

    def __init__(
        self,
        configuration: follower.LogConfiguration,
        allowed: access.Access,
        claims: claims_interfaces.ClaimBook,
    ):
        self._configuration = configuration
        self._access = allowed
        self._claims = claims
        self._patches = patches.Patches(configuration)

    def routes(self) -> list[routes.Route]:
        """Return the routes of this duty."""
        top = "/v1/admin/organisations"
        one = f"{top}/{{organisation}}"
        keys = f"{one}/keys"
        return [
            routes.Route("GET", top, self._get_all),
            routes.Route("POST", top, self._post),
            routes.Route("GET", one, self._get),
            routes.Route("PATCH", one, self._patch),
            routes.Route("POST", keys, self._post_key),
            routes.Route("POST", f"{keys}/{{key_name}}/rotate", self._rotate_key),
            routes.Route("DELETE", f"{keys}/{{key_name}}", self._delete_key),
            routes.Route("GET", f"{one}/outcomes/{{key}}", self._get_outcome),
        ]

    async def _get_all(self, request: blacksheep.Request):
        """List the organisations."""
        self._access.require(request, access.Right.READ)
        document = self._configuration.view.document
        known = document.get("organisations", {})
        return {"organisations": [_shown(document, name) for name in sorted(known)]}

    async def _get(self, organisation: str, request: blacksheep.Request):
        """Show one organisation: state, limits, deployments and key names."""
        self._access.require(request, access.Right.READ_OWN, organisation)
        self._find(organisation)
        return _shown(self._configuration.view.document, organisation)

    async def _post(self, request: blacksheep.Request):
        """Create an organisation with a first key, which is answered once."""
        author = self._access.require(request, access.Right.CHANGE)
        body = await routes.read_json(request, OrganisationBody)
        name = body.get("name", "")
        document = self._configuration.view.document
        if name in document.get("organisations", {}):
            raise errors.ConflictError(f"there is an organisation {name!r} already")
        key, entry = apikeys.make_organisation_key(name, DEFAULT_KEY_NAME)
        fields = _fields_of(body) | {"keys": {DEFAULT_KEY_NAME: entry}}
        changes = {"organisations": {name: fields}} | self._grants(name, body)
        return await self._patches.submit(author, changes, body, key=key)

    async def _patch(self, organisation: str, request: blacksheep.Request):
        """Change an organisation: share, limits, suspended, deployments."""
        author = self._access.require(request, access.Right.CHANGE, organisation)
        body = await routes.read_json(request, OrganisationBody)
        self._find(organisation)
        changes = {"organisations": {organisation: _fields_of(body)}}
        changes |= self._grants(organisation, body)
        return await self._patches.submit(author, changes, body)

    def _grants(self, organisation: str, body: OrganisationBody) -> dict:
        if "deployments" not in body:
            return {}
        deployments = self._configuration.view.document.get("deployments", {})
        for name in body["deployments"]:
            if name not in deployments:
                raise errors.InvalidRequestError(f"there is no deployment {name!r}")
        changed = {}
        for name, deployment in deployments.items():
            users = set(deployment.get("organisations", []))
            wanted = users - {organisation}
            if name in body["deployments"]:
                wanted.add(organisation)
            if wanted != users:
                changed[name] = {"organisations": sorted(wanted)}
        return {"deployments": changed}

    async def _post_key(self, organisation: str, request: blacksheep.Request):
        """Make another key of an organisation, which is answered once."""
        author = self._access.require(request, access.Right.CHANGE_OWN, organisation)
        body = await routes.read_json(request, KeyBody)
        known = self._find(organisation)
        name = body.get("name", "")
        if name in known.get("keys", {}):
            raise errors.ConflictError(f"there is a key {name!r} already")
        role = body.get("role", "caller")
        if role not in apikeys.ORGANISATION_ROLES:
            raise errors.InvalidRequestError("role must be caller or administrator")
        key, entry = apikeys.make_organisation_key(organisation, name, role)
        changes = {"organisations": {organisation: {"keys": {name: entry}}}}
        return await self._patches.submit(author, changes, body, key=key)

    async def _rotate_key(
        self, organisation: str, key_name: str, request: blacksheep.Request
    ):
        """Make a new key and let the old one expire after ``overlap_s``."""
        author = self._access.require(request, access.Right.CHANGE_OWN, organisation)
        body = await routes.read_json(request, RotationBody)
        known = self._find(organisation).get("keys", {})
        old = known.get(key_name)
        if old is None:
            raise errors.NotFoundError(f"there is no key {key_name[:80]!r}")
        name = body.get("name") or next_name(key_name, known)
        if name in known:
            raise errors.ConflictError(f"there is a key {name!r} already")
        overlap_s = body.get("overlap_s", DEFAULT_OVERLAP_S)
        if not 0 <= overlap_s <= MAX_OVERLAP_S:
            raise errors.InvalidRequestError(
                f"overlap_s must lie between 0 and {MAX_OVERLAP_S:.0f}"
            )
        role = old.get("role", "caller")
        key, entry = apikeys.make_organisation_key(organisation, name, role)
        expires = min(time.time() + overlap_s, old.get("expires", float("inf")))
        keys = {name: entry, key_name: {"expires": expires}}
        changes = {"organisations": {organisation: {"keys": keys}}}
        return await self._patches.submit(
            author, changes, body, key=key, name=name, expires=expires
        )

    async def _delete_key(
        self, organisation: str, key_name: str, request: blacksheep.Request
    ):
        """Revoke a key at once."""
        author = self._access.require(request, access.Right.CHANGE_OWN, organisation)
        if key_name not in self._find(organisation).get("keys", {}):
            raise errors.NotFoundError(f"there is no key {key_name[:80]!r}")
        changes = {"organisations": {organisation: {"keys": {key_name: None}}}}
        return await self._patches.submit(author, changes, {})

    async def _get_outcome(
        self, organisation: str, key: str, request: blacksheep.Request
    ):
        """Tell whether the request of an idempotency key ran."""
        self._access.require(request, access.Right.READ_OWN, organisation)
        self._find(organisation)
        outcome = await self._claims.outcome(organisation, parsing.read_key(key))
        status = outcome.answer.status if outcome.answer is not None else None
        return {"key": key, "verdict": outcome.verdict.value, "status": status}

    def _find(self, name: str) -> documents.Organisation:
        known = self._configuration.view.document.get("organisations", {})
        if name not in known:
            raise access.unknown_organisation(name)
        return known[name]


def next_name(name: str, known: typing.Container[str]) -> str:
    """Return a free name that continues a name: key-1 becomes key-2."""
    stem, _, number = name.rpartition("-")
    if not stem or not number.isdecimal():
        stem, number = name, "1"
    following = int(number) + 1
    while f"{stem}-{following}" in known:
        following += 1
    return f"{stem}-{following}"


def _fields_of(body: OrganisationBody) -> dict[str, typing.Any]:
    names = ("share", "limits", "suspended")
    return {name: body[name] for name in names if name in body}


def _shown(document: documents.Document, name: str) -> dict[str, typing.Any]:
    organisation = document["organisations"][name]
    keys = [
        {
            "name": key_name,
            "role": entry.get("role", "caller"),
            "expires": entry.get("expires"),
        }
        for key_name, entry in sorted(organisation.get("keys", {}).items())
    ]
    deployments = [
        deployment
        for deployment, entry in sorted(document.get("deployments", {}).items())
        if name in entry.get("organisations", [])
    ]
    return {
        "name": name,
        "suspended": organisation.get("suspended", False),
        "share": organisation.get("share", 1.0),
        "limits": organisation.get("limits", {}),
        "keys": keys,
        "deployments": deployments,
    }
