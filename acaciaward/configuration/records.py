"""
Checks the form of configuration records, with the same result at every entry.

A record is valid only if every codec carries it unchanged: nested at most
``MAX_DEPTH`` deep, with integers of 64 bits, finite numbers and text without
lone surrogates. Whether a decoder accepts anything else may depend on its build
or on the stack depth at that moment, so entries skip such records by rule.
"""

import math
import typing

MAX_DEPTH = 64
MAX_INTEGER = 2**63 - 1
MAX_ID_CHARACTERS = 128
MAX_AUTHOR_CHARACTERS = 128

_PATCH_TYPES = {"rules": int, "id": str, "base": int, "author": str, "changes": dict}
_SNAPSHOT_TYPES = {
    "rules": int,
    "version": int,
    "offset": int,
    "digest": str,
    "state": str,
}


def is_portable(value: typing.Any) -> bool:
    """Return whether every codec carries the value unchanged."""
    level = [value]
    for _ in range(MAX_DEPTH):
        if not level:
            return True
        if not all(_is_portable_value(item) for item in level):
            return False
        level = [child for item in level for child in _children(item)]
    return not level


def _children(item: typing.Any) -> typing.Iterable[typing.Any]:
    if isinstance(item, dict):
        return [*item.keys(), *item.values()]
    return item if isinstance(item, list) else ()


def _is_portable_value(item: typing.Any) -> bool:
    if isinstance(item, str):
        return item.isascii() or _is_unicode(item)
    if isinstance(item, float):
        return math.isfinite(item)
    if isinstance(item, int):
        return abs(item) <= MAX_INTEGER
    return item is None or isinstance(item, (dict, list))


def _is_unicode(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_patch(data: dict[str, typing.Any]) -> bool:
    """Return whether a record has the form of a patch."""
    return (
        _has_types(data, _PATCH_TYPES)
        and 0 < len(data["id"]) <= MAX_ID_CHARACTERS
        and len(data["author"]) <= MAX_AUTHOR_CHARACTERS
    )


def is_snapshot(data: dict[str, typing.Any]) -> bool:
    """Return whether a record has the form of a snapshot."""
    return _has_types(data, _SNAPSHOT_TYPES)


def _has_types(data: dict[str, typing.Any], types: dict[str, type]) -> bool:
    # type() and not isinstance(): a bool is an int in Python, but not in JSON.
    return all(type(data.get(name)) is kind for name, kind in types.items())
