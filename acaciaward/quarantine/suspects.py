"""
Tracks which requests are suspected of crashing endpoints, shared through relays.

A request is suspected once enough endpoints, as seen by any of the entries, have
aborted the connection while they ran it. It is cleared for good once any entry has
served it: a request that crashes every endpoint that runs it is never served. Requests
are identified by a digest of the parts that stay the same when a caller retries.

Guards against a request that crashes each endpoint and is retried again and again.
"""

import collections
import hashlib
import typing
from collections import abc

# Crashed endpoints after which a request is suspected. Endpoints also crash on their
# own; that a request meets three such crashes and no answer is unlikely.
CRASHES_TO_SUSPECT = 3
# Suspicion ends this long after the last crash. A caller that still retries after that
# costs three more crashes.
SUSPICION_LIFETIME_S = 300.0
# Crashes are reported for half of that time, so no peer reports one again to an entry
# that has already forgotten it.
REPORT_LIFETIME_S = SUSPICION_LIFETIME_S / 2
# Bounds on the remembered requests with crashes and on those served lately.
MAX_KNOWN = 1000
MAX_SERVED = 2048
# Bound on the requests that one message reports, the newest first.
MAX_REPORTED = 32
DIGEST_BYTES = 8


class CrashReport(typing.TypedDict):
    """The endpoints that each request crashed, and the cleared requests."""

    crashes: dict[str, list[str]]
    cleared: list[str]


class _Crashes(typing.NamedTuple):
    endpoints: frozenset[str]
    last_at: float


def digest(*parts: bytes) -> str:
    """
    Return a digest that identifies a request, also when it is retried.

        digest(b"/a/1", b"org", b"body")  # "d4e6..."
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(b"%d:" % len(part))
        hasher.update(part)
    return hasher.hexdigest()


def merge(reports: abc.Iterable[CrashReport]) -> CrashReport:
    """Merge the reports of several entries, those with most crashes first."""
    crashes: dict[str, set[str]] = {}
    cleared: dict[str, None] = {}
    for report in reports:
        for name, endpoints in report["crashes"].items():
            crashes.setdefault(name, set()).update(endpoints)
        cleared |= dict.fromkeys(report["cleared"])
    by_endpoints = sorted(crashes, key=lambda name: -len(crashes[name]))
    return {
        "crashes": {
            name: sorted(crashes[name])[:CRASHES_TO_SUSPECT]
            for name in by_endpoints[:MAX_REPORTED]
        },
        "cleared": list(cleared)[:MAX_REPORTED],
    }


class Suspects:
    """
    The crashes known to one entry, its own and those that peers report.

    Requests are given by their ``digest``.
    """

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._crashes: collections.OrderedDict[str, _Crashes] = (
            collections.OrderedDict()
        )
        self._served: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._cleared: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._crashes)

    def record_crash(self, request: str, endpoint: str) -> int:
        """Record that a request crashed an endpoint; return how many it crashed."""
        if request in self._served:
            return 0
        self._add(request, {endpoint})
        return len(self._crashes[request].endpoints)

    def record_served(self, request: str) -> bool:
        """Record that a request was served; return whether this cleared it."""
        self._served[request] = None
        self._served.move_to_end(request)
        _evict_oldest(self._served, MAX_SERVED)
        return self._clear(request)

    def is_suspect(self, request: str) -> bool:
        """Return whether a request must not be sent to another endpoint."""
        record = self._crashes.get(request)
        if record is None:
            return False
        if self._clock() - record.last_at > SUSPICION_LIFETIME_S:
            del self._crashes[request]
            return False
        return len(record.endpoints) >= CRASHES_TO_SUSPECT

    def report(self) -> CrashReport:
        """Return the newest crashes and cleared requests, to report to peers."""
        oldest = self._clock() - REPORT_LIFETIME_S
        newest = list(reversed(self._crashes.items()))[:MAX_REPORTED]
        return {
            "crashes": {
                name: sorted(record.endpoints)
                for name, record in newest
                if record.last_at >= oldest
            },
            "cleared": list(reversed(self._cleared))[:MAX_REPORTED],
        }

    def receive(self, report: CrashReport) -> None:
        """
        Receive a report of peers.

        A reported request that was served here is reported as cleared from now on.
        """
        for name in report["cleared"]:
            self._clear(name)
        for name, endpoints in report["crashes"].items():
            if name in self._served:
                self._record_cleared(name)
            elif name not in self._cleared:
                self._add(name, endpoints)

    def _add(self, request: str, endpoints: abc.Iterable[str]) -> None:
        known = self._crashes.get(request)
        known_endpoints = known.endpoints if known else frozenset()
        all_endpoints = known_endpoints | set(endpoints)
        if known is not None and all_endpoints == known_endpoints:
            return
        kept = frozenset(sorted(all_endpoints)[:CRASHES_TO_SUSPECT])
        self._crashes[request] = _Crashes(kept, self._clock())
        self._crashes.move_to_end(request)
        _evict_oldest(self._crashes, MAX_KNOWN)

    def _clear(self, request: str) -> bool:
        was_known = self._crashes.pop(request, None) is not None
        if was_known:
            self._record_cleared(request)
        return was_known

    def _record_cleared(self, request: str) -> None:
        self._cleared[request] = None
        self._cleared.move_to_end(request)
        _evict_oldest(self._cleared, MAX_REPORTED)


def _evict_oldest(kept: collections.OrderedDict, max_count: int) -> None:
    while len(kept) > max_count:
        kept.popitem(last=False)
