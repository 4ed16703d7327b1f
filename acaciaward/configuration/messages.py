"""
Records of the configuration stream, and the messages that entries exchange about it.

A patch carries a JSON merge patch (RFC 7396) against a numbered version. A
snapshot carries the complete state after the record at ``offset``. A reader is an
entry that reads the log for its data centre; the others read from readers.
"""

import typing

RULE_SET = 1


class PatchRecord(typing.TypedDict):
    """A patch; ``rules`` is the number of the rule set by which it is evaluated."""

    kind: typing.Literal["patch"]
    rules: int
    id: str
    base: int
    author: str
    changes: dict[str, typing.Any]


class SnapshotRecord(typing.TypedDict):
    """
    The state after the record at ``offset``.

    ``state`` is the canonical JSON of the state, compressed with zlib and
    in base 64, and ``digest`` the SHA-256 of that JSON, hexadecimal.
    """

    kind: typing.Literal["snapshot"]
    rules: int
    version: int
    offset: int
    digest: str
    state: str


class ReadRequest(typing.TypedDict):
    """Requests the records from an offset on from an entry that holds them."""

    sender: str
    from_offset: int
    wait_s: float


class RecordFields(typing.TypedDict):
    """One log record in a message; ``data`` is null if not every codec can carry it."""

    offset: int
    time: float
    data: typing.Any


class ReadAnswer(typing.TypedDict):
    """
    Records that a peer holds.

    ``next_offset`` is the peer's own, ``age_s`` the time since the log
    confirmed it, ``waited_s`` the time for which the peer delayed its answer, and
    ``held`` is false when the peer doesn't hold the requested offset.
    """

    held: bool
    records: list[RecordFields]
    next_offset: int
    age_s: float
    waited_s: float


class StateRequest(typing.TypedDict):
    """Requests the complete state of a peer."""

    sender: str


class StateAnswer(typing.TypedDict):
    """
    The state after the record before ``next_offset``, as in a snapshot.

    ``covered`` is the offset that the newest snapshot on the log covers and
    ``snapshot_age_s`` its age, so that a new entry renews it in time.
    """

    rules: int
    version: int
    next_offset: int
    digest: str
    state: str
    covered: int
    snapshot_age_s: float


class VersionRequest(typing.TypedDict):
    """Requests a peer's version; it answers at ``version`` or after ``wait_s``."""

    sender: str
    version: int
    wait_s: float


class VersionAnswer(typing.TypedDict):
    """The version in force at a peer and the offset that it replays next."""

    version: int
    next_offset: int


MESSAGE_TYPES: dict[str, type] = {
    "configuration_read": ReadRequest,
    "configuration_read_answer": ReadAnswer,
    "configuration_state": StateRequest,
    "configuration_state_answer": StateAnswer,
    "configuration_version": VersionRequest,
    "configuration_version_answer": VersionAnswer,
}
