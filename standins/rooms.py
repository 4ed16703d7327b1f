"""
Stand-in for the room of a server: how many requests run at a time, and how many wait.

A server that is brittle says so in its answers. From ``SHRINK_AFTER_S`` after it said
so first, it lets fewer requests wait, and falls over if it turns more of them away in a
second than it has named.

    room = Room(slots=8, queue=16)
    if await room.enter():
        room.leave()
"""

import asyncio
import collections
import math
import time

# From when on after its first announcement a brittle server lets fewer requests wait.
SHRINK_AFTER_S = 3.0
WINDOW_S = 1.0


class Room:
    """
    The places of one server, ``slots`` to run in and ``queue`` to wait in.

    ``rejections`` is what a brittle server names, None if it isn't brittle; ``queue``
    is then ``brittle_queue``.
    """

    def __init__(self, slots: int, queue: int, *, brittle_queue: int = 0):
        self.slots = slots
        self.rejections: int | None = None
        self.rejected_at: list[float] = []
        self._queue = queue
        self._brittle_queue = brittle_queue
        self._announced_at: float | None = None
        self._running = 0
        self._waiting: collections.deque[asyncio.Future] = collections.deque()

    @property
    def _shrinks_at(self) -> float:
        """When the effects of being brittle begin, in seconds of the steady clock."""
        if self.rejections is None or self._announced_at is None:
            return math.inf
        return self._announced_at + SHRINK_AFTER_S

    @property
    def queue(self) -> int:
        """How many requests may wait now."""
        is_shrunk = time.monotonic() >= self._shrinks_at
        return self._brittle_queue if is_shrunk else self._queue

    @property
    def has_rejected_too_many(self) -> bool:
        """Whether a brittle server has turned away too many in the last second."""
        if self.rejections is None:
            return False
        begin = max(time.monotonic() - WINDOW_S, self._shrinks_at)
        return sum(at > begin for at in self.rejected_at) > self.rejections

    def announce(self) -> dict[str, str]:
        """Return the headers by which an answer says that the server is brittle."""
        if self.rejections is None:
            self._announced_at = None
            return {}
        if self._announced_at is None:
            self._announced_at = time.monotonic()
        return {"Server-Brittle": str(self.rejections)}

    async def enter(self) -> bool:
        """Wait until a request may run; return False at once if there is no room."""
        if self._running < self.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self.queue:
            self.rejected_at.append(time.monotonic())
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            raise
        return True

    def leave(self) -> None:
        """End a request that ran, and let the next one run."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1
