"""
Steers the roll-outs of all services while this entry holds the lease of the duties.

    plan = steering.next_plan(order, plan, view)  # None: nothing changes

It has no network and no clock. What it remembers, a new holder learns within seconds:
figures are sums since the order, and plans are recorded.
"""

import typing

from acaciaward.rollouts import comparison, decisions, figures, plans


class View(typing.NamedTuple):
    """
    What an entry knows of one service.

    ``now`` is the monotonic time, ``unix_now`` the Unix time. ``acknowledged`` is the
    lowest number of the plans that entries follow, None if one follows none.
    ``is_complete`` means that the figures are those of all known entries. ``versions``
    are those with endpoints that are ready. ``fence`` is that of the holder's tenure.
    """

    now: float
    unix_now: float
    counts: figures.Counts
    acknowledged: tuple[int, int] | None
    is_complete: bool
    versions: frozenset[str]
    fence: int


class _Progress:
    """What the holder remembers of one order."""

    def __init__(self, order: plans.Order):
        self.order = order
        self.monitor = comparison.Monitor(order.target)
        self.phase: plans.Phase | None = None
        self.since: float | None = None
        self.ended_before = 0

    def phase_s(self, plan: plans.Plan, view: View, *, is_everywhere: bool) -> float:
        """Return how long the plan's phase has been in force at all entries."""
        if plan.phase is not self.phase:
            self.phase, self.since = plan.phase, None
        if self.since is None and is_everywhere:
            self.since = view.now
            self.ended_before = self.monitor.of_target().ended
        return 0.0 if self.since is None else view.now - self.since


class Steering:
    """Decides the next plan of each service."""

    def __init__(self, bounds: decisions.Bounds):
        self._bounds = bounds
        self._progress: dict[str, _Progress] = {}

    def next_plan(
        self, order: plans.Order, plan: plans.Plan | None, view: View
    ) -> plans.Plan | None:
        """Return the plan to record and publish, None if the present one stays."""
        is_withdrawn = not order.target
        is_followed = plan is not None and plan.follows(order)
        if not is_followed and not is_withdrawn:
            return self._begin(order, plan, view)
        if plan is None or plan.is_final:
            return None
        progress = self._progress.get(order.service)
        if progress is None or not progress.order.is_same(plan.order):
            progress = self._progress[order.service] = _Progress(plan.order)
        if view.counts:
            # Without relays there are none, which doesn't mean that entries were lost.
            progress.monitor.record(view.now, view.counts)
        is_everywhere = (
            view.is_complete
            and view.acknowledged is not None
            and view.acknowledged >= plan.number
        )
        phase_s = progress.phase_s(plan, view, is_everywhere=is_everywhere)
        situation = decisions.Situation(
            now=view.unix_now,
            monitor=progress.monitor,
            rate=progress.monitor.rate(view.now),
            phase_s=phase_s,
            ended_before_phase=progress.ended_before,
            has_target=plan.order.target in view.versions,
            has_others=bool(view.versions - {plan.order.target, *plan.excluded}),
            is_everywhere=is_everywhere,
            is_withdrawn=is_withdrawn and not is_followed,
        )
        step = decisions.decide(plan, situation, self._bounds)
        if step is None:
            return None
        changed = plan._replace(
            number=_next_number(plan, view.fence),
            phase=step.phase,
            share=step.share,
            reason=step.reason,
        )
        if situation.is_withdrawn:
            # The plan outlasts the order: its target has not proven sound.
            changed = changed._replace(order=plan.order._replace(place=order.place))
        return changed

    def _begin(
        self, order: plans.Order, plan: plans.Plan | None, view: View
    ) -> plans.Plan:
        """Return the first plan of an order; it excludes what earlier ones left."""
        excluded: set[str] = set()
        if plan is not None:
            excluded.update(plan.excluded)
            if plan.phase is not plans.Phase.COMPLETED:
                excluded.add(plan.order.target)
        excluded.discard(order.target)
        is_unproven = plan is not None and order.target in plan.excluded
        if is_unproven and not view.versions - {order.target, *excluded}:
            # An order that a restore of the store brought back for a moment came in
            # between. Without a version to compare with, all would go to the target.
            excluded.discard(plan.order.target)
        step = decisions.begin(
            has_target=order.target in view.versions,
            has_others=bool(view.versions - {order.target, *excluded}),
        )
        return plans.Plan(
            order,
            _next_number(plan, view.fence),
            step.phase,
            step.share,
            step.reason,
            tuple(sorted(excluded)),
        )


def _next_number(plan: plans.Plan | None, fence: int) -> tuple[int, int]:
    """Return a number higher than the plan's, also if its fence is from another era."""
    if plan is None:
        return (fence, 1)
    return max((fence, 1), (plan.number[0], plan.number[1] + 1))
