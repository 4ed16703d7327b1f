"""
Routes for organisations and their keys.

A key is returned only once, by the request that creates it; the configuration keeps
its salted hash. A rotation creates a new key and lets the old one expire after an
overlap in which both are valid.
"""

import time
import typing

import blacksheep

from acaciaward import documents, errors
from acaciaward.administration import access, patches, routes
from acaciaward.callers import parsing
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.configuration import logconfiguration
from acaciaward.identity import apikeys

DEFAULT_KEY_NAME = "key-1"
DEFAULT_OVERLAP_S = 3600.0
MAX_OVERLAP_S = 30 * 86400.0


class OrganisationBody(typing.TypedDict, total=False):
    """A new organisation, or changes to one; it may use ``deployments``."""

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
    """A new key ``name``; the one it replaces stays valid for ``overlap_s`` seconds."""

    base: int
    id: str
    name: str
    overlap_s: float


class OrganisationRoutes:
    """Routes for organisations, their keys and the outcomes of their requests."""

    def __init__(
        self,
        configuration: logconfiguration.LogConfiguration,
        access_control: access.AccessControl,
        claims: claims_interfaces.ClaimRegistry,
    ):
        self._configuration = configuration
        self._access = access_control
        self._claims = claims
        self._submitter = patches.PatchSubmitter(configuration)

    def routes(self) -> list[routes.Route]:
        """Return the routes of this group."""
        organisations_path = "/v1/admin/organisations"
        organisation_path = f"{organisations_path}/{{organisation}}"
        keys_path = f"{organisation_path}/keys"
        return [
            routes.Route("GET", organisations_path, self._get_all),
            routes.Route("POST", organisations_path, self._post),
            routes.Route("GET", organisation_path, self._get),
            routes.Route("PATCH", organisation_path, self._patch),
            routes.Route("POST", keys_path, self._post_key),
            routes.Route("POST", f"{keys_path}/{{key_name}}/rotate", self._rotate_key),
            routes.Route("DELETE", f"{keys_path}/{{key_name}}", self._delete_key),
            routes.Route(
                "GET", f"{organisation_path}/outcomes/{{key}}", self._get_outcome
            ),
        ]

    async def _get_all(self, request: blacksheep.Request):
        """List the organisations."""
        self._access.require(request, access.Right.READ)
        document = self._configuration.view.document
        organisations = document.get("organisations", {})
        return {
            "organisations": [
                _describe_organisation(document, name) for name in sorted(organisations)
            ]
        }

    async def _get(self, organisation: str, request: blacksheep.Request):
        """Show one organisation: state, limits, deployments and key names."""
        self._access.require(request, access.Right.READ_OWN, organisation)
        self._find_organisation(organisation)
        return _describe_organisation(self._configuration.view.document, organisation)

    async def _post(self, request: blacksheep.Request):
        """Create an organisation with a first key, which is returned only here."""
        author = self._access.require(request, access.Right.CHANGE)
        body = await routes.read_json(request, OrganisationBody)
        name = body.get("name", "")
        document = self._configuration.view.document
        if name in document.get("organisations", {}):
            raise errors.ConflictError(f"there is an organisation {name!r} already")
        key, key_entry = apikeys.make_organisation_key(name, DEFAULT_KEY_NAME)
        fields = _settable_fields(body) | {"keys": {DEFAULT_KEY_NAME: key_entry}}
        changes = {"organisations": {name: fields}} | self._grant_changes(name, body)
        return await self._submitter.submit(author, changes, body, key=key)

    async def _patch(self, organisation: str, request: blacksheep.Request):
        """Change an organisation: share, limits, suspended, deployments."""
        author = self._access.require(request, access.Right.CHANGE, organisation)
        body = await routes.read_json(request, OrganisationBody)
        self._find_organisation(organisation)
        changes = {"organisations": {organisation: _settable_fields(body)}}
        changes |= self._grant_changes(organisation, body)
        return await self._submitter.submit(author, changes, body)

    def _grant_changes(self, organisation: str, body: OrganisationBody) -> dict:
        """Return changes that grant it exactly the deployments in ``body``."""
        if "deployments" not in body:
            return {}
        deployments = self._configuration.view.document.get("deployments", {})
        for name in body["deployments"]:
            if name not in deployments:
                raise errors.InvalidRequestError(f"there is no deployment {name!r}")
        changed_deployments = {}
        for name, deployment in deployments.items():
            granted_organisations = set(deployment.get("organisations", []))
            new_organisations = granted_organisations - {organisation}
            if name in body["deployments"]:
                new_organisations.add(organisation)
            if new_organisations != granted_organisations:
                changed_deployments[name] = {"organisations": sorted(new_organisations)}
        return {"deployments": changed_deployments}

    async def _post_key(self, organisation: str, request: blacksheep.Request):
        """Create another key of an organisation, which is returned only here."""
        author = self._access.require(request, access.Right.CHANGE_OWN, organisation)
        body = await routes.read_json(request, KeyBody)
        organisation_document = self._find_organisation(organisation)
        name = body.get("name", "")
        if name in organisation_document.get("keys", {}):
            raise errors.ConflictError(f"there is a key {name!r} already")
        role = body.get("role", "caller")
        if role not in apikeys.ORGANISATION_ROLES:
            raise errors.InvalidRequestError("role must be caller or administrator")
        key, key_entry = apikeys.make_organisation_key(organisation, name, role)
        changes = {"organisations": {organisation: {"keys": {name: key_entry}}}}
        return await self._submitter.submit(author, changes, body, key=key)

    async def _rotate_key(
        self, organisation: str, key_name: str, request: blacksheep.Request
    ):
        """Create a new key and let the old one expire after ``overlap_s`` seconds."""
        author = self._access.require(request, access.Right.CHANGE_OWN, organisation)
        body = await routes.read_json(request, RotationBody)
        existing_keys = self._find_organisation(organisation).get("keys", {})
        old_entry = existing_keys.get(key_name)
        if old_entry is None:
            raise errors.NotFoundError(f"there is no key {key_name[:80]!r}")
        name = body.get("name") or next_key_name(key_name, existing_keys)
        if name in existing_keys:
            raise errors.ConflictError(f"there is a key {name!r} already")
        overlap_s = body.get("overlap_s", DEFAULT_OVERLAP_S)
        if not 0 <= overlap_s <= MAX_OVERLAP_S:
            raise errors.InvalidRequestError(
                f"overlap_s must lie between 0 and {MAX_OVERLAP_S:.0f}"
            )
        role = old_entry.get("role", "caller")
        key, key_entry = apikeys.make_organisation_key(organisation, name, role)
        expires = min(time.time() + overlap_s, old_entry.get("expires", float("inf")))
        keys = {name: key_entry, key_name: {"expires": expires}}
        changes = {"organisations": {organisation: {"keys": keys}}}
        return await self._submitter.submit(
            author, changes, body, key=key, name=name, expires=expires
        )

    async def _delete_key(
        self, organisation: str, key_name: str, request: blacksheep.Request
    ):
        """Revoke a key at once."""
        author = self._access.require(request, access.Right.CHANGE_OWN, organisation)
        if key_name not in self._find_organisation(organisation).get("keys", {}):
            raise errors.NotFoundError(f"there is no key {key_name[:80]!r}")
        changes = {"organisations": {organisation: {"keys": {key_name: None}}}}
        return await self._submitter.submit(author, changes, {})

    async def _get_outcome(
        self, organisation: str, key: str, request: blacksheep.Request
    ):
        """Return the verdict on whether the request with an idempotency key ran."""
        self._access.require(request, access.Right.READ_OWN, organisation)
        self._find_organisation(organisation)
        outcome = await self._claims.outcome_of_key(organisation, parsing.read_key(key))
        status = outcome.answer.status if outcome.answer is not None else None
        return {"key": key, "verdict": outcome.verdict.value, "status": status}

    def _find_organisation(self, name: str) -> documents.Organisation:
        organisations = self._configuration.view.document.get("organisations", {})
        if name not in organisations:
            raise access.organisation_not_found(name)
        return organisations[name]


