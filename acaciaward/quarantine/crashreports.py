"""
Encodes the crashes of endpoints that entries report to each other.

A report is bounded: each of its lists begins with what is most telling, and the rest is
left out. See ``docs/design/quarantine.md``.
"""

import hashlib
import typing
from collections import abc

from acaciaward import decoding

# Bound on the requests that one message reports, the newest first, and on how often it
# names an endpoint with them.
MAX_REPORTED = 32
MAX_CRASHES_REPORTED = 96
# Bounds on the endpoints with company in a message, and on the requests of all of them.
MAX_ENDPOINTS_REPORTED = 8
MAX_COMPANY_REPORTED = 48
# Bound on the endpoints that crashed early under one request, and on all that did, in
# what is reported or stored of it. A report of more is invalid, also to older builds.
MAX_EARLY_EACH = 5
MAX_ENDPOINTS_EACH = 10
VERSION_BYTES = 2
VERSION_MARK = "@"


class CrashReport(typing.TypedDict):
    """
    The endpoints that each request crashed, and the cleared requests.

    Endpoints are named as by ``endpoint_key``. A request may be cleared of the crashes
    of one version, see ``subject_of``. ``company`` holds, by crashed endpoint, the
    requests whose answers had gone on there for a while. It is missing in messages of
    older builds.
    """

    crashes: dict[str, list[str]]
    cleared: list[str]
    company: typing.NotRequired[dict[str, list[str]]]


def endpoint_key(name: str, born: int, version: str) -> str:
    """
    Return what identifies a run of an endpoint, with a hash of its version.

        endpoint_key("i-1", 5, "v2")  # "i-1/5@0c1b"

    Older builds leave the version out, as is done where there is none.
    """
    return subject_of(run_key(name, born), version_hash(version))


def run_key(name: str, born: int) -> str:
    """Return what identifies a run of an endpoint, whatever its version."""
    return f"{name}/{born}"


def version_hash(version: str) -> str:
    """Return what stands for a version in a report, empty if there is none."""
    if not version:
        return ""
    return hashlib.blake2b(version.encode(), digest_size=VERSION_BYTES).hexdigest()


def version_of(endpoint: str) -> str:
    """Return the hash of an endpoint's version, empty if it isn't named."""
    version = endpoint.rpartition(VERSION_MARK)[2]
    has_version = VERSION_MARK in endpoint and len(version) == 2 * VERSION_BYTES
    return version if has_version else ""


def subject_of(name: str, version: str) -> str:
    """Return a name with the hash of a version, without one if that is empty."""
    return f"{name}{VERSION_MARK}{version}" if version else name


def bounded(
    early: abc.Iterable[str], later: abc.Iterable[str]
) -> tuple[list[str], list[str]]:
    """Return as many endpoints as are reported of a request, early and later ones."""
    kept_early = sorted(early)[:MAX_EARLY_EACH]
    return kept_early, sorted(later)[: MAX_ENDPOINTS_EACH - len(kept_early)]


def merge(reports: abc.Iterable[CrashReport]) -> CrashReport:
    """Merge the reports of several entries, those with most crashes first."""
    crashes: dict[str, set[str]] = {}
    cleared: dict[str, None] = {}
    later: dict[str, set[str]] = {}
    # Each report begins with what is most telling.
    ranks: dict[str, int] = {}
    for report in reports:
        for name, endpoints in report["crashes"].items():
            crashes.setdefault(name, set()).update(endpoints)
        for rank, (name, endpoints) in enumerate(by_request(report).items()):
            later.setdefault(name, set()).update(endpoints)
            ranks[name] = min(rank, ranks.get(name, rank))
        cleared |= dict.fromkeys(report["cleared"])
    by_endpoints = sorted(crashes, key=lambda name: -len(crashes[name]))
    by_later = sorted(later, key=lambda name: (-len(later[name]), ranks[name]))
    return {
        "crashes": first_of(
            (name, crashes[name]) for name in by_endpoints[:MAX_REPORTED]
        ),
        "cleared": list(cleared)[:MAX_REPORTED],
        "company": by_endpoint(
            (name, bounded(crashes.get(name, ()), later[name])[1]) for name in by_later
        ),
    }


def is_valid(request: str, endpoints: abc.Collection[str]) -> bool:
    """Return whether a request and endpoints that others name may be remembered."""
    return (
        decoding.is_name(request)
        and all(map(decoding.is_name, endpoints))
        and len(endpoints) <= MAX_ENDPOINTS_EACH
    )


def first_of(
    crashes: abc.Iterable[tuple[str, abc.Collection[str]]],
) -> dict[str, list[str]]:
    """Return the first requests' endpoints, within the bounds of a message."""
    found: dict[str, list[str]] = {}
    count = 0
    for name, endpoints in crashes:
        kept = sorted(endpoints)[:MAX_EARLY_EACH]
        count += len(kept)
        if count > MAX_CRASHES_REPORTED:
            break
        found[name] = kept
    return found


def by_endpoint(
    later: abc.Iterable[tuple[str, abc.Collection[str]]],
) -> dict[str, list[str]]:
    """Return the first requests by endpoint, within the bounds of a message."""
    company: dict[str, list[str]] = {}
    count = 0
    for name, endpoints in later:
        for endpoint in sorted(endpoints):
            has_room = endpoint in company or len(company) < MAX_ENDPOINTS_REPORTED
            if has_room and count < MAX_COMPANY_REPORTED:
                company.setdefault(endpoint, []).append(name)
                count += 1
    return company


def by_request(report: CrashReport) -> dict[str, set[str]]:
    """Return the endpoints by request that a report names as company of crashes."""
    later: dict[str, set[str]] = {}
    for endpoint, names in report.get("company", {}).items():
        for name in names:
            later.setdefault(name, set()).add(endpoint)
    return later
