"""
Which requests are suspected of crashing endpoints, told among entries by relays.

A request is known by a digest of what is sent again when its caller comes back. It
is suspected once enough endpoints have broken off while they ran it, whichever entries
saw that, and cleared for good once any entry has served it: what crashes every
endpoint that runs it is never served.

Answers to: a request that crashes each endpoint, and is sent again and again.
"""

import collections
import hashlib
import typing
from collections import abc

# Endpoints that broke off under a request before it is suspected. Endpoints crash by
# themselves, too; a request that meets three such crashes and no answer is unlikely.
CRASHES = 3
# Suspicion ends this long after the last crash, in seconds: a caller that comes back
# for longer costs three more crashes.
LIFETIME_S = 300.0
# A crash is told for half of that time: when an entry forgets it, no other tells it
# anew.
TOLD_S = LIFETIME_S / 2
# Requests with crashes, and requests served lately, that are remembered.
MAX_KNOWN = 1000
MAX_SERVED = 2048
# Requests that one message tells of, the newest first.
MAX_TOLD = 32
DIGEST_BYTES = 8


class Told(typing.TypedDict):
    """What entries tell: endpoints crashed by each request, and cleared requests."""

    crashes: dict[str, list[str]]
    cleared: list[str]


class _Record(typing.NamedTuple):
    endpoints: frozenset[str]
    last_at: float


def digest(*parts: bytes) -> str:
    """
    Return what names a request whenever it comes.

        digest(b"/a/1", b"org", b"body")  # "d4e6..."
    """
    name = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        name.update(b"%d:" % len(part))
        name.update(part)
    return name.hexdigest()


def merge(parts: abc.Iterable[Told]) -> Told:
    """Return what several entries tell, as one message."""
    crashes: dict[str, set[str]] = {}
    cleared: dict[str, None] = {}
    for part in parts:
        for name, endpoints in part["crashes"].items():
            crashes.setdefault(name, set()).update(endpoints)
        cleared |= dict.fromkeys(part["cleared"])
    most_first = sorted(crashes, key=lambda name: -len(crashes[name]))
    return {
        "crashes": {
            name: sorted(crashes[name])[:CRASHES] for name in most_first[:MAX_TOLD]
        },
        "cleared": list(cleared)[:MAX_TOLD],
    }


class Suspects:
    """What one entry knows of crashes, seen here and told by others."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._known: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._served: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._cleared: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._known)

    def note_crash(self, request: str, endpoint: str) -> int:
        """Count an endpoint that broke off; return how many that makes."""
        if request in self._served:
            return 0
        self._add(request, {endpoint})
        return len(self._known[request].endpoints)

    def note_served(self, request: str) -> bool:
        """Remember that a request was served; return whether that cleared it."""
        self._served[request] = None
        self._served.move_to_end(request)
        _shrink(self._served, MAX_SERVED)
        return self._clear(request)

    def is_suspect(self, request: str) -> bool:
        """Whether a request must not be sent to one more endpoint."""
        record = self._known.get(request)
        if record is None:
            return False
        if self._clock() - record.last_at > LIFETIME_S:
            del self._known[request]
            return False
        return len(record.endpoints) >= CRASHES

    def tell(self) -> Told:
        """Return the newest of what is known here."""
        oldest = self._clock() - TOLD_S
        newest = list(reversed(self._known.items()))[:MAX_TOLD]
        return {
            "crashes": {
                name: sorted(record.endpoints)
                for name, record in newest
                if record.last_at >= oldest
            },
            "cleared": list(reversed(self._cleared))[:MAX_TOLD],
        }

    def hear(self, told: Told) -> None:
        """Take in what others tell; what was served here is told as cleared."""
        for name in told["cleared"]:
            self._clear(name)
        for name, endpoints in told["crashes"].items():
            if name in self._served:
                self._note_cleared(name)
            elif name not in self._cleared:
                self._add(name, endpoints)

    def _add(self, request: str, endpoints: abc.Iterable[str]) -> None:
        known = self._known.get(request)
        before = known.endpoints if known else frozenset()
        every = before | set(endpoints)
        if known is not None and every == before:
            return
        kept = frozenset(sorted(every)[:CRASHES])
        self._known[request] = _Record(kept, self._clock())
        self._known.move_to_end(request)
        _shrink(self._known, MAX_KNOWN)

    def _clear(self, request: str) -> bool:
        was_known = self._known.pop(request, None) is not None
        if was_known:
            self._note_cleared(request)
        return was_known

    def _note_cleared(self, request: str) -> None:
        self._cleared[request] = None
        self._cleared.move_to_end(request)
        _shrink(self._cleared, MAX_TOLD)


def _shrink(kept: collections.OrderedDict, most: int) -> None:
    while len(kept) > most:
        kept.popitem(last=False)
