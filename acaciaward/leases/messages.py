"""
The records of the lease stream.

``id`` is unique for each record. ``nonce`` names one grant: the process that
made it up is the only one that may renew or release it. ``fence`` is the offset
of the record that granted the lease.
"""

import typing

RULES = 1
MAX_NAME_CHARACTERS = 128
MIN_DURATION_S = 0.05
MAX_DURATION_S = 30.0


class AcquireRecord(typing.TypedDict):
    """Asks for a duty; granted if nobody holds it at that point of the log."""

    kind: typing.Literal["acquire"]
    rules: int
    id: str
    duty: str
    holder: str
    nonce: str
    duration_s: float


class RenewRecord(typing.TypedDict):
    """Prolongs a lease from this record's time on, if it has not lapsed."""

    kind: typing.Literal["renew"]
    rules: int
    id: str
    duty: str
    holder: str
    nonce: str
    fence: int
    duration_s: float


class ReleaseRecord(typing.TypedDict):
    """Gives a lease back before it lapses."""

    kind: typing.Literal["release"]
    rules: int
    id: str
    duty: str
    holder: str
    nonce: str
    fence: int


_COMMON = {
    "rules": int,
    "id": str,
    "duty": str,
    "holder": str,
    "nonce": str,
}
_TYPES: dict[str, dict[str, type]] = {
    "acquire": _COMMON | {"duration_s": float},
    "renew": _COMMON | {"duration_s": float, "fence": int},
    "release": _COMMON | {"fence": int},
}


def kind_of(data: typing.Any) -> str | None:
    """Return the kind of a sound record, None for a damaged or foreign one."""
    if not isinstance(data, dict) or not isinstance(data.get("kind"), str):
        return None
    types = _TYPES.get(data["kind"])
    if types is None or data.get("rules") != RULES:
        return None
    # A truth value is an integer to isinstance, but not in JSON.
    if not all(type(data.get(name)) is kind for name, kind in types.items()):
        return None
    texts = [data["id"], data["duty"], data["holder"], data["nonce"]]
    if not all(0 < len(text) <= MAX_NAME_CHARACTERS for text in texts):
        return None
    duration_s = data.get("duration_s", MIN_DURATION_S)
    is_sound = MIN_DURATION_S <= duration_s <= MAX_DURATION_S
    return data["kind"] if is_sound else None
