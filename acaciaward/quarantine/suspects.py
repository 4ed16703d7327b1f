"""
Tracks which requests are suspected of crashing endpoints, shared through relays.

A request is suspected once enough endpoints, as seen by any of the entries, have
aborted the connection while they ran it. Once any entry has served it, it is cleared
for good of the crashes of that version of the endpoints' software: a request that
crashes every endpoint that runs it is never served. Requests are identified by a digest
of the parts that stay the same when a caller retries.

A crash early in an answer points at its request. Later on, most of what an endpoint was
running is sound, so that a request must have been there at more crashes, and at a large
part of all that are known. See ``docs/design/quarantine.md``.

Guards against a request that crashes each endpoint and is retried again and again.
"""

import collections
import hashlib
import logging
import typing
from collections import abc

from acaciaward.observability import logs
from acaciaward.quarantine import crashreports

log = logging.getLogger(__name__)

# Crashed endpoints after which a request is suspected. Endpoints also crash on their
# own; that a request meets three such crashes and no answer is unlikely.
CRASHES_TO_SUSPECT = 3
# The same if some crashes came later in an answer, or if as many endpoints have crashed
# without the request.
CRASHES_IF_DOUBTFUL = 5
# With later crashes, a request must have been at this share of the crashes known.
LEAST_SHARE_OF_CRASHES = 1 / 3
# How long a crash counts as one of those that a request was at or wasn't.
CRASH_MEMORY_S = 30.0
# Suspicion ends this long after the last crash. A caller that still retries after that
# costs three more crashes.
SUSPICION_LIFETIME_S = 300.0
# Crashes are reported for half of that time, so no peer reports one again to an entry
# that has already forgotten it.
REPORT_LIFETIME_S = SUSPICION_LIFETIME_S / 2
# A request with only one crash, a later one, is reported for this long.
COMPANY_REPORT_S = 10.0
# Bounds on the remembered requests with crashes and on those served lately.
MAX_KNOWN = 1000
MAX_SERVED = 4096
MAX_CRASHED = 256
# Bound on the endpoints, early or later ones, that are remembered of one request.
MAX_ENDPOINTS = 64
DIGEST_BYTES = 8


class Suspicion(typing.NamedTuple):
    """
    A request, how long ago its last crash became known, and the crashed endpoints.

    Under ``early`` ones the answer had just begun or hadn't, under ``later`` ones it
    had gone on for a while.
    """

    request: str
    age_s: float
    early: list[str]
    later: list[str]


class _Crashes(typing.NamedTuple):
    """
    The endpoints that crashed under a request, and when it was last told of a new one.

    ``later`` are those whose answer had gone on for a while.
    """

    early: frozenset[str] = frozenset()
    later: frozenset[str] = frozenset()
    last_at: float = 0.0

    @property
    def endpoints(self) -> frozenset[str]:
        return self.early | self.later

    @property
    def is_company(self) -> bool:
        """Whether the request was just one of those that an endpoint ran."""
        return not self.early and len(self.later) == 1

    def without(self, version: str) -> "_Crashes":
        """Return this without the crashes of a version, itself if there are none."""
        early, later = (
            frozenset(
                endpoint
                for endpoint in endpoints
                if version and crashreports.version_of(endpoint) not in ("", version)
            )
            for endpoints in (self.early, self.later)
        )
        if (early, later) == (self.early, self.later):
            return self
        return self._replace(early=early, later=later)

    def adding(
        self, early: abc.Iterable[str], later: abc.Iterable[str], now: float
    ) -> "_Crashes":
        """Return this with more crashed endpoints, itself if none is new."""
        all_early = _kept(self.early.union(early))
        all_later = _kept(self.later.union(later) - all_early)
        if (all_early, all_later) == (self.early, self.later):
            return self
        return _Crashes(all_early, all_later, now)


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


