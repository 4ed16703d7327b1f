"""
Tracks departures: the instances that are about to end, from all sources.

A departure is announced by the cloud's notice, the platform's instance list, the
engine itself or another entry. It is published as a hint, which spreads by gossip;
routing excludes the endpoint as soon as this entry has the hint.
"""

import asyncio
import logging
import time
import typing
from collections import abc

import prometheus_client

from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import logs

log = logging.getLogger(__name__)

RETENTION_AFTER_DEADLINE_S = 15.0

DEPARTURES = prometheus_client.Counter(
    "acaciaward_departures_total",
    "Leaving instances by who announced them first here",
    ["source"],
)


class Departure(typing.NamedTuple):
    """
    The announced end of an instance, at ``deadline`` of the monotonic clock.

    The deadline is firm if the cloud's notice gave it. Otherwise it is an assumption,
    which a firm deadline replaces.
    """

    instance: str
    deadline: float
    is_firm: bool


Listener = abc.Callable[[Departure], None]


class Departures:
    """
    The instances that this entry knows to be leaving.

        departures.announce("engine-3", time.time() + 5, source="notice")
        departures.is_leaving("engine-3")  # True
    """

    def __init__(
        self,
        hints: membership_interfaces.Hints,
        *,
        publish_hints: abc.Callable[[], abc.Awaitable[None]] | None = None,
    ):
        self._hints = hints
        self._publish_hints = publish_hints
        self._known: dict[str, Departure] = {}
        self._listeners: list[Listener] = []
        self._publish_task: asyncio.Task | None = None
        hints.subscribe(
            membership_interfaces.HintKind.ENDPOINT_LEAVING, self._receive_hint
        )

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` with each departure that is new or has a new deadline."""
        self._listeners.append(listener)

    def is_leaving(self, instance: str) -> bool:
        """Return whether an instance is leaving or has just left."""
        return self._find_current(instance) is not None

    def _find_current(self, instance: str) -> Departure | None:
        known = self._known.get(instance)
        if known is None:
            return None
        if known.deadline + RETENTION_AFTER_DEADLINE_S < time.monotonic():
            del self._known[instance]
            return None
        return known

    def _remove_expired(self) -> None:
        for instance in list(self._known):
            self._find_current(instance)

    def deadline_of(self, instance: str) -> float | None:
        """Return when a leaving instance ends, by the monotonic clock, or None."""
        known = self._find_current(instance)
        return known.deadline if known else None

    def announce(
        self, instance: str, deadline: float, *, source: str, is_firm: bool = False
    ) -> None:
        """Publish that an instance ends at ``deadline``, in Unix seconds, if new."""
        left_s = deadline - time.time()
        if left_s <= -RETENTION_AFTER_DEADLINE_S or not self._is_update(
            instance, is_firm
        ):
            return
        log.info(
            "instance leaving",
            extra=logs.fields(instance=instance, left_s=left_s, source=source),
        )
        DEPARTURES.labels(source).inc()
        self._hints.publish(
            membership_interfaces.HintKind.ENDPOINT_LEAVING,
            instance,
            {"deadline": deadline, "firm": is_firm},
            lifetime_s=max(0.0, left_s) + RETENTION_AFTER_DEADLINE_S,
        )
        if self._publish_hints is not None:
            self._publish_task = asyncio.ensure_future(self._publish_hints())

    def _is_update(self, instance: str, is_firm: bool) -> bool:
        known = self._find_current(instance)
        if known is None:
            return True
        if known.is_firm:
            return False
        # An assumed deadline that has passed is replaced by a new one, as long as
        # the instance is still reported as leaving.
        return is_firm or known.deadline < time.monotonic()

    def _receive_hint(self, hint: membership_interfaces.Hint) -> None:
        deadline = hint.value.get("deadline")
        is_firm = hint.value.get("firm") is True
        is_number = isinstance(deadline, int | float)
        if not is_number or not self._is_update(hint.subject, is_firm):
            return
        self._remove_expired()
        left_s = deadline - time.time()
        departure = Departure(hint.subject, time.monotonic() + left_s, is_firm)
        self._known[hint.subject] = departure
        for listener in self._listeners:
            listener(departure)
