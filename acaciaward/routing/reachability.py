"""
Tracks whether this entry's own links reach the endpoints of each service.

A service is cut off from here once none of its endpoints, or of many of them, took a
connection and none sent data meanwhile. Some that can't be reached may have ended
together, and slow endpoints are silent, too: both only let ``due_probes`` name the
endpoints to connect to. While a service is cut off, these probes find out when it's
reached again.

    reachability.record_connect(endpoint, is_connected=False)
    reachability.is_cut_off("app")  # whether calls should go through a peer
"""

import enum
import logging
import math
import time
import typing
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Endpoints that must fail to connect, or all that are ready if these are fewer. The
# failure of an only one counts just beside another service's cut.
ENOUGH_ENDPOINTS = 12
# As many that fail, or all that are ready if these are fewer, let the others be probed.
SUSPICIOUS_ENDPOINTS = 3
# As many that are silent, or all that are ready, let one of them be probed.
SILENT_ENDPOINTS = 2
# Failures longer ago than this don't count, in seconds.
EVIDENCE_LIFETIME_S = 5.0
# With calls running and no data from any endpoint for this long, endpoints are probed.
SILENCE_S = 0.5
# Pause between probes of a service that is cut off, and of one that is silent.
PROBE_INTERVAL_S = 0.5
SILENT_PROBE_INTERVAL_S = 2.0

Incarnation = tuple[str, int]


class Contact(enum.Enum):
    """What is believed of the links to a service's endpoints."""

    REACHED = "reached"
    DOUBTED = "doubted"
    CUT_OFF = "cut off"


class Event(enum.Enum):
    """What changes the belief."""

    CONNECTED = "connected"
    DATA = "data"
    SILENCE = "silence"
    SOME_FAILED = "some failed"
    ENOUGH_FAILED = "enough failed"


# Connections that were opened before a cut may live on, so that data doesn't end it.
_TRANSITIONS = {
    (Contact.REACHED, Event.SILENCE): Contact.DOUBTED,
    (Contact.REACHED, Event.SOME_FAILED): Contact.DOUBTED,
    (Contact.REACHED, Event.ENOUGH_FAILED): Contact.CUT_OFF,
    (Contact.DOUBTED, Event.CONNECTED): Contact.REACHED,
    (Contact.DOUBTED, Event.DATA): Contact.REACHED,
    (Contact.DOUBTED, Event.ENOUGH_FAILED): Contact.CUT_OFF,
    (Contact.CUT_OFF, Event.CONNECTED): Contact.REACHED,
}
_MESSAGES = {
    Contact.CUT_OFF: "cut off from endpoints",
    Contact.REACHED: "reaches endpoints again",
}


class Directory(typing.Protocol):
    """The endpoints that are listed."""

    def ready(self, service: str) -> list[endpoints.Endpoint]:
        """Return the endpoints of a service that may get new work."""


class _ServiceLinks:
    """The belief about one service, and the evidence since the last contact."""

    def __init__(self, now: float):
        self.contact = Contact.REACHED
        self.changed_at = now
        self.failed_at: dict[Incarnation, float] = {}
        self.data_at = -math.inf
        self.probed_at = -math.inf
        # When a doubt was last found wrong.
        self.confirmed_at = -math.inf
        self.next_probe = 0

    def failed(self, now: float) -> set[Incarnation]:
        """Return the endpoints that took no connection lately."""
        cutoff = now - EVIDENCE_LIFETIME_S
        return {name for name, at in self.failed_at.items() if at >= cutoff}


