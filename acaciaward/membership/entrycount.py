"""
Counts the entries that may serve callers, for the parts of what they share.

Silence is no proof that an entry has ended: one that is cut off goes on serving. An
entry that isn't heard from is left out only once the store has shown no group that
knows it. An entry that knows nobody counts some others until the store has shown none.

    known = EntryCount("entry-1", time.monotonic, saved=lambda: 0)
    known.record_heard(["entry-1", "entry-2"])
    known.count()  # 10 at first, then 2
"""

import math
from collections import abc

# Peers heard of within this time count as entries that may serve requests.
PEER_MEMORY_S = 30.0
# A minority remembers the others for this many times as long.
MINORITY_MEMORY_FACTOR = 4
# Until gossip has settled after a start, this many entries are assumed to exist. An
# entry that knows nobody assumes them until the store shows that there are no others.
GOSSIP_SETTLE_S = 2.0
ASSUMED_ENTRIES = 10
# A minority without the store uses one of so many parts of its own: the others may have
# left it out by then.
UNSEEN_FACTOR = 6
# What the store showed counts for this long.
MAX_READ_AGE_S = 10.0


class EntryCount:
    """
    The names of the entries that may serve callers.

    ``saved`` returns how many there were before all had ended, 0 if unknown.
    """

    def __init__(
        self,
        name: str,
        clock: abc.Callable[[], float],
        saved: abc.Callable[[], int],
    ):
        self._name = name
        self._clock = clock
        self._saved = saved
        self._started_at = clock()
        self._heard_at: dict[str, float] = {}
        self._live: frozenset[str] = frozenset({name})
        # Names in groups that the store has shown.
        self._shown: frozenset[str] = frozenset()
        self._counted_by_peers = 0
        self._read_at = -math.inf
        # Whether the store has shown whom this entry knows to be all.
        self._is_confirmed = False

    @property
    def name(self) -> str:
        """The name of this entry."""
        return self._name

    @property
    def names(self) -> frozenset[str]:
        """The names that are known of the entries that may serve callers."""
        return self._live.union(self._heard_at)

    @property
    def needs_read(self) -> bool:
        """Whether a peer has been silent for so long that the store must be read."""
        now = self._clock()
        is_read = self._read_at >= self._first_due()
        is_recent = now - self._read_at < MAX_READ_AGE_S / 2
        return self._is_overdue(now) and not (is_read and is_recent)

    @property
    def counted(self) -> int:
        """
        The number of entries with those in groups that only the store shows, or 0.

        Once one of a group is heard, gossip tells of the others.
        """
        shown = self._shown.intersection(self._heard_at)
        if not shown or not shown.isdisjoint(self._live):
            return 0
        return len(shown | self._live)

    def record_heard(
        self, names: abc.Collection[str], *, counted_by_peers: int = 0
    ) -> None:
        """
        Record the live entries, this one included, and forget who has ended.

        ``counted_by_peers`` is the highest ``counted`` that a peer announces, so that
        one entry reads the store for its group.
        """
        now = self._clock()
        self._heard_at |= dict.fromkeys(names, now)
        self._live = frozenset(names) | {self._name}
        self._counted_by_peers = counted_by_peers
        if self._live_count > 1:
            self._is_confirmed = False
        if not self._is_overdue(now):
            return
        memory_s = PEER_MEMORY_S
        if 2 * self._live_count < len(self._heard_at):
            memory_s *= MINORITY_MEMORY_FACTOR
        for name, heard_at in list(self._heard_at.items()):
            # The store's records were read since the name was due.
            if heard_at + memory_s < min(now, self._read_at):
                del self._heard_at[name]

    def record_read(
        self,
        heard_at: abc.Mapping[str, float],
        read_at: float,
        *,
        groups: abc.Collection[str] = (),
        is_own_shown: bool,
    ) -> None:
        """
        Record what the store's records said at a monotonic time.

        ``heard_at`` tells when entries were last heard, as recorded there, ``groups``
        names those in groups of which none is heard here, and ``is_own_shown`` tells
        whether others could have read of this entry.
        """
        self._read_at = read_at
        self._shown = frozenset(groups)
        for name, at in heard_at.items():
            if at > read_at - PEER_MEMORY_S:
                self._heard_at[name] = max(at, self._heard_at.get(name, -math.inf))
        if is_own_shown and read_at - self._started_at >= GOSSIP_SETTLE_S:
            self._is_confirmed = True

    def count(self) -> int:
        """Return the number of entries that may serve callers."""
        now = self._clock()
        count = max(1, len(self._heard_at), self._counted_by_peers)
        is_settled = now - self._started_at >= GOSSIP_SETTLE_S
        if not is_settled or (count == 1 and not self._is_confirmed):
            return max(count, ASSUMED_ENTRIES, self._saved())
        is_minority = 2 * self._live_count <= count
        is_read = now - self._read_at < MAX_READ_AGE_S
        if is_minority and not is_read and self._is_overdue(now):
            return UNSEEN_FACTOR * count
        return count

    @property
    def _live_count(self) -> int:
        return len(self._live)

    def _first_due(self) -> float:
        """Return when the first name is due to be forgotten."""
        return min(self._heard_at.values(), default=math.inf) + PEER_MEMORY_S

    def _is_overdue(self, now: float) -> bool:
        return self._first_due() < now
