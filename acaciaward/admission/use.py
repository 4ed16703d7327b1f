"""
What each organisation uses, here and at the other entries.

Every entry publishes its own use of each organisation as a hint some times a
second. A hint that doesn't come any more expires, and then the peer counts as
one that uses an equal part of whatever limit is asked about: so the rule is
neither open nor shut while gossip is late or cut.

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
# Rates are averages that fade with this time constant.
AVERAGING_S = 2.0
IDLE_RATE = 0.01

LIVE_STATES = frozenset(
    {membership_interfaces.PeerState.LIVE, membership_interfaces.PeerState.SUSPECT}
)


class Quantity(enum.Enum):
    """What is limited: two rates a second, and a number at once."""

    REQUESTS = "requests_per_s"
    TOKENS = "tokens_per_s"
    CONCURRENCY = "concurrency"


class FadingRate:
    """An average rate a second whose past fades exponentially."""

    def __init__(self, averaging_s: float = AVERAGING_S):
        self._averaging_s = averaging_s
        self._value = 0.0
        self._moment = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount at the moment ``now``."""
        self._value = self.at(now) + amount / self._averaging_s
        self._moment = now

    def at(self, now: float) -> float:
        """Return the rate at a moment."""
        return self._value * math.exp((self._moment - now) / self._averaging_s)


def allowed_here(limit: float, *, peers_used: list[float], unheard: int) -> float:
    """
    Return the part of a system-wide limit that one entry may use.

    ``peers_used`` is the use of the peers that were heard of lately, and
    ``unheard`` counts live peers that were not. The entry's equal part is never
    cut, so late gossip can't shut an organisation out; an unheard peer counts
    as using its equal part, so cut gossip can't open the limit either.

        allowed_here(90.0, peers_used=[10.0], unheard=1)  # 50.0
    """
    entries = 1 + len(peers_used) + unheard
    equal_part = limit / entries
    rest = limit - sum(peers_used) - unheard * equal_part
    return max(equal_part, rest)


class UseLedger:
    """Own use of each organisation, and the peers' as far as it is known."""

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
        self._rates: dict[tuple[str, Quantity], FadingRate] = {}
        self._running: dict[str, int] = {}
        self._published_at = float("-inf")
        self._peer_use: dict[str, dict[str, abc.Mapping[str, typing.Any]]] = {}
        self._peers_read_at = float("-inf")
        self._heard: set[str] = set()
        self._unheard = 0

    def note_request(self, organisation: str) -> None:
        """Count a request that was admitted."""
        self._rate(organisation, Quantity.REQUESTS).add(1, self._clock())

    def note_tokens(self, organisation: str, tokens: float) -> None:
        """Count tokens; a negative number corrects an earlier estimate."""
        self._rate(organisation, Quantity.TOKENS).add(tokens, self._clock())

    def note_running(self, organisation: str, change: int) -> None:
        """Count requests that began or ended."""
        self._running[organisation] = self._running.get(organisation, 0) + change

    def own(self, organisation: str, quantity: Quantity) -> float:
        """Return this entry's use."""
        if quantity is Quantity.CONCURRENCY:
            return self._running.get(organisation, 0)
        return max(0.0, self._rate(organisation, quantity).at(self._clock()))

    def allowed(self, organisation: str, quantity: Quantity, limit: float) -> float:
        """Return how much of a system-wide limit this entry may use now."""
        self._read_peers()
        used = [
            float(value.get(quantity.value, 0.0))
            for value in self._peer_use.get(organisation, {}).values()
        ]
        silent = len(self._heard) - len(used)
        return allowed_here(
            limit, peers_used=used + [0.0] * max(0, silent), unheard=self._unheard
        )

    @property
    def entries(self) -> int:
        """Number of live entries, this one included."""
        self._read_peers()
        return 1 + len(self._heard) + self._unheard

    def active_elsewhere(self) -> set[str]:
        """Return the organisations that run something at a peer."""
        self._read_peers()
        return {
            organisation
            for organisation, uses in self._peer_use.items()
            if any(use.get(Quantity.CONCURRENCY.value, 0) > 0 for use in uses.values())
        }

    def publish(self) -> None:
        """Spread the own use as hints when the last time is long enough ago."""
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
            quantity.value: round(self.own(organisation, quantity), 2)
            for quantity in Quantity
        }
        return {name: amount for name, amount in used.items() if amount > IDLE_RATE}

    def _rate(self, organisation: str, quantity: Quantity) -> FadingRate:
        key = (organisation, quantity)
        if key not in self._rates:
            self._rates[key] = FadingRate()
        return self._rates[key]

    def _read_peers(self) -> None:
        now = self._clock()
        if now - self._peers_read_at < PUBLISH_INTERVAL_S / 2:
            return
        self._peers_read_at = now
        own = self._membership.name
        live = {
            peer.name
            for peer in self._membership.peers()
            if peer.state in LIVE_STATES and peer.name != own
        }
        self._heard = set()
        self._peer_use = {}
        for hint in self._hints.all(membership_interfaces.HintKind.ORGANISATION_USE):
            if hint.origin == own:
                continue
            self._heard.add(hint.origin)
            for organisation, use in hint.value.items():
                self._peer_use.setdefault(organisation, {})[hint.origin] = use
        self._unheard = len(live - self._heard)
