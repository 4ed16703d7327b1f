"""Reads the JSON files that packages ship, and says where a document is wrong."""

import json
import pkgutil
import typing


class Mistake(typing.NamedTuple):
    """Where a document breaks its rules, as a dotted path, and why."""

    path: str
    reason: str


def read(package: str, name: str) -> dict[str, typing.Any]:
    """Return a JSON file that is part of a package."""
    data = pkgutil.get_data(package, name)
    if data is None:
        raise FileNotFoundError(f"{package} doesn't ship {name}")
    return json.loads(data)
