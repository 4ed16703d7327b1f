"""
The records of the lease stream.

``id`` is unique for each record. ``nonce`` identifies one grant; only the process
that generated it may renew or release the lease. ``fence`` is the offset of the
record that granted the lease.
"""

import typing

RULES_VERSION = 1
MAX_NAME_CHARACTERS = 128
MIN_DURATION_S = 0.05
MAX_DURATION_S = 30.0


class AcquireRecord(typing.TypedDict):
    """Requests a duty; granted if nobody holds it at this point of the log."""

    kind: typing.Literal["acquire"]
    rules: int
    id: str
    duty: str
    holder: str
    nonce: str
    duration_s: float


class RenewRecord(typing.TypedDict):
    """Extends a lease, unless it has lapsed, counted from this record's time."""

    kind: typing.Literal["renew"]
    rules: int
    id: str
    duty: str
    holder: str
    nonce: str
    fence: int
    duration_s: float


class ReleaseRecord(typing.TypedDict):
    """Releases a lease before it lapses."""

    kind: typing.Literal["release"]
    rules: int
    id: str
    duty: str
    holder: str
    nonce: str
    fence: int


_COMMON_FIELDS = {
    "rules": int,
    "id": str,
    "duty": str,
    "holder": str,
    "nonce": str,
}
_FIELD_TYPES: dict[str, dict[str, type]] = {
    "acquire": _COMMON_FIELDS | {"duration_s": float},
    "renew": _COMMON_FIELDS | {"duration_s": float, "fence": int},
    "release": _COMMON_FIELDS | {"fence": int},
}


def valid_kind_of(data: typing.Any) -> str | None:
    """Return the kind of a valid record, None for a corrupted or foreign one."""
    if not isinstance(data, dict) or not isinstance(data.get("kind"), str):
        return None
    types = _FIELD_TYPES.get(data["kind"])
    if types is None or data.get("rules") != RULES_VERSION:
        return None
    # isinstance would accept a bool as an int; in JSON they are different types.
    if not all(type(data.get(name)) is expected for name, expected in types.items()):
        return None
    strings = [data["id"], data["duty"], data["holder"], data["nonce"]]
    if not all(0 < len(string) <= MAX_NAME_CHARACTERS for string in strings):
        return None
    duration_s = data.get("duration_s", MIN_DURATION_S)
    is_valid = MIN_DURATION_S <= duration_s <= MAX_DURATION_S
    return data["kind"] if is_valid else None
