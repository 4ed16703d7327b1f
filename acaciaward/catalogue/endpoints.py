"""
The endpoints that exist, as their own entries in the platform's store say.

An endpoint that lapsed while the store was away may still live, so removals that
are seen around an outage are held back for a moment: such an endpoint gets work only
if there is no other. An endpoint that starts again under its old name is another
incarnation, of which nothing is known.
"""

import enum
import logging
import typing
from collections import abc

from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Living endpoints are back within about two seconds of the store's return.
LAPSE_HOLD_S = 2.0
# An outage is over for certain when the store has answered for this long.
OUTAGE_MEMORY_S = 3.0


class EndpointState(enum.Enum):
    """Whether new work may go to an endpoint."""

    READY = "ready"
    LEAVING = "leaving"


class Endpoint(typing.NamedTuple):
    """
    One server of a service.

    ``born`` is the Unix millisecond of its start, 0 if it isn't told. ``cold_s``
    is how much longer it is slow, ``leaves_s`` the time left as of its report.
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

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start: what tells two lives under one name apart."""
        return (self.name, self.born)


class Directory:
    """Knows the endpoints; fed with changes, asked by routing and the fleet."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._endpoints: dict[str, Endpoint] = {}
        self._leaving_since: dict[str, float] = {}
        self._removals: dict[str, float] = {}
        self._mismatched: set[tuple[str, int]] = set()
        self._outage_seen = -OUTAGE_MEMORY_S
        self._listeners: list[abc.Callable[[Endpoint | None, Endpoint | None], None]]
        self._listeners = []

    def subscribe(
        self, listener: abc.Callable[[Endpoint | None, Endpoint | None], None]
    ) -> None:
        """Call a listener with the old and the new state of each change."""
        self._listeners.append(listener)

    def note_outage(self) -> None:
        """Remember that the store has just failed to answer."""
        self._outage_seen = self._clock()

    def put(self, endpoint: Endpoint) -> None:
        """Take what an endpoint says of itself."""
        self._removals.pop(endpoint.name, None)
        known = self._endpoints.get(endpoint.name)
        if known == endpoint:
            return
        self._endpoints[endpoint.name] = endpoint
        if endpoint.state is EndpointState.LEAVING:
            self._leaving_since.setdefault(endpoint.name, self._clock())
        else:
            self._leaving_since.pop(endpoint.name, None)
        is_news = known is None or (
            known._replace(cold_s=0.0) != endpoint._replace(cold_s=0.0)
        )
        if is_news:
            log.info(
                "endpoint seen",
                extra=logs.fields(
                    endpoint=endpoint.name,
                    service=endpoint.service,
                    state=endpoint.state.value,
                    born=endpoint.born,
                    data_centre=endpoint.data_centre,
                    reclaimable=endpoint.is_reclaimable,
                    leaves_s=endpoint.leaves_s,
                ),
            )
        self._tell(known, endpoint)

    def remove(self, name: str, reason: str) -> None:
        """Take an endpoint out, a little later if the store was just away."""
        if name not in self._endpoints:
            return
        now = self._clock()
        if now - self._outage_seen < OUTAGE_MEMORY_S:
            self._removals.setdefault(name, now + LAPSE_HOLD_S)
            log.info(
                "endpoint lapsed around an outage",
                extra=logs.fields(endpoint=name, hold_s=LAPSE_HOLD_S),
            )
            return
        self._drop(name, reason)

    def remove_now(self, name: str, reason: str) -> None:
        """Take an endpoint out at once, as its entry can't be read, say."""
        self._drop(name, reason)

    def replace_all(self, endpoints: abc.Iterable[Endpoint]) -> None:
        """Take a whole listing; what it lacks is removed."""
        found = {endpoint.name: endpoint for endpoint in endpoints}
        for name in list(self._endpoints):
            if name not in found:
                self.remove(name, "missing in the listing")
        for endpoint in found.values():
            self.put(endpoint)

    @property
    def held_back(self) -> list[str]:
        """The names of the endpoints whose removal is held back."""
        return list(self._removals)

    def hold_back(self, names: abc.Collection[str]) -> None:
        """Hold back the same removals as another entry that reads the store."""
        due = self._clock() + LAPSE_HOLD_S
        held = {name: due for name in names if name in self._endpoints}
        self._removals = {
            name: self._removals.get(name, at) for name, at in held.items()
        }

    def expire(self) -> None:
        """Carry out the removals that were held back long enough."""
        now = self._clock()
        for name, due in list(self._removals.items()):
            if due <= now:
                del self._removals[name]
                self._drop(name, "lapsed and not back")

    def note_mismatch(self, endpoint: Endpoint) -> None:
        """Remember that another server answers at the endpoint's address."""
        self._mismatched.add(endpoint.incarnation)

    def get(self, name: str) -> Endpoint | None:
        """Return an endpoint by its name."""
        return self._endpoints.get(name)

    def all(self) -> list[Endpoint]:
        """Return every endpoint."""
        return list(self._endpoints.values())

    def of_service(self, service: str) -> list[Endpoint]:
        """Return all endpoints of a service, those that leave included."""
        return [one for one in self._endpoints.values() if one.service == service]

    def ready(self, service: str) -> list[Endpoint]:
        """Return the endpoints that may get new work."""
        return [
            one
            for one in self._endpoints.values()
            if one.service == service
            and one.state is EndpointState.READY
            and one.incarnation not in self._mismatched
            and one.name not in self._removals
        ]

    def lapsed(self, service: str) -> list[Endpoint]:
        """Return those whose removal is held back: the last resort."""
        return [
            one
            for one in self.of_service(service)
            if one.name in self._removals and one.incarnation not in self._mismatched
        ]

    def _drop(self, name: str, reason: str) -> None:
        self._removals.pop(name, None)
        known = self._endpoints.pop(name, None)
        self._leaving_since.pop(name, None)
        if known is None:
            return
        self._mismatched.discard(known.incarnation)
        log.info("endpoint gone", extra=logs.fields(endpoint=name, reason=reason))
        self._tell(known, None)

    def _tell(self, before: Endpoint | None, after: Endpoint | None) -> None:
        for listener in self._listeners:
            listener(before, after)
