"""
How many endpoints of each kind to rent in each data centre, as plain functions.

Reclaimable endpoints cost a fraction, but all of a data centre's go at once and
none may be had for a while. So there are enough of them that the loss of any one
data centre leaves what the demand needs. Safe ones are rented for what is missing
now, and for what one more loss would take below a part of the need.

Answers to: a data centre reclaimed with none to be had, two reclaims in a row,
demand that rises faster than endpoints boot.
"""

import math
import typing
from collections import abc

from acaciaward.catalogue import routes

# Prompt tokens that no other request has, for which one engine is reckoned in a second.
# It reads some 75,000 beside the tokens it makes, a ninth to a sixth of them shared
# parts again (traces of the grown sites); when it reads for more than seven tenths of
# the time, pauses and waits grow fast.
TOKENS_PER_ENGINE_S = 45_000.0
# Part of an engine's slots that streams should take: the rest is for bursts, and
# each stream lengthens the pauses of all others.
USED_SLOTS = 0.6
# Part of the need that must be left after one more loss: its headroom is spared.
GUARDED_PART = 0.8
# Before there is any demand, the need is taken from what was given at the start.
GIVEN_PART = 0.6
# Demand that is prepared for, as a multiple of the present one: bursts rise faster
# than endpoints boot.
HEADROOM = 1.25
FEWEST = 2


class Kind(typing.NamedTuple):
    """A data centre, and whether its endpoints may be reclaimed."""

    data_centre: str
    is_reclaimable: bool


class Snapshot(typing.NamedTuple):
    """
    One service as the plan sees it.

    ``ready`` counts endpoints that get new work, ``coming`` those ordered and not
    refused that still boot. ``dry`` are data centres that refused reclaimable ones
    lately. ``needed`` is how many engines the demand needs.
    """

    scaling: routes.Scaling
    ready: abc.Mapping[Kind, int]
    coming: abc.Mapping[Kind, int]
    dry: abc.Set[str]
    needed: int


def engines_needed(tokens_per_s: float, streams: float, slots: int) -> int:
    """
    Return how many engines with so many slots a demand needs, with headroom.

        engines_needed(70_000, 12, 64)  # 2
    """
    by_tokens = tokens_per_s / TOKENS_PER_ENGINE_S
    by_streams = streams / max(1.0, USED_SLOTS * slots)
    return max(FEWEST, math.ceil(HEADROOM * max(by_tokens, by_streams)))


def make_plan(snapshot: Snapshot) -> dict[Kind, int]:
    """Return how many endpoints of each kind to order in each data centre."""
    places = sorted(snapshot.scaling.prices, key=snapshot.scaling.prices.get)
    safe = _plan_safe(snapshot, places)
    reclaimable = _plan_reclaimable(snapshot, places, safe)
    plan = {Kind(place, True): count for place, count in reclaimable.items()}
    return plan | {Kind(place, False): count for place, count in safe.items()}


def _plan_safe(snapshot: Snapshot, places: abc.Sequence[str]) -> dict[str, int]:
    bounds = snapshot.scaling
    ready = {place: snapshot.ready.get(Kind(place, True), 0) for place in places}
    expected = {
        place: ready[place] + snapshot.coming.get(Kind(place, True), 0)
        for place in places
    }
    # What boots spares a new order, but only what serves lets a safe one go.
    most_needed = _missing(snapshot.needed, ready)
    least_needed = _missing(snapshot.needed, expected)
    plan = {}
    for place in places:
        kept = _present(snapshot, Kind(place, False))
        if sum(ready.values()) >= snapshot.needed:
            kept = min(kept, max(0, most_needed))
        # Each data centre holds its minimum, of whichever kind.
        floor = max(0, bounds.minimum - expected[place])
        plan[place] = min(max(kept, floor), bounds.maximum)
        most_needed -= plan[place]
        least_needed -= plan[place]
    for place in places:
        room = bounds.maximum - expected[place] - plan[place]
        more = max(0, min(least_needed, room))
        plan[place] += more
        least_needed -= more
    return plan


def _missing(needed: int, counts: abc.Mapping[str, int]) -> int:
    """Return what the demand lacks now, or after the loss of one data centre."""
    total = sum(counts.values())
    after_loss = total - max(counts.values(), default=0)
    guarded = math.ceil(GUARDED_PART * needed)
    return max(0, needed - total, guarded - after_loss)


def _plan_reclaimable(
    snapshot: Snapshot, places: abc.Sequence[str], safe: abc.Mapping[str, int]
) -> dict[str, int]:
    bounds = snapshot.scaling
    if bounds.reclaimable_price is None:
        return {}
    # The loss of one data centre leaves the rest, which must carry the demand.
    share = math.ceil(snapshot.needed / max(1, len(places) - 1))
    wanted = max(bounds.minimum, min(share + 1, snapshot.needed))
    plan = {}
    for place in places:
        present = _present(snapshot, Kind(place, True))
        asked = present if place in snapshot.dry else wanted
        # Safe ones that were ordered too many never drive out what serves.
        kept = min(snapshot.ready.get(Kind(place, True), 0), asked)
        # Those that still serve take room until they have gone.
        standing = snapshot.ready.get(Kind(place, False), 0)
        room = bounds.maximum - max(safe[place], standing)
        plan[place] = max(kept, min(room, asked))
    return plan


def _present(snapshot: Snapshot, kind: Kind) -> int:
    return snapshot.ready.get(kind, 0) + snapshot.coming.get(kind, 0)
