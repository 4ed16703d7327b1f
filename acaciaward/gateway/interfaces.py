"""Interfaces between forwarding and the other packages."""

import typing
from collections import abc

from acaciaward import verdicts
from acaciaward.admission import quotas, repeatbudget
from acaciaward.catalogue import endpoints, routehistory, routes, storeview
from acaciaward.gateway import callprogress, calls, selfreports, upstreams
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.quarantine import promptparts, suspects
from acaciaward.resumption import origins
from acaciaward.routing import (
    demand,
    health,
    occupancy,
    reachability,
    versionchoice,
)


class Codec(typing.Protocol):
    """Encodes and decodes the platform's headers."""

    def encode_forwarded(
        self, call: calls.Call, forwarding: calls.Forwarding
    ) -> calls.Headers:
        """Return the headers of a call for the endpoint that it is sent to."""

    def decode_reply(self, status: int, headers: calls.Headers) -> calls.ReplyHead:
        """Return the decoded head of an endpoint's answer."""

    def encode_gateway_reply(
        self,
        attempt_id: str | None,
        verdict: verdicts.Verdict,
        retry_after_s: float | None,
    ) -> calls.Headers:
        """Return the headers of an answer that the gateway itself gives."""


class DetourCodec(typing.Protocol):
    """Encodes and decodes the headers of calls that one entry sends through another."""

    def encode_call(
        self,
        call: calls.Call,
        detour: calls.Detour,
        timeout_s: float,
        last_event_id: int | None,
    ) -> calls.Headers:
        """Return the headers of a call for the peer that it is sent through."""

    def encode_reply(self, reply: calls.DetourReply) -> calls.Headers:
        """Return the headers that an answer to a peer's call has besides its own."""

    def decode_reply(self, status: int, given: calls.Headers) -> calls.ReplyHead:
        """Return the decoded head of a peer's answer."""


class Peers(typing.Protocol):
    """Chooses the peers that calls go through."""

    def choose(
        self,
        progress: callprogress.Progress,
        service: str,
        favoured: abc.Container[str] = (),
    ) -> membership_interfaces.Peer | None:
        """Return a peer for a call, rather a favoured one, None if none can help."""

    def is_any_usable(self, progress: callprogress.Progress, service: str) -> bool:
        """Return whether a call may go through a peer and there is one."""

    def is_live(self, name: str) -> bool:
        """Return whether a peer answers, as far as is known."""

    def avoid(self, name: str, service: str) -> None:
        """Leave a peer alone for a moment."""

    def record_unreached(
        self,
        service: str,
        version: versionchoice.Choice,
        incarnations: frozenset[tuple[str, int]],
    ) -> None:
        """Record that neither this entry nor a peer reaches any of the endpoints."""

    def is_unreached(
        self,
        service: str,
        version: versionchoice.Choice,
        incarnations: frozenset[tuple[str, int]],
    ) -> bool:
        """Return whether all of the endpoints were found unreached a moment ago."""


class Origins(typing.Protocol):
    """Remembers which version of an endpoint's software began a stream."""

    async def record(
        self, organisation: str, attempt_id: str, origin: origins.Origin
    ) -> None:
        """Record where a stream began; its first event may be sent afterwards."""

    def record_taken_up(
        self, organisation: str, attempt_id: str, origin: origins.Origin
    ) -> None:
        """Record where the stream began that an attempt takes up."""

    async def search(self, organisation: str, attempt_id: str) -> origins.Search:
        """Find out where a stream began."""

    async def look_up(
        self, organisation: str, attempt_id: str | None, service: str
    ) -> origins.StoredAnswer:
        """Look up in the store where a stream of a service began."""

    async def find_recorded(
        self, organisation: str, attempt_id: str
    ) -> origins.Origin | None:
        """Return where the store says that this very stream began."""


class CountedAttempt(typing.Protocol):
    """One attempt that is counted by version and route."""

    def record_first_byte(self, took_s: float) -> None:
        """Record how long after its start the answer began."""

    def end(self, outcome: health.Outcome) -> None:
        """Record the end."""


class Rollouts(typing.Protocol):
    """Chooses which versions of a service's software get new requests."""

    def choose_version(self, service: str, *, is_repeat: bool) -> versionchoice.Choice:
        """Return which versions may get a request whose stream has not begun."""

    def begin_attempt(
        self, endpoint: endpoints.Endpoint, route: str, *, is_first: bool
    ) -> CountedAttempt:
        """Count an attempt at an endpoint until it ends."""


class ReadTimes(typing.NamedTuple):
    """When the last reads of the store began, in monotonic seconds."""

    endpoints: float
    configuration: float


class Dependencies(typing.NamedTuple):
    """
    What forwarding needs from the other packages.

    ``reporting_share`` returns the share of the known entries whose reports this one
    has, itself included. ``record_run`` gets the organisation of a call that began to
    run, and ``record_end`` the final state of each call. ``peer_pool`` has the
    connections to ``peers``. ``read_at`` returns when this entry, or the one that reads
    the store for it, last did so. ``list_versions`` reads now which versions the store
    lists, and may raise ``PlatformError``. ``configuration_age_s`` returns for how long
    the configuration has been in force.
    """

    index: abc.Callable[[], routes.Index | None]
    occupancy: occupancy.Occupancy
    self_reports: selfreports.SelfReports
    directory: endpoints.Directory
    pool: upstreams.UpstreamPool
    reachability: reachability.Reachability
    peers: Peers
    peer_pool: upstreams.UpstreamPool
    quotas: quotas.Quotas
    reporting_share: abc.Callable[[], float]
    repeats: repeatbudget.RepeatBudgets
    codec: Codec
    detour_codec: DetourCodec
    demand: demand.Demand
    suspects: suspects.Suspects
    prompt_parts: promptparts.PromptParts
    origins: Origins
    read_at: abc.Callable[[], ReadTimes]
    route_history: routehistory.RouteHistory
    list_versions: abc.Callable[[], abc.Awaitable[storeview.ListedVersions]]
    record_run: abc.Callable[[str], None]
    record_end: abc.Callable[[callprogress.Progress], None]
    rollouts: Rollouts
    configuration_age_s: abc.Callable[[], float] = lambda: 0.0
