"""
The records of the configuration stream and the messages between entries about it.

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
    """
    The state after the record at ``offset``.

    ``state`` is the canonical JSON of the state, deflated, in base 64, and
    ``digest`` the SHA-256 of that JSON, hexadecimal.
    """

    kind: typing.Literal["snapshot"]
    rules: int
    version: int
    offset: int
    digest: str
    state: str


class ReadRequest(typing.TypedDict):
    """Asks a reader of the log for its records from an offset on."""

    sender: str
    from_offset: int
    wait_s: float


class RecordFields(typing.TypedDict):
    """One log record as it travels; ``data`` is null for an unreadable one."""

    offset: int
    time: float
    data: typing.Any


class ReadAnswer(typing.TypedDict):
    """
    Records that a peer holds.

    ``next_offset`` is the peer's own, ``age_s`` the time since the log
    confirmed it, ``waited_s`` the time that the peer let the question wait, and
    ``held`` is false when the peer no longer holds the wanted offset.
    """

    held: bool
    records: list[RecordFields]
    next_offset: int
    age_s: float
    waited_s: float


class StateRequest(typing.TypedDict):
    """Asks a peer for its whole state."""

    sender: str


class StateAnswer(typing.TypedDict):
    """
    The state after the record before ``next_offset``, as in a snapshot.

    ``covered`` is the offset that the newest snapshot on the log covers and
    ``snapshot_age_s`` its age, so that a newcomer renews it in time.
    """

    rules: int
    version: int
    next_offset: int
    digest: str
    state: str
    covered: int
    snapshot_age_s: float


class VersionRequest(typing.TypedDict):
    """Asks a peer for its version, once it has ``version`` or ``wait_s`` is over."""

    sender: str
    version: int
    wait_s: float


class VersionAnswer(typing.TypedDict):
    """The version in force at a peer and the next offset that it will replay."""

    version: int
    next_offset: int


KINDS: dict[str, type] = {
    "configuration_read": ReadRequest,
    "configuration_read_answer": ReadAnswer,
    "configuration_state": StateRequest,
    "configuration_state_answer": StateAnswer,
    "configuration_version": VersionRequest,
    "configuration_version_answer": VersionAnswer,
}
