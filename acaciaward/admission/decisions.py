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
from collections.abc import Iterable, Mapping

from acaciaward import requests
from acaciaward.admission import interfaces

# How far an organisation that has used less than its part may exceed it.
BURST = 3.0
# Predictions are taken as this much too short when a request is judged.
WAIT_MARGIN = 1.25
SERVICE_MARGIN = 1.1
MINIMUM_RETRY_S = 0.1
MINIMUM_PARALLEL = 0.1


class Grant(enum.Enum):
    """On what ground a request may start."""

    URGENT = "urgent"
    SHARE = "share"
    BORROWED = "borrowed"


PRIORITIES = {
    (Grant.URGENT, requests.ServiceClass.URGENT): 0,
    (Grant.SHARE, requests.ServiceClass.URGENT): 1,
    (Grant.SHARE, requests.ServiceClass.SHORT): 1,
    (Grant.SHARE, requests.ServiceClass.LONG): 2,
    (Grant.BORROWED, requests.ServiceClass.URGENT): 3,
    (Grant.BORROWED, requests.ServiceClass.SHORT): 3,
    (Grant.BORROWED, requests.ServiceClass.LONG): 4,
}
GRANT_ORDER = (Grant.URGENT, Grant.SHARE, Grant.BORROWED)


class Load(typing.NamedTuple):
    """
    What runs at a deployment from here, seen from one organisation.

    ``running`` counts all requests, ``running_urgent`` those started as urgent
    and ``running_own`` the organisation's others. ``share`` is its part, 0 to 1.
    ``running_share`` counts all that started on the ground of their share.
    ``urgent_average`` and ``own_average`` are the slots that urgent requests, and
    all requests of the organisation, took on average in the last seconds.
    """

    slots: float
    running: int
    running_urgent: int
    running_own: int
    share: float
    running_share: int = 0
    urgent_average: float = 0.0
    own_average: float = 0.0

    @property
    def left_by_urgent(self) -> float:
        """The slots that urgent requests leave on average."""
        return max(1.0, self.slots - self.urgent_average)

    @property
    def guaranteed(self) -> float:
        """The organisation's part of what urgent requests leave."""
        return max(1.0, self.share * self.left_by_urgent)


class Backlog(typing.NamedTuple):
    """
    Work before a request, in seconds of one slot each.

    ``running_s`` is what is left of the organisation's running requests and
    ``ahead_s`` the work of its queued ones that go first; ``parallel`` is the
    number of slots that work on them, less those that requests still to come
    will take first.
    """

    running_s: float
    ahead_s: float
    parallel: float


def share_of(organisation: str, weights: Mapping[str, float]) -> float:
    """Return the part of one organisation among the active ones, 0 to 1."""
    total = sum(weights.values())
    return weights[organisation] / total if total else 1.0


def grant(load: Load, *, is_urgent: bool) -> Grant | None:
    """
    Return on what ground a request may start now, or None.

        grant(Load(8, 8, 0, 1, 0.5), is_urgent=False)  # Grant.SHARE
    """
    if is_urgent and load.running_urgent < max(1.0, load.slots):
        return Grant.URGENT
    # Who has used less than its part lately may exceed it for a moment.
    has_saved = load.own_average < load.guaranteed
    bound = load.guaranteed * (BURST if has_saved else 1.0)
    if load.running_own < bound and load.running_share < load.left_by_urgent:
        return Grant.SHARE
    if load.running < load.slots:
        return Grant.BORROWED
    return None


def service_s(request: requests.Request, capacity: interfaces.Capacity) -> float:
    """Return the seconds that a model request takes once it runs."""
    prefill_s = request.prompt_tokens * capacity.prefill_s
    return prefill_s + (request.max_tokens + 1) * capacity.step_s


def wait_s(backlog: Backlog) -> float:
    """Return the predicted seconds until a queued request starts."""
    return (backlog.running_s + backlog.ahead_s) / max(
        MINIMUM_PARALLEL, backlog.parallel
    )


def lateness_s(*, wait: float, service: float, left: float) -> float:
    """Return by how many seconds a request would miss its deadline, or 0."""
    return max(0.0, WAIT_MARGIN * wait + SERVICE_MARGIN * service - left)


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


def choose_next(candidates: Iterable[Candidate]) -> Candidate | None:
    """Return the candidate to start: by ground, then by least tokens served."""
    startable = [one for one in candidates if one.grant is not None]
    if not startable:
        return None
    return min(startable, key=lambda one: (GRANT_ORDER.index(one.grant), one.counter))
