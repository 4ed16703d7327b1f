"""
Rules of the configuration document: what a valid one looks like.

The check is a plain function of the document, so that every entry reaches the
same verdict about the same record.
"""

import copy
import functools
import typing

import json_merge_patch
import msgspec

from acaciaward import documents, requests, schemas, shipped

_PACKAGE = "acaciaward.configuration"
# The schema judges each entry of these maps by itself.
_MAPS = ("organisations", "deployments", "objectives", "operators", "lifted")


@functools.cache
def _schema() -> schemas.Schema:
    return schemas.Schema(_PACKAGE, "document.schema.json")


def merge(
    document: documents.Document, changes: dict[str, typing.Any]
) -> documents.Document:
    """Return the document with a JSON merge patch applied; both stay as they are."""
    return json_merge_patch.merge(copy.deepcopy(document), copy.deepcopy(changes))


def first_mistake(document: documents.Document) -> shipped.Mistake | None:
    """Return what makes a document invalid, or None."""
    mistake = _schema().first_mistake(document)
    return mistake or _unknown_organisation(document)


def first_mistake_of_change(
    valid: documents.Document, patched: documents.Document
) -> shipped.Mistake | None:
    """
    Return what makes a document invalid that was patched from a valid one.

    Entries that are unchanged are not walked again, so that the cost follows
    the change and not the document.
    """
    mistake = _schema().first_mistake(_without_unchanged(valid, patched))
    return mistake or _unknown_organisation(patched)


def _without_unchanged(
    valid: documents.Document, patched: documents.Document
) -> dict[str, typing.Any]:
    pruned = dict(patched)
    for name in _MAPS:
        if name in pruned:
            pruned[name] = _changed(valid.get(name), pruned[name])
    deployments = pruned.get("deployments")
    if isinstance(deployments, dict):
        before = valid.get("deployments", {})
        pruned["deployments"] = {
            name: _with_changed_endpoints(before.get(name), entry)
            for name, entry in deployments.items()
        }
    return pruned


def _with_changed_endpoints(before: typing.Any, entry: typing.Any) -> typing.Any:
    if not isinstance(entry, dict) or before is None or "endpoints" not in entry:
        return entry
    endpoints = _changed(before.get("endpoints"), entry["endpoints"])
    return entry | {"endpoints": endpoints}


def _changed(before: typing.Any, after: typing.Any) -> typing.Any:
    if not isinstance(before, dict) or not isinstance(after, dict):
        return after
    return {
        name: entry
        for name, entry in after.items()
        if name not in before or not _is_same(before[name], entry)
    }


def _is_same(one: typing.Any, other: typing.Any) -> bool:
    # Python takes true, 1 and 1.0 for equal, the schema doesn't.
    return msgspec.json.encode(one) == msgspec.json.encode(other)


def _unknown_organisation(document: documents.Document) -> shipped.Mistake | None:
    organisations = document.get("organisations", {})
    for name, deployment in document.get("deployments", {}).items():
        for organisation in deployment.get("organisations", []):
            if organisation not in organisations:
                return shipped.Mistake(
                    f"deployments.{name}.organisations",
                    f"{organisation!r} is not an organisation",
                )
    return None


def endpoints_of(
    document: documents.Document, deployment: str
) -> list[requests.Endpoint]:
    """Return the endpoints of a deployment, empty if there is none."""
    entry = document.get("deployments", {}).get(deployment)
    if entry is None:
        return []
    kind = requests.DeploymentKind(entry["kind"])
    return [
        requests.Endpoint(
            name=name,
            address=place["address"],
            port=place["port"],
            data_centre=place["data_centre"],
            deployment=deployment,
            kind=kind,
            reclaimable=place.get("reclaimable", True),
            fenced=entry.get("fenced", False),
        )
        for name, place in sorted(entry.get("endpoints", {}).items())
    ]
