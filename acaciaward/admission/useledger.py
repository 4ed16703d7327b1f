"""
Tracks what each organisation uses, at this entry and at its peers.

Every entry publishes as a hint how much each organisation uses there, up to
``1 / PUBLISH_INTERVAL_S`` times a second. Hints that aren't renewed expire, and the
peer is then assumed to use an equal part of the limit in question. So gossip that is
late or partitioned neither lets a limit be exceeded nor locks an organisation out.

    ledger.allowed("library", Quantity.REQUESTS, limit=30.0)
"""

import enum
import math
import time
import typing
from collections import abc

from acaciaward.membership import interfaces as membership_interfaces

PUBLISH_INTERVAL_S = 0.5
HINT_LIFETIME_S = 3.0
# Rates are averages that decay with this time constant.
AVERAGING_S = 2.0
# Smaller amounts are left out of hints.
IDLE_THRESHOLD = 0.01

LIVE_STATES = frozenset(
    {membership_interfaces.PeerState.LIVE, membership_interfaces.PeerState.SUSPECT}
)


class Quantity(enum.Enum):
    """What a limit counts: requests or tokens per second, or concurrent requests."""

    REQUESTS = "requests_per_s"
    TOKENS = "tokens_per_s"
    CONCURRENCY = "concurrency"


class DecayingRate:
    """An exponentially decaying average rate per second."""

    def __init__(self, averaging_s: float = AVERAGING_S):
        self._averaging_s = averaging_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the time ``now``."""
        self._value = self.at(now) + amount / self._averaging_s
        self._updated_at = now

    def at(self, now: float) -> float:
        """Return the rate at the time ``now``."""
        return self._value * math.exp((self._updated_at - now) / self._averaging_s)


def allowed_here(
    limit: float, *, peer_use: list[float], peers_without_hint: int
) -> float:
    """
    Return the part of a system-wide limit that one entry may use.

    ``peer_use`` is the use of the peers with a current hint, and
    ``peers_without_hint`` counts the live peers without one. The entry always keeps
    its equal part, so late gossip can't lock an organisation out. A peer without a
    hint counts as using its equal part, so lost gossip can't exceed the limit.

        allowed_here(90.0, peer_use=[10.0], peers_without_hint=1)  # 50.0
    """
    entries = 1 + len(peer_use) + peers_without_hint
    equal_part = limit / entries
    rest = limit - sum(peer_use) - peers_without_hint * equal_part
    return max(equal_part, rest)


class UseLedger:
    """Use of each organisation at this entry, and at its peers as far as known."""

    def __init__(
        self,
        membership: membership_interfaces.Membership,
        hints: membership_interfaces.Hints,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._membership = membership
        self._hints = hints
        self._clock = clock
        self._rates: dict[tuple[str, Quantity], DecayingRate] = {}
        self._running: dict[str, int] = {}
        self._published_at = float("-inf")
        self._peer_use: dict[str, dict[str, abc.Mapping[str, typing.Any]]] = {}
        self._peers_refreshed_at = float("-inf")
        self._reporting_peers: set[str] = set()
        self._peers_without_hint = 0

    def record_request(self, organisation: str) -> None:
        """Record an admitted request."""
        self._rate(organisation, Quantity.REQUESTS).add(1, self._clock())

    def record_tokens(self, organisation: str, tokens: float) -> None:
        """Record tokens; a negative number corrects an earlier estimate."""
        self._rate(organisation, Quantity.TOKENS).add(tokens, self._clock())

    def record_running(self, organisation: str, change: int) -> None:
        """Change the number of running requests by ``change``."""
        self._running[organisation] = self._running.get(organisation, 0) + change

    def own_use(self, organisation: str, quantity: Quantity) -> float:
        """Return an organisation's use at this entry."""
        if quantity is Quantity.CONCURRENCY:
            return self._running.get(organisation, 0)
        return max(0.0, self._rate(organisation, quantity).at(self._clock()))

    def allowed(self, organisation: str, quantity: Quantity, limit: float) -> float:
        """Return how much of a system-wide limit this entry may use now."""
        self._refresh_peers()
        used = [
            float(value.get(quantity.value, 0.0))
            for value in self._peer_use.get(organisation, {}).values()
        ]
        idle_peers = len(self._reporting_peers) - len(used)
        return allowed_here(
            limit,
            peer_use=used + [0.0] * max(0, idle_peers),
            peers_without_hint=self._peers_without_hint,
        )

    @property
    def entries(self) -> int:
        """Number of live entries, this one included."""
        self._refresh_peers()
        return 1 + len(self._reporting_peers) + self._peers_without_hint

    def active_elsewhere(self) -> set[str]:
        """Return the organisations with running requests at a peer."""
        self._refresh_peers()
        return {
            organisation
            for organisation, uses in self._peer_use.items()
            if any(use.get(Quantity.CONCURRENCY.value, 0) > 0 for use in uses.values())
        }

    def publish(self) -> None:
        """Publish this entry's use as a hint, at most once per interval."""
        now = self._clock()
        if now - self._published_at < PUBLISH_INTERVAL_S:
            return
        self._published_at = now
        value = {
            organisation: self._fields(organisation)
            for organisation in self._known_organisations()
        }
        self._hints.publish(
            membership_interfaces.HintKind.ORGANISATION_USE,
            self._membership.name,
            value,
            lifetime_s=HINT_LIFETIME_S,
        )

    def _known_organisations(self) -> set[str]:
        return {organisation for organisation, _ in self._rates} | set(self._running)

    def _fields(self, organisation: str) -> dict[str, float]:
        used = {
            quantity.value: round(self.own_use(organisation, quantity), 2)
            for quantity in Quantity
        }
        return {
            name: amount for name, amount in used.items() if amount > IDLE_THRESHOLD
        }

    def _rate(self, organisation: str, quantity: Quantity) -> DecayingRate:
        key = (organisation, quantity)
        if key not in self._rates:
            self._rates[key] = DecayingRate()
        return self._rates[key]

    def _refresh_peers(self) -> None:
        now = self._clock()
        if now - self._peers_refreshed_at < PUBLISH_INTERVAL_S / 2:
            return
        self._peers_refreshed_at = now
        own_name = self._membership.name
        live = {
            peer.name
            for peer in self._membership.peers()
            if peer.state in LIVE_STATES and peer.name != own_name
        }
        self._reporting_peers = set()
        self._peer_use = {}
        for hint in self._hints.all(membership_interfaces.HintKind.ORGANISATION_USE):
            if hint.origin == own_name:
                continue
            self._reporting_peers.add(hint.origin)
            for organisation, use in hint.value.items():
                self._peer_use.setdefault(organisation, {})[hint.origin] = use
        self._peers_without_hint = len(live - self._reporting_peers)
