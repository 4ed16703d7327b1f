"""
Follows the operator's orders while this entry holds the lease of the duties.

A plan is recorded in the store before entries follow it, so that the next holder
continues from it. Only a rollback doesn't wait for the store: relays spread it.
"""

import asyncio
import logging
import math
import time
import typing
from collections import abc

import msgspec

from acaciaward import decoding, errors
from acaciaward.catalogue import endpoints, topicfollower
from acaciaward.leases import conditionallease
from acaciaward.observability import logs
from acaciaward.rollouts import decisions, entryrollouts, messages, plans, steering

log = logging.getLogger(__name__)

INTERVAL_S = 0.25
# Pause after a call to the store that failed.
RETRY_S = 0.5
# Pause between reads of an entry that hears no plans.
CATCH_UP_INTERVAL_S = 1.0
# A record is written only if the lease lasts at least this much longer.
SEND_MARGIN_S = 0.8


class Topic(typing.Protocol):
    """A keyed topic of the store; every call may raise ``PlatformError``."""

    async def read_all(self) -> topicfollower.Listing:
        """Return the newest value of each key."""

    async def set(self, key: str, value: bytes) -> None:
        """Set a key."""


class Lease(typing.Protocol):
    """The lease of the duties."""

    def held(self, *, for_s: float = 0.0) -> conditionallease.Tenure | None:
        """Return the tenure if it lasts for more than ``for_s``, else None."""


class StatusWriter(typing.Protocol):
    """Tells the operator the state of a roll-out; may raise ``PlatformError``."""

    async def write(self, service: str, target: str, state: str) -> None:
        """Write the state."""


class RolloutDuty:
    """
    Decides, records and publishes the plans of all services.

    ``is_heard`` returns whether so many reports are those of all entries that must
    follow a plan, and ``is_listed`` whether the endpoints are known. ``is_reading``
    returns whether no other entry reads the store for this one.
    """

    def __init__(
        self,
        rollouts: entryrollouts.EntryRollouts,
        lease: Lease,
        directory: endpoints.Directory,
        topic: Topic,
        status: StatusWriter,
        bounds: decisions.Bounds,
        *,
        is_heard: abc.Callable[[int], bool],
        is_reading: abc.Callable[[], bool],
        is_listed: abc.Callable[[], bool],
        unix_time: abc.Callable[[], float],
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._rollouts = rollouts
        self._lease = lease
        self._directory = directory
        self._topic = topic
        self._status = status
        self._bounds = bounds
        self._is_heard = is_heard
        self._is_reading = is_reading
        self._is_listed = is_listed
        self._unix_time = unix_time
        self._clock = clock
        self._fence: int | None = None
        self._read_at = -math.inf
        self._steering = steering.Steering(bounds)
        # The orders whose begin this holder has written for the operator.
        self._begun: set[tuple[str, tuple[int, int]]] = set()

    async def run(self) -> None:
        """Follow the orders until cancelled."""
        while True:
            try:
                await self.step()
                pause_s = INTERVAL_S
            except errors.PlatformError as error:
                log.info(
                    "roll-out could not be recorded, will retry",
                    extra=logs.fields(reason=error),
                )
                pause_s = RETRY_S
            await asyncio.sleep(pause_s)

    async def step(self) -> None:
        """Take the next step of each roll-out; do nothing without an order or lease."""
        orders = dict(self._rollouts.orders)
        tenure = self._lease.held(for_s=SEND_MARGIN_S)
        if not orders or not self._is_listed():
            return
        if tenure is None:
            await self._catch_up()
            return
        if tenure.fence != self._fence:
            await self._take_over(tenure.fence)
        failure: errors.PlatformError | None = None
        for service, order in orders.items():
            if self._lease.held(for_s=SEND_MARGIN_S) is None:
                return
            try:
                await self._follow(order)
            except errors.PlatformError as error:
                # What the store refuses for one service must not hold up the others.
                failure = error
            plan = self._rollouts.plan(service)
            if plan is not None and self._lease.held() is not None:
                # States the plan again, so that entries know that it is still in force.
                self._rollouts.adopt(plan)
        if failure is not None:
            raise failure

    async def _catch_up(self) -> None:
        """Read the plans while this entry hears none, as one that is cut off."""
        now = self._clock()
        is_due = now - self._read_at >= CATCH_UP_INTERVAL_S
        if is_due and self._rollouts.is_outdated and self._is_reading():
            self._read_at = now
            await self._read_plans()

    async def _take_over(self, fence: int) -> None:
        """Continue from the plans that the holder before has recorded."""
        count = await self._read_plans()
        self._fence = fence
        self._steering = steering.Steering(self._bounds)
        self._begun.clear()
        log.info("roll-outs taken over", extra=logs.fields(fence=fence, plans=count))

    async def _read_plans(self) -> int:
        """Read the recorded plans, and return how many there are."""
        listing = await self._topic.read_all()
        for service, data in listing.values.items():
            try:
                fields = decoding.from_json(data, messages.PlanFields)
                plan = plans.plan_of(fields)
            except (errors.DecodingError, ValueError) as error:
                log.error(
                    "recorded roll-out unreadable",
                    extra=logs.fields(service=service, reason=error),
                )
                continue
            self._rollouts.adopt(plan, age_s=plans.PLAN_LIFETIME_S)
        return len(listing.values)

    async def _follow(self, order: plans.Order) -> None:
        service = order.service
        plan = self._rollouts.plan(service)
        changed = self._steering.next_plan(order, plan, self._view(service))
        if changed is not None:
            await self._publish(changed)
            plan = changed
        if plan is None or not plan.order.target:
            return
        if plan.is_final:
            await self._report_end(plan)
        elif (service, plan.order.place) not in self._begun:
            await self._status.write(service, plan.order.target, "in_progress")
            self._begun.add((service, plan.order.place))

    def _view(self, service: str) -> steering.View:
        rollouts = self._rollouts
        return steering.View(
            self._clock(),
            self._unix_time(),
            rollouts.summed_counts(service),
            rollouts.acknowledged(service),
            self._is_heard(rollouts.reported_entries),
            frozenset(one.version for one in self._directory.ready(service)),
            self._fence,
        )

    async def _publish(self, plan: plans.Plan) -> None:
        """Record a plan, and let the entries follow it."""
        if plan.phase is plans.Phase.ROLLED_BACK:
            self._rollouts.adopt(plan)
        await self._record(plan)
        self._rollouts.adopt(plan)

    async def _record(self, plan: plans.Plan) -> None:
        data = msgspec.json.encode(plan.to_fields())
        await self._topic.set(plan.order.service, data)

    async def _report_end(self, plan: plans.Plan) -> None:
        """Write the final state once; the next holder does if this one is lost."""
        if plan.is_reported:
            return
        if plan.phase is plans.Phase.ROLLED_BACK:
            # The rollback may have been published without the store.
            await self._record(plan)
        service = plan.order.service
        await self._status.write(service, plan.order.target, plan.phase.value)
        log.info(
            "roll-out ended",
            extra=logs.fields(
                service=service,
                endpoint_version=plan.order.target,
                state=plan.phase.value,
                late_s=round(self._unix_time() - plan.order.deadline, 2),
                reason=plan.reason,
            ),
        )
        number = (plan.number[0], plan.number[1] + 1)
        reported = plan._replace(number=number, is_reported=True)
        self._rollouts.adopt(reported)
        await self._record(reported)
