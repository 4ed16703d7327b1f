"""
Orders endpoints while this entry holds the duties, and says why in a line.

Orders are declarative, so a lost answer is settled by sending the same again.
"""

import asyncio
import logging
import math
import time
import typing
from collections import abc

from acaciaward import errors
from acaciaward.catalogue import endpoints, routes
from acaciaward.fleet import zoneplan
from acaciaward.leases import conditional
from acaciaward.observability import logs

log = logging.getLogger(__name__)

POLL_S = 0.3
# A data centre that had no reclaimable endpoints is asked again after this time.
DRY_S = 4.0
# An order that has had no effect this long after its boot time is sent again.
LOST_S = 3.0
# Fewer endpoints are ordered only after less was needed for this long, in seconds.
HOLD_S = 8.0
SEND_S = 0.8
# Endpoints that were there from the start have all said so this long after the first
# one, in seconds: they write about once a second.
SETTLED_S = 2.5
# Slots of an endpoint whose service doesn't tell them.
USUAL_SLOTS = 16


class Order(typing.NamedTuple):
    """Sets the number of endpoints of a kind."""

    service: str
    kind: zoneplan.Kind
    count: int


class _Sent(typing.NamedTuple):
    """An order that was sent: its count, when, what was ready, if it was taken."""

    count: int
    at: float
    ready_before: int
    is_taken: bool = True

    def coming(self, ready: int, now: float, boot_s: float) -> int:
        """Return how many endpoints it still brings."""
        if not self.is_taken or now - self.at > boot_s + LOST_S:
            return 0
        return max(0, self.count - max(ready, self.ready_before))


class NothingToRentError(errors.PlatformRefusedError):
    """There are no endpoints of the kind to be had at the moment."""


SendOrder = abc.Callable[[Order, int], abc.Awaitable[None]]


class Ordering:
    """Keeps the fleet at the plan of the demand."""

    def __init__(
        self,
        lease: conditional.ConditionalLease,
        directory: endpoints.Directory,
        services: abc.Callable[[], abc.Sequence[routes.Service]],
        demand: abc.Callable[[str], tuple[float, float]],
        send: SendOrder,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._lease = lease
        self._directory = directory
        self._services = services
        self._demand = demand
        self._send = send
        self._clock = clock
        self._sent: dict[tuple[str, zoneplan.Kind], _Sent] = {}
        self._dry: dict[tuple[str, str], float] = {}
        self._needed: dict[str, tuple[int, float]] = {}
        self._given: dict[str, int] = {}
        self._first_seen: dict[str, float] = {}
        self._fence: int | None = None

    async def run(self) -> None:
        """Order until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            for service in self._services():
                try:
                    await self.step(service)
                except errors.PlatformError as error:
                    log.info(
                        "order not sent",
                        extra=logs.fields(service=service.name, reason=error),
                    )

    async def step(self, service: routes.Service) -> None:
        """Send what the plan changes for one service."""
        tenure = self._lease.held(for_s=SEND_S)
        if tenure is None:
            return
        if tenure.fence != self._fence:
            # What was ordered before is another holder's; the plan is sent whole.
            self._fence = tenure.fence
            self._sent.clear()
        is_settled = self._is_settled(service)
        # What safe endpoints are for depends on which reclaimable ones were to be had.
        for is_reclaimable in (True, False):
            if not is_reclaimable and not is_settled:
                continue
            snapshot = self._snapshot(service, is_settled=is_settled)
            for kind, count in zoneplan.make_plan(snapshot).items():
                if kind.is_reclaimable is not is_reclaimable:
                    continue
                if not self._is_due(service.name, kind, count, snapshot):
                    continue
                tenure = self._lease.held(for_s=SEND_S)
                if tenure is None:
                    return
                await self._order(service, kind, count, snapshot, tenure.fence)

    def _is_settled(self, service: routes.Service) -> bool:
        """
        Whether demand is known, or the endpoints that were given have come up.

        Until then what replaces them is ordered already, but none is let go.
        """
        if any(self._demand(service.name)):
            return True
        if not self._directory.ready(service.name):
            return False
        seen_at = self._first_seen.setdefault(service.name, self._clock())
        return self._clock() - seen_at >= SETTLED_S

    async def _order(
        self,
        service: routes.Service,
        kind: zoneplan.Kind,
        count: int,
        snapshot: zoneplan.Snapshot,
        fence: int,
    ) -> None:
        outcome = "taken"
        ready = snapshot.ready.get(kind, 0)
        try:
            await self._send(Order(service.name, kind, count), fence)
            self._sent[(service.name, kind)] = _Sent(count, self._clock(), ready)
        except NothingToRentError:
            outcome = "none to be had"
            self._dry[(service.name, kind.data_centre)] = self._clock() + DRY_S
            self._sent[(service.name, kind)] = _Sent(
                ready, self._clock(), ready, is_taken=False
            )
        log.info(
            "endpoints ordered",
            extra=logs.fields(
                service=service.name,
                data_centre=kind.data_centre,
                reclaimable=kind.is_reclaimable,
                count=count,
                ready=ready,
                needed=snapshot.needed,
                fence=fence,
                outcome=outcome,
            ),
        )

    def _is_due(
        self,
        service: str,
        kind: zoneplan.Kind,
        count: int,
        snapshot: zoneplan.Snapshot,
    ) -> bool:
        sent = self._sent.get((service, kind))
        if sent is None or sent.count != count:
            return True
        is_reached = snapshot.ready.get(kind, 0) == count
        boot_s = snapshot.scaling.boot_s
        return not is_reached and self._clock() - sent.at > boot_s + LOST_S

    def _snapshot(
        self, service: routes.Service, *, is_settled: bool
    ) -> zoneplan.Snapshot:
        now = self._clock()
        ready: dict[zoneplan.Kind, int] = {}
        for one in self._directory.ready(service.name):
            kind = zoneplan.Kind(one.data_centre, one.is_reclaimable)
            ready[kind] = ready.get(kind, 0) + 1
        coming = {
            kind: sent.coming(ready.get(kind, 0), now, service.scaling.boot_s)
            for (name, kind), sent in self._sent.items()
            if name == service.name
        }
        if any(
            one.is_reclaimable and one.state is endpoints.EndpointState.LEAVING
            for one in self._directory.of_service(service.name)
        ):
            # While some are taken away, those that were ordered seldom come.
            coming = {
                kind: count for kind, count in coming.items() if not kind.is_reclaimable
            }
        dry = {
            place
            for (name, place), until in self._dry.items()
            if name == service.name and until > now
        }
        return zoneplan.Snapshot(
            service.scaling,
            ready,
            coming,
            dry,
            self._needed_now(service, sum(ready.values()) if is_settled else 0),
        )

    def _needed_now(self, service: routes.Service, ready: int) -> int:
        tokens_per_s, streams = self._demand(service.name)
        slots = service.engine.slots if service.engine else USUAL_SLOTS
        needed = zoneplan.engines_needed(tokens_per_s, streams, slots)
        if ready and not tokens_per_s and not streams:
            # Nobody has asked yet: what was given says what is to come.
            given = self._given.setdefault(service.name, ready)
            needed = max(needed, math.ceil(zoneplan.GIVEN_PART * given))
        now = self._clock()
        held, since = self._needed.get(service.name, (needed, now))
        if needed >= held:
            self._needed[service.name] = (needed, now)
        elif now - since > HOLD_S:
            # A large fleet shrinks by larger steps than a small one.
            step = max(1, (held - needed) // 4)
            self._needed[service.name] = (held - step, now)
        else:
            self._needed[service.name] = (held, since)
        return self._needed[service.name][0]
