"""
Which changes ride on the next message.

Every change is sent a bounded number of times, logarithmic in the number of
entries, as in SWIM (Das, Gupta and Motivala, 2002), and each message has a
budget of bytes, so that the cost of an entry does not depend on how many there
are. Changes that matter more go first; among equals they take turns.
"""

import collections
import enum
import math
import typing

import msgspec

MAX_QUEUED = 4000
MIN_TRANSMISSIONS = 4

_encode = msgspec.msgpack.Encoder().encode


class Priority(enum.IntEnum):
    """How urgent a change is; lower goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


class _Queued(typing.NamedTuple):
    fields: typing.Any
    size: int
    left: int


class UpdateQueue:
    """The changes that still spread, by key; a newer change replaces an older."""

    def __init__(self):
        self._queues: dict[Priority, collections.OrderedDict] = {
            priority: collections.OrderedDict() for priority in Priority
        }

    @property
    def has_urgent(self) -> bool:
        """Whether changes wait that deserve messages of their own."""
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
        """Spread a change; beyond the bound the oldest of its kind gives way."""
        queue = self._queues[priority]
        left = max(MIN_TRANSMISSIONS, math.ceil(math.log2(entry_count + 1)))
        queue[key] = _Queued(fields, len(_encode(fields)), left)
        queue.move_to_end(key, last=False)
        if len(queue) > MAX_QUEUED:
            queue.popitem(last=True)

    def take(self, budget_bytes: int) -> list[tuple[typing.Hashable, typing.Any]]:
        """Return keys and fields of changes that fit into a message."""
        taken = []
        for queue in self._queues.values():
            for _ in range(len(queue)):
                key, queued = next(iter(queue.items()))
                if queued.size > budget_bytes:
                    break
                budget_bytes -= queued.size
                del queue[key]
                taken.append((key, queued.fields))
                if queued.left > 1:
                    queue[key] = queued._replace(left=queued.left - 1)
        return taken


class ByteAllowance:
    """
    A token bucket over bytes: ``rate`` a second, one second's worth at most.

        allowance.spend(1200, now)
    """

    def __init__(self, rate: float):
        self._rate = rate
        self._left = rate
        self._since: float | None = None

    def spend(self, size: int, now: float) -> bool:
        """Return whether the bytes may be sent now, and count them if so."""
        if self._since is not None:
            gained = (now - self._since) * self._rate
            self._left = min(self._rate, self._left + gained)
        self._since = now
        if self._left < size:
            return False
        self._left -= size
        return True
