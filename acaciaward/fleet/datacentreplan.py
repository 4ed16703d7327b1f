"""
Plans how many endpoints to rent in each data centre, as pure functions of a snapshot.

Reclaimable endpoints cost a fraction of the price of safe ones, but the cloud may
reclaim all those of a data centre at once and offer no new ones for a while. The plan
therefore rents enough reclaimable endpoints that the loss of any one data centre
leaves what the demand needs. Safe endpoints, which aren't reclaimed, cover what is
missing now, and what one more loss would take below a share of the need.

The failures that this covers: a data centre is reclaimed and no reclaimable endpoints
are available, two reclaims in a row, and demand that rises faster than endpoints boot.

While an engine prefills prompts, the events of its streams are delayed. Where callers
allow only short pauses, an engine may therefore prefill for a smaller share of its
time, and the same demand needs more engines.
"""

import math
import typing
from collections import abc

from acaciaward.catalogue import routes

# Prompt tokens per second to plan for each engine, not counting prefixes that requests
# share. While it decodes, an engine prefills about 75,000 prompt tokens per second, a
# ninth to a sixth of them shared prefixes that it prefills again. Once prefill takes
# more than seven tenths of its time, the gaps between the tokens of a stream and the
# queueing times grow fast.
ENGINE_TOKENS_PER_S = 45_000.0
# Shortest allowed pause between events with which ``ENGINE_TOKENS_PER_S`` holds, in
# seconds; measured with pauses of 0.5 and 0.6 s.
UNHURRIED_GAP_S = 0.5
# Prompt tokens to plan for, as a share of those that an engine prefills in that time
# beside its streams: ``ENGINE_TOKENS_PER_S`` is this share of 75,000.
PREFILL_SHARE = 0.6
# A prefill rate outside of these bounds is a wrong measurement, in tokens a second.
MIN_PREFILL_TOKENS_PER_S = 15_000.0
MAX_PREFILL_TOKENS_PER_S = 400_000.0
# Share of an engine's slots to fill with streams. The rest is for bursts, and each
# stream lengthens the gaps between the tokens of all others.
TARGET_SLOT_SHARE = 0.6
# Share of the need that must remain after the loss of one more data centre. It leaves
# out the headroom that is part of the need.
GUARDED_SHARE = 0.8
# Before there is any demand, the need is this share of the endpoints that existed at
# the start, and more of them where callers allow only short pauses.
INITIAL_SHARE = 0.6
# Demand to plan for, as a multiple of the current one: bursts rise faster than
# endpoints boot.
HEADROOM_FACTOR = 1.25
MIN_ENGINES = 2
# Data centres whose reclaim in a row is covered where callers allow only short pauses.
MAX_COVERED_LOSSES = 2


class Kind(typing.NamedTuple):
    """A data centre, and whether the endpoints counted there are reclaimable."""

    data_centre: str
    is_reclaimable: bool


class Snapshot(typing.NamedTuple):
    """
    The state of one service that its plan is computed from.

    ``ready`` counts endpoints that get new work, ``booting`` those whose order was
    accepted and that aren't ready yet. ``without_reclaimable`` are data centres that
    recently refused an order for reclaimable endpoints. ``needed`` is how many engines
    the demand needs, and ``covered_losses`` how many data centres may be reclaimed one
    after the other while the reclaimable endpoints of the rest are enough.
    """

    scaling: routes.Scaling
    ready: abc.Mapping[Kind, int]
    booting: abc.Mapping[Kind, int]
    without_reclaimable: abc.Set[str]
    needed: int
    covered_losses: int = 1


def engine_tokens_per_s(prefill_tokens_per_s: float, max_gap_s: float | None) -> float:
    """
    Return the prompt tokens a second to plan for each engine of a service.

    ``prefill_tokens_per_s`` is what an engine prefills beside its streams, as measured,
    and ``max_gap_s`` the shortest pause between events that callers of the service
    allow, None if they allow any.

        engine_tokens_per_s(64_000, 0.3)  # 23,040
    """
    if gap_share(max_gap_s) == 1.0:
        return ENGINE_TOKENS_PER_S
    measured = min(
        MAX_PREFILL_TOKENS_PER_S, max(MIN_PREFILL_TOKENS_PER_S, prefill_tokens_per_s)
    )
    return PREFILL_SHARE * measured * gap_share(max_gap_s)


def gap_share(max_gap_s: float | None) -> float:
    """Return an allowed pause as a share of one that needs no further engines."""
    return min(1.0, max_gap_s / UNHURRIED_GAP_S) if max_gap_s else 1.0


def covered_losses(scaling: routes.Scaling, max_gap_s: float | None) -> int:
    """
    Return how many reclaims in a row the reclaimable endpoints have to cover.

    Where callers allow only short pauses, those that are left can't take on more, and
    new ones boot too late when a second data centre is reclaimed. Then two reclaims are
    covered, provided that this costs less than safe endpoints.

        covered_losses(scaling, 0.3)  # 2 of 3 data centres, at 0.18 of the price
    """
    data_centres = len(scaling.prices)
    if gap_share(max_gap_s) == 1.0 or data_centres <= MAX_COVERED_LOSSES:
        return 1
    factor = data_centres / (data_centres - MAX_COVERED_LOSSES)
    price = scaling.reclaimable_price
    if price is None or price * factor >= 1.0:
        return 1
    return MAX_COVERED_LOSSES


