"""
The hints that an entry holds: the newest for each kind, subject and origin.

Hints expire by the receiver's monotonic clock, so that a wrong clock elsewhere
can't keep one alive. When there are too many, those that would expire first give
way.
"""

import collections
import heapq
import math
import time
import typing
import zlib
from collections import abc

from acaciaward.membership import interfaces, messages, spreading

MAX_HINTS = 20_000
MAX_LIFETIME_S = 7200.0
MAX_NAME_CHARACTERS = 256
MAX_VALUE_ITEMS = 64
STAMP_STEP_S = 1e-6

PRIORITIES = {
    interfaces.HintKind.ENDPOINT_LEAVING: spreading.Priority.URGENT,
    interfaces.HintKind.ENDPOINT_DEAD: spreading.Priority.URGENT,
    interfaces.HintKind.QUARANTINED_REQUEST: spreading.Priority.URGENT,
    interfaces.HintKind.SUSPECT_REQUEST: spreading.Priority.NORMAL,
    interfaces.HintKind.ENDPOINT_LOAD: spreading.Priority.BULK,
    interfaces.HintKind.ORGANISATION_USE: spreading.Priority.BULK,
}

_Key = tuple[interfaces.HintKind, str, str]
_Held = tuple[interfaces.Hint, float]
Spreader = abc.Callable[[_Key, messages.HintFields], None]


class HintBoard:
    """Implements ``interfaces.Hints``; gossip spreads and feeds it."""

    def __init__(self, origin: str):
        self._origin = origin
        self._hints: dict[interfaces.HintKind, dict[str, dict[str, _Held]]] = {
            kind: {} for kind in interfaces.HintKind
        }
        self._count = 0
        self._expiries: list[tuple[float, interfaces.HintKind, str, str]] = []
        self._listeners: dict[interfaces.HintKind, list] = collections.defaultdict(list)
        self._spreader: Spreader | None = None

    def __len__(self) -> int:
        return self._count

    def set_spreader(self, spreader: Spreader) -> None:
        """Hand each new hint to gossip."""
        self._spreader = spreader

    def publish(
        self,
        kind: interfaces.HintKind,
        subject: str,
        value: dict[str, typing.Any],
        *,
        lifetime_s: float,
    ) -> None:
        """Hold a hint of this entry's own and spread it."""
        held = self._hints[kind].get(subject, {}).get(self._origin)
        # A clock that was set back must not make the newer hint look older.
        oldest = held[0].stamp + STAMP_STEP_S if held else 0.0
        stamp = max(time.time(), oldest)
        self.accept(
            interfaces.Hint(kind, subject, value, self._origin, stamp, lifetime_s)
        )

    def accept(self, hint: interfaces.Hint) -> bool:
        """Take a hint in and return whether it was newer than what was held."""
        self._forget_expired()
        by_origin = self._hints[hint.kind].setdefault(hint.subject, {})
        held = by_origin.get(hint.origin)
        if held is not None and held[0].stamp >= hint.stamp:
            return False
        self._count += held is None
        expires = time.monotonic() + min(hint.lifetime_s, MAX_LIFETIME_S)
        by_origin[hint.origin] = (hint, expires)
        item = (expires, hint.kind.value, hint.subject, hint.origin)
        heapq.heappush(self._expiries, item)
        self._keep_bounds()
        if self._spreader is not None:
            key = (hint.kind, hint.subject, hint.origin)
            self._spreader(key, _fields(hint, expires - time.monotonic()))
        for listener in self._listeners[hint.kind]:
            listener(hint)
        return True

    def _keep_bounds(self) -> None:
        while self._count > MAX_HINTS:
            self._drop_next()
        # Replaced hints leave their old expiry behind.
        if len(self._expiries) > 2 * MAX_HINTS:
            self._expiries = [
                (expires, hint.kind.value, hint.subject, hint.origin)
                for hint, expires in self._all_held()
            ]
            heapq.heapify(self._expiries)

    def get(self, kind: interfaces.HintKind, subject: str) -> list[interfaces.Hint]:
        """Return the unexpired hints about a subject, one for each origin."""
        now = time.monotonic()
        found = self._hints[kind].get(subject, {}).values()
        return [hint for hint, expires in found if expires > now]

    def all(self, kind: interfaces.HintKind) -> list[interfaces.Hint]:
        """Return every unexpired hint of a kind."""
        self._forget_expired()
        subjects = self._hints[kind].values()
        return [hint for found in subjects for hint, _ in found.values()]

    def subscribe(
        self, kind: interfaces.HintKind, listener: interfaces.HintListener
    ) -> None:
        """Call a listener for each new or newer hint of a kind."""
        self._listeners[kind].append(listener)

    def to_fields(self, limit: int = MAX_HINTS) -> list[messages.HintFields]:
        """Return the unexpired hints that don't change all the time."""
        self._forget_expired()
        now = time.monotonic()
        lasting = [
            (hint, expires)
            for hint, expires in self._all_held()
            if PRIORITIES[hint.kind] is not spreading.Priority.BULK
        ]
        lasting.sort(key=lambda held: held[0].stamp, reverse=True)
        return [_fields(hint, expires - now) for hint, expires in lasting[:limit]]

    def digest(self) -> int:
        """Return a number that is equal where the lasting hints are."""
        combined = 0
        for fields in self.to_fields():
            key = (fields["kind"], fields["subject"], fields["origin"], fields["stamp"])
            combined ^= zlib.crc32(repr(key).encode())
        return combined

    def accept_fields(self, fields: messages.HintFields) -> bool:
        """Take in a hint that a peer sent; one out of bounds is refused."""
        try:
            kind = interfaces.HintKind(fields["kind"])
        except ValueError:
            # A newer entry may know more kinds.
            return True
        if not _is_sound(fields):
            return False
        self.accept(interfaces.Hint(**(fields | {"kind": kind})))
        return True

    def _all_held(self) -> typing.Iterator[_Held]:
        for subjects in self._hints.values():
            for by_origin in subjects.values():
                yield from by_origin.values()

    def _forget_expired(self) -> None:
        now = time.monotonic()
        while self._expiries and self._expiries[0][0] <= now:
            self._drop_next()

    def _drop_next(self) -> None:
        expires, kind, subject, origin = heapq.heappop(self._expiries)
        subjects = self._hints[interfaces.HintKind(kind)]
        held = subjects.get(subject, {}).get(origin)
        if held is None or held[1] != expires:
            return
        del subjects[subject][origin]
        self._count -= 1
        if not subjects[subject]:
            del subjects[subject]


def _is_sound(fields: messages.HintFields) -> bool:
    return (
        math.isfinite(fields["stamp"])
        and 0 < fields["lifetime_s"] < math.inf
        and max(len(fields["subject"]), len(fields["origin"])) <= MAX_NAME_CHARACTERS
        and len(fields["value"]) <= MAX_VALUE_ITEMS
    )


def _fields(hint: interfaces.Hint, lifetime_s: float) -> messages.HintFields:
    return {
        "kind": hint.kind.value,
        "subject": hint.subject,
        "value": hint.value,
        "origin": hint.origin,
        "stamp": hint.stamp,
        "lifetime_s": lifetime_s,
    }
