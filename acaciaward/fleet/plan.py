"""
What the fleet should rent and give back, as plain functions over a snapshot.

The plan for a deployment is a list of steps, each with its reason in words, so
that a log line and ``acaciaward fleet plan`` can say why.
"""

import enum
import math
import typing
from collections import abc

from acaciaward import documents
from acaciaward.provider import interfaces as provider_interfaces

ON_DEMAND = "on_demand"
RECLAIMABLE = "reclaimable"
LEAVING = "leaving"
# Streams wanted for each stream that runs now.
HEADROOM = 1.3
# An instance is given back only if the rest would do for this much more, and
# one at a time, so that a dip isn't followed by a new start.
SHRINK_HEADROOM = 1.6
DEFAULT_STREAMS_PER_INSTANCE = 8
# A reclaim is charged as this many hours of the instance's price: the boot of
# the next one, and as much again for each point of recomputed-token weight.
RECLAIM_COST_HOURS = 0.2
RECOMPUTE_COST_HOURS = 0.8
# Each instance of the deployment in the same data centre makes an offer there
# look this much dearer, so that one data centre's loss leaves enough.
SPREAD_PENALTY = 0.25

Place = tuple[str, str, str]


class Action(enum.Enum):
    """What a step does."""

    START = "start"
    STOP = "stop"
    KEEP = "keep"


class Step(typing.NamedTuple):
    """One step of a plan; ``instance`` for a stop, ``offer`` for a start."""

    action: Action
    deployment: str
    reason: str
    offer: provider_interfaces.Offer | None = None
    instance: str | None = None


class FleetRule(typing.NamedTuple):
    """What the configuration lets the fleet rent for one deployment."""

    minimum: int = 0
    maximum: int = 0
    safe_minimum: int = 0
    machine_classes: tuple[str, ...] = ()
    streams_per_instance: int = DEFAULT_STREAMS_PER_INSTANCE


class Snapshot(typing.NamedTuple):
    """
    One deployment as the plan sees it.

    ``streams`` is the demand in requests at once. ``refused`` are places whose
    last start was refused and whose time to try again has not come.
    ``may_shrink`` says that demand has been low for long enough.
    """

    deployment: str
    rule: FleetRule
    weights: documents.Weights
    streams: float
    instances: abc.Sequence[provider_interfaces.CloudInstance]
    offers: abc.Sequence[provider_interfaces.Offer]
    refused: abc.Set[Place] = frozenset()
    may_shrink: bool = False


def place_of(
    offer: provider_interfaces.Offer | provider_interfaces.CloudInstance,
) -> Place:
    """Return data centre, machine class and market."""
    return (offer.data_centre, offer.machine_class, offer.market)


def wanted_count(rule: FleetRule, streams: float, *, headroom: float = HEADROOM) -> int:
    """
    Return how many instances the demand asks for, within the rule's bounds.

        wanted_count(FleetRule(1, 6, 1, (), 8), 13.0)  # 3
    """
    needed = math.ceil(headroom * streams / rule.streams_per_instance)
    return max(rule.minimum, rule.safe_minimum, min(rule.maximum, needed))


def expected_price(
    offer: provider_interfaces.Offer, weights: documents.Weights
) -> float:
    """Return the price an hour with the expected loss from reclaims."""
    recompute = weights.get("recomputed_tokens", 0.5)
    lost_hours = RECLAIM_COST_HOURS + RECOMPUTE_COST_HOURS * recompute
    return offer.price_per_hour * (1 + offer.reclaims_per_hour * lost_hours)


def choose_offer(
    snapshot: Snapshot,
    staying: abc.Sequence[provider_interfaces.CloudInstance],
    *,
    is_safe: bool,
) -> provider_interfaces.Offer | None:
    """Return the cheapest fitting offer, spread over data centres, or None."""
    counts: dict[str, int] = {}
    for instance in staying:
        is_counted = not is_safe or instance.market == ON_DEMAND
        counts[instance.data_centre] = counts.get(instance.data_centre, 0) + is_counted
    fitting = [
        offer
        for offer in snapshot.offers
        if (not is_safe or offer.market == ON_DEMAND)
        and place_of(offer) not in snapshot.refused
        and offer.machine_class
        in (snapshot.rule.machine_classes or {offer.machine_class})
    ]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda offer: (
            expected_price(offer, snapshot.weights)
            * (1 + SPREAD_PENALTY * counts.get(offer.data_centre, 0)),
            place_of(offer),
        ),
    )


def make_plan(snapshot: Snapshot) -> list[Step]:
    """Return the steps from what is rented to what is wanted."""
    staying = [one for one in snapshot.instances if one.state != LEAVING]
    wanted = wanted_count(snapshot.rule, snapshot.streams)
    safe = sum(one.market == ON_DEMAND for one in staying)
    why = f"{snapshot.streams:.1f} streams want {wanted}, {len(staying)} rented"
    steps: list[Step] = []
    for number in range(max(0, snapshot.rule.safe_minimum - safe)):
        reason = f"safe floor {snapshot.rule.safe_minimum}, {safe + number} rented"
        _add_start(steps, snapshot, staying, reason, is_safe=True)
    while len(staying) < wanted:
        if not _add_start(steps, snapshot, staying, why, is_safe=False):
            break
    enough = wanted_count(snapshot.rule, snapshot.streams, headroom=SHRINK_HEADROOM)
    if not steps and snapshot.may_shrink and len(staying) > enough:
        steps += _stop_dearest(snapshot, staying, safe, why)
    return steps or [Step(Action.KEEP, snapshot.deployment, why)]


def _add_start(
    steps: list[Step],
    snapshot: Snapshot,
    staying: list[provider_interfaces.CloudInstance],
    reason: str,
    *,
    is_safe: bool,
) -> bool:
    offer = choose_offer(snapshot, staying, is_safe=is_safe)
    if offer is None:
        why = f"{reason}; every fitting place refused lately"
        steps.append(Step(Action.KEEP, snapshot.deployment, why))
        return False
    steps.append(Step(Action.START, snapshot.deployment, reason, offer=offer))
    staying.append(_planned_instance(snapshot.deployment, offer))
    return True


def _planned_instance(
    deployment: str, offer: provider_interfaces.Offer
) -> provider_interfaces.CloudInstance:
    return provider_interfaces.CloudInstance(
        "", "", 0, *place_of(offer), deployment, client_token="", state="planned"
    )


def _stop_dearest(
    snapshot: Snapshot,
    staying: abc.Sequence[provider_interfaces.CloudInstance],
    safe: int,
    reason: str,
) -> list[Step]:
    prices = {place_of(offer): offer.price_per_hour for offer in snapshot.offers}
    stoppable = [
        one
        for one in staying
        if one.market != ON_DEMAND or safe > snapshot.rule.safe_minimum
    ]
    if not stoppable:
        return []
    dearest = max(stoppable, key=lambda one: (prices.get(place_of(one), 0.0), one.name))
    return [Step(Action.STOP, snapshot.deployment, reason, instance=dearest.name)]


def rule_of(entry: abc.Mapping[str, typing.Any]) -> FleetRule | None:
    """Return the rule of a deployment's entry, None if the fleet isn't its matter."""
    fields = entry.get("fleet")
    if not fields:
        return None
    known = {name: fields[name] for name in FleetRule._fields if name in fields}
    if "machine_classes" in known:
        known["machine_classes"] = tuple(known["machine_classes"])
    return FleetRule(**known)
