"""
The operator's orders, and the plans by which the holder of the duties follows them.

An order is identified by its place in the store's topic: its era, and the offset up to
which it is known to be the newest. A plan's number, the fence of the holder's tenure
and a step, rises with each change.
"""

import enum
import typing

from acaciaward.rollouts import messages


class Phase(enum.Enum):
    """
    How far a roll-out is; the values are sent and recorded.

    In a ``TRIAL`` the target gets a share of the new requests, at ``FULL`` all of them
    while the old endpoints finish theirs. The last two phases are final.
    """

    TRIAL = "trial"
    FULL = "full"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


FINAL_PHASES = frozenset({Phase.COMPLETED, Phase.ROLLED_BACK})
# Phases in which new requests go to the target only.
WHOLE_PHASES = frozenset({Phase.FULL, Phase.COMPLETED})


# Reports, summaries and relays confirm a plan within 0.75 s. An entry that has heard no
# confirmation for this long may have missed that the trial failed.
PLAN_LIFETIME_S = 2.0


class Order(typing.NamedTuple):
    """
    The operator's request to move a service to ``target``, empty if it was withdrawn.

    ``place`` is the era and the offset up to which the order is known to be the newest.
    ``is_exact`` means that the offset is that of the order itself, which a listing
    doesn't tell. ``ordered_at`` is the Unix time at which an entry read it first.
    """

    service: str
    target: str
    duration_s: float
    ordered_at: float
    place: tuple[int, int]
    is_exact: bool

    @property
    def deadline(self) -> float:
        """The Unix time by which the roll-out should have ended."""
        return self.ordered_at + self.duration_s

    def is_same(self, other: "Order") -> bool:
        """
        Return whether a later reading may be of the same order.

        Records with equal fields are different orders only if their places prove it:
        an entry that stood still, or lists the topic again, reads an order late.
        """
        if self[:3] != other[:3]:
            return False
        early, late = sorted((self, other), key=lambda order: order.place)
        is_other_era = early.place[0] != late.place[0]
        return is_other_era or not late.is_exact or late.place[1] <= early.place[1]


def newer_order(known: Order | None, read: Order) -> Order:
    """Return the order that counts of one that is known and one that was read."""
    if known is None:
        return read
    if known.is_same(read):
        # The first reading is nearest to the operator's time. A place in a later era
        # replaces that of the era before, whose offsets mean nothing any more.
        first = min(known, read, key=lambda order: order.ordered_at)
        if known.place[0] == read.place[0]:
            return first if first is not known else known
        return first._replace(place=max(known.place, read.place))
    return max(known, read, key=lambda order: order.place)


class Plan(typing.NamedTuple):
    """
    What all entries do about an order.

    ``share`` is the target's share of new requests. ``excluded`` are versions whose own
    roll-outs did not complete; they get no new requests. ``is_reported`` is set once
    the final state was written for the operator.
    """

    order: Order
    number: tuple[int, int]
    phase: Phase
    share: float
    reason: str
    excluded: tuple[str, ...] = ()
    is_reported: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self.phase in FINAL_PHASES

    def follows(self, order: Order) -> bool:
        """Return whether the plan is about an order, or a later one."""
        return self.order.is_same(order) or self.order.place >= order.place

    def share_after(self, age_s: float) -> float:
        """Return the target's share at an entry that heard the plan so long ago."""
        is_outdated = self.phase is Phase.TRIAL and age_s > PLAN_LIFETIME_S
        return 0.0 if is_outdated else self.share

    def to_fields(self) -> messages.PlanFields:
        """Return the plan as it is sent and recorded."""
        return {
            "order": order_fields(self.order),
            "number": self.number,
            "phase": self.phase.value,
            "share": self.share,
            "reason": self.reason,
            "excluded": list(self.excluded),
            "is_reported": self.is_reported,
        }


def plan_of(fields: messages.PlanFields) -> Plan:
    """Return a plan that was sent or recorded; raise ``ValueError`` if it's invalid."""
    share = fields["share"]
    if not 0 <= share <= 1:
        raise ValueError(f"share {share}")
    return Plan(
        order_of(fields["order"]),
        tuple(fields["number"]),
        Phase(fields["phase"]),
        share,
        fields["reason"],
        tuple(fields["excluded"]),
        fields["is_reported"],
    )


def order_fields(order: Order) -> messages.OrderFields:
    """Return an order as it is sent and recorded."""
    return order._asdict()


def order_of(fields: messages.OrderFields) -> Order:
    """Return an order that was sent or recorded."""
    return Order(**{**fields, "place": tuple(fields["place"])})


def newer_plan(known: Plan | None, read: Plan) -> Plan:
    """
    Return the plan that counts of two for a service.

    The highest number wins, but a final state is never reversed: an entry may hold it
    that a new holder, who continues from the store's record, hasn't heard of.
    """
    if known is None:
        return read
    if known.order.is_same(read.order) and known.is_final != read.is_final:
        return known if known.is_final else read
    return max(known, read, key=lambda plan: plan.number)
