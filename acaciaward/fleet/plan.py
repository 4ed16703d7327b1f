"""
Plans which instances a deployment rents and releases, as pure functions of a snapshot.

A plan is a list of steps. Each step has a reason in words, which the log and
``acaciaward fleet plan`` show. "Safe" instances are those of the on-demand market,
which the cloud doesn't reclaim.
"""

import enum
import math
import typing
from collections import abc

from acaciaward import documents
from acaciaward.provider import interfaces as provider_interfaces

ON_DEMAND = "on_demand"
RECLAIMABLE = "reclaimable"
LEAVING_STATE = "leaving"
# Streams to have capacity for, for each stream that runs now.
HEADROOM_FACTOR = 1.3
# An instance is released only if the remaining ones could carry this multiple of the
# demand, and one at a time, so that a short dip isn't followed by a new start.
SHRINK_HEADROOM_FACTOR = 1.6
DEFAULT_STREAMS_PER_INSTANCE = 8
# Cost of a reclaim in hours of the instance's price: a fixed part for booting the
# replacement, and a part that is multiplied by the weight of recomputed tokens.
RECLAIM_COST_HOURS = 0.2
RECOMPUTE_COST_HOURS = 0.8
# Each instance that the deployment has in a data centre raises the compared price of
# offers there by this share, so that the loss of one data centre leaves enough.
SPREAD_PENALTY = 0.25

# Data centre, machine class and market of an offer.
Place = tuple[str, str, str]


class Action(enum.Enum):
    """What a step does."""

    START = "start"
    STOP = "stop"
    KEEP = "keep"


class Step(typing.NamedTuple):
    """One step of a plan; a start has an ``offer``, a stop an ``instance``."""

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
    The state of one deployment that its plan is computed from.

    ``streams`` is the demand in concurrent requests. ``refused`` are places whose
    last start was refused and whose retry delay has not passed. ``may_shrink`` is
    true once demand has been observed long enough to release instances.
    """

    deployment: str
    rule: FleetRule
    weights: documents.CostWeights
    streams: float
    instances: abc.Sequence[provider_interfaces.CloudInstance]
    offers: abc.Sequence[provider_interfaces.Offer]
    refused: abc.Set[Place] = frozenset()
    may_shrink: bool = False


def place_of(
    offer: provider_interfaces.Offer | provider_interfaces.CloudInstance,
) -> Place:
    """Return the data centre, machine class and market of an offer or instance."""
    return (offer.data_centre, offer.machine_class, offer.market)


def desired_count(
    rule: FleetRule, streams: float, *, headroom: float = HEADROOM_FACTOR
) -> int:
    """
    Return how many instances the demand needs, within the rule's bounds.

        desired_count(FleetRule(1, 6, 1, (), 8), 13.0)  # 3
    """
    needed = math.ceil(headroom * streams / rule.streams_per_instance)
    return max(rule.minimum, rule.safe_minimum, min(rule.maximum, needed))


def expected_price(
    offer: provider_interfaces.Offer, weights: documents.CostWeights
) -> float:
    """Return the price per hour, including the expected cost of reclaims."""
    recompute = weights.get("recomputed_tokens", 0.5)
    lost_hours = RECLAIM_COST_HOURS + RECOMPUTE_COST_HOURS * recompute
    return offer.price_per_hour * (1 + offer.reclaims_per_hour * lost_hours)


def choose_offer(
    snapshot: Snapshot,
    remaining: abc.Sequence[provider_interfaces.CloudInstance],
    *,
    is_safe: bool,
) -> provider_interfaces.Offer | None:
    """
    Return the offer with the lowest expected price, or None if none fits.

    Data centres with many of the ``remaining`` instances are penalised. If ``is_safe``,
    only on-demand offers fit.
    """
    counts: dict[str, int] = {}
    for instance in remaining:
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
    """Return the steps that bring the rented instances to the desired count."""
    remaining = [
        instance for instance in snapshot.instances if instance.state != LEAVING_STATE
    ]
    desired = desired_count(snapshot.rule, snapshot.streams)
    on_demand = sum(instance.market == ON_DEMAND for instance in remaining)
    demand_reason = (
        f"{snapshot.streams:.1f} streams want {desired}, {len(remaining)} rented"
    )
    steps: list[Step] = []
    for number in range(max(0, snapshot.rule.safe_minimum - on_demand)):
        reason = f"safe floor {snapshot.rule.safe_minimum}, {on_demand + number} rented"
        _add_start(steps, snapshot, remaining, reason, is_safe=True)
    while len(remaining) < desired:
        if not _add_start(steps, snapshot, remaining, demand_reason, is_safe=False):
            break
    enough = desired_count(
        snapshot.rule, snapshot.streams, headroom=SHRINK_HEADROOM_FACTOR
    )
    if not steps and snapshot.may_shrink and len(remaining) > enough:
        steps += _stop_most_expensive(snapshot, remaining, on_demand, demand_reason)
    return steps or [Step(Action.KEEP, snapshot.deployment, demand_reason)]


def _add_start(
    steps: list[Step],
    snapshot: Snapshot,
    remaining: list[provider_interfaces.CloudInstance],
    reason: str,
    *,
    is_safe: bool,
) -> bool:
    offer = choose_offer(snapshot, remaining, is_safe=is_safe)
    if offer is None:
        refusal_reason = f"{reason}; every fitting place refused lately"
        steps.append(Step(Action.KEEP, snapshot.deployment, refusal_reason))
        return False
    steps.append(Step(Action.START, snapshot.deployment, reason, offer=offer))
    remaining.append(_planned_instance(snapshot.deployment, offer))
    return True


def _planned_instance(
    deployment: str, offer: provider_interfaces.Offer
) -> provider_interfaces.CloudInstance:
    return provider_interfaces.CloudInstance(
        "", "", 0, *place_of(offer), deployment, client_token="", state="planned"
    )


def _stop_most_expensive(
    snapshot: Snapshot,
    remaining: abc.Sequence[provider_interfaces.CloudInstance],
    on_demand: int,
    reason: str,
) -> list[Step]:
    prices = {place_of(offer): offer.price_per_hour for offer in snapshot.offers}
    stoppable = [
        instance
        for instance in remaining
        if instance.market != ON_DEMAND or on_demand > snapshot.rule.safe_minimum
    ]
    if not stoppable:
        return []
    most_expensive = max(
        stoppable,
        key=lambda instance: (prices.get(place_of(instance), 0.0), instance.name),
    )
    return [
        Step(Action.STOP, snapshot.deployment, reason, instance=most_expensive.name)
    ]


def rule_of(deployment_entry: abc.Mapping[str, typing.Any]) -> FleetRule | None:
    """Return a deployment's fleet rule, or None if the fleet doesn't manage it."""
    fields = deployment_entry.get("fleet")
    if not fields:
        return None
    known = {name: fields[name] for name in FleetRule._fields if name in fields}
    if "machine_classes" in known:
        known["machine_classes"] = tuple(known["machine_classes"])
    return FleetRule(**known)
