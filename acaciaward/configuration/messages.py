"""
The records of the configuration stream.

A patch carries a JSON merge patch (RFC 7396) against a numbered version. A
snapshot carries the whole state after the record at ``offset``.
"""

import typing

RULES = 1


class PatchRecord(typing.TypedDict):
    """A patch; ``rules`` is the number of the rule set that judges it."""

    kind: typing.Literal["patch"]
    rules: int
    id: str
    base: int
    author: str
    changes: dict[str, typing.Any]


class SnapshotRecord(typing.TypedDict):
    """The state after the record at ``offset``; ``digest`` is its SHA-256."""

    kind: typing.Literal["snapshot"]
    rules: int
    version: int
    offset: int
    digest: str
    state: dict[str, typing.Any]