def next_key_name(name: str, existing_names: typing.Container[str]) -> str:
    """Return the next unused numbered name: key-2 follows key-1."""
    stem, _, number = name.rpartition("-")
    if not stem or not number.isdecimal():
        stem, number = name, "1"
    next_number = int(number) + 1
    while f"{stem}-{next_number}" in existing_names:
        next_number += 1
    return f"{stem}-{next_number}"


def _settable_fields(body: OrganisationBody) -> dict[str, typing.Any]:
    names = ("share", "limits", "suspended")
    return {name: body[name] for name in names if name in body}


def _describe_organisation(
    document: documents.Document, name: str
) -> dict[str, typing.Any]:
    organisation = document["organisations"][name]
    keys = [
        {
            "name": key_name,
            "role": key_entry.get("role", "caller"),
            "expires": key_entry.get("expires"),
        }
        for key_name, key_entry in sorted(organisation.get("keys", {}).items())
    ]
    deployments = [
        deployment
        for deployment, deployment_entry in sorted(
            document.get("deployments", {}).items()
        )
        if name in deployment_entry.get("organisations", [])
    ]
    return {
        "name": name,
        "suspended": organisation.get("suspended", False),
        "share": organisation.get("share", 1.0),
        "limits": organisation.get("limits", {}),
        "keys": keys,
        "deployments": deployments,
    }
