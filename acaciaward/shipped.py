"""Reads JSON files that are shipped as package data, such as schemas and defaults."""

import json
import pkgutil
import typing


class ValidationProblem(typing.NamedTuple):
    """The dotted path at which a document breaks a rule, and the reason."""

    path: str
    reason: str


def read(package: str, name: str) -> dict[str, typing.Any]:
    """Return the content of a JSON file in a package."""
    data = pkgutil.get_data(package, name)
    if data is None:
        raise FileNotFoundError(f"{package} doesn't ship {name}")
    return json.loads(data)
