"""
Chooses the endpoint for a request: plain functions over typed snapshots.

Compares two endpoints drawn at random and the one that caches most of the prompt;
the lowest predicted finish time wins ("power of two choices", Mitzenmacher 2001).
The older a load report, the less it counts.
"""

import math
import random
import typing
from collections import abc

from acaciaward import documents, requests

REPORT_DECAY_S = 2.0
REMOTE_PENALTY_S = 0.003
# Requests that run at once slow each other down even before any has to queue: fraction
# of the service time that is added at full utilisation.
CONTENTION_FACTOR = 0.1
SLOW_START_S = 2.0
SLOW_START_FACTOR = 1.0
RECLAIM_PENALTY_FACTOR = 0.5
# Added to the predicted finish for each failure in a row.
FAILURE_PENALTY_S = 4.0
MINIMUM_KEPT_SHARE = 0.5
# An endpoint is ejected when it is this many times as slow as the median of its pool.
SLOW_RATIO = 3.0
# In a smaller pool, slowness is not compared.
MINIMUM_COMPARED = 3
FAILURES_TO_EJECT = 2


class Snapshot(typing.NamedTuple):
    """
    The state of one usable endpoint at the moment of the choice.

    ``own_in_flight`` counts attempts in flight from this entry, ``others_in_flight``
    those of other entries in a report ``report_age_s`` old (None without a report).
    ``step_s`` is the engine's time for one output token, ``slots`` is how many
    requests it runs at once. ``slowness`` is the smoothed ratio of actual to
    predicted answer time, ``failures`` counts failures in a row and
    ``since_first_seen_s`` is the time since this entry first saw the endpoint.
    """

    endpoint: requests.Endpoint
    own_in_flight: int = 0
    others_in_flight: float = 0.0
    report_age_s: float | None = None
    slots: float = 8.0
    step_s: float = 0.003
    cached_tokens: int = 0
    slowness: float = 1.0
    failures: int = 0
    since_first_seen_s: float = 3600.0
    is_avoided: bool = False


class RequestProfile(typing.NamedTuple):
    """What the choice uses of a request; ``prefill_s`` is for one prompt token."""

    prompt_tokens: int
    max_tokens: int
    service_class: requests.ServiceClass
    data_centre: str
    weights: documents.CostWeights
    prefill_s: float = 0.00002


def estimated_load(snapshot: Snapshot, mean_others: float) -> float:
    """
    Return the estimated number of requests at an endpoint.

    This entry's own requests are counted exactly, those of others come from the
    report. The older it is, the more ``mean_others``, the mean over all reports,
    takes its place.
    """
    if snapshot.report_age_s is None:
        return snapshot.own_in_flight + mean_others
    trust = math.exp(-snapshot.report_age_s / REPORT_DECAY_S)
    return (
        snapshot.own_in_flight
        + trust * snapshot.others_in_flight
        + (1 - trust) * mean_others
    )


def mean_others_in_flight(snapshots: abc.Sequence[Snapshot]) -> float:
    """Return the mean number of other entries' requests, over all reports."""
    reported = [
        snapshot.others_in_flight
        for snapshot in snapshots
        if snapshot.report_age_s is not None
    ]
    return sum(reported) / len(reported) if reported else 0.0


def service_s(snapshot: Snapshot, profile: RequestProfile) -> float:
    """Return the seconds that the request takes once it runs."""
    uncached_tokens = max(0, profile.prompt_tokens - snapshot.cached_tokens)
    return (
        uncached_tokens * profile.prefill_s + (profile.max_tokens + 1) * snapshot.step_s
    )


def predicted_finish_s(
    snapshot: Snapshot, profile: RequestProfile, mean_others: float
) -> float:
    """Return the predicted seconds until the answer is complete."""
    load = estimated_load(snapshot, mean_others)
    utilisation = (load + 1) / max(1.0, snapshot.slots)
    contention = max(1.0, utilisation) + CONTENTION_FACTOR * utilisation
    distance_s = REMOTE_PENALTY_S * (
        snapshot.endpoint.data_centre != profile.data_centre
    )
    slow_start_left = max(0.0, 1 - snapshot.since_first_seen_s / SLOW_START_S)
    slow_start = 1 + SLOW_START_FACTOR * slow_start_left
    return service_s(snapshot, profile) * contention * slow_start + distance_s


def reclaim_penalty_s(snapshot: Snapshot, profile: RequestProfile) -> float:
    """
    Return the seconds added to a long request's finish on reclaimable capacity.

    A deployment that weighs recomputed tokens more than cost keeps long work on
    on-demand capacity. One that weighs cost more keeps on-demand capacity free for
    urgent work: the result is negative.
    """
    if profile.service_class is not requests.ServiceClass.LONG:
        return 0.0
    if not snapshot.endpoint.reclaimable:
        return 0.0
    preference = profile.weights.get("recomputed_tokens", 0.5) - profile.weights.get(
        "cost", 0.5
    )
    return RECLAIM_PENALTY_FACTOR * preference * service_s(snapshot, profile)


def ejected(snapshots: abc.Sequence[Snapshot]) -> set[str]:
    """
    Return the names of the endpoints to leave out: failing or slow ones.

    At most half of the pool is left out, the worst first, so that ejection
    never empties a pool, even when everything in it is bad.
    """
    if len(snapshots) < 2:
        return set()
    slowness = sorted(snapshot.slowness for snapshot in snapshots)
    median = slowness[(len(slowness) - 1) // 2]
    is_comparable = len(snapshots) >= MINIMUM_COMPARED
    unhealthy = [
        snapshot
        for snapshot in snapshots
        if snapshot.failures >= FAILURES_TO_EJECT
        or (is_comparable and snapshot.slowness > SLOW_RATIO * median)
    ]
    unhealthy.sort(
        key=lambda snapshot: (snapshot.failures, snapshot.slowness), reverse=True
    )
    allowed = math.floor(len(snapshots) * (1 - MINIMUM_KEPT_SHARE))
    return {snapshot.endpoint.name for snapshot in unhealthy[:allowed]}


def choose(
    snapshots: abc.Sequence[Snapshot], profile: RequestProfile, rng: random.Random
) -> requests.Endpoint:
    """Return the endpoint for a request; there must be at least one snapshot."""
    ejected_names = ejected(snapshots)
    pool = [
        snapshot
        for snapshot in snapshots
        if snapshot.endpoint.name not in ejected_names
    ]
    eligible = [snapshot for snapshot in pool if not snapshot.is_avoided] or pool
    mean_others = mean_others_in_flight(snapshots)
    compared = rng.sample(eligible, min(2, len(eligible)))
    cache_holder = max(eligible, key=lambda snapshot: snapshot.cached_tokens)
    if cache_holder.cached_tokens:
        compared.append(cache_holder)
    on_demand = [snapshot for snapshot in eligible if not snapshot.endpoint.reclaimable]
    if on_demand and profile.service_class is requests.ServiceClass.LONG:
        compared.append(rng.choice(on_demand))
    best = min(
        compared,
        key=lambda snapshot: (
            predicted_finish_s(snapshot, profile, mean_others)
            + reclaim_penalty_s(snapshot, profile)
            + snapshot.failures * FAILURE_PENALTY_S
        ),
    )
    return best.endpoint
