"""
Decodes what others have written.

Whatever the bytes are, the only error is ``DecodingError``, so that no caller has to
know which exceptions the libraries raise.

    decoding.from_json(b'{"Version": 3}', dict)  # {"Version": 3}
    decoding.to_integer("12")  # 12
"""

import typing

import msgspec

from acaciaward import errors

# Larger numbers are of no use, and floats, messages and clocks don't hold them exactly.
MAX_NUMBER = 2**53
MAX_DIGITS = len(str(MAX_NUMBER))
MAX_NAME_CHARACTERS = 255
# What msgspec raises for invalid, too deeply nested or too large input.
LIBRARY_ERRORS = (
    msgspec.MsgspecError,
    UnicodeDecodeError,
    RecursionError,
    OverflowError,
    ValueError,
)

Decoded = typing.TypeVar("Decoded")


def from_json(data: bytes, decoded_type: type[Decoded]) -> Decoded:
    """Return the decoded JSON, or raise ``DecodingError``."""
    try:
        return msgspec.json.decode(data, type=decoded_type)
    except LIBRARY_ERRORS as error:
        raise errors.DecodingError(str(error)) from error


def from_msgpack(data: bytes, decoded_type: type[Decoded]) -> Decoded:
    """Return the decoded MessagePack, or raise ``DecodingError``."""
    try:
        return msgspec.msgpack.decode(data, type=decoded_type)
    except LIBRARY_ERRORS as error:
        raise errors.DecodingError(str(error)) from error


def to_integer(text: str) -> int:
    """Return a whole number from 0 to ``MAX_NUMBER``, or raise ``DecodingError``."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    if not is_number or int(text) > MAX_NUMBER:
        raise errors.DecodingError(f"not a number in range: {text[:40]!r}")
    return int(text)


def is_name(text: str) -> bool:
    """Return whether a text can be shown, and sent in headers and to all entries."""
    return len(text) <= MAX_NAME_CHARACTERS and text.isprintable()


def is_in_range(value: typing.Any) -> bool:
    """Return whether a value is a number from 0 to ``MAX_NUMBER``."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_NUMBER
