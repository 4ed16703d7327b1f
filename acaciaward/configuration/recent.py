"""
Holds the newest log records in memory for peers that don't read the log.
"""

import collections

import msgspec

from acaciaward.configuration import records
from acaciaward.provider import interfaces as provider_interfaces

MAX_BYTES = 8 * 1024 * 1024
MAX_ANSWER_BYTES = 512 * 1024


class RecentRecords:
    """Consecutive records, bounded by their total size."""

    def __init__(self):
        self._records: collections.deque[provider_interfaces.LogRecord] = (
            collections.deque()
        )
        self._sizes: collections.deque[int] = collections.deque()
        self._bytes = 0
        self._next_offset = 0

    def reset(self, next_offset: int) -> None:
        """Drop all records and continue with the one at ``next_offset``."""
        self._records.clear()
        self._sizes.clear()
        self._bytes = 0
        self._next_offset = next_offset

    def add(self, record: provider_interfaces.LogRecord) -> None:
        """
        Add the next record and evict the oldest beyond the size bound.

        Drops the records held if there is a gap before this one.
        """
        if record.offset < self._next_offset:
            return
        if record.offset > self._next_offset:
            self.reset(record.offset)
        if not records.is_portable(record.data):
            record = record._replace(data=None)
        size = len(msgspec.msgpack.encode(record))
        self._records.append(record)
        self._sizes.append(size)
        self._bytes += size
        self._next_offset = record.offset + 1
        while self._bytes > MAX_BYTES and len(self._records) > 1:
            self._records.popleft()
            self._bytes -= self._sizes.popleft()

    def since(self, offset: int) -> list[provider_interfaces.LogRecord] | None:
        """
        Return records from an offset on, or None if the offset is not held.

        Returns as many as fit into one answer, at least one if there is any.
        """
        first = self._next_offset - len(self._records)
        if not first <= offset <= self._next_offset:
            return None
        found = []
        size = 0
        for index in range(offset - first, len(self._records)):
            size += self._sizes[index]
            if found and size > MAX_ANSWER_BYTES:
                break
            found.append(self._records[index])
        return found