class Reachability:
    """
    The belief about each service; ``on_cut_off`` is called with one that is cut off.

    ``is_silent`` returns whether an endpoint has work but sends no data.
    """

    def __init__(
        self,
        directory: Directory,
        is_silent: abc.Callable[[endpoints.Endpoint], bool] = lambda endpoint: False,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._directory = directory
        self._is_silent = is_silent
        self._clock = clock
        self._links: dict[str, _ServiceLinks] = {}
        self._contact_at = -math.inf
        self.on_cut_off: abc.Callable[[str], None] = lambda service: None

    @property
    def cut_off_services(self) -> list[str]:
        """The services that are cut off from here."""
        return [
            name
            for name, links in self._links.items()
            if links.contact is Contact.CUT_OFF
        ]

    @property
    def is_isolated(self) -> bool:
        """Whether a service is cut off and nothing came from any endpoint since."""
        cut_off = self.cut_off_services
        return bool(cut_off) and self._contact_at < min(
            self._links[name].changed_at for name in cut_off
        )

    def is_cut_off(self, service: str) -> bool:
        """Return whether calls to a service can't reach its endpoints from here."""
        links = self._links.get(service)
        return links is not None and links.contact is Contact.CUT_OFF

    def has_untested(self, service: str) -> bool:
        """Return whether an endpoint hasn't failed to take a connection lately."""
        links = self._links.get(service)
        failed = links.failed(self._clock()) if links is not None else set()
        return any(
            endpoint.incarnation not in failed
            for endpoint in self._directory.ready(service)
        )

    def record_connect(
        self, endpoint: endpoints.Endpoint, *, is_connected: bool
    ) -> None:
        """Record that an endpoint took a connection or that it couldn't be reached."""
        now = self._clock()
        links = self._links_of(endpoint.service)
        if is_connected:
            self._contact_at = now
            links.failed_at.clear()
            if links.contact is Contact.DOUBTED:
                links.confirmed_at = now
            self._apply(endpoint.service, Event.CONNECTED)
            return
        links.failed_at[endpoint.incarnation] = now
        self._weigh_failures(endpoint.service, links)

    def record_data(self, service: str) -> None:
        """Record that an endpoint of a service sent data."""
        self._contact_at = self._clock()
        links = self._links_of(service)
        links.data_at = self._contact_at
        if links.contact is not Contact.CUT_OFF:
            links.failed_at.clear()
            self._apply(service, Event.DATA)

    def due_probes(self) -> list[endpoints.Endpoint]:
        """Return the endpoints to connect to now, so as to learn if they're reached."""
        now = self._clock()
        found = []
        for service, links in list(self._links.items()):
            ready = self._directory.ready(service)
            if not ready:
                self._forget(service)
                continue
            self._doubt_if_silent(service, links, ready, now)
            found += self._due_probes_of(links, ready, now)
        return found

    def _due_probes_of(
        self, links: _ServiceLinks, ready: list[endpoints.Endpoint], now: float
    ) -> list[endpoints.Endpoint]:
        if links.contact is Contact.REACHED:
            return []
        failed = links.failed(now)
        interval_s, count = PROBE_INTERVAL_S, 1
        if links.contact is Contact.DOUBTED and not failed:
            interval_s = SILENT_PROBE_INTERVAL_S
        elif links.contact is Contact.DOUBTED:
            # Some have failed: the others follow together.
            untested = [one for one in ready if one.incarnation not in failed]
            failed_count = len(ready) - len(untested)
            count = max(1, _enough(len(ready)) - failed_count)
            if untested:
                ready = untested
        if now - links.probed_at < interval_s or not ready:
            return []
        links.probed_at = now
        links.next_probe += count
        return [
            ready[(links.next_probe + offset) % len(ready)]
            for offset in range(min(count, len(ready)))
        ]

    def _doubt_if_silent(
        self,
        service: str,
        links: _ServiceLinks,
        ready: list[endpoints.Endpoint],
        now: float,
    ) -> None:
        if links.contact is not Contact.REACHED or now - self._contact_at < SILENCE_S:
            return
        silent = sum(self._is_silent(endpoint) for endpoint in ready)
        if silent >= min(SILENT_ENDPOINTS, len(ready)):
            self._apply(service, Event.SILENCE)

    def _weigh_failures(self, service: str, links: _ServiceLinks) -> None:
        now = self._clock()
        ready = {one.incarnation for one in self._directory.ready(service)}
        failed_count = len(links.failed(now) & ready)
        is_single = len(ready) == 1
        if is_single and not any(name != service for name in self.cut_off_services):
            return
        # Endpoints that take no more connections may serve on those that are open.
        has_data = now - links.data_at < SILENCE_S
        if failed_count >= _enough(len(ready)) and not has_data:
            self._apply(service, Event.ENOUGH_FAILED)
            return
        was_confirmed = now - links.confirmed_at < SILENT_PROBE_INTERVAL_S
        if failed_count >= SUSPICIOUS_ENDPOINTS and not was_confirmed:
            self._apply(service, Event.SOME_FAILED)

    def _apply(self, service: str, event: Event) -> None:
        links = self._links[service]
        contact = _TRANSITIONS.get((links.contact, event))
        if contact is None:
            return
        was_cut_off = links.contact is Contact.CUT_OFF
        links.contact = contact
        links.changed_at = now = self._clock()
        if contact is Contact.CUT_OFF or was_cut_off:
            log.warning(
                _MESSAGES[contact],
                extra=logs.fields(service=service, failed=len(links.failed(now))),
            )
        if contact is Contact.CUT_OFF:
            self.on_cut_off(service)

    def _forget(self, service: str) -> None:
        """Drop the belief about a service without endpoints that are ready."""
        if self._links.pop(service).contact is Contact.CUT_OFF:
            log.info("no endpoint left to reach", extra=logs.fields(service=service))

    def _links_of(self, service: str) -> _ServiceLinks:
        if service not in self._links:
            self._links[service] = _ServiceLinks(self._clock())
        return self._links[service]


def _enough(ready_count: int) -> int:
    """Return how many of the endpoints that are ready must fail to connect."""
    return max(1, min(ENOUGH_ENDPOINTS, ready_count))
