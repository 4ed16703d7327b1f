"""
Tracks the existing endpoints by the records that they keep in the platform's store.

An endpoint lapses when its record expires because it wasn't renewed. During an outage
of the store that happens to live endpoints, too, so removals seen around an outage are
deferred for ``REMOVAL_DEFERRAL_S``: meanwhile, a lapsed endpoint gets work only if
there is no other. An endpoint that restarts under its old name is another incarnation,
and nothing known of the old one applies to it. One that has said it is leaving, in its
record or in an answer, is leaving whatever its record says from then on: the store may
list it as ready for seconds, lose its record, or be restored from an older copy.
"""

import enum
import logging
import math
import time
import typing
from collections import abc

from acaciaward.catalogue import statements
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Live endpoints renew their records within about two seconds of the outage's end.
REMOVAL_DEFERRAL_S = 2.0
# An outage counts as over when the store's last failure is this long ago.
OUTAGE_SETTLE_S = 3.0
# Endpoints whose records come and go between two reads this far apart may be missed.
MAX_READ_GAP_S = 2.0
# How long versions of endpoints that have ended are remembered; longer than a stream.
ENDED_VERSIONS_S = 600.0

Incarnation = statements.Incarnation


class EndpointState(enum.Enum):
    """Whether new work may go to an endpoint."""

    READY = "ready"
    LEAVING = "leaving"


