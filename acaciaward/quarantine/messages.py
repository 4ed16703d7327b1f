"""
Records of the quarantine stream.

A subject is an organisation and the digest of a request's deployment, path and
body, separated by a slash. A turn is the permit to run a suspect alone on an
endpoint. A nonce identifies a record.
"""

import typing


class DeathRecord(typing.TypedDict):
    """
    An endpoint died while it ran these subjects; ``alone`` names those run alone.

    ``counts`` is False if the whole data centre was lost: the subjects become
    suspects, but none is quarantined for it.
    """

    kind: str
    nonce: str
    endpoint: str
    suspects: list[str]
    alone: list[str]
    counts: bool


class TurnRecord(typing.TypedDict):
    """An entry requests a turn to run a suspect alone on an endpoint."""

    kind: str
    nonce: str
    endpoint: str
    subject: str


class TurnEndRecord(typing.TypedDict):
    """The turn of this nonce has ended or was not used."""

    kind: str
    nonce: str
    endpoint: str


class ClearRecord(typing.TypedDict):
    """A suspect completed, so it did not cause the death."""

    kind: str
    nonce: str
    subject: str
