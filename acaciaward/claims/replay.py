"""
Replays claim records: who owns a key is decided by the order of the log.

The owner of a key is its first claim that isn't released. A claim may be
dispatched only by the process that made its nonce, only while it is the owner,
only if the log's own time of the claim lies in the key's window, and only if
this replay has no gap since before the key's time. An earlier claim blocks a
later one whatever its time, so entries whose windows differ still agree.

    replay = ClaimReplay(window_s=600.0, clock_skew_s=5.0)
    replay.apply(record)
    replay.judge("org", key, nonce)  # Judgement.OWNED
"""

import enum
import heapq
import typing
import uuid

from acaciaward.provider import interfaces as provider_interfaces

MAX_REMEMBERED = 200_000
MILLISECONDS_PER_S = 1000.0
UUID7_TIME_SHIFT = 80
CLAIM_FIELDS = ("organisation", "key", "digest", "nonce", "owner")
RELEASE_FIELDS = ("organisation", "key", "nonce")

Subject = tuple[str, str]


class Judgement(enum.Enum):
    """What the records say of one nonce."""

    OWNED = "owned"
    LOST = "lost"
    RELEASED = "released"
    UNSEEN = "unseen"
    OUT_OF_WINDOW = "out_of_window"
    UNCOVERED = "uncovered"


class LoggedClaim(typing.NamedTuple):
    """One claim as the log holds it; ``time`` is the log's, in Unix seconds."""

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
    time: float
    key_time: float
    subject: Subject


def key_time(key: str) -> float:
    """Return the time inside a UUIDv7 in Unix seconds."""
    return (uuid.UUID(key).int >> UUID7_TIME_SHIFT) / MILLISECONDS_PER_S


class ClaimReplay:
    """The keys that the records up to ``next_offset`` have claimed."""

    def __init__(
        self,
        *,
        window_s: float,
        clock_skew_s: float,
        max_remembered: int = MAX_REMEMBERED,
    ):
        self._window_s = window_s
        self._skew_s = clock_skew_s
        self._max_remembered = max_remembered
        self._states: dict[Subject, KeyState] = {}
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
        """The latest time of the log that was seen, in Unix seconds."""
        return self._now

    @property
    def covered_since(self) -> float:
        """The log's time since which no record is missing here."""
        return self._covered_since

    @property
    def remembered(self) -> int:
        """Number of keys remembered."""
        return len(self._states)

    def restart(self, first_offset: int) -> None:
        """Begin anew at an offset, since the records before it are gone."""
        self._states.clear()
        self._expiries.clear()
        self._next_offset = first_offset
        self._is_after_gap = True

    def apply_page(self, page: provider_interfaces.LogPage) -> None:
        """Replay consecutive records and take over the log's time."""
        if self._is_after_gap:
            first = page.records[0].time if page.records else page.time
            self._covered_since = first
            self._is_after_gap = False
        for record in page.records:
            self.apply(record)
        self._now = max(self._now, page.time)
        self._forget()

    def apply(self, record: provider_interfaces.LogRecord) -> None:
        """Replay the next record; anything that isn't one of ours is skipped."""
        data = record.data
        kind = data.get("kind") if isinstance(data, dict) else None
        applier, fields = _APPLIERS.get(kind, (None, ()))
        if applier and all(isinstance(data.get(name), str) for name in fields):
            applier(self, record)
        self._next_offset = record.offset + 1
        self._now = max(self._now, record.time)

    def _apply_claim(self, record: provider_interfaces.LogRecord) -> None:
        data = record.data
        subject = (data["organisation"], data["key"])
        claim = LoggedClaim(
            data["nonce"], data["owner"], data["digest"], record.offset, record.time
        )
        state = self._remember(subject, record.time)
        if state is None or claim.nonce in state.released:
            return
        if any(held.nonce == claim.nonce for held in state.claims):
            return
        self._states[subject] = state._replace(claims=(*state.claims, claim))

    def _apply_release(self, record: provider_interfaces.LogRecord) -> None:
        data = record.data
        subject = (data["organisation"], data["key"])
        state = self._remember(subject, record.time)
        if state is None:
            return
        nonce = data["nonce"]
        claims = tuple(claim for claim in state.claims if claim.nonce != nonce)
        self._states[subject] = KeyState(claims, state.released | {nonce})

    def _remember(self, subject: Subject, time: float) -> KeyState | None:
        """Return the state of a key, or None for a key that can't be read."""
        try:
            stated = key_time(subject[1])
        except ValueError:
            return None
        state = self._states.get(subject)
        if state is None:
            expiry = _Expiry(max(time, stated), stated, subject)
            heapq.heappush(self._expiries, expiry)
            state = self._states[subject] = KeyState()
        return state

    def _forget(self) -> None:
        kept_s = self._window_s + self._skew_s
        while self._expiries:
            oldest = self._expiries[0]
            is_due = oldest.time + kept_s < self._now
            is_too_many = len(self._expiries) > self._max_remembered
            if not is_due and not is_too_many:
                return
            if not is_due:
                # A key forgotten early must never seem unclaimed.
                since = oldest.key_time - self._skew_s
                self._covered_since = max(self._covered_since, since)
            heapq.heappop(self._expiries)
            del self._states[oldest.subject]

    def state(self, organisation: str, key: str) -> KeyState | None:
        """Return what is remembered of a key, or None."""
        return self._states.get((organisation, key))

    def owner(self, organisation: str, key: str) -> LoggedClaim | None:
        """Return the first claim that isn't released, or None."""
        state = self.state(organisation, key)
        return state.claims[0] if state and state.claims else None

    def covers(self, key: str) -> bool:
        """Return whether every claim that could own the key would be known here."""
        return self._covered_since < key_time(key) - self._skew_s

    def is_in_window(self, key: str, time: float) -> bool:
        """Return whether a claim at a time of the log may own the key."""
        stated = key_time(key)
        return stated - self._skew_s <= time <= stated + self._window_s

    def judge(self, organisation: str, key: str, nonce: str) -> Judgement:
        """Return what the records so far say of a nonce."""
        state = self.state(organisation, key) or KeyState()
        if nonce in state.released:
            return Judgement.RELEASED
        own = next((claim for claim in state.claims if claim.nonce == nonce), None)
        if own is None:
            return Judgement.UNSEEN
        if state.claims[0].nonce != nonce:
            return Judgement.LOST
        if not self.covers(key):
            return Judgement.UNCOVERED
        if not self.is_in_window(key, own.time):
            return Judgement.OUT_OF_WINDOW
        return Judgement.OWNED


_APPLIERS: dict[str, tuple] = {
    "claim": (ClaimReplay._apply_claim, CLAIM_FIELDS),
    "release": (ClaimReplay._apply_release, RELEASE_FIELDS),
}
