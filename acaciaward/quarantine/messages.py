"""
Records of the quarantine stream.

A subject is an organisation and the digest of a request's deployment, path and
body, parted by a slash.
"""

import typing


class DeathRecord(typing.TypedDict):
    """
    An endpoint died under these subjects; ``alone`` names those run alone.

    ``counts`` is False for a loss of the whole data centre: it makes suspects,
    but quarantines nobody.
    """

    kind: str
    nonce: str
    endpoint: str
    suspects: list[str]
    alone: list[str]
    counts: bool


class TurnRecord(typing.TypedDict):
    """An entry wants to run a suspect alone on an endpoint."""

    kind: str
    nonce: str
    endpoint: str
    subject: str


class TurnEndRecord(typing.TypedDict):
    """The turn of this nonce is over, or was never taken."""

    kind: str
    nonce: str
    endpoint: str


class ClearRecord(typing.TypedDict):
    """A suspect completed, so it didn't cause the death."""

    kind: str
    nonce: str
    subject: str
