"""
What the other slices need of membership: peers, messages to them, and hints.

A hint is never a promise. It says what some entry believed a moment ago, and a
wrong one may cost time or money only.
"""

import enum
import typing
from collections import abc


class PeerState(enum.Enum):
    """
    What an entry believes of a peer.

    A joining entry has no configuration yet; callers are not sent there.
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
    other entries do. ``incarnation`` rises each time the entry refutes a
    suspicion or starts anew. ``configuration_version`` is the last it reported.
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


class HintKind(enum.Enum):
    """What a hint is about."""

    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_DEAD = "endpoint_dead"
    ENDPOINT_LOAD = "endpoint_load"
    SUSPECT_REQUEST = "suspect_request"
    QUARANTINED_REQUEST = "quarantined_request"
    ORGANISATION_USE = "organisation_use"


class Hint(typing.NamedTuple):
    """
    A small fact that spreads by gossip.

    ``subject`` names what it is about, ``origin`` the entry that saw it,
    ``stamp`` (Unix seconds) decides between two hints of the same kind, subject
    and origin, and after ``lifetime_s`` the hint is forgotten.
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
        """Hold a hint of this entry's own and spread it."""

    def get(self, kind: HintKind, subject: str) -> list[Hint]:
        """Return the unexpired hints about a subject, one for each origin."""

    def all(self, kind: HintKind) -> list[Hint]:
        """Return every unexpired hint of a kind."""

    def subscribe(self, kind: HintKind, listener: HintListener) -> None:
        """Call a listener for each new or newer hint of a kind."""


class PeerNetwork(typing.Protocol):
    """Messages to single peers, beside the gossip."""

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
        """Ask a peer and return its reply, or raise ``PeerUnreachableError``."""


class Membership(typing.Protocol):
    """The entries that this one knows."""

    @property
    def name(self) -> str:
        """The name of this entry."""

    def peers(self) -> list[Peer]:
        """Return all known entries, this one included."""

    def set_leaving(self) -> None:
        """Tell everyone that this entry leaves."""

    def set_configuration_version(self, version: int) -> None:
        """Report the version in force here with the next probes."""
