"""
An entry's knowledge of roll-outs: orders, plans, and the versions for new requests.

Without an order it tells others nothing, and restricts nothing.
"""

import logging
import random
import time
import typing
from collections import abc

import prometheus_client

from acaciaward.catalogue import endpoints
from acaciaward.observability import logs
from acaciaward.rollouts import (
    comparison,
    figures,
    messages,
    newsmerge,
    plans,
    tallies,
)
from acaciaward.routing import versionchoice

log = logging.getLogger(__name__)

SHARE = prometheus_client.Gauge(
    "acaciaward_rollout_share",
    "Share of a service's new requests that this entry sends to the target",
    ["service"],
)
PHASES = prometheus_client.Counter(
    "acaciaward_rollout_phases_total",
    "Phases of roll-outs that this entry has followed",
    ["service", "phase"],
)
SUSPENSIONS = prometheus_client.Counter(
    "acaciaward_rollout_suspensions_total",
    "How often this entry stopped sending to a target before the holder did",
    ["service"],
)


class EntryRollouts:
    """Keeps orders and plans, counts attempts, and chooses versions."""

    def __init__(
        self,
        directory: endpoints.Directory,
        *,
        rng: random.Random | None = None,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._directory = directory
        self._random = rng or random.Random()
        self._clock = clock
        self._orders: dict[str, plans.Order] = {}
        self._plans: dict[str, plans.Plan] = {}
        self._stated_at: dict[str, float] = {}
        self._tally = tallies.Tally()
        self._news: messages.News | None = None
        self._news_at = 0.0
        self._monitors: dict[str, comparison.Monitor] = {}
        # The numbers of plans whose target turned out to be bad.
        self._suspended: dict[str, tuple[int, int]] = {}

    @property
    def orders(self) -> abc.Mapping[str, plans.Order]:
        """The newest order of each service."""
        return self._orders

    def plan(self, service: str) -> plans.Plan | None:
        """Return the plan that counts for a service."""
        return self._plans.get(service)

    @property
    def reported_entries(self) -> int:
        """The number of entries whose reports the newest sums include."""
        news = self._fresh_news
        return news["entries"] if news else 0

    @property
    def is_outdated(self) -> bool:
        """Whether a roll-out goes on whose plan hasn't been heard lately."""
        oldest = self._clock() - plans.PLAN_LIFETIME_S
        return any(
            self._is_counted(service) and self._stated_at.get(service, 0.0) < oldest
            for service in self._orders
        )

    @property
    def _fresh_news(self) -> messages.News | None:
        age_s = self._clock() - self._news_at
        return self._news if age_s <= plans.PLAN_LIFETIME_S else None

    def acknowledged(self, service: str) -> tuple[int, int] | None:
        """Return the lowest number of plans that entries follow, None without one."""
        news = self._fresh_news
        numbers = news["acknowledged"] if news else {}
        return tuple(numbers[service]) if service in numbers else None

    def summed_counts(self, service: str) -> figures.Counts:
        """Return the counts of a service over all entries."""
        news = self._fresh_news
        return newsmerge.read_counts(news, service) if news else {}

    def record_order(self, order: plans.Order) -> None:
        """Record an order that was read or heard of."""
        known = self._orders.get(order.service)
        newest = plans.newer_order(known, order)
        if newest == known:
            return
        self._orders[order.service] = newest
        if known is not None and newest.is_same(known):
            return
        self._tally.reset(order.service)
        self._monitors.pop(order.service, None)
        log.info(
            "roll-out ordered" if order.target else "roll-out order withdrawn",
            extra=logs.fields(
                service=order.service,
                endpoint_version=order.target,
                duration_s=order.duration_s,
            ),
        )

    def adopt(self, plan: plans.Plan, age_s: float = 0.0) -> None:
        """Follow a plan, stated so long ago, unless a newer one is known."""
        service = plan.order.service
        known = self._plans.get(service)
        stated_at = self._clock() - age_s
        if known is not None and plan.number == known.number:
            self._stated_at[service] = max(self._stated_at[service], stated_at)
            return
        if known is not None and plans.newer_plan(known, plan) is known:
            return
        self._plans[service] = plan
        self._stated_at[service] = stated_at
        self.record_order(plan.order)
        if known is None or (known.phase, known.share) != (plan.phase, plan.share):
            self._record_change(plan)

    @staticmethod
    def _record_change(plan: plans.Plan) -> None:
        service = plan.order.service
        SHARE.labels(service).set(plan.share)
        PHASES.labels(service, plan.phase.value).inc()
        log.info(
            "roll-out plan in force",
            extra=logs.fields(
                service=service,
                endpoint_version=plan.order.target,
                phase=plan.phase.value,
                share=plan.share,
                number=f"{plan.number[0]}.{plan.number[1]}",
                reason=plan.reason,
            ),
        )

    def report(self) -> messages.News | None:
        """Return what this entry tells others, None without an order."""
        if not self._orders:
            return None
        now = self._clock()
        return {
            # A plan holds its order.
            "orders": {
                service: plans.order_fields(order)
                for service, order in self._orders.items()
                if service not in self._plans
                or not self._plans[service].order.is_same(order)
            },
            "plans": {
                service: (plan.to_fields(), round(now - self._stated_at[service], 3))
                for service, plan in self._plans.items()
            },
            "counts": {
                service: newsmerge.write_counts(self._tally.counts(service))
                for service in self._orders
                if self._is_counted(service)
            },
            "acknowledged": {
                service: plan.number for service, plan in self._plans.items()
            },
            "entries": 1,
        }

    def _is_counted(self, service: str) -> bool:
        """Return whether a service has a roll-out that hasn't ended."""
        order, plan = self._orders[service], self._plans.get(service)
        if plan is None:
            return bool(order.target)
        return not plan.is_final or bool(order.target and not plan.follows(order))

    def receive(self, news: messages.News | None) -> None:
        """Receive the merged news of all entries."""
        self._news, self._news_at = news, self._clock()
        if news is None:
            return
        for fields in news["orders"].values():
            self.record_order(plans.order_of(fields))
        for stated in newsmerge.read_plans(news).values():
            self.adopt(*stated)
        for service, plan in self._plans.items():
            if not plan.is_final:
                self._watch(service, plan)

    def _watch(self, service: str, plan: plans.Plan) -> None:
        """Stop sending to a target that is bad, also without a holder who says so."""
        monitor = self._monitors.get(service)
        if monitor is None:
            monitor = self._monitors[service] = comparison.Monitor(plan.order.target)
        counts = self.summed_counts(service)
        if not counts:
            return
        monitor.record(self._clock(), counts)
        verdict = monitor.verdict()
        if not verdict.is_bad or self._suspended.get(service) == plan.number:
            return
        self._suspended[service] = plan.number
        SUSPENSIONS.labels(service).inc()
        SHARE.labels(service).set(0.0)
        log.warning(
            "roll-out suspended: the target's answers are bad",
            extra=logs.fields(
                service=service,
                endpoint_version=plan.order.target,
                reason=verdict.reason,
            ),
        )

    def begin_attempt(
        self, endpoint: endpoints.Endpoint, route: str, *, is_first: bool
    ) -> tallies.Attempt:
        """Count an attempt at an endpoint."""
        return self._tally.begin(
            endpoint.service, endpoint.version, route, is_first=is_first
        )

    def choose_version(self, service: str, *, is_repeat: bool) -> versionchoice.Choice:
        """
        Return which versions may get a new request to a service.

        A repeat goes to the target only if all requests do: the first attempt may have
        failed for a fault of the target.
        """
        order = self._orders.get(service)
        if order is None:
            return None
        plan = self._plans.get(service)
        if plan is None or not plan.follows(order):
            return self._without_plan(order, plan)
        if not order.target and plan.is_final and plan.order.place < order.place:
            return None
        share = self._share(service, plan)
        is_chosen = share >= 1 or (not is_repeat and self._random.random() < share)
        target = plan.order.target
        if is_chosen and self._is_ready(service, target):
            return target
        if plan.phase is plans.Phase.COMPLETED:
            return target
        return versionchoice.Except(frozenset({target, *plan.excluded}))

    def _without_plan(
        self, order: plans.Order, plan: plans.Plan | None
    ) -> versionchoice.Choice:
        """Return the versions for an order that has no plan yet."""
        if not order.target and (plan is None or plan.is_final):
            return None
        excluded = {order.target} if order.target else set()
        if plan is not None:
            excluded.update(plan.excluded)
            if plan.phase is not plans.Phase.COMPLETED:
                excluded.add(plan.order.target)
        listed = {
            endpoint.version for endpoint in self._directory.of_service(order.service)
        }
        # With no other version, the roll-out has ended or there is none to begin.
        return versionchoice.Except(frozenset(excluded)) if listed - excluded else None

    def _share(self, service: str, plan: plans.Plan) -> float:
        if self._suspended.get(service) == plan.number:
            return 0.0
        return plan.share_after(self._clock() - self._stated_at[service])

    def _is_ready(self, service: str, version: str) -> bool:
        return any(
            endpoint.version == version for endpoint in self._directory.ready(service)
        )


class OrderDecoder(typing.Protocol):
    """Decodes the records of orders."""

    ORDER_PREFIX: str

    def decode_rollout(self, key: str, data: bytes) -> tuple[str, str, float]:
        """Return service, target and duration in seconds; may raise."""
