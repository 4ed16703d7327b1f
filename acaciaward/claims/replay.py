"""
Replays claim records to determine which claim owns a key.

The owner of a key is its first claim in the log that isn't released. A claim may be
dispatched only by the process that generated its nonce, only while it is the owner,
only if the log's timestamp of the claim lies in the key's window, and only if this
replay misses no record since before the key's time. An earlier claim blocks a later
one whatever its timestamp, so entries with different windows still agree.

    replay = ClaimReplay(window_s=600.0, clock_skew_s=5.0)
    replay.apply(record)
    replay.evaluate("org", key, nonce)  # ClaimStatus.OWNED
"""

import enum
import heapq
import typing
import uuid

from acaciaward.provider import interfaces as provider_interfaces

MAX_KEYS = 200_000
MILLISECONDS_PER_S = 1000.0
UUID7_TIME_SHIFT = 80
CLAIM_FIELDS = ("organisation", "key", "digest", "nonce", "owner")
RELEASE_FIELDS = ("organisation", "key", "nonce")

# An organisation and its key.
ScopedKey = tuple[str, str]


class ClaimStatus(enum.Enum):
    """
    What the records so far say about one nonce.

    UNSEEN means that no claim with it has been read; UNCOVERED that it is the first
    claim here, but that an earlier claim on the key may be missing.
    """

    OWNED = "owned"
    LOST = "lost"
    RELEASED = "released"
    UNSEEN = "unseen"
    OUT_OF_WINDOW = "out_of_window"
    UNCOVERED = "uncovered"


class LoggedClaim(typing.NamedTuple):
    """One claim in the log; ``time`` is the log's timestamp in Unix seconds."""

    nonce: str
    owner: str
    digest: str
    offset: int
    time: float


class KeyState(typing.NamedTuple):
    """The unreleased claims of a key in log order, and its released nonces."""

    claims: tuple[LoggedClaim, ...] = ()
    released: frozenset[str] = frozenset()


class _Expiry(typing.NamedTuple):
    retained_from: float
    key_time: float
    scoped_key: ScopedKey


def key_time(key: str) -> float:
    """Return the time inside a UUIDv7 in Unix seconds."""
    return (uuid.UUID(key).int >> UUID7_TIME_SHIFT) / MILLISECONDS_PER_S


