"""
Client of the platform's store: an append-only log, and topics with keys.

Several calls use one field name for different numbers. Each is decoded here into a
type whose fields say what it holds.
"""

import logging
import struct
import typing
import urllib.parse
from collections import abc

import msgspec
import prometheus_client

from acaciaward import decoding, errors
from acaciaward.observability import logs
from acaciaward.platform import calls

log = logging.getLogger(__name__)

CONFIGURATION_TOPIC = "keyed.op"
ENDPOINTS_TOPIC = "keyed.servers"
CONFLICT_STATUS = 409
PRECONDITION_STATUS = 412
EXPIRED_STATUS = 410
# Header of every answer: a number that rises when the store is restored from a copy.
ERA_HEADER = "store-era"
MAX_ERA_DIGITS = 18
STORE_ERA = prometheus_client.Gauge(
    "acaciaward_store_era", "How often the platform's store was restored, as it says"
)
_RECORD_LENGTH = struct.Struct(">I")
# End offset of the topic and first retained offset.
_PAGE_HEAD = struct.Struct(">QQ")


_Body = typing.TypeVar("_Body")


class _NewestItem(msgspec.Struct, rename="pascal"):
    key: str
    value: bytes | None = None


class _NewestBody(msgspec.Struct, rename="pascal"):
    end_offset: int
    items: list[_NewestItem] | None = None
    has_more: bool = False


class _AppendBody(msgspec.Struct, rename="pascal"):
    end_offset: int


class _ExpiredBody(msgspec.Struct, rename="pascal"):
    first_offset: int


class Page(typing.NamedTuple):
    """
    Records from ``start`` on; the next append will get offset ``end_offset``.

    ``era`` is that of the answer, 0 if it states none: when the store was restored from
    an older copy, offsets begin again at the copy's end.
    """

    records: list[bytes]
    start: int
    end_offset: int
    first_retained: int
    era: int = 0

    @property
    def next_offset(self) -> int:
        """The offset to read on from."""
        return self.start + len(self.records)


class NewestValues(typing.NamedTuple):
    """The newest value of each key, the offset to follow the topic from and its era."""

    values: dict[str, bytes]
    end_offset: int
    era: int = 0


class Appended(typing.NamedTuple):
    """The offset after records that were appended, and the era; see ``Page``."""

    end_offset: int
    era: int = 0


class AppendRefusedError(errors.PlatformRefusedError):
    """An append was refused because the partition ends at ``end_offset``."""

    def __init__(self, message: str, end_offset: int):
        super().__init__(message)
        self.end_offset = end_offset


def encode_records(records: abc.Sequence[bytes]) -> bytes:
    """Return records as sent over HTTP: each preceded by its length."""
    return b"".join(_RECORD_LENGTH.pack(len(record)) + record for record in records)


def decode_records(data: bytes) -> list[bytes]:
    """Return the complete records of a body; a truncated last one is left out."""
    records = []
    position = 0
    while position + _RECORD_LENGTH.size <= len(data):
        (size,) = _RECORD_LENGTH.unpack_from(data, position)
        position += _RECORD_LENGTH.size
        if position + size > len(data):
            break
        records.append(data[position : position + size])
        position += size
    return records


def split_keyed(record: bytes) -> tuple[str, bytes]:
    """Return key and value of a keyed topic's record; no value deletes the key."""
    if not record or len(record) < 1 + record[0]:
        raise errors.PlatformUnknownError("record truncated within its key")
    end = 1 + record[0]
    return record[1:end].decode(errors="replace"), record[end:]


def join_keyed(key: str, value: bytes) -> bytes:
    """Return the record that sets a key."""
    encoded_key = key.encode()
    return bytes([len(encoded_key)]) + encoded_key + value


