"""Adapts topics of the store to the interfaces that other packages define."""

from collections import abc

from acaciaward import errors
from acaciaward.catalogue import topicfollower
from acaciaward.platform import store


class KeyedTopic:
    """Implements ``topicfollower.Source`` and ``quotastore.Topic`` over one topic."""

    def __init__(self, client: store.Store, topic: str):
        self._client = client
        self._topic = topic

    async def read_all(self) -> topicfollower.Listing:
        """Return the newest value of each key."""
        newest = await self._client.newest(self._topic)
        values = {key: value for key, value in newest.values.items() if value}
        return topicfollower.Listing(values, newest.end_offset, newest.era)

    async def read_changes(self, start: int, *, wait_s: float) -> topicfollower.Page:
        """Return changes from an offset on; skip records without a complete key."""
        page = await self._client.read(self._topic, start, wait_s=wait_s)
        changes = []
        for record in page.records:
            try:
                key, value = store.split_keyed(record)
            except errors.PlatformUnknownError:
                continue
            changes.append(topicfollower.Change(key, value or None))
        return topicfollower.Page(changes, page.next_offset, page.end_offset, page.era)

    async def set(self, key: str, value: bytes) -> None:
        """Append a record that sets a key; an empty value deletes it."""
        await self._client.append(self._topic, [store.join_keyed(key, value)])

    async def remove(self, key: str, *, expected_end: int) -> None:
        """Remove a key if the topic ends at ``expected_end``; else raise."""
        await self._client.append(
            self._topic, [store.join_keyed(key, b"")], expected_end=expected_end
        )


class LogTopic:
    """Implements the topics of ``leases.conditionallease`` and ``usage.decisions``."""

    def __init__(self, client: store.Store, topic: str):
        self._client = client
        self._topic = topic

    @property
    def era(self) -> int:
        """The latest era that an answer of the store has stated, 0 if none has."""
        return self._client.era

    async def read(self, start: int) -> store.Page:
        """Return records from an offset on."""
        return await self._client.read(self._topic, start)

    async def append(self, record: bytes, *, expected_end: int) -> store.Appended:
        """Append if the topic ends at ``expected_end``, and return the end after it."""
        return await self._client.append(
            self._topic, [record], expected_end=expected_end
        )

    async def append_unconditionally(
        self, records: abc.Sequence[bytes]
    ) -> store.Appended:
        """Append records, whatever the topic's end, and return the end after them."""
        return await self._client.append(self._topic, records)
