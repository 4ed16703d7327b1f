"""
Client of the platform's store: an append-only log, and topics with keys.

Numbers that several calls share a name for are decoded here into types that say
what they hold.
"""

import base64
import binascii
import struct
import typing
import urllib.parse
from collections import abc

import msgspec

from acaciaward import errors
from acaciaward.platform import calls

CONFIGURATION_TOPIC = "keyed.op"
ENDPOINTS_TOPIC = "keyed.servers"
CONFLICT_STATUS = 409
PRECONDITION_STATUS = 412
EXPIRED_STATUS = 410
_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">QQ")


class Page(typing.NamedTuple):
    """Records from ``start`` on; ``end`` is where the next record will stand."""

    records: list[bytes]
    start: int
    end: int
    first_retained: int

    @property
    def next_offset(self) -> int:
        """Where to go on reading."""
        return self.start + len(self.records)


class Newest(typing.NamedTuple):
    """The newest value of each key, and the offset to follow the topic from."""

    values: dict[str, bytes]
    end: int


class AppendRefusedError(errors.PlatformRefusedError):
    """A conditional append found the partition ending elsewhere, at ``end``."""

    def __init__(self, message: str, end: int):
        super().__init__(message)
        self.end = end


def encode_records(records: abc.Sequence[bytes]) -> bytes:
    """Return records as they travel: each behind its length."""
    return b"".join(_LENGTH.pack(len(record)) + record for record in records)


def decode_records(data: bytes) -> list[bytes]:
    """Return the whole records in a body; a cut one at its end is left out."""
    records = []
    place = 0
    while place + _LENGTH.size <= len(data):
        (size,) = _LENGTH.unpack_from(data, place)
        place += _LENGTH.size
        if place + size > len(data):
            break
        records.append(data[place : place + size])
        place += size
    return records


def split_keyed(record: bytes) -> tuple[str, bytes]:
    """Return key and value of a record in a topic with keys; no value drops it."""
    if not record or len(record) < 1 + record[0]:
        raise errors.PlatformUnknownError("record without a whole key")
    end = 1 + record[0]
    return record[1:end].decode(errors="replace"), record[end:]


def join_keyed(key: str, value: bytes) -> bytes:
    """Return the record that sets a key."""
    name = key.encode()
    return bytes([len(name)]) + name + value


class Store:
    """The store at one address; every call may raise ``PlatformError``."""

    def __init__(self, service: calls.PlatformService):
        self._service = service

    async def newest(self, topic: str) -> Newest:
        """Read the newest value of each key of a topic."""
        values: dict[str, bytes] = {}
        end = None
        after = None
        while True:
            query = {"Topic": topic, "part": 0}
            if after is not None:
                query["After"] = after
            reply = await self._call("GET", "log-newest", query)
            body = _object(reply.body)
            items = body.get("Items") or []
            for item in items:
                after = item["Key"]
                values[after] = _decode_base64(item.get("Value"))
            # Pages are no snapshot: following begins where the first one ended.
            end = int(body.get("EndOffset", 0)) if end is None else end
            if not body.get("HasMore") or not items:
                return Newest(values, end)

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0, max_kb: int = 1024
    ) -> Page:
        """
        Read records from an offset on, waiting up to ``wait_s`` for the first.

        Raises ``RecordsExpiredError`` when the offset is no longer retained.
        """
        query = {"Topic": topic, "part": 0, "From": start, "MaxKb": max_kb}
        if wait_s:
            query["WaitMs"] = int(wait_s * 1000)
        reply = await self._call(
            "GET", "log-read", query, wait_s=wait_s, accepted={EXPIRED_STATUS}
        )
        if reply.status == EXPIRED_STATUS:
            body = _object(msgspec.json.decode(reply.body))
            first = int(body.get("FirstOffset", start))
            raise errors.RecordsExpiredError(
                f"{topic}: offset {start}", first_offset=first
            )
        if len(reply.body) < _HEAD.size:
            raise errors.PlatformUnknownError("answer without its head")
        end, first = _HEAD.unpack_from(reply.body)
        return Page(decode_records(reply.body[_HEAD.size :]), start, end, first)

    async def append(
        self, topic: str, records: abc.Sequence[bytes], *, at: int | None = None
    ) -> int:
        """
        Append records and return the offset after them.

        With ``at`` only if the partition ends there; ``AppendRefusedError`` says
        where it ends instead. ``PlatformUnknownError`` leaves it open.
        """
        query: dict[str, typing.Any] = {"Topic": topic, "part": 0}
        if at is not None:
            query["At"] = at
        reply = await self._call(
            "POST",
            "log-append",
            query,
            data=encode_records(records),
            accepted={PRECONDITION_STATUS},
        )
        body = _object(reply.body)
        end = int(body.get("EndOffset", -1))
        if reply.status == PRECONDITION_STATUS:
            raise AppendRefusedError(f"{topic} ends at {end}", end)
        return end

    async def _call(
        self,
        method: str,
        name: str,
        query: abc.Mapping[str, typing.Any],
        *,
        data: bytes = b"",
        wait_s: float = 0.0,
        accepted: abc.Iterable[int] = (),
    ) -> calls.PlatformReply:
        path = f"/api/{name}?{urllib.parse.urlencode(query)}"
        reply = await self._service.exchange(
            method, path, data, wait_s=wait_s, accepted=frozenset(accepted)
        )
        if name == "log-read":
            return reply
        try:
            return reply._replace(body=msgspec.json.decode(reply.body))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.PlatformUnknownError(f"{name}: {error}") from error


def _object(body: typing.Any) -> dict[str, typing.Any]:
    if not isinstance(body, dict):
        raise errors.PlatformUnknownError("answer is not an object")
    return body


def _decode_base64(value: typing.Any) -> bytes:
    try:
        return base64.b64decode(value or "")
    except (binascii.Error, TypeError, ValueError) as error:
        raise errors.PlatformUnknownError(f"value is not base64: {error}") from error