class Store:
    """The store at one address; every call may raise ``PlatformError``."""

    def __init__(self, service: calls.PlatformService):
        self._service = service
        self._era = 0

    @property
    def era(self) -> int:
        """The latest era that an answer has stated, 0 if none has."""
        return self._era

    async def newest(self, topic: str) -> NewestValues:
        """Read the newest value of each key of a topic."""
        values: dict[str, bytes] = {}
        end = None
        era = 0
        after = None
        while True:
            query = {"Topic": topic, "part": 0}
            if after is not None:
                query["After"] = after
            reply = await self._call("GET", "log-newest", query)
            body = _decode(reply, _NewestBody)
            for item in body.items or ():
                after = item.key
                values[after] = item.value or b""
            # The topic may change between pages: following it from the end and the era
            # of the first page misses no change.
            if end is None:
                end = body.end_offset
                era = _read_era(reply)
            if not body.has_more or not body.items:
                return NewestValues(values, end, era)

    async def read(
        self, topic: str, start: int, *, wait_s: float = 0.0, max_kb: int = 1024
    ) -> Page:
        """
        Read records from an offset on, waiting up to ``wait_s`` for the first.

        Raises ``RecordsExpiredError`` when the offset is no longer retained, or beyond
        the end since the store was restored from an older copy.
        """
        query = {"Topic": topic, "part": 0, "From": start, "MaxKb": max_kb}
        if wait_s:
            query["WaitMs"] = int(wait_s * 1000)
        reply = await self._call(
            "GET", "log-read", query, wait_s=wait_s, accepted={EXPIRED_STATUS}
        )
        if reply.status == EXPIRED_STATUS:
            raise errors.RecordsExpiredError(
                f"{topic}: there is no offset {start}",
                first_offset=_read_first_offset(reply),
            )
        if len(reply.body) < _PAGE_HEAD.size:
            raise errors.PlatformUnknownError("answer truncated within its head")
        end, first_retained = _PAGE_HEAD.unpack_from(reply.body)
        records = decode_records(reply.body[_PAGE_HEAD.size :])
        return Page(records, start, end, first_retained, _read_era(reply))

    async def append(
        self,
        topic: str,
        records: abc.Sequence[bytes],
        *,
        expected_end: int | None = None,
    ) -> Appended:
        """
        Append records and return where they end.

        With ``expected_end``, append only if the partition ends there; if not,
        ``AppendRefusedError`` says where it ends. After ``PlatformUnknownError``
        the records may have been appended.
        """
        query: dict[str, typing.Any] = {"Topic": topic, "part": 0}
        if expected_end is not None:
            query["At"] = expected_end
        reply = await self._call(
            "POST",
            "log-append",
            query,
            data=encode_records(records),
            accepted={PRECONDITION_STATUS},
        )
        end = _decode(reply, _AppendBody).end_offset
        if reply.status == PRECONDITION_STATUS:
            raise AppendRefusedError(f"{topic} ends at {end}", end)
        return Appended(end, _read_era(reply))

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
        self._record_era(reply)
        return reply

    def _record_era(self, reply: calls.PlatformReply) -> None:
        era = _read_era(reply)
        if era == self._era:
            return
        if not era:
            log.warning(
                "store's era is missing or invalid",
                extra=logs.fields(era=reply.headers.get(ERA_HEADER)),
            )
            return
        # Answers to calls that overlap may arrive in another order.
        event = "store's era" if era > self._era else "store's era is older than known"
        log.info(event, extra=logs.fields(era=era, before=self._era))
        if era > self._era:
            self._era = era
            STORE_ERA.set(era)


def _read_era(reply: calls.PlatformReply) -> int:
    """Return the era that an answer states, 0 if it is missing or not a number."""
    text = reply.headers.get(ERA_HEADER, "")
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number else 0


def _decode(reply: calls.PlatformReply, body_type: type[_Body]) -> _Body:
    try:
        return decoding.from_json(reply.body, body_type)
    except errors.DecodingError as error:
        raise errors.PlatformUnknownError(f"invalid answer: {error}") from error


def _read_first_offset(reply: calls.PlatformReply) -> int:
    """Return the first offset that a refused read states, 0 without a valid one."""
    try:
        return max(0, _decode(reply, _ExpiredBody).first_offset)
    except errors.PlatformUnknownError as error:
        log.warning(
            "no first offset for a refused read", extra=logs.fields(reason=error)
        )
        return 0
