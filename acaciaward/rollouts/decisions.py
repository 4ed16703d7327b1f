"""
Decides the next step of a roll-out; without network, clock or state of its own.

    step = decide(plan, situation)  # None: the plan stays as it is
    step.phase, step.share, step.reason

A trial sends the target a share small enough for its faults to show within the exposure
that the operator allows. All requests go to the target only when those that reach it
until a fault would be recognised everywhere, or until the deadline, fit into what is
left of the exposure. A bad version is rolled back in each phase that isn't final.
"""

import typing
from collections import abc

from acaciaward.rollouts import comparison, plans

Phase = plans.Phase

# From the moment at which a fault begins until no entry sends to the target any more:
# the answer, a report, a summary, a relay, the decision, and the same way back, each
# with a pause of up to 0.25 s, and a call to the store.
RECOGNITION_S = 4.0
# From a decision until the first entries follow it: a call to the store and a relay.
PUBLICATION_S = 0.3
# Part of the exposure that is used; counts of other entries are up to a second old.
USED_PART = 0.9
# The target's share in a trial. Over seconds it gives enough answers to compare,
# and leaves most of the exposure for the step to all requests.
FIRST_SHARE = 0.02
MIN_SHARE = 0.02
MAX_SHARE = 0.08
# Requests after the deadline don't count as exposure.
MAX_LATE_SHARE = 0.3
TRIAL_ANSWERS = 100
# The share changes only by more than this factor, since each plan is recorded.
SHARE_STEP = 1.6
# Time in which the target must show that it bears all requests, before it's completed.
FULL_S = 2.0
FULL_ANSWERS = 40
# How far beyond its deadline a target is tried for want of answers, as a part of its
# duration. Lateness has a price, but the target has done nothing wrong.
EXTENSION = 1.0


class Bounds(typing.NamedTuple):
    """The operator's bounds of exposure: a share of the requests, and a number."""

    exposure_share: float = 0.1
    exposure_slack: float = 50.0


class Situation(typing.NamedTuple):
    """
    What the holder knows.

    ``now`` is the Unix time, ``rate`` the service's requests a second. ``phase_s`` is
    how long the phase has been in force at all entries, 0 if it isn't, and
    ``ended_before_phase`` how many of the target's answers are older.
    ``has_target`` and ``has_others`` tell whether endpoints of the target, and of
    other versions that may get requests, are ready.
    ``is_everywhere`` means that every known entry follows the plan.
    """

    now: float
    monitor: comparison.Monitor
    rate: float
    phase_s: float
    ended_before_phase: int
    has_target: bool
    has_others: bool
    is_everywhere: bool
    is_withdrawn: bool = False


class Step(typing.NamedTuple):
    """A change of the plan."""

    phase: Phase
    share: float
    reason: str


def begin(*, has_target: bool, has_others: bool) -> Step:
    """Return the first step of an order."""
    if has_target and not has_others:
        return Step(Phase.FULL, 1.0, "no other version may get requests")
    return Step(Phase.TRIAL, 0.0, "ordered")


def decide(plan: plans.Plan, situation: Situation, bounds: Bounds) -> Step | None:
    """Return the next step, None if nothing is to change."""
    if plan.is_final:
        return None
    if situation.is_withdrawn:
        return _roll_back("the order was withdrawn")
    verdict = situation.monitor.verdict()
    if verdict.is_bad:
        return _roll_back(verdict.reason)
    return _DECISIONS[plan.phase](plan, situation, verdict, bounds)


def _decide_trial(
    plan: plans.Plan,
    situation: Situation,
    verdict: comparison.Verdict,
    bounds: Bounds,
) -> Step | None:
    late_s = situation.now - plan.order.deadline
    if late_s >= 0 and not situation.has_target:
        return _roll_back("no endpoint of the target is ready at the deadline")
    if late_s >= EXTENSION * plan.order.duration_s:
        return _roll_back(f"not proven sound in time: {verdict.reason or 'no room'}")
    if not situation.has_target or not situation.is_everywhere:
        return None
    if verdict.is_enough and _has_room(plan, situation, 1.0, bounds):
        return Step(Phase.FULL, 1.0, "sound in the trial")
    return _adjust_share(plan, situation, verdict, bounds)


def _adjust_share(
    plan: plans.Plan,
    situation: Situation,
    verdict: comparison.Verdict,
    bounds: Bounds,
) -> Step | None:
    if verdict.is_enough or verdict.reason.startswith("in doubt"):
        return None
    left_s = max(plan.order.deadline - situation.now, RECOGNITION_S)
    share = TRIAL_ANSWERS / max(situation.rate * left_s, 1.0)
    is_late = situation.now >= plan.order.deadline
    share = max(MIN_SHARE, min(MAX_LATE_SHARE if is_late else MAX_SHARE, share))
    if not plan.share:
        share = FIRST_SHARE
    if share < SHARE_STEP * plan.share:
        return None
    if not _has_room(plan, situation, share, bounds):
        return None
    return Step(Phase.TRIAL, round(share, 3), "trial")


def _has_room(
    plan: plans.Plan, situation: Situation, share: float, bounds: Bounds
) -> bool:
    """Return whether a share keeps the exposure if the target turns out to be bad."""
    left_s = plan.order.deadline - situation.now - PUBLICATION_S
    if left_s <= 0:
        return True
    monitor = situation.monitor
    allowed = bounds.exposure_share * monitor.of_all().first + bounds.exposure_slack
    expected = situation.rate * share * min(RECOGNITION_S, left_s)
    return monitor.exposure + expected <= USED_PART * allowed


def _decide_full(
    plan: plans.Plan,
    situation: Situation,
    verdict: comparison.Verdict,
    bounds: Bounds,
) -> Step | None:
    is_doubted = verdict.reason.startswith("in doubt")
    late_s = situation.now - plan.order.deadline
    if late_s >= EXTENSION * plan.order.duration_s:
        if not situation.has_target:
            return _roll_back("no endpoint of the target is ready any more")
        if is_doubted:
            return _roll_back(verdict.reason)
    if not situation.is_everywhere or situation.monitor.of_others().running:
        return None
    if not situation.has_others and not situation.monitor.of_others().sent:
        # There is nothing to return to, or to compare with.
        return Step(Phase.COMPLETED, 1.0, "no other version serves")
    ended = situation.monitor.of_target().ended - situation.ended_before_phase
    is_busy = situation.rate * FULL_S >= FULL_ANSWERS
    if situation.phase_s < FULL_S or (is_busy and ended < FULL_ANSWERS):
        return None
    if is_doubted:
        return None
    return Step(Phase.COMPLETED, 1.0, "sound with all requests")


def _roll_back(reason: str) -> Step:
    return Step(Phase.ROLLED_BACK, 0.0, reason)


_Decision = abc.Callable[
    [plans.Plan, Situation, comparison.Verdict, Bounds], Step | None
]
_DECISIONS: dict[Phase, _Decision] = {
    Phase.TRIAL: _decide_trial,
    Phase.FULL: _decide_full,
}
