"""
Validates JSON documents against shipped schemas and reports one problem at a time.

The schemas' format ``ip`` stands for an IP address, version 4 or 6.
"""

import ipaddress
import typing

import jsonschema

from acaciaward import shipped

_formats = jsonschema.FormatChecker(formats=())


@_formats.checks("ip", raises=ValueError)
def _is_ip_address(value: object) -> bool:
    if isinstance(value, str):
        ipaddress.ip_address(value)
    return True


class Schema:
    """
    A shipped JSON schema.

        Schema("acaciaward.settings", "schema.json").find_first_problem({})
        # ValidationProblem(path='', reason="'instance' is a required property")
    """

    def __init__(self, package: str, name: str):
        schema = shipped.read(package, name)
        self._validator = jsonschema.Draft202012Validator(
            schema, format_checker=_formats
        )

    def find_first_problem(
        self, document: typing.Any
    ) -> shipped.ValidationProblem | None:
        """Return the most relevant problem of a document, or None if it is valid."""
        errors = self._validator.iter_errors(document)
        error = jsonschema.exceptions.best_match(errors)
        if error is None:
            return None
        path = ".".join(str(part) for part in error.absolute_path)
        return shipped.ValidationProblem(path, _reason(error))


def _reason(error: jsonschema.ValidationError) -> str:
    """Return the reason on one line."""
    if error.validator == "format":
        return f"{error.instance!r} is not an IP number"
    return error.message.replace("\n", " ")