class Endpoint(typing.NamedTuple):
    """
    One server of a service.

    ``born`` is its start in Unix milliseconds, 0 if not reported. ``cold_s`` is the
    rest of its warm-up, ``leaves_s`` the time left until it leaves as of its report.
    ``version`` is that of its software, empty if not reported.
    """

    name: str
    born: int
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    state: EndpointState
    cold_s: float = 0.0
    is_reclaimable: bool = False
    leaves_s: float | None = None
    version: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Name and start time, which distinguish restarts under one name."""
        return (self.name, self.born)


class Directory:
    """The endpoints known to this entry, updated by change events."""

    def __init__(
        self,
        clock: abc.Callable[[], float],
        unix_time: abc.Callable[[], float] = time.time,
    ):
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        # The states that the endpoints' records say.
        self._recorded_states: dict[str, EndpointState] = {}
        # That endpoints leave, and whether this entry knows it from themselves.
        self._departures: statements.Statements[bool]
        self._departures = statements.Statements(clock, unix_time)
        self._deferred_removals: dict[str, float] = {}
        self._mismatched: set[tuple[str, int]] = set()
        self._outage_seen_at = -OUTAGE_SETTLE_S
        # Since when no endpoint can have come and gone unseen, None before the first.
        self._known_since: float | None = None
        self._read_at = -math.inf
        # When the last endpoint of a service and version was seen that has ended.
        self._ended_versions: dict[tuple[str, str], float] = {}
        self._listeners: list[abc.Callable[[Endpoint | None, Endpoint | None], None]]
        self._listeners = []

    @property
    def announced_departures(self) -> list[Incarnation]:
        """The endpoints that told this entry that they leave, and no record says so."""
        return [
            endpoint.incarnation
            for endpoint in self._endpoints.values()
            if endpoint.state is EndpointState.LEAVING
            and self._recorded_states[endpoint.name] is EndpointState.READY
            and any(self._departures.find(endpoint.incarnation))
        ]

    def subscribe(
        self, listener: abc.Callable[[Endpoint | None, Endpoint | None], None]
    ) -> None:
        """Call a listener with the state before and after each change."""
        self._listeners.append(listener)

    def record_outage(self) -> None:
        """Record that the store has just failed to answer."""
        self._outage_seen_at = self._clock()

    def record_read(self, began_at: float, *, is_continuous: bool = False) -> None:
        """
        Record that the endpoints are known as of a read that began at ``began_at``.

        It ``is_continuous`` if it brought every change since the read before.
        """
        if not (is_continuous or self.is_continuous_at(began_at)):
            # The first read has none before it.
            if math.isfinite(self._read_at):
                log.info(
                    "endpoints weren't read for long",
                    extra=logs.fields(gap_s=round(began_at - self._read_at, 2)),
                )
            self._known_since = began_at
        self._read_at = max(self._read_at, began_at)

    def is_continuous_at(self, read_at: float) -> bool:
        """Return whether the last read was shortly before that at ``read_at``."""
        return read_at - self._read_at <= MAX_READ_GAP_S

    def update(self, endpoint: Endpoint) -> None:
        """Add or update an endpoint; one that was leaving stays so."""
        self._recorded_states[endpoint.name] = endpoint.state
        if endpoint.state is EndpointState.LEAVING:
            self._departures.record_of_start(endpoint.incarnation, True)
        elif self.is_leaving(endpoint.incarnation):
            endpoint = endpoint._replace(state=EndpointState.LEAVING)
        self._deferred_removals.pop(endpoint.name, None)
        self._set(endpoint)

    def _set(self, endpoint: Endpoint) -> None:
        previous = self._endpoints.get(endpoint.name)
        if previous == endpoint:
            return
        if self._known_since is None:
            self._known_since = self._clock()
        if previous is not None and previous.version != endpoint.version:
            self._record_end(previous)
        self._endpoints[endpoint.name] = endpoint
        is_changed = previous is None or (
            previous._replace(cold_s=0.0) != endpoint._replace(cold_s=0.0)
        )
        if is_changed:
            log.info(
                "endpoint added or changed",
                extra=logs.fields(
                    endpoint=endpoint.name,
                    service=endpoint.service,
                    state=endpoint.state.value,
                    born=endpoint.born,
                    endpoint_version=endpoint.version,
                    data_centre=endpoint.data_centre,
                    reclaimable=endpoint.is_reclaimable,
                    leaves_s=endpoint.leaves_s,
                ),
            )
        self._notify(previous, endpoint)

    def record_leaving(self, incarnation: Incarnation, *, by_peer: bool) -> None:
        """
        Record that an endpoint has said in an answer that it is leaving.

        ``by_peer`` means that it has told another entry so. Its record may be missing
        now and come back.
        """
        if by_peer:
            is_own = any(self._departures.find(incarnation))
            self._departures.record_of_start(incarnation, is_own)
        else:
            self._departures.record_answer(incarnation, True)
        endpoint = self._endpoints.get(incarnation[0])
        if endpoint is not None and self.is_leaving(endpoint.incarnation):
            self._set(endpoint._replace(state=EndpointState.LEAVING))

    def as_listed(self, endpoint: Endpoint) -> Endpoint:
        """Return an endpoint in the state that its record says."""
        state = self._recorded_states.get(endpoint.name, endpoint.state)
        return endpoint._replace(state=state)

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether an endpoint is known to be leaving, listed or not."""
        return bool(self._departures.find(incarnation))

    def remove(self, name: str, reason: str) -> None:
        """Remove an endpoint, deferred if the store was unavailable just before."""
        if name not in self._endpoints:
            return
        now = self._clock()
        if now - self._outage_seen_at < OUTAGE_SETTLE_S:
            self._deferred_removals.setdefault(name, now + REMOVAL_DEFERRAL_S)
            log.info(
                "endpoint lapsed around a store outage; removal deferred",
                extra=logs.fields(endpoint=name, hold_s=REMOVAL_DEFERRAL_S),
            )
            return
        self._drop(name, reason)

    def remove_now(self, name: str, reason: str) -> None:
        """Remove an endpoint at once, for example if its record can't be decoded."""
        self._drop(name, reason)

    def replace_all(self, endpoints: abc.Iterable[Endpoint]) -> None:
        """Apply a complete listing; endpoints missing in it are removed."""
        found = {endpoint.name: endpoint for endpoint in endpoints}
        for name in list(self._endpoints):
            if name not in found:
                self.remove(name, "missing in the listing")
        for endpoint in found.values():
            self.update(endpoint)

    @property
    def deferred_removals(self) -> list[str]:
        """The names of the endpoints whose removal is deferred."""
        return list(self._deferred_removals)

    def defer_removals(self, names: abc.Collection[str]) -> None:
        """Defer the same removals as the entry that reads the store for this one."""
        due_at = self._clock() + REMOVAL_DEFERRAL_S
        deferred = {name: due_at for name in names if name in self._endpoints}
        self._deferred_removals = {
            name: self._deferred_removals.get(name, new_due_at)
            for name, new_due_at in deferred.items()
        }

    def remove_due(self) -> None:
        """Carry out what is due: deferred removals, and ends of what was said."""
        self._end_departures()
        now = self._clock()
        for name, due_at in list(self._deferred_removals.items()):
            if due_at <= now:
                del self._deferred_removals[name]
                self._drop(name, "lapsed and not back")

    def _end_departures(self) -> None:
        """
        Use endpoints again that are listed as ready and no longer count as leaving.

        Their records don't change, so nothing else would bring them back.
        """
        for endpoint in self.all():
            is_ended = (
                endpoint.state is EndpointState.LEAVING
                and self._recorded_states[endpoint.name] is EndpointState.READY
                and not self.is_leaving(endpoint.incarnation)
            )
            if is_ended:
                self._set(endpoint._replace(state=EndpointState.READY))

    def record_mismatch(self, endpoint: Endpoint) -> None:
        """Record that another server answers at the endpoint's address."""
        self._mismatched.add(endpoint.incarnation)

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by its name."""
        return self._endpoints.get(name)

    def all(self) -> list[Endpoint]:
        """Return every endpoint."""
        return list(self._endpoints.values())

    def of_service(self, service: str) -> list[Endpoint]:
        """Return all endpoints of a service, including those that are leaving."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service
        ]

    def ready(self, service: str) -> list[Endpoint]:
        """Return the endpoints that may get new work."""
        return [
            endpoint
            for endpoint in self._endpoints.values()
            if endpoint.service == service
            and endpoint.state is EndpointState.READY
            and endpoint.incarnation not in self._mismatched
            and endpoint.name not in self._deferred_removals
        ]

    def lapsed(self, service: str) -> list[Endpoint]:
        """Return the endpoints whose removal is deferred, as the last resort."""
        return [
            endpoint
            for endpoint in self.of_service(service)
            if endpoint.name in self._deferred_removals
            and endpoint.state is EndpointState.READY
            and endpoint.incarnation not in self._mismatched
        ]

    def _drop(self, name: str, reason: str) -> None:
        self._deferred_removals.pop(name, None)
        previous = self._endpoints.pop(name, None)
        self._recorded_states.pop(name, None)
        if previous is None:
            return
        self._mismatched.discard(previous.incarnation)
        self._record_end(previous)
        log.info(
            "endpoint removed",
            extra=logs.fields(
                endpoint=name,
                reason=reason,
                born=previous.born,
                state=previous.state.value,
            ),
        )
        self._notify(previous, None)

    def _record_end(self, endpoint: Endpoint) -> None:
        now = self._clock()
        self._ended_versions = {
            key: ended_at
            for key, ended_at in self._ended_versions.items()
            if now - ended_at < ENDED_VERSIONS_S
        }
        self._ended_versions[(endpoint.service, endpoint.version)] = now

    def only_version(
        self, service: str, span_s: float, *, listed: abc.Set[str], read_at: float
    ) -> str | None:
        """
        Return the one version of a service's software in a span of time until now.

        ``listed`` are the versions of its endpoints as of a read that began at
        ``read_at``. This is None if there were several, or if an endpoint may have come
        and gone unseen within the span.
        """
        known = self.versions_within(service, span_s)
        if known is None or not self.is_continuous_at(read_at):
            return None
        versions = known | listed
        return next(iter(versions)) if len(versions) == 1 else None

    def reports_no_version(self, service: str) -> bool:
        """Return whether none of a service's endpoints has reported a version."""
        ended = {version for name, version in self._ended_versions if name == service}
        listed = {endpoint.version for endpoint in self.of_service(service)}
        return listed | ended == {""}

    def versions_within(self, service: str, span_s: float) -> frozenset[str] | None:
        """
        Return all versions of a service's software in a span of time until now.

        This is None if an endpoint may have come and gone unseen within the span.
        """
        now = self._clock()
        if self._known_since is None or now - self._known_since < span_s:
            return None
        listed = {endpoint.version for endpoint in self.of_service(service)}
        ended = {
            version
            for (name, version), ended_at in self._ended_versions.items()
            if name == service and now - ended_at < span_s
        }
        return frozenset(listed | ended)

    def _notify(self, before: Endpoint | None, after: Endpoint | None) -> None:
        for listener in self._listeners:
            listener(before, after)
