"""
The choice of an endpoint as plain functions over typed snapshots.

Two endpoints are drawn at random, and one that holds much of the prompt beside
them; the one with the lowest predicted finish wins ("power of two choices",
Mitzenmacher 2001). Old load reports count less the older they are.
"""

import math
import random
import typing
from collections import abc

from acaciaward import documents, requests

REPORT_FADING_S = 2.0
REMOTE_S = 0.003
CROWDING = 0.1
SLOW_START_S = 2.0
SLOW_START_FACTOR = 1.0
RISK_FACTOR = 0.5
EJECTED_FACTOR = 4.0
EJECTION_FLOOR = 0.5
SLOW_RATIO = 3.0
MINIMUM_JUDGED = 3
FAILURES_TO_EJECT = 2


class Snapshot(typing.NamedTuple):
    """
    One usable endpoint as the choice sees it.

    ``own`` counts attempts in flight from this entry, ``others`` those of other
    entries in a report ``report_age_s`` old (None without a report). ``step_s``
    and ``slots`` are the engine's; ``slowness`` is how much longer than
    predicted its answers took, ``failures`` counts failures in a row and
    ``seen_s`` is the time since it was first seen.
    """

    endpoint: requests.Endpoint
    own: int = 0
    others: float = 0.0
    report_age_s: float | None = None
    slots: float = 8.0
    step_s: float = 0.003
    cached_tokens: int = 0
    slowness: float = 1.0
    failures: int = 0
    seen_s: float = 3600.0
    is_avoided: bool = False


class Wish(typing.NamedTuple):
    """What the choice knows of a request; ``prefill_s`` is for one prompt token."""

    prompt_tokens: int
    max_tokens: int
    service_class: requests.ServiceClass
    data_centre: str
    weights: documents.Weights
    prefill_s: float = 0.00002


def believed_load(snapshot: Snapshot, mean_others: float) -> float:
    """
    Return the requests at an endpoint, own ones exactly and others' by report.

    The older a report is, the more the mean over all reports takes its place.
    """
    if snapshot.report_age_s is None:
        return snapshot.own + mean_others
    trust = math.exp(-snapshot.report_age_s / REPORT_FADING_S)
    return snapshot.own + trust * snapshot.others + (1 - trust) * mean_others


def mean_others(snapshots: abc.Sequence[Snapshot]) -> float:
    """Return the mean of what the reports say of other entries' requests."""
    reported = [one.others for one in snapshots if one.report_age_s is not None]
    return sum(reported) / len(reported) if reported else 0.0


def service_s(snapshot: Snapshot, wish: Wish) -> float:
    """Return the seconds that the request takes once it runs."""
    fresh_tokens = max(0, wish.prompt_tokens - snapshot.cached_tokens)
    return fresh_tokens * wish.prefill_s + (wish.max_tokens + 1) * snapshot.step_s


def predicted_finish_s(snapshot: Snapshot, wish: Wish, others: float) -> float:
    """Return the predicted seconds until the answer is complete."""
    load = believed_load(snapshot, others)
    filling = (load + 1) / max(1.0, snapshot.slots)
    crowding = max(1.0, filling) + CROWDING * filling
    distance_s = REMOTE_S * (snapshot.endpoint.data_centre != wish.data_centre)
    start_left = max(0.0, 1 - snapshot.seen_s / SLOW_START_S)
    warming = 1 + SLOW_START_FACTOR * start_left
    return service_s(snapshot, wish) * crowding * warming + distance_s


def risk_s(snapshot: Snapshot, wish: Wish) -> float:
    """
    Return the seconds that a long request on reclaimable capacity is charged.

    A deployment that weighs recomputed tokens more keeps long work on safe
    capacity; one that weighs cost more keeps safe capacity free for urgent work,
    and gets the opposite sign.
    """
    if wish.service_class is not requests.ServiceClass.LONG:
        return 0.0
    if not snapshot.endpoint.reclaimable:
        return 0.0
    leaning = wish.weights.get("recomputed_tokens", 0.5) - wish.weights.get("cost", 0.5)
    return RISK_FACTOR * leaning * service_s(snapshot, wish)


def ejected(snapshots: abc.Sequence[Snapshot]) -> set[str]:
    """
    Return the names of endpoints to leave out: failing or slow ones.

    At most half of the pool is left out, the worst first, so that ejection
    never empties a pool, even when everything in it is bad.
    """
    if len(snapshots) < 2:
        return set()
    slowness = sorted(one.slowness for one in snapshots)
    median = slowness[(len(slowness) - 1) // 2]
    is_judged = len(snapshots) >= MINIMUM_JUDGED
    bad = [
        one
        for one in snapshots
        if one.failures >= FAILURES_TO_EJECT
        or (is_judged and one.slowness > SLOW_RATIO * median)
    ]
    bad.sort(key=lambda one: (one.failures, one.slowness), reverse=True)
    allowed = math.floor(len(snapshots) * (1 - EJECTION_FLOOR))
    return {one.endpoint.name for one in bad[:allowed]}


def choose(
    snapshots: abc.Sequence[Snapshot], wish: Wish, chooser: random.Random
) -> requests.Endpoint:
    """Return the endpoint for a request; there must be at least one snapshot."""
    out = ejected(snapshots)
    pool = [one for one in snapshots if one.endpoint.name not in out]
    near = [one for one in pool if not one.is_avoided] or pool
    others = mean_others(snapshots)
    drawn = chooser.sample(near, min(2, len(near)))
    holder = max(near, key=lambda one: one.cached_tokens)
    if holder.cached_tokens:
        drawn.append(holder)
    safe = [one for one in near if not one.endpoint.reclaimable]
    if safe and wish.service_class is requests.ServiceClass.LONG:
        drawn.append(chooser.choice(safe))
    best = min(
        drawn,
        key=lambda one: (
            predicted_finish_s(one, wish, others)
            + risk_s(one, wish)
            + one.failures * EJECTED_FACTOR
        ),
    )
    return best.endpoint
