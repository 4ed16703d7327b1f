"""
Keeps in the store which streams began at which version, while several serve.

The recorder appends the streams that it is told of in batches, so that a stream costs
no call of its own. An entry reads them if a caller takes up a stream that no entry
remembers, as after all entries have ended at once.

    streams.add("0f1e2d3c4b5a6978", Origin("service", "v2"))
    await streams.find("0f1e2d3c4b5a6978")  # Origin(service='service', version='v2')
"""

import asyncio
import collections
import logging
import time
import typing
from collections import abc

import msgspec

from acaciaward import decoding, errors
from acaciaward.catalogue import sharedread
from acaciaward.observability import logs
from acaciaward.resumption import servingversions

log = logging.getLogger(__name__)

Origin = servingversions.Origin

FLUSH_INTERVAL_S = 0.05
# Pause after an append that failed.
BACKOFF_S = 0.5
# More streams than this aren't kept for a store that takes no appends.
MAX_PENDING = 20_000
MAX_STREAMS = 20_000
STREAMS_IN_RECORD = 4096
MAX_PAGES = 64


class Page(typing.Protocol):
    """Records of a topic; see ``platform.store.Page``."""

    records: list[bytes]
    end_offset: int
    era: int

    @property
    def next_offset(self) -> int:
        """The offset to read on from."""


class Topic(typing.Protocol):
    """A topic of the store; calls may raise ``PlatformError``."""

    async def read(self, start: int) -> Page:
        """Return records from an offset on."""

    async def append_unconditionally(self, records: abc.Sequence[bytes]) -> typing.Any:
        """Append records, whatever the topic's end."""


class Batch(typing.NamedTuple):
    """Streams of one version, each eight bytes of ``streams``."""

    service: str
    version: str
    streams: bytes


class StreamLog:
    """The streams in the store: writes those that are added, and finds others."""

    def __init__(
        self, topic: Topic, *, clock: abc.Callable[[], float] = time.monotonic
    ):
        self._topic = topic
        self._pending: dict[str, Origin] = {}
        self._origins: collections.OrderedDict[str, Origin] = collections.OrderedDict()
        self._next_offset = 0
        self._era = 0
        self._reads = sharedread.SharedRead(self._read_on, clock=clock)

    def add(self, stream: str, origin: Origin) -> None:
        """Write a stream with the next batch; ``stream`` is 16 hexadecimal digits."""
        self._pending.setdefault(stream, origin)
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            if not self._pending:
                continue
            try:
                await self.flush()
            except errors.PlatformError as error:
                log.warning(
                    "could not record streams in the store",
                    extra=logs.fields(streams=len(self._pending), reason=error),
                )
                await asyncio.sleep(BACKOFF_S)

    async def flush(self) -> None:
        """Append what is pending; it stays pending if that fails."""
        pending = dict(self._pending)
        await self._topic.append_unconditionally(_encode(pending))
        for stream in pending:
            self._pending.pop(stream, None)

    async def find(self, stream: str) -> Origin | None:
        """Return where a stream began, None if the store doesn't tell."""
        if stream not in self._origins:
            await self._reads.get()
        return self._origins.get(stream)

    async def _read_on(self) -> None:
        """Take what has been appended; another read may run at the same time."""
        era, offset = self._era, self._next_offset
        for _ in range(MAX_PAGES):
            try:
                page = await self._topic.read(offset)
            except errors.RecordsExpiredError as error:
                offset = error.first_offset
                continue
            if page.era > era and offset:
                # Offsets of an earlier era may belong to other records.
                era, offset = page.era, 0
                continue
            era, offset = max(era, page.era), page.next_offset
            for record in page.records:
                self._take(record)
            if era >= self._era:
                self._era, self._next_offset = era, offset
            if page.next_offset >= page.end_offset:
                return
        log.warning(
            "more streams in the store than are read at once",
            extra=logs.fields(next=offset),
        )

    def _take(self, record: bytes) -> None:
        try:
            batches = decoding.from_msgpack(record, list[Batch])
        except errors.DecodingError as error:
            log.warning("record of streams is invalid", extra=logs.fields(reason=error))
            return
        for batch in batches:
            origin = Origin(batch.service, batch.version)
            for start in range(0, len(batch.streams), 8):
                stream = batch.streams[start : start + 8].hex()
                self._origins.setdefault(stream, origin)
        while len(self._origins) > MAX_STREAMS:
            self._origins.popitem(last=False)


def _encode(streams: abc.Mapping[str, Origin]) -> list[bytes]:
    by_origin: dict[Origin, list[str]] = collections.defaultdict(list)
    for stream, origin in streams.items():
        by_origin[origin].append(stream)
    return [
        msgspec.msgpack.encode(
            [Batch(*origin, bytes.fromhex("".join(names[at : at + STREAMS_IN_RECORD])))]
        )
        for origin, names in by_origin.items()
        for at in range(0, len(names), STREAMS_IN_RECORD)
    ]
