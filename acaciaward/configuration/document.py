"""
Validates, merges and reads configuration documents.

The result of a check depends on the document alone, so that every entry accepts
or rejects the same records.
"""

import copy
import functools
import typing

import json_merge_patch
import msgspec

from acaciaward import documents, requests, schemas, shipped

_PACKAGE = "acaciaward.configuration"
# The schema checks each item of these maps independently of the others.
_INDEPENDENT_MAPS = (
    "organisations",
    "deployments",
    "objectives",
    "operators",
    "lifted",
)


@functools.cache
def _schema() -> schemas.Schema:
    return schemas.Schema(_PACKAGE, "document.schema.json")


def merge(
    document: documents.Document, changes: dict[str, typing.Any]
) -> documents.Document:
    """Return the document with a merge patch applied; changes neither argument."""
    return json_merge_patch.merge(copy.deepcopy(document), copy.deepcopy(changes))


def find_first_problem(
    document: documents.Document,
) -> shipped.ValidationProblem | None:
    """Return what makes a document invalid, or None."""
    problem = _schema().find_first_problem(document)
    return problem or _find_unknown_organisation(document)


def find_first_problem_of_change(
    valid: documents.Document, patched: documents.Document
) -> shipped.ValidationProblem | None:
    """
    Return what makes a patched document invalid, given the valid one before.

    Unchanged items are not checked again, so that the cost grows with the
    change and not with the document.
    """
    problem = _schema().find_first_problem(_without_unchanged(valid, patched))
    return problem or _find_unknown_organisation(patched)


def _without_unchanged(
    valid: documents.Document, patched: documents.Document
) -> dict[str, typing.Any]:
    pruned = dict(patched)
    for name in _INDEPENDENT_MAPS:
        if name in pruned:
            pruned[name] = _changed_items(valid.get(name), pruned[name])
    deployments = pruned.get("deployments")
    if isinstance(deployments, dict):
        before = valid.get("deployments", {})
        pruned["deployments"] = {
            name: _with_changed_endpoints(before.get(name), after)
            for name, after in deployments.items()
        }
    return pruned


def _with_changed_endpoints(before: typing.Any, after: typing.Any) -> typing.Any:
    if not isinstance(after, dict) or before is None or "endpoints" not in after:
        return after
    endpoints = _changed_items(before.get("endpoints"), after["endpoints"])
    return after | {"endpoints": endpoints}


def _changed_items(before: typing.Any, after: typing.Any) -> typing.Any:
    if not isinstance(before, dict) or not isinstance(after, dict):
        return after
    return {
        name: item
        for name, item in after.items()
        if name not in before or not _is_same(before[name], item)
    }


def _is_same(before: typing.Any, after: typing.Any) -> bool:
    # In Python True, 1 and 1.0 are equal; the schema distinguishes them.
    return msgspec.json.encode(before) == msgspec.json.encode(after)


def _find_unknown_organisation(
    document: documents.Document,
) -> shipped.ValidationProblem | None:
    organisations = document.get("organisations", {})
    for name, deployment in document.get("deployments", {}).items():
        for organisation in deployment.get("organisations", []):
            if organisation not in organisations:
                return shipped.ValidationProblem(
                    f"deployments.{name}.organisations",
                    f"{organisation!r} is not an organisation",
                )
    return None


def endpoints_of(
    document: documents.Document, deployment: str
) -> list[requests.Endpoint]:
    """Return the endpoints of a deployment, empty if there is none."""
    deployment_entry = document.get("deployments", {}).get(deployment)
    if deployment_entry is None:
        return []
    kind = requests.DeploymentKind(deployment_entry["kind"])
    return [
        requests.Endpoint(
            name=name,
            address=endpoint_entry["address"],
            port=endpoint_entry["port"],
            data_centre=endpoint_entry["data_centre"],
            deployment=deployment,
            kind=kind,
            reclaimable=endpoint_entry.get("reclaimable", True),
            fenced=deployment_entry.get("fenced", False),
        )
        for name, endpoint_entry in sorted(
            deployment_entry.get("endpoints", {}).items()
        )
    ]