class ClaimReplay:
    """The keys claimed by the records before ``next_offset``."""

    def __init__(
        self,
        *,
        window_s: float,
        clock_skew_s: float,
        max_keys: int = MAX_KEYS,
    ):
        self._window_s = window_s
        self._skew_s = clock_skew_s
        self._max_keys = max_keys
        self._states: dict[ScopedKey, KeyState] = {}
        self._expiries: list[_Expiry] = []
        self._next_offset = 0
        self._covered_since = float("-inf")
        self._is_after_gap = False
        self._now = 0.0

    @property
    def next_offset(self) -> int:
        """The offset of the first record that hasn't been replayed."""
        return self._next_offset

    @property
    def now(self) -> float:
        """The latest log time read so far, in Unix seconds."""
        return self._now

    @property
    def covered_since(self) -> float:
        """The log's time since which this replay misses no record, in Unix seconds."""
        return self._covered_since

    @property
    def key_count(self) -> int:
        """Number of keys remembered."""
        return len(self._states)

    def restart(self, first_offset: int) -> None:
        """Start again at an offset because the records before it have expired."""
        self._states.clear()
        self._expiries.clear()
        self._next_offset = first_offset
        self._is_after_gap = True

    def apply_page(self, page: provider_interfaces.LogPage) -> None:
        """Replay consecutive records and adopt the log's time."""
        if self._is_after_gap:
            first = page.records[0].time if page.records else page.time
            self._covered_since = first
            self._is_after_gap = False
        for record in page.records:
            self.apply(record)
        self._now = max(self._now, page.time)
        self._evict_keys()

    def apply(self, record: provider_interfaces.LogRecord) -> None:
        """Replay the next record; invalid and foreign records are skipped."""
        data = record.data
        kind = data.get("kind") if isinstance(data, dict) else None
        applier, fields = _APPLIERS.get(kind, (None, ()))
        if applier and all(isinstance(data.get(name), str) for name in fields):
            applier(self, record)
        self._next_offset = record.offset + 1
        self._now = max(self._now, record.time)

    def _apply_claim(self, record: provider_interfaces.LogRecord) -> None:
        data = record.data
        scoped_key = (data["organisation"], data["key"])
        claim = LoggedClaim(
            data["nonce"], data["owner"], data["digest"], record.offset, record.time
        )
        state = self._get_or_add_state(scoped_key, record.time)
        if state is None or claim.nonce in state.released:
            return
        if any(known.nonce == claim.nonce for known in state.claims):
            return
        self._states[scoped_key] = state._replace(claims=(*state.claims, claim))

    def _apply_release(self, record: provider_interfaces.LogRecord) -> None:
        data = record.data
        scoped_key = (data["organisation"], data["key"])
        state = self._get_or_add_state(scoped_key, record.time)
        if state is None:
            return
        nonce = data["nonce"]
        claims = tuple(claim for claim in state.claims if claim.nonce != nonce)
        self._states[scoped_key] = KeyState(claims, state.released | {nonce})

    def _get_or_add_state(self, scoped_key: ScopedKey, time: float) -> KeyState | None:
        """Return the state of a key, adding it if new, or None for an invalid key."""
        try:
            stated_time = key_time(scoped_key[1])
        except ValueError:
            return None
        state = self._states.get(scoped_key)
        if state is None:
            expiry = _Expiry(max(time, stated_time), stated_time, scoped_key)
            heapq.heappush(self._expiries, expiry)
            state = self._states[scoped_key] = KeyState()
        return state

    def _evict_keys(self) -> None:
        retention_s = self._window_s + self._skew_s
        while self._expiries:
            oldest = self._expiries[0]
            is_expired = oldest.retained_from + retention_s < self._now
            is_over_limit = len(self._expiries) > self._max_keys
            if not is_expired and not is_over_limit:
                return
            if not is_expired:
                # A key evicted early must never look unclaimed.
                uncovered_until = oldest.key_time - self._skew_s
                self._covered_since = max(self._covered_since, uncovered_until)
            heapq.heappop(self._expiries)
            del self._states[oldest.scoped_key]

    def state(self, organisation: str, key: str) -> KeyState | None:
        """Return the remembered state of a key, or None."""
        return self._states.get((organisation, key))

    def owner(self, organisation: str, key: str) -> LoggedClaim | None:
        """Return the first claim that isn't released, or None."""
        state = self.state(organisation, key)
        return state.claims[0] if state and state.claims else None

    def covers(self, key: str) -> bool:
        """Return whether this replay has read every claim that could own the key."""
        return self._covered_since < key_time(key) - self._skew_s

    def is_in_window(self, key: str, time: float) -> bool:
        """Return whether a claim with this log timestamp may own the key."""
        stated_time = key_time(key)
        return stated_time - self._skew_s <= time <= stated_time + self._window_s

    def evaluate(self, organisation: str, key: str, nonce: str) -> ClaimStatus:
        """Return what the records so far say about a nonce."""
        state = self.state(organisation, key) or KeyState()
        if nonce in state.released:
            return ClaimStatus.RELEASED
        own = next((claim for claim in state.claims if claim.nonce == nonce), None)
        if own is None:
            return ClaimStatus.UNSEEN
        if state.claims[0].nonce != nonce:
            return ClaimStatus.LOST
        if not self.covers(key):
            return ClaimStatus.UNCOVERED
        if not self.is_in_window(key, own.time):
            return ClaimStatus.OUT_OF_WINDOW
        return ClaimStatus.OWNED


_APPLIERS: dict[str, tuple] = {
    "claim": (ClaimReplay._apply_claim, CLAIM_FIELDS),
    "release": (ClaimReplay._apply_release, RELEASE_FIELDS),
}
