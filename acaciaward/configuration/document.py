"""
Rules of the configuration document: what a valid one looks like.

The check is a plain function of the document, so that every entry reaches the
same verdict about the same record.
"""

import copy
import functools
import typing

import json_merge_patch

from acaciaward import documents, requests, schemas

_PACKAGE = "acaciaward.configuration"


@functools.cache
def _schema() -> schemas.Schema:
    return schemas.Schema(_PACKAGE, "document.schema.json")


def merge(
    document: documents.Document, changes: dict[str, typing.Any]
) -> documents.Document:
    """Return the document with a JSON merge patch applied; both stay as they are."""
    return json_merge_patch.merge(copy.deepcopy(document), copy.deepcopy(changes))


def first_mistake(document: documents.Document) -> schemas.Mistake | None:
    """Return what makes a document invalid, or None."""
    mistake = _schema().first_mistake(document)
    return mistake or _unknown_organisation(document)


def _unknown_organisation(document: documents.Document) -> schemas.Mistake | None:
    organisations = document.get("organisations", {})
    for name, deployment in document.get("deployments", {}).items():
        for organisation in deployment.get("organisations", []):
            if organisation not in organisations:
                return schemas.Mistake(
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
