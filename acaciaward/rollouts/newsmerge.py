"""Merges what several entries tell of roll-outs."""

import logging
import typing
from collections import abc

from acaciaward.observability import logs
from acaciaward.rollouts import figures, messages, plans

log = logging.getLogger(__name__)


class StatedPlan(typing.NamedTuple):
    """A plan, and the time since the holder stated it last."""

    plan: plans.Plan
    age_s: float


class _Part(typing.NamedTuple):
    news: messages.News
    silent_s: float


def merge(
    received: abc.Iterable[tuple[messages.News | None, float]],
) -> messages.News | None:
    """
    Return the news of several messages and the times since they came, None without any.

    An entry whose message has no news knows no order; so nobody can say that all
    follow a plan.
    """
    messages_received = list(received)
    parts = [_Part(news, silent_s) for news, silent_s in messages_received if news]
    if not parts:
        return None
    is_whole = len(parts) == len(messages_received)
    return {
        "orders": _merge_orders(parts),
        "plans": _merge_plans(parts),
        "counts": _merge_counts(parts),
        "acknowledged": _merge_numbers(parts) if is_whole else {},
        "entries": sum(part.news["entries"] for part in parts),
    }


def _merge_orders(parts: abc.Iterable[_Part]) -> dict[str, messages.OrderFields]:
    newest: dict[str, plans.Order] = {}
    for part in parts:
        for service, fields in part.news["orders"].items():
            order = plans.order_of(fields)
            newest[service] = plans.newer_order(newest.get(service), order)
    return {service: plans.order_fields(order) for service, order in newest.items()}


def read_plans(news: messages.News, silent_s: float = 0.0) -> dict[str, StatedPlan]:
    """Return the valid plans of a message by service."""
    found = {}
    for service, (fields, age_s) in news["plans"].items():
        try:
            found[service] = StatedPlan(plans.plan_of(fields), age_s + silent_s)
        except ValueError as error:
            log.warning(
                "plan of a roll-out is invalid",
                extra=logs.fields(service=service, reason=error),
            )
    return found


def newer(known: StatedPlan | None, read: StatedPlan) -> StatedPlan:
    """Return the plan that counts, with the time since it was stated last."""
    if known is None:
        return read
    if known.plan.number == read.plan.number:
        return min(known, read, key=lambda stated: stated.age_s)
    newest = plans.newer_plan(known.plan, read.plan)
    return known if newest is known.plan else read


def _merge_plans(
    parts: abc.Iterable[_Part],
) -> dict[str, tuple[messages.PlanFields, float]]:
    newest: dict[str, StatedPlan] = {}
    for part in parts:
        for service, stated in read_plans(part.news, part.silent_s).items():
            newest[service] = newer(newest.get(service), stated)
    return {
        service: (stated.plan.to_fields(), round(stated.age_s, 3))
        for service, stated in newest.items()
    }


def read_counts(
    news: messages.News, service: str
) -> dict[figures.Key, figures.Figures]:
    """Return a service's counts by version and route."""
    return {
        (version, route): figures.of_row(row)
        for version, route, row in news["counts"].get(service, ())
    }


def write_counts(
    counts: figures.Counts,
) -> list[tuple[str, str, tuple[int, ...]]]:
    """Return a service's counts as they are sent."""
    return [
        (version, route, figures.to_row())
        for (version, route), figures in sorted(counts.items())
    ]


def _merge_counts(
    parts: abc.Sequence[_Part],
) -> dict[str, list[tuple[str, str, tuple[int, ...]]]]:
    services = {service for part in parts for service in part.news["counts"]}
    return {
        service: write_counts(
            figures.add(read_counts(part.news, service) for part in parts)
        )
        for service in services
    }


def _merge_numbers(parts: abc.Sequence[_Part]) -> dict[str, tuple[int, int]]:
    services = set.intersection(*(set(part.news["acknowledged"]) for part in parts))
    return {
        service: min(tuple(part.news["acknowledged"][service]) for part in parts)
        for service in services
    }
