"""
Chooses the updates that the next gossip message carries.

Each update is sent a bounded number of times, logarithmic in the number of
entries, as in SWIM (Das, Gupta and Motivala, 2002), and each message has a byte
budget, so the cost of an entry does not depend on how many entries there are.
Updates of higher priority go first; those of equal priority take turns.
"""

import collections
import enum
import math
import typing

import msgspec

MAX_QUEUED_UPDATES = 4000
MIN_TRANSMISSIONS = 4

_encode = msgspec.msgpack.Encoder().encode


class Priority(enum.IntEnum):
    """The priority of an update; lower values are sent first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class _QueuedUpdate(typing.NamedTuple):
    fields: typing.Any
    size_bytes: int
    sends_left: int


class UpdateQueue:
    """The updates still to send, by key; a newer one replaces an older one."""

    def __init__(self):
        self._queues: dict[Priority, collections.OrderedDict] = {
            priority: collections.OrderedDict() for priority in Priority
        }

    @property
    def has_urgent(self) -> bool:
        """Whether there are updates to send at once, not only with the next probe."""
        return bool(self._queues[Priority.URGENT])

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def put(
        self,
        key: typing.Hashable,
        fields: typing.Mapping[str, typing.Any],
        priority: Priority,
        entry_count: int,
    ) -> None:
        """
        Queue an update for sending.

        Beyond ``MAX_QUEUED_UPDATES`` of one priority, the update that would be sent
        last is dropped.
        """
        queue = self._queues[priority]
        sends_left = max(MIN_TRANSMISSIONS, math.ceil(math.log2(entry_count + 1)))
        queue[key] = _QueuedUpdate(fields, len(_encode(fields)), sends_left)
        queue.move_to_end(key, last=False)
        if len(queue) > MAX_QUEUED_UPDATES:
            queue.popitem(last=True)

    def next_batch(self, budget_bytes: int) -> list[tuple[typing.Hashable, typing.Any]]:
        """Return keys and fields of updates for a message; each counts as sent."""
        batch = []
        for queue in self._queues.values():
            for _ in range(len(queue)):
                key, queued = next(iter(queue.items()))
                if queued.size_bytes > budget_bytes:
                    break
                budget_bytes -= queued.size_bytes
                del queue[key]
                batch.append((key, queued.fields))
                if queued.sends_left > 1:
                    queue[key] = queued._replace(sends_left=queued.sends_left - 1)
        return batch


class ByteRateLimiter:
    """
    A token bucket that limits bytes per second; it holds one second's worth.

        limiter.try_consume(1200, now)
    """

    def __init__(self, rate_bytes_per_s: float):
        self._rate_bytes_per_s = rate_bytes_per_s
        self._available_bytes = rate_bytes_per_s
        self._refilled_at: float | None = None

    def try_consume(self, size_bytes: int, now: float) -> bool:
        """Return whether the bytes may be sent now, and consume them if so."""
        if self._refilled_at is not None:
            gained_bytes = (now - self._refilled_at) * self._rate_bytes_per_s
            self._available_bytes = min(
                self._rate_bytes_per_s, self._available_bytes + gained_bytes
            )
        self._refilled_at = now
        if self._available_bytes < size_bytes:
            return False
        self._available_bytes -= size_bytes
        return True
