"""An in-memory log and peer network for tests."""

import asyncio
import time

from acaciaward import errors
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.provider import interfaces as provider_interfaces


class FakeLog:
    """One stream in memory, with faults as those of the platform's log."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.is_down = False
        self.answers_to_lose = 0
        self.appends_to_drop = 0
        self.append_delay_s = 0.0
        self.retention_s = float("inf")
        self.reads = []
        self.appends = 0
        self._record_added = asyncio.Event()

    @property
    def next_offset(self):
        return self.first_offset + len(self.records)

    def put(self, data):
        record = provider_interfaces.LogRecord(self.next_offset, time.time(), data)
        self.records.append(record)
        self._record_added.set()
        self._record_added = asyncio.Event()
        return record.offset

    def expire_before(self, offset):
        del self.records[: offset - self.first_offset]
        self.first_offset = offset

    def _expire(self):
        oldest = time.time() - self.retention_s
        kept = [record for record in self.records if record.time >= oldest]
        self.expire_before(self.next_offset - len(kept))

    async def append(self, stream, records):
        if self.is_down:
            raise errors.PlatformRefusedError("down")
        self.appends += 1
        if self.appends_to_drop:
            self.appends_to_drop -= 1
            raise errors.PlatformUnknownError("lost before the effect")
        if self.append_delay_s:
            loop = asyncio.get_running_loop()
            for data in records:
                loop.call_later(self.append_delay_s, self.put, data)
            raise errors.PlatformUnknownError("takes effect late")
        offsets = [self.put(data) for data in records]
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise errors.PlatformUnknownError("lost after the effect")
        return offsets

    async def read(self, stream, from_offset, *, limit=1000, wait_s=0):
        self.reads.append(time.monotonic())
        if self.is_down:
            raise errors.PlatformRefusedError("down")
        if wait_s and from_offset >= self.next_offset:
            try:
                await asyncio.wait_for(self._record_added.wait(), wait_s)
            except TimeoutError:
                pass
        if self.is_down:
            raise errors.PlatformUnknownError("went down")
        self._expire()
        if from_offset < self.first_offset:
            raise errors.RecordsExpiredError("old", first_offset=self.first_offset)
        begin = from_offset - self.first_offset
        return provider_interfaces.LogPage(
            self.records[begin : begin + limit],
            self.first_offset,
            self.next_offset,
            time.time(),
        )


class FakeNetwork:
    """
    The peer network of one entry; all entries of a test share ``entries``.

    Requests cross no border of a data centre in ``partitioned``.
    """

    def __init__(self, name, data_centre, entries, partitioned):
        self.name = name
        self.data_centre = data_centre
        self.version = 0
        self.state = membership_interfaces.PeerState.LIVE
        self.handlers = {}
        self.requests = []
        self._entries = entries
        self._partitioned = partitioned
        entries[name] = self

    def peers(self):
        return [
            membership_interfaces.Peer(
                network.name,
                "127.0.0.1",
                1,
                2,
                network.data_centre,
                "north",
                1,
                network.state,
                network.version,
            )
            for network in self._entries.values()
        ]

    def set_configuration_version(self, version):
        self.version = version

    def set_leaving(self):
        self.state = membership_interfaces.PeerState.LEAVING

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    async def request(self, peer, kind, body, *, timeout_s):
        self.requests.append(kind)
        target = self._entries.get(peer)
        is_partitioned = self.data_centre in self._partitioned or (
            target and target.data_centre in self._partitioned
        )
        is_same = target is not None and target.data_centre == self.data_centre
        if target is None or (is_partitioned and not is_same):
            raise errors.PeerUnreachableError(peer)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await target.handlers[kind](self.name, dict(body))
        except TimeoutError as error:
            raise errors.PeerUnreachableError(peer) from error
        if answer is None:
            raise errors.PeerUnreachableError(peer)
        return answer
