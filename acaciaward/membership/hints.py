"""
The hints that an entry holds: the newest for each kind, subject and origin.

Hints expire by the receiver's monotonic clock, so that a wrong clock elsewhere
can't keep one alive.
"""

import collections
import time
import typing

from acaciaward.membership import interfaces, messages

MAX_HINTS = 20_000
MAX_LIFETIME_S = 7200.0

_Key = tuple[interfaces.HintKind, str, str]


class HintBoard:
    """Implements ``interfaces.Hints``; gossip reads and feeds it."""

    def __init__(self, origin: str):
        self._origin = origin
        self._hints: dict[_Key, tuple[interfaces.Hint, float]] = {}
        self._listeners: dict[interfaces.HintKind, list] = collections.defaultdict(list)
        self._changed: collections.deque[interfaces.Hint] = collections.deque(
            maxlen=MAX_HINTS
        )

    def publish(
        self,
        kind: interfaces.HintKind,
        subject: str,
        value: dict[str, typing.Any],
        *,
        lifetime_s: float,
    ) -> None:
        """Hold a hint of this entry's own and spread it."""
        self.accept(
            interfaces.Hint(kind, subject, value, self._origin, time.time(), lifetime_s)
        )

    def accept(self, hint: interfaces.Hint) -> bool:
        """Take a hint in and return whether it was newer than what was held."""
        key = (hint.kind, hint.subject, hint.origin)
        held = self._hints.get(key)
        is_old = held is not None and held[0].stamp >= hint.stamp
        if is_old or len(self._hints) >= MAX_HINTS:
            return False
        lifetime_s = min(hint.lifetime_s, MAX_LIFETIME_S)
        self._hints[key] = (hint, time.monotonic() + lifetime_s)
        self._changed.append(hint)
        for listener in self._listeners[hint.kind]:
            listener(hint)
        return True

    def get(self, kind: interfaces.HintKind, subject: str) -> list[interfaces.Hint]:
        """Return the unexpired hints about a subject, one for each origin."""
        return [hint for hint in self.all(kind) if hint.subject == subject]

    def all(self, kind: interfaces.HintKind) -> list[interfaces.Hint]:
        """Return every unexpired hint of a kind."""
        self._forget_expired()
        return [hint for hint, _ in self._hints.values() if hint.kind is kind]

    def subscribe(
        self, kind: interfaces.HintKind, listener: interfaces.HintListener
    ) -> None:
        """Call a listener for each new or newer hint of a kind."""
        self._listeners[kind].append(listener)

    def to_fields(self) -> list[messages.HintFields]:
        """Return every unexpired hint in the form that travels."""
        self._forget_expired()
        now = time.monotonic()
        return [
            {
                "kind": hint.kind.value,
                "subject": hint.subject,
                "value": hint.value,
                "origin": hint.origin,
                "stamp": hint.stamp,
                "lifetime_s": expires - now,
            }
            for hint, expires in self._hints.values()
        ]

    def accept_fields(self, fields: messages.HintFields) -> None:
        """Take in a hint that a peer sent; an unknown kind is ignored."""
        try:
            kind = interfaces.HintKind(fields["kind"])
        except ValueError:
            return
        self.accept(interfaces.Hint(**(fields | {"kind": kind})))

    def _forget_expired(self) -> None:
        now = time.monotonic()
        expired = [key for key, (_, expires) in self._hints.items() if expires <= now]
        for key in expired:
            del self._hints[key]
