"""
Encoding of the messages between entries.

A message travels as two ZeroMQ frames: its kind, and its body as MessagePack.
The body is a ``TypedDict``, so a newer entry may add keys that an older one
ignores. Each package lists its kinds in a module ``messages`` under the name
``MESSAGE_TYPES``; ``MessageTable`` is built from all of them and is the only decoder.

    table = MessageTable({"probe": messages.Probe})
    frames = table.encode("probe", {"sender": "entry-1"})
    kind, body = table.decode(frames)
"""

import typing
from collections import abc

import msgspec

from acaciaward import decoding, errors

MAX_MESSAGE_BYTES = 1024 * 1024


class MessageTable:
    """Maps the kinds of messages to the types of their bodies."""

    def __init__(self, kinds: abc.Mapping[str, type]):
        self._decoders = {
            kind.encode(): msgspec.msgpack.Decoder(body) for kind, body in kinds.items()
        }
        self._encoder = msgspec.msgpack.Encoder()

    def encode(self, kind: str, body: abc.Mapping[str, typing.Any]) -> list[bytes]:
        """Return the frames of a message; raise ``WireError`` for an unknown kind."""
        name = kind.encode()
        if name not in self._decoders:
            raise errors.WireError(f"unknown message kind {kind!r}")
        return [name, self._encoder.encode(body)]

    def decode(self, frames: abc.Sequence[bytes]) -> tuple[str, dict[str, typing.Any]]:
        """Return kind and body, or raise ``WireError`` for a malformed message."""
        if len(frames) != 2:
            raise errors.WireError(f"expected 2 frames, got {len(frames)}")
        name, payload = frames
        if len(payload) > MAX_MESSAGE_BYTES:
            raise errors.WireError(f"message of {len(payload)} bytes is too large")
        decoder = self._decoders.get(name)
        if decoder is None:
            raise errors.WireError(f"unknown message kind {name[:32]!r}")
        try:
            return name.decode(), decoder.decode(payload)
        except decoding.LIBRARY_ERRORS as error:
            raise errors.WireError(f"malformed {name.decode()}: {error}") from error
