"""What entries tell each other of roll-outs, in reports, summaries and relays."""

import typing


class OrderFields(typing.TypedDict):
    """An order; ``plans.Order`` documents the fields."""

    service: str
    target: str
    duration_s: float
    ordered_at: float
    place: tuple[int, int]
    is_exact: bool


class PlanFields(typing.TypedDict):
    """A plan; ``plans.Plan`` documents the fields."""

    order: OrderFields
    number: tuple[int, int]
    phase: str
    share: float
    reason: str
    excluded: list[str]
    is_reported: bool


class News(typing.TypedDict):
    """
    What is known of roll-outs; sent only where there is an order.

    ``orders`` and ``plans`` have services as keys; with a plan goes the time since the
    holder stated it last. ``counts`` holds a service's figures by version and route,
    as long as its roll-out hasn't ended. ``acknowledged`` is the lowest number of the
    plans that the entries behind the message follow, missing if one follows none, and
    ``entries`` is the number of these entries.
    """

    orders: dict[str, OrderFields]
    plans: dict[str, tuple[PlanFields, float]]
    counts: dict[str, list[tuple[str, str, tuple[int, ...]]]]
    acknowledged: dict[str, tuple[int, int]]
    entries: int
