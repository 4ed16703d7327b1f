"""
Stores the hints of an entry: the newest for each kind, subject and origin.

A hint is a small fact that one entry observed and that spreads by gossip. Hints
expire by the receiver's monotonic clock, so that a wrong clock elsewhere can't
keep one alive. Beyond ``MAX_HINTS``, those that would expire first are dropped.
"""

import collections
import heapq
import math
import time
import typing
import zlib
from collections import abc

from acaciaward.membership import dissemination, interfaces, messages

MAX_HINTS = 20_000
MAX_LIFETIME_S = 7200.0
MAX_NAME_CHARACTERS = 256
MAX_VALUE_ITEMS = 64
STAMP_STEP_S = 1e-6

PRIORITIES = {
    interfaces.HintKind.ENDPOINT_LEAVING: dissemination.Priority.URGENT,
    interfaces.HintKind.ENDPOINT_DEAD: dissemination.Priority.URGENT,
    interfaces.HintKind.QUARANTINED_REQUEST: dissemination.Priority.URGENT,
    interfaces.HintKind.SUSPECT_REQUEST: dissemination.Priority.NORMAL,
    interfaces.HintKind.ENDPOINT_LOAD: dissemination.Priority.BULK,
    interfaces.HintKind.ORGANISATION_USE: dissemination.Priority.BULK,
}

_HintKey = tuple[interfaces.HintKind, str, str]
# A hint and when it expires, by the monotonic clock.
_StoredHint = tuple[interfaces.Hint, float]
GossipCallback = abc.Callable[[_HintKey, messages.HintFields], None]