def covered_need(ready: abc.Mapping[Kind, int], losses: int) -> int:
    """Return the need that endpoints cover after so many losses of data centres."""
    counts: dict[str, int] = {}
    for kind, count in ready.items():
        counts[kind.data_centre] = counts.get(kind.data_centre, 0) + count
    remaining = sorted(counts.values())[: max(0, len(counts) - losses)]
    # The plan adds one to the share of each data centre.
    return max(0, sum(remaining) - len(remaining))


def initial_need(initial_count: int, max_gap_s: float | None) -> int:
    """Return how many of the endpoints that existed at the start to keep."""
    return math.ceil(min(1.0, INITIAL_SHARE / gap_share(max_gap_s)) * initial_count)


def engines_needed(
    tokens_per_s: float,
    streams: float,
    slots: int,
    tokens_per_engine: float = ENGINE_TOKENS_PER_S,
) -> int:
    """
    Return how many engines with ``slots`` slots each a demand needs, with headroom.

    ``tokens_per_engine`` are the prompt tokens a second to plan for each.

        engines_needed(70_000, 12, 64)  # 2
    """
    by_tokens = tokens_per_s / tokens_per_engine
    by_streams = streams / max(1.0, TARGET_SLOT_SHARE * slots)
    return max(MIN_ENGINES, math.ceil(HEADROOM_FACTOR * max(by_tokens, by_streams)))


def make_plan(snapshot: Snapshot) -> dict[Kind, int]:
    """Return the number of endpoints of each kind to order in each data centre."""
    data_centres = sorted(snapshot.scaling.prices, key=snapshot.scaling.prices.get)
    safe = _plan_safe_counts(snapshot, data_centres)
    reclaimable = _plan_reclaimable_counts(snapshot, data_centres, safe)
    plan = {
        Kind(data_centre, True): count for data_centre, count in reclaimable.items()
    }
    return plan | {
        Kind(data_centre, False): count for data_centre, count in safe.items()
    }


def _plan_safe_counts(
    snapshot: Snapshot, data_centres: abc.Sequence[str]
) -> dict[str, int]:
    bounds = snapshot.scaling
    ready = {
        data_centre: snapshot.ready.get(Kind(data_centre, True), 0)
        for data_centre in data_centres
    }
    expected = {
        data_centre: ready[data_centre]
        + snapshot.booting.get(Kind(data_centre, True), 0)
        for data_centre in data_centres
    }
    # No new safe endpoints are ordered in place of reclaimable ones that are booting,
    # but a safe endpoint is only released once reclaimable ones are ready in its place.
    missing_now = _missing_count(snapshot.needed, ready)
    missing_after_boot = _missing_count(snapshot.needed, expected)
    plan = {}
    for data_centre in data_centres:
        kept = _ready_and_booting(snapshot, Kind(data_centre, False))
        # Where two losses are covered, safe endpoints may fill the maximum of a data
        # centre. Those that aren't needed leave room for reclaimable ones.
        if sum(ready.values()) >= snapshot.needed or snapshot.covered_losses > 1:
            kept = min(kept, max(0, missing_now))
        # Each data centre has at least its minimum, counting both kinds.
        floor = max(0, bounds.minimum - expected[data_centre])
        plan[data_centre] = min(max(kept, floor), bounds.maximum)
        missing_now -= plan[data_centre]
        missing_after_boot -= plan[data_centre]
    for data_centre in data_centres:
        room = bounds.maximum - expected[data_centre] - plan[data_centre]
        more = max(0, min(missing_after_boot, room))
        plan[data_centre] += more
        missing_after_boot -= more
    return plan


def _missing_count(needed: int, counts: abc.Mapping[str, int]) -> int:
    """
    Return how many endpoints the demand lacks.

    This is the larger of what is missing now and what would be missing from the
    guarded share of the need after the loss of the largest data centre.
    """
    total = sum(counts.values())
    after_loss = total - max(counts.values(), default=0)
    guarded = math.ceil(GUARDED_SHARE * needed)
    return max(0, needed - total, guarded - after_loss)


def _plan_reclaimable_counts(
    snapshot: Snapshot, data_centres: abc.Sequence[str], safe: abc.Mapping[str, int]
) -> dict[str, int]:
    bounds = snapshot.scaling
    if bounds.reclaimable_price is None:
        return {}
    # After the covered losses the other data centres must carry the demand.
    remaining = max(1, len(data_centres) - snapshot.covered_losses)
    share = math.ceil(snapshot.needed / remaining)
    target = max(bounds.minimum, min(share + 1, snapshot.needed))
    plan = {}
    for data_centre in data_centres:
        present = _ready_and_booting(snapshot, Kind(data_centre, True))
        requested = present if data_centre in snapshot.without_reclaimable else target
        # A surplus of safe endpoints must not displace reclaimable ones that serve.
        kept = min(snapshot.ready.get(Kind(data_centre, True), 0), requested)
        # Safe endpoints that still serve count against the maximum until they are gone.
        serving_safe = snapshot.ready.get(Kind(data_centre, False), 0)
        room = bounds.maximum - max(safe[data_centre], serving_safe)
        plan[data_centre] = max(kept, min(room, requested))
    return plan


def _ready_and_booting(snapshot: Snapshot, kind: Kind) -> int:
    return snapshot.ready.get(kind, 0) + snapshot.booting.get(kind, 0)
