"""
The interface of membership to other packages: peers, messages to them, and hints.

A hint is advisory: it says what some entry believed a moment ago. Acting on a
wrong one may cost time or money, but nothing else.
"""

import enum
import typing
from collections import abc


class PeerState(enum.Enum):
    """
    The state of a peer, as far as an entry knows.

    A joining entry has no configuration yet; callers are not sent there. A
    suspect doesn't answer probes and is considered dead unless it refutes that
    in time. A leaving entry is shutting down.
    """

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Peer(typing.NamedTuple):
    """
    One entry as its peers know it.

    ``address`` and ``port`` are where callers connect, ``peer_port`` where
    other entries do. ``incarnation`` is the version of the entry's own state: it
    rises each time the entry restarts, changes its state or refutes a report
    about itself. ``configuration_version`` is the last that it reported.
    ``detour_port`` is where it takes the calls of peers that are cut off from
    endpoints, 0 if it takes none, and ``is_isolated`` means that it is cut off itself.
    ``counted`` is how many entries there are with those that it knows of by the store
    only, 0 if there are none of these.
    """

    name: str
    address: str
    port: int
    peer_port: int
    data_centre: str
    region: str
    incarnation: int
    state: PeerState
    configuration_version: int
    detour_port: int = 0
    is_isolated: bool = False
    counted: int = 0


class HintKind(enum.Enum):
    """The kind of fact that a hint reports."""

    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_DEAD = "endpoint_dead"
    ENDPOINT_LOAD = "endpoint_load"
    SUSPECT_REQUEST = "suspect_request"
    QUARANTINED_REQUEST = "quarantined_request"
    ORGANISATION_USE = "organisation_use"


class Hint(typing.NamedTuple):
    """
    A small fact that spreads by gossip.

    ``subject`` names what it is about, and ``origin`` the entry that published it.
    Of two hints of the same kind, subject and origin, the one with the later
    ``stamp`` (Unix seconds) wins. A hint expires after ``lifetime_s``.
    """

    kind: HintKind
    subject: str
    value: dict[str, typing.Any]
    origin: str
    stamp: float
    lifetime_s: float


HintListener = abc.Callable[[Hint], None]
MessageHandler = abc.Callable[
    [str, dict[str, typing.Any]],
    abc.Awaitable[abc.Mapping | None],
]


class Hints(typing.Protocol):
    """The hints that this entry holds."""

    def publish(
        self,
        kind: HintKind,
        subject: str,
        value: dict[str, typing.Any],
        *,
        lifetime_s: float,
    ) -> None:
        """Store a hint of this entry and send it to the others."""

    def get(self, kind: HintKind, subject: str) -> list[Hint]:
        """Return the unexpired hints about a subject, one for each origin."""

    def all(self, kind: HintKind) -> list[Hint]:
        """Return every unexpired hint of a kind."""

    def subscribe(self, kind: HintKind, listener: HintListener) -> None:
        """Call a listener for each new or newer hint of a kind."""


class PeerNetwork(typing.Protocol):
    """Requests to single peers, separate from gossip."""

    def handle(self, kind: str, handler: MessageHandler) -> None:
        """Serve requests of a kind: ``handler(sender, body)`` returns the reply."""

    async def request(
        self,
        peer: str,
        kind: str,
        body: abc.Mapping[str, typing.Any],
        *,
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        """Send a request and return the reply, or raise ``PeerUnreachableError``."""


class Membership(typing.Protocol):
    """The entries that this one knows."""

    @property
    def name(self) -> str:
        """The name of this entry."""

    def peers(self) -> list[Peer]:
        """Return all known entries, this one included."""

    def set_leaving(self) -> None:
        """Announce that this entry is leaving."""

    def set_configuration_version(self, version: int) -> None:
        """Announce the configuration version in force here with the next probes."""
