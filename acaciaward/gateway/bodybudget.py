"""
Bounds the bytes that an entry holds for its callers, over all connections together.

    budget = BodyBudget(32_000_000)
    holding = budget.open("10.0.0.7", drop=connection.abort)
    if not budget.resize(holding, 65536):
        ...  # Refuse the request: it hasn't run.
    budget.close(holding)

When the budget is full, a holding is dropped to make room: one without progress before
one with progress, then that of the sender with the most bytes, then the newest one. So
the oldest body that makes progress always completes. If that is the holding which asks
for room, ``resize`` returns False instead.
"""

import collections
import itertools
import time
from collections import abc

# Smaller holdings aren't counted: they are bounded by the number of connections, and
# ordinary requests, most of which are smaller, cost no time here.
UNCOUNTED_BYTES = 16384
# A holding makes progress if it grows by so many bytes in this time. Only a full budget
# looks at it; in calm, a body may come as slowly as the idle timeout allows.
PROGRESS_BYTES = 1024
PROGRESS_S = 1.0
# Room for a body of the largest legal size, and the copy made when it is complete.
LARGEST_BODIES = 2


class Holding:
    """The bytes that one connection holds; ``is_droppable`` is False while it runs."""

    def __init__(self, sender: str, drop: abc.Callable[[], None], number: int):
        self.sender = sender
        self.drop = drop
        self.number = number
        self.size = 0
        self.is_droppable = True
        self.progress_at = 0.0
        self.progress_size = 0


class BodyBudget:
    """The budget and who holds how much of it."""

    def __init__(
        self,
        capacity_bytes: int,
        *,
        largest_body: abc.Callable[[], int] = lambda: 0,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        """``largest_body`` returns the size up to which a single body must fit."""
        self._capacity_bytes = capacity_bytes
        self._largest_body = largest_body
        self._clock = clock
        self._numbers = itertools.count()
        self._holdings: set[Holding] = set()
        self._bytes_by_sender: collections.Counter[str] = collections.Counter()
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that are held now."""
        return self._held_bytes

    @property
    def capacity_bytes(self) -> int:
        """The most bytes that may be held."""
        return max(self._capacity_bytes, LARGEST_BODIES * self._largest_body())

    def open(self, sender: str, drop: abc.Callable[[], None]) -> Holding:
        """Return an empty holding; ``drop`` is called once if it must be given up."""
        return Holding(sender, drop, next(self._numbers))

    def resize(self, holding: Holding, size: int) -> bool:
        """Set the bytes of a holding; return False if there is no room for them."""
        if size <= UNCOUNTED_BYTES:
            self.close(holding)
            return True
        if size > holding.size:
            self._record_progress(holding, size)
        self._set_size(holding, size)
        while self._held_bytes > self.capacity_bytes:
            victim = self._choose_victim()
            if victim is None or victim is holding:
                self.close(holding)
                return False
            self.close(victim)
            victim.drop()
        return True

    def close(self, holding: Holding) -> None:
        """Free what a holding has; it may be used again."""
        if holding.size:
            self._set_size(holding, 0)

    def _record_progress(self, holding: Holding, size: int) -> None:
        if not holding.size:
            holding.number = next(self._numbers)
            holding.progress_size = 0
        if size - holding.progress_size >= PROGRESS_BYTES:
            holding.progress_at = self._clock()
            holding.progress_size = size

    def _set_size(self, holding: Holding, size: int) -> None:
        added = size - holding.size
        holding.size = size
        self._held_bytes += added
        self._bytes_by_sender[holding.sender] += added
        if size:
            self._holdings.add(holding)
            return
        self._holdings.discard(holding)
        if not self._bytes_by_sender[holding.sender]:
            del self._bytes_by_sender[holding.sender]

    def _choose_victim(self) -> Holding | None:
        stalled_before = self._clock() - PROGRESS_S

        def rank(holding: Holding) -> tuple[bool, int, int]:
            return (
                holding.progress_at < stalled_before,
                self._bytes_by_sender[holding.sender],
                holding.number,
            )

        droppable = (one for one in self._holdings if one.is_droppable)
        return max(droppable, key=rank, default=None)
