"""
Defines the catalogue, one version of the routing configuration, and its look-ups.

    index = routes.Index(catalogue)
    route = index.find_route("shop.example", "/orders/2f")
    organisation = index.organisation_of("a-key")
"""

import enum
import functools
import typing
from collections import abc


class RequestKind(enum.Enum):
    """Whether a request may run again: always, never, or by resuming its stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class Route(typing.NamedTuple):
    """
    Which requests go to which services, and under which limits.

    ``shares`` lists services with their weights. ``rank`` 0 is the most urgent.
    ``timeout_s`` limits the time to the complete answer, ``target_s`` is the latency
    objective and ``max_gap_s`` the longest allowed pause between events of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    rank: int
    shares: tuple[tuple[str, float], ...]
    max_attempts: int
    is_anonymous: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    max_gap_s: float | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be sent again although it may have run already."""
        return self.kind is RequestKind.IDEMPOTENT or self.is_resumable


class Engine(typing.NamedTuple):
    """Capacity of a model engine: concurrent requests and KV cache tokens."""

    slots: int
    kv_tokens: int


class Scaling(typing.NamedTuple):
    """
    Limits and prices of a service's rented endpoints.

    ``minimum`` and ``maximum`` bound their number in each data centre, ``boot_s`` is
    how long one takes to start and ``prices`` holds the price by data centre.
    ``reclaimable_price`` is the fraction of the price that a reclaimable endpoint
    costs, or None if there are none.
    """

    minimum: int
    maximum: int
    boot_s: float
    reclaimable_price: float | None
    prices: abc.Mapping[str, float]


class Service(typing.NamedTuple):
    """One pool of endpoints; ``max_connections`` is per endpoint."""

    name: str
    max_connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None


class Quota(typing.NamedTuple):
    """A token bucket; units are tokens where ``counts_tokens``, else requests."""

    rate: float
    burst: float
    counts_tokens: bool = False
    default_tokens: float = 1.0


class Organisation(typing.NamedTuple):
    """A customer; ``rank`` overrides that of the routes."""

    name: str
    keys: frozenset[str]
    rank: int | None = None
    quota: Quota | None = None


class Limits(typing.NamedTuple):
    """Limits for callers: sizes in bytes, times to send or stay idle in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_s: float = 3.0
    idle_s: float = 15.0


class Catalogue(typing.NamedTuple):
    """One immutable version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: abc.Mapping[str, Service] = {}
    organisations: abc.Mapping[str, Organisation] = {}
    limits: Limits = Limits()

    @property
    def has_organisations(self) -> bool:
        """Whether requests need an API key."""
        return bool(self.organisations)


class Index:
    """Look-up tables of a catalogue, built once for each version."""

    def __init__(self, catalogue: Catalogue):
        self.catalogue = catalogue
        self._by_host: dict[str, list[Route]] = {}
        for route in catalogue.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._by_key = {
            key: organisation
            for organisation in catalogue.organisations.values()
            for key in organisation.keys
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path, if any."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation_of(self, key: str) -> Organisation | None:
        """Return the organisation that an API key belongs to, if any."""
        return self._by_key.get(key)

    @functools.cached_property
    def resumable_services(self) -> frozenset[str]:
        """The names of the services with streams that callers may take up."""
        return frozenset(
            name
            for route in self.catalogue.routes
            if route.is_resumable
            for name, _ in route.shares
        )

    @functools.cached_property
    def longest_stream_s(self) -> float:
        """The longest time for which a stream that callers may take up can run."""
        return max(
            (route.timeout_s for route in self.catalogue.routes if route.is_resumable),
            default=0.0,
        )

    def shortest_gap_s(self, service: str) -> float | None:
        """Return the shortest pause allowed between a service's events, if any is."""
        return self._shortest_gaps.get(service)

    @functools.cached_property
    def _shortest_gaps(self) -> dict[str, float]:
        gaps: dict[str, float] = {}
        for route in self.catalogue.routes:
            if not route.max_gap_s:
                continue
            for name, _ in route.shares:
                gaps[name] = min(route.max_gap_s, gaps.get(name, route.max_gap_s))
        return gaps

    @functools.cached_property
    def scaled_services(self) -> list[Service]:
        """The services whose endpoints are rented."""
        services = self.catalogue.services.values()
        return [service for service in services if service.scaling is not None]