def _kept(endpoints: abc.Iterable[str]) -> frozenset[str]:
    return frozenset(sorted(endpoints)[:MAX_ENDPOINTS])


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
        # The requests that were company of one crash, which are many and mostly sound.
        self._company: collections.OrderedDict[str, _Crashes] = (
            collections.OrderedDict()
        )
        # When this entry first knew of the crash of each endpoint.
        self._crashed_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # By subject: requests at one version, and at any.
        self._served: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._cleared: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._crashes)

    def record_crash(
        self, request: str, endpoint: str, *, is_early: bool = True
    ) -> int:
        """
        Record that an endpoint crashed under a request; return how many did.

        Unless ``is_early``, the request's answer had gone on for a while.
        """
        version = crashreports.version_of(endpoint)
        if crashreports.subject_of(request, version) in self._served:
            return 0
        if is_early:
            self._add(request, early=[endpoint])
        else:
            self._add(request, later=[endpoint])
        return len(self._known(request).endpoints)

    def record_served(self, request: str, version: str = "") -> bool:
        """
        Record that a request was served by a version of the endpoints' software.

        Returns whether this cleared it of crashes; without a version, of all.
        """
        version_hash = crashreports.version_hash(version)
        for subject in {request, crashreports.subject_of(request, version_hash)}:
            self._served[subject] = None
            self._served.move_to_end(subject)
        _evict_oldest(self._served, MAX_SERVED)
        return self._clear(request, version_hash)

    def is_suspect(self, request: str) -> bool:
        """Return whether a request must not be sent to another endpoint."""
        record = self._crashes.get(request)
        if record is None:
            return False
        if self._clock() - record.last_at > SUSPICION_LIFETIME_S:
            del self._crashes[request]
            return False
        return self._is_guilty(record)

    def report(self) -> crashreports.CrashReport:
        """Return the newest crashes and cleared requests, to report to peers."""
        now = self._clock()
        for known in (self._crashes, self._company):
            _evict_older(known, now - SUSPICION_LIFETIME_S)
        newest = [
            (name, record)
            for name, record in reversed(self._crashes.items())
            if now - record.last_at <= REPORT_LIFETIME_S
        ]
        early = [(name, record.early) for name, record in newest if record.early]
        by_crashes = sorted(newest, key=lambda item: -len(item[1].endpoints))
        later = [(name, record) for name, record in by_crashes if record.later]
        later += [
            (name, record)
            for name, record in reversed(self._company.items())
            if now - record.last_at <= COMPANY_REPORT_S
        ]
        return {
            "crashes": crashreports.first_of(early[: crashreports.MAX_REPORTED]),
            "cleared": list(reversed(self._cleared))[: crashreports.MAX_REPORTED],
            "company": crashreports.by_endpoint(
                (name, crashreports.bounded(record.early, record.later)[1])
                for name, record in later
            ),
        }

    def receive(self, report: crashreports.CrashReport) -> None:
        """
        Receive a report of peers.

        A reported request that was served here is reported as cleared from now on.
        """
        skipped = 0
        for subject in report["cleared"]:
            name, _, version = subject.partition(crashreports.VERSION_MARK)
            self._clear(name, version)
        found = {
            name: _Crashes(early=frozenset(endpoints))
            for name, endpoints in report["crashes"].items()
        }
        for name, endpoints in crashreports.by_request(report).items():
            found[name] = found.get(name, _Crashes())._replace(
                later=frozenset(endpoints)
            )
        for name, record in found.items():
            if not crashreports.is_valid(name, record.endpoints):
                skipped += 1
            else:
                self._receive(name, record)
        if skipped:
            log.warning(
                "reported crashes are invalid", extra=logs.fields(count=skipped)
            )

    def _receive(self, request: str, record: _Crashes) -> None:
        """Add reported crashes, but those of versions that served the request."""
        subjects = {
            endpoint: crashreports.subject_of(
                request, crashreports.version_of(endpoint)
            )
            for endpoint in record.endpoints
        }
        for subject in set(subjects.values()) & self._served.keys():
            if not record.is_company:
                self._record_cleared(subject)
        counted = {
            endpoint
            for endpoint, subject in subjects.items()
            if subject not in self._served
            and subject not in self._cleared
            and request not in self._cleared
        }
        if counted:
            self._add(request, record.early & counted, record.later & counted)

    def suspicions(self, min_crashes: int) -> list[Suspicion]:
        """Return the requests with as many crashes, those with most first."""
        now = self._clock()
        _evict_older(self._crashes, now - SUSPICION_LIFETIME_S)
        found = [
            Suspicion(
                name,
                now - record.last_at,
                *crashreports.bounded(record.early, record.later),
            )
            for name, record in reversed(self._crashes.items())
            if len(record.endpoints) >= min_crashes
        ]
        return sorted(found, key=lambda item: -len(item.early) - len(item.later))

    def restore(self, suspicions: abc.Iterable[Suspicion]) -> None:
        """Add what was known at an earlier time."""
        now = self._clock()
        for found in sorted(suspicions, key=lambda item: -item.age_s):
            if found.age_s <= SUSPICION_LIFETIME_S:
                self._add(found.request, found.early, found.later, at=now - found.age_s)

    def _known(self, request: str) -> _Crashes:
        return self._crashes.get(request) or self._company.get(request) or _Crashes()

    def _add(
        self,
        request: str,
        early: abc.Iterable[str] = (),
        later: abc.Iterable[str] = (),
        at: float | None = None,
    ) -> None:
        """Add crashes that this entry gets to know now, or that were known before."""
        known = self._known(request)
        now = self._clock() if at is None else at
        record = known.adding(early, later, now)
        if record is known:
            return
        for endpoint in record.endpoints:
            self._crashed_at.setdefault(endpoint, now)
        _evict_oldest(self._crashed_at, MAX_CRASHED)
        self._company.pop(request, None)
        records = self._company if record.is_company else self._crashes
        records[request] = record
        records.move_to_end(request)
        _evict_oldest(records, MAX_KNOWN)
        if self._is_guilty(record) and not self._is_guilty(known):
            log.warning(
                "request crashes endpoints",
                extra=logs.fields(
                    digest=request,
                    crashes=len(record.endpoints),
                    later=len(record.later),
                    elsewhere=self._crashes_elsewhere(record),
                ),
            )

    def _is_guilty(self, record: _Crashes) -> bool:
        """Return whether the crashes known suffice to suspect a request."""
        early, total = len(record.early), len(record.endpoints)
        if early < CRASHES_TO_SUSPECT and total < CRASHES_IF_DOUBTFUL:
            return False
        if early >= CRASHES_IF_DOUBTFUL:
            return True
        elsewhere = self._crashes_elsewhere(record)
        if total >= CRASHES_IF_DOUBTFUL:
            return total >= LEAST_SHARE_OF_CRASHES * (total + elsewhere)
        return elsewhere < CRASHES_TO_SUSPECT

    def _crashes_elsewhere(self, record: _Crashes) -> int:
        """Return how many endpoints crashed without a request, until its last crash."""
        since = record.last_at - CRASH_MEMORY_S
        return sum(
            since <= at <= record.last_at and endpoint not in record.endpoints
            for endpoint, at in self._crashed_at.items()
        )

    def _clear(self, request: str, version: str) -> bool:
        """Drop the crashes of a version, of all versions if it is empty."""
        known = self._known(request)
        remaining = known.without(version)
        if remaining is known:
            return False
        records = self._company if request in self._company else self._crashes
        records[request] = remaining
        if not remaining.endpoints:
            del records[request]
        if not known.is_company:
            self._record_cleared(crashreports.subject_of(request, version))
        return not known.is_company

    def _record_cleared(self, request: str) -> None:
        self._cleared[request] = None
        self._cleared.move_to_end(request)
        _evict_oldest(self._cleared, crashreports.MAX_REPORTED)


def _evict_oldest(kept: collections.OrderedDict, max_count: int) -> None:
    while len(kept) > max_count:
        kept.popitem(last=False)


def _evict_older(
    kept: collections.OrderedDict[str, _Crashes], oldest_at: float
) -> None:
    while kept and next(iter(kept.values())).last_at < oldest_at:
        kept.popitem(last=False)
