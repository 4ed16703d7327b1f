"""
Lets calls wait for places at brittle endpoints, or refuses them at once.

A call waits if its turn is expected soon; the callers of others are told when to come
back, which serves them sooner than a refusal that comes late. A call that has begun to
be answered waits for as long as it has time.

    await rooms.wait(service, progress, responder)
    candidate = endpoint_choice.choose(service, progress)
"""

import asyncio
import collections
import math
import time

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import callers, callprogress, interfaces, refusals
from acaciaward.routing import brittleness, placement, versionchoice

# The longest time that a call waits that can be refused.
MAX_WAIT_S = 0.3
# How often the next call looks for a place.
POLL_S = 0.01
# The longest time that callers are told to stay away, without the random part.
MAX_RETRY_DELAY_S = 5.0


# Name of a service, the only version of its endpoints that may get a call, and the
# endpoints that it has tried.
_Key = tuple[str, versionchoice.Choice, frozenset[endpoints.Incarnation]]


class RoomQueue:
    """
    The calls that wait, in the order of their arrival.

    Those that have tried other endpoints of a service, or go on at a version, wait for
    other places, and so in queues of their own.
    """

    def __init__(
        self, dependencies: interfaces.Dependencies, refuser: refusals.Refusals
    ):
        self._deps = dependencies
        self._refusals = refuser
        self._queues: dict[_Key, collections.deque[asyncio.Event]] = {}

    def has_no_place(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> bool:
        """Return whether all places at a service's endpoints are other entries'."""
        room = self._room(service, progress)
        return room is not None and room.places == 0 and not room.is_free

    async def wait(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
    ) -> None:
        """Wait until a call may be sent; raise ``RefusedError`` if that takes long."""
        room = self._room(service, progress)
        if room is None:
            return
        key = (service.name, progress.endpoint_version, frozenset(progress.tried))
        queue = self._queues.setdefault(key, collections.deque())
        if room.is_free and not queue:
            del self._queues[key]
            return
        turn = asyncio.Event()
        queue.append(turn)
        try:
            await self._wait_for_turn(service, progress, responder, queue, turn)
        finally:
            queue.remove(turn)
            if queue:
                queue[0].set()
            else:
                del self._queues[key]

    async def _wait_for_turn(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
        queue: collections.deque[asyncio.Event],
        turn: asyncio.Event,
    ) -> None:
        limit_s = progress.left_s
        if not progress.may_have_run and not responder.has_begun:
            waited_s = time.monotonic() - progress.call.received_at
            limit_s = min(limit_s, MAX_WAIT_S - waited_s)
            room = self._room(service, progress)
            expected_s = self._expected_wait_s(service, room, len(queue))
            if expected_s > limit_s:
                self._refuse(service, progress, responder, expected_s)
        deadline = time.monotonic() + limit_s
        while queue[0] is not turn or not self._has_room(service, progress):
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                self._refuse(service, progress, responder, 0.0)
            turn.clear()
            poll_s = POLL_S if queue[0] is turn else left_s
            await _wait_for(turn, min(poll_s, left_s))

    def _has_room(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> bool:
        room = self._room(service, progress)
        return room is None or room.is_free

    def _room(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> brittleness.Room | None:
        return self._deps.occupancy.room(
            service.name, progress.endpoint_version, progress.tried
        )

    def _expected_wait_s(
        self, service: routes.Service, room: brittleness.Room | None, position: int
    ) -> float:
        if room is None:
            return 0.0
        if room.places == 0:
            return math.inf
        service_s = self._deps.occupancy.service_s(service.name)
        return position * (service_s or placement.DEFAULT_SERVICE_S) / room.places

    def _refuse(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
        expected_s: float,
    ) -> None:
        self._refusals.refuse(
            progress,
            responder,
            f"the brittle endpoints of {service.name} are full",
            retry_after_s=self._refusals.delay_after_backoff_s(
                progress, min(expected_s, MAX_RETRY_DELAY_S)
            ),
            cause=callprogress.Cause.NO_ENDPOINT,
        )


async def _wait_for(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
