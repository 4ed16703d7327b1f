"""
The decisions of admission as plain functions over typed snapshots.

An organisation's guaranteed part of the slots is its share among the active
organisations. Within that part its requests start at once, even when others
hold all slots: whoever runs beyond its own part has only borrowed, and runs at
a lower priority at the engines, which then pause it. Beyond its part it may
borrow what is idle. Urgent requests start first, as long as the organisation
stays within its urgent allowance; beyond it they count as short ones.
"""

import enum
import typing
from collections import abc

from acaciaward import requests
from acaciaward.admission import interfaces

# How far an organisation that has used less than its part may exceed it.
BURST = 3.0
# Predictions are taken as this much too short when a request is judged.
WAIT_MARGIN = 1.5
SERVICE_MARGIN = 1.2
MINIMUM_RETRY_S = 0.1
MINIMUM_PARALLEL = 0.1


class Grant(enum.Enum):
    """On what ground a request may start."""

    URGENT = "urgent"
    OWED = "owed"
    SHARE = "share"
    BORROWED = "borrowed"


# Engines run equal priorities in the order of arrival, so what has started on its
# share goes on; the order of starts is decided here.
PRIORITIES = {Grant.URGENT: 0, Grant.OWED: 1, Grant.SHARE: 2, Grant.BORROWED: 3}
GRANT_ORDER = (Grant.URGENT, Grant.OWED, Grant.SHARE, Grant.BORROWED)
ON_SHARE = frozenset({Grant.OWED, Grant.SHARE})


class Load(typing.NamedTuple):
    """
    What runs at a deployment from here, seen from one organisation.

    ``running`` counts all requests, ``running_urgent`` those started as urgent
    and ``running_own`` the organisation's on its share, which is 0 to 1.
    ``running_share`` counts all that started on the ground of their share.
    The averages are the slots taken in the last seconds by all urgent requests,
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
    def left_by_urgent(self) -> float:
        """The slots that urgent requests leave on average."""
        return max(1.0, self.slots - self.urgent_average)

    @property
    def guaranteed(self) -> float:
        """The organisation's part, less what its own urgent requests take."""
        return max(0.0, self.share * self.slots - self.own_urgent_average)


class QueuedWork(typing.NamedTuple):
    """Work of ``service_s`` seconds that must start within ``latest_start_s``."""

    service_s: float
    latest_start_s: float


def share_of(organisation: str, weights: abc.Mapping[str, float]) -> float:
    """Return the part of one organisation among the active ones, 0 to 1."""
    total = sum(weights.values())
    return weights[organisation] / total if total else 1.0


def grant(load: Load, *, is_urgent: bool) -> Grant | None:
    """
    Return on what ground a request may start now, or None.

        grant(Load(8, 8, 0, 1, 0.5), is_urgent=False)  # Grant.OWED
    """
    if is_urgent and load.running_urgent < max(1.0, load.slots):
        return Grant.URGENT
    # Who has used less than its part lately may exceed it for a moment.
    is_owed = load.own_average < load.guaranteed
    if (
        is_owed
        and load.running_own < max(1.0, BURST * load.guaranteed)
        and load.running_share < load.slots
    ):
        return Grant.OWED
    if load.running_own < load.guaranteed and load.running_share < load.left_by_urgent:
        return Grant.SHARE
    if load.running < load.slots:
        return Grant.BORROWED
    return None


def service_s(request: requests.Request, capacity: interfaces.Capacity) -> float:
    """Return the seconds that a model request takes once it runs."""
    prefill_s = request.prompt_tokens * capacity.prefill_s
    return prefill_s + (request.max_tokens + 1) * capacity.step_s


def lateness_s(
    queued: abc.Sequence[QueuedWork], *, running_s: float, parallel: float
) -> float:
    """
    Return by how many seconds the worst of the queued would start too late, or 0.

    ``queued`` is in the order of starts, ``running_s`` the seconds of work left
    of what runs, and ``parallel`` the number of slots that work on all of it. A
    newcomer is taken only if everything in the queue, itself included, can
    still start in time (the admission test of earliest-deadline-first
    scheduling, as a fluid).
    """
    slots = max(MINIMUM_PARALLEL, parallel)
    ahead_s = running_s
    worst = 0.0
    for work in queued:
        worst = max(worst, WAIT_MARGIN * ahead_s / slots - work.latest_start_s)
        ahead_s += work.service_s
    return worst


def latest_start_s(*, service: float, left: float) -> float:
    """Return within how many seconds work must start to end by its deadline."""
    return left - SERVICE_MARGIN * service


def retry_after_s(lateness: float) -> float:
    """
    Return when a refused request would be in time if it came again.

    Work drains one second a second, so the lateness itself is the answer.
    """
    return max(MINIMUM_RETRY_S, lateness)


class Candidate(typing.NamedTuple):
    """The next request of one organisation and the ground on which it may start."""

    organisation: str
    grant: Grant | None
    counter: float


def choose_next(candidates: abc.Iterable[Candidate]) -> Candidate | None:
    """Return the candidate to start: by ground, then by least tokens served."""
    startable = [one for one in candidates if one.grant is not None]
    if not startable:
        return None
    return min(startable, key=lambda one: (GRANT_ORDER.index(one.grant), one.counter))