class HintTable:
    """Implements ``interfaces.Hints``; gossip exchanges them with peers."""

    def __init__(self, origin: str):
        self._origin = origin
        self._hints: dict[interfaces.HintKind, dict[str, dict[str, _StoredHint]]] = {
            kind: {} for kind in interfaces.HintKind
        }
        self._count = 0
        self._expiry_heap: list[tuple[float, interfaces.HintKind, str, str]] = []
        self._listeners: dict[interfaces.HintKind, list] = collections.defaultdict(list)
        self._gossip_callback: GossipCallback | None = None

    def __len__(self) -> int:
        return self._count

    def set_gossip_callback(self, callback: GossipCallback) -> None:
        """Call a function with the key and fields of each new hint, for sending."""
        self._gossip_callback = callback

    def publish(
        self,
        kind: interfaces.HintKind,
        subject: str,
        value: dict[str, typing.Any],
        *,
        lifetime_s: float,
    ) -> None:
        """Store a hint of this entry and send it to the others."""
        current = self._hints[kind].get(subject, {}).get(self._origin)
        # A clock that was set back must not make the newer hint look older.
        min_stamp = current[0].stamp + STAMP_STEP_S if current else 0.0
        stamp = max(time.time(), min_stamp)
        self.accept(
            interfaces.Hint(kind, subject, value, self._origin, stamp, lifetime_s)
        )

    def accept(self, hint: interfaces.Hint) -> bool:
        """Store a hint and return True, or return False if it isn't newer."""
        self._remove_expired()
        by_origin = self._hints[hint.kind].setdefault(hint.subject, {})
        current = by_origin.get(hint.origin)
        if current is not None and current[0].stamp >= hint.stamp:
            return False
        self._count += current is None
        expires_at = time.monotonic() + min(hint.lifetime_s, MAX_LIFETIME_S)
        by_origin[hint.origin] = (hint, expires_at)
        item = (expires_at, hint.kind.value, hint.subject, hint.origin)
        heapq.heappush(self._expiry_heap, item)
        self._enforce_limits()
        if self._gossip_callback is not None:
            key = (hint.kind, hint.subject, hint.origin)
            self._gossip_callback(key, _to_fields(hint, expires_at - time.monotonic()))
        for listener in self._listeners[hint.kind]:
            listener(hint)
        return True

    def _enforce_limits(self) -> None:
        while self._count > MAX_HINTS:
            self._drop_first_to_expire()
        # A replaced hint leaves its old item in the heap.
        if len(self._expiry_heap) > 2 * MAX_HINTS:
            self._expiry_heap = [
                (expires_at, hint.kind.value, hint.subject, hint.origin)
                for hint, expires_at in self._iterate_all()
            ]
            heapq.heapify(self._expiry_heap)

    def get(self, kind: interfaces.HintKind, subject: str) -> list[interfaces.Hint]:
        """Return the unexpired hints about a subject, one for each origin."""
        now = time.monotonic()
        found = self._hints[kind].get(subject, {}).values()
        return [hint for hint, expires_at in found if expires_at > now]

    def all(self, kind: interfaces.HintKind) -> list[interfaces.Hint]:
        """Return every unexpired hint of a kind."""
        self._remove_expired()
        subjects = self._hints[kind].values()
        return [hint for found in subjects for hint, _ in found.values()]

    def subscribe(
        self, kind: interfaces.HintKind, listener: interfaces.HintListener
    ) -> None:
        """Call a listener for each new or newer hint of a kind."""
        self._listeners[kind].append(listener)

    def non_bulk_fields(self, limit: int = MAX_HINTS) -> list[messages.HintFields]:
        """Return the newest unexpired hints, without the fast-changing (BULK) ones."""
        self._remove_expired()
        now = time.monotonic()
        non_bulk = [
            (hint, expires_at)
            for hint, expires_at in self._iterate_all()
            if PRIORITIES[hint.kind] is not dissemination.Priority.BULK
        ]
        non_bulk.sort(key=lambda pair: pair[0].stamp, reverse=True)
        return [
            _to_fields(hint, expires_at - now) for hint, expires_at in non_bulk[:limit]
        ]

    def digest(self) -> int:
        """Return a checksum that is equal on entries with the same non-BULK hints."""
        combined = 0
        for fields in self.non_bulk_fields():
            key = (fields["kind"], fields["subject"], fields["origin"], fields["stamp"])
            combined ^= zlib.crc32(repr(key).encode())
        return combined

    def accept_fields(self, fields: messages.HintFields) -> bool:
        """Store a hint from a peer; return False if a value is out of bounds."""
        try:
            kind = interfaces.HintKind(fields["kind"])
        except ValueError:
            # Entries of a newer version may know more kinds.
            return True
        if not _is_valid(fields):
            return False
        self.accept(interfaces.Hint(**(fields | {"kind": kind})))
        return True

    def _iterate_all(self) -> typing.Iterator[_StoredHint]:
        for subjects in self._hints.values():
            for by_origin in subjects.values():
                yield from by_origin.values()

    def _remove_expired(self) -> None:
        now = time.monotonic()
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            self._drop_first_to_expire()

    def _drop_first_to_expire(self) -> None:
        expires_at, kind, subject, origin = heapq.heappop(self._expiry_heap)
        subjects = self._hints[interfaces.HintKind(kind)]
        current = subjects.get(subject, {}).get(origin)
        if current is None or current[1] != expires_at:
            return
        del subjects[subject][origin]
        self._count -= 1
        if not subjects[subject]:
            del subjects[subject]


def _is_valid(fields: messages.HintFields) -> bool:
    return (
        math.isfinite(fields["stamp"])
        and 0 < fields["lifetime_s"] < math.inf
        and max(len(fields["subject"]), len(fields["origin"])) <= MAX_NAME_CHARACTERS
        and len(fields["value"]) <= MAX_VALUE_ITEMS
    )


def _to_fields(hint: interfaces.Hint, lifetime_s: float) -> messages.HintFields:
    return {
        "kind": hint.kind.value,
        "subject": hint.subject,
        "value": hint.value,
        "origin": hint.origin,
        "stamp": hint.stamp,
        "lifetime_s": lifetime_s,
    }
