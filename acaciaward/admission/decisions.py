"""
Admission decisions as pure functions over snapshots of a deployment's load.

Each active organisation is guaranteed a share of a deployment's slots, by its
weight. Within the guaranteed slots its requests start at once, even when other
organisations occupy all slots: requests beyond a guarantee run on borrowed slots
at a lower engine priority, and the engines then pause them. Beyond its guarantee an
organisation may borrow idle slots. Urgent requests start first, as long as the
organisation stays within its urgent allowance; beyond it they count as short ones.
"""

import enum
import typing
from collections import abc

from acaciaward import requests
from acaciaward.admission import interfaces

# An organisation whose recent use is below its guaranteed slots may run up to this
# multiple of them.
CATCH_UP_FACTOR = 3.0
# Predicted times are multiplied by these when a request is evaluated, since
# predictions may be too short.
WAIT_SAFETY_FACTOR = 1.5
SERVICE_SAFETY_FACTOR = 1.2
MINIMUM_RETRY_S = 0.1
MINIMUM_PARALLEL_SLOTS = 0.1


class Grant(enum.Enum):
    """
    The entitlement under which a request starts.

    ``URGENT``: an urgent request within its organisation's allowance. ``OWED``:
    the organisation's recent use is below its guarantee. ``SHARE``: the
    organisation runs less than its guarantee now. ``BORROWED``: a slot is idle.
    """

    URGENT = "urgent"
    OWED = "owed"
    SHARE = "share"
    BORROWED = "borrowed"


# Engines run requests of equal priority in order of arrival, so one that started on its
# share keeps running when others arrive. The order of starts is decided here.
PRIORITIES = {Grant.URGENT: 0, Grant.OWED: 1, Grant.SHARE: 2, Grant.BORROWED: 3}
GRANT_ORDER = (Grant.URGENT, Grant.OWED, Grant.SHARE, Grant.BORROWED)
SHARE_GRANTS = frozenset({Grant.OWED, Grant.SHARE})


class Load(typing.NamedTuple):
    """
    The load of this entry on one deployment, as one organisation sees it.

    ``slots`` is the capacity for this entry and ``share`` the organisation's
    part of it, 0 to 1. ``running`` counts all requests, ``running_urgent`` those
    with an urgent grant, ``running_share`` those with a grant in
    ``SHARE_GRANTS`` and ``running_own`` the organisation's among the latter.
    The averages are the slots used in the last seconds by all urgent requests,
    by the organisation's urgent ones and by its others.
    """

    slots: float
    running: int
    running_urgent: int
    running_own: int
    share: float
    running_share: int = 0
    urgent_average: float = 0.0
    own_urgent_average: float = 0.0
    own_average: float = 0.0

    @property
    def slots_left_by_urgent(self) -> float:
        """The average number of slots that urgent requests leave free."""
        return max(1.0, self.slots - self.urgent_average)

    @property
    def guaranteed_slots(self) -> float:
        """The slots of the organisation's share, less those of its urgent requests."""
        return max(0.0, self.share * self.slots - self.own_urgent_average)


class QueuedWork(typing.NamedTuple):
    """Work of ``service_s`` seconds that must start within ``latest_start_s``."""

    service_s: float
    latest_start_s: float


def share_of(organisation: str, weights: abc.Mapping[str, float]) -> float:
    """Return the organisation's share among the active organisations, 0 to 1."""
    total = sum(weights.values())
    return weights[organisation] / total if total else 1.0


def grant(load: Load, *, is_urgent: bool) -> Grant | None:
    """
    Return the grant under which a request may start now, or None if it must wait.

        grant(Load(8, 8, 0, 1, 0.5), is_urgent=False)  # Grant.OWED
    """
    if is_urgent and load.running_urgent < max(1.0, load.slots):
        return Grant.URGENT
    # Recent use below the guarantee allows exceeding it for a short time.
    is_owed = load.own_average < load.guaranteed_slots
    if (
        is_owed
        and load.running_own < max(1.0, CATCH_UP_FACTOR * load.guaranteed_slots)
        and load.running_share < load.slots
    ):
        return Grant.OWED
    if (
        load.running_own < load.guaranteed_slots
        and load.running_share < load.slots_left_by_urgent
    ):
        return Grant.SHARE
    if load.running < load.slots:
        return Grant.BORROWED
    return None


def service_s(request: requests.Request, capacity: interfaces.Capacity) -> float:
    """Return the estimated seconds that a model request runs after its start."""
    prefill_s = request.prompt_tokens * capacity.prefill_s
    return prefill_s + (request.max_tokens + 1) * capacity.step_s


def lateness_s(
    queued: abc.Sequence[QueuedWork], *, running_s: float, parallel_slots: float
) -> float:
    """
    Return the seconds by which the latest queued request misses its start, or 0.

    ``queued`` is in starting order, ``running_s`` the remaining seconds of work of
    the running requests and ``parallel_slots`` the slots that process all of it.
    A new request is admitted only if everything in the queue, itself included,
    can still start in time (the admission test of earliest-deadline-first
    scheduling, in its fluid approximation).
    """
    slots = max(MINIMUM_PARALLEL_SLOTS, parallel_slots)
    ahead_s = running_s
    worst_lateness_s = 0.0
    for work in queued:
        worst_lateness_s = max(
            worst_lateness_s, WAIT_SAFETY_FACTOR * ahead_s / slots - work.latest_start_s
        )
        ahead_s += work.service_s
    return worst_lateness_s


def latest_start_s(*, service_s: float, left_s: float) -> float:
    """
    Return the seconds within which work must start to end by its deadline.

    ``left_s`` is the time until the deadline. The result is negative for work that
    can't meet it.
    """
    return left_s - SERVICE_SAFETY_FACTOR * service_s


def retry_after_s(lateness_s: float) -> float:
    """
    Return the seconds after which a refused request could be admitted.

    The queue drains by one second of work per second, so this is the lateness.
    """
    return max(MINIMUM_RETRY_S, lateness_s)


class Candidate(typing.NamedTuple):
    """
    An organisation whose next request may start under ``grant``, if it has one.

    ``counter`` is its virtual token counter, see ``shares.VirtualCounters``.
    """

    organisation: str
    grant: Grant | None
    counter: float


def choose_next(candidates: abc.Iterable[Candidate]) -> Candidate | None:
    """Return the candidate to start: by grant, then by fewest tokens served."""
    startable = [candidate for candidate in candidates if candidate.grant is not None]
    if not startable:
        return None
    return min(
        startable,
        key=lambda candidate: (GRANT_ORDER.index(candidate.grant), candidate.counter),
    )
