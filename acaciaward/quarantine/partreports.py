"""
Encodes what entries report to each other of parts of prompts that crash endpoints.

A report is bounded: the parts with most crashes and the newest crashes are kept. See
``docs/design/tainted-parts.md``.
"""

import math
import typing
from collections import abc

from acaciaward import decoding
from acaciaward.quarantine import crashedendpoints

# Bound on the parts in one message.
MAX_REPORTED = 16
# Most endpoints, and common parts, in what others report of one part.
MAX_REPORTED_EACH = 256


class PartCrashes(typing.TypedDict):
    """Ages of a part's crashes in seconds by endpoint, and what all calls had."""

    ages: dict[str, float]
    common: list[str]


class Report(typing.TypedDict):
    """
    Crashes by part, and how many seconds ago parts in question were last served.

    ``crashed`` holds the ages of endpoints' crashes under any call, ``answered`` how
    long ago endpoints answered that were said to have crashed. Both are missing in
    messages of older builds.
    """

    crashes: dict[str, PartCrashes]
    served: dict[str, float]
    crashed: typing.NotRequired[dict[str, float]]
    answered: typing.NotRequired[dict[str, float]]


def empty_report() -> Report:
    """Return a report of nothing."""
    return {"crashes": {}, "served": {}, "crashed": {}, "answered": {}}


def merge(reports: abc.Iterable[Report]) -> Report:
    """Merge the reports of several entries, parts with most crashes first."""
    crashes: dict[str, PartCrashes] = {}
    served: dict[str, float] = {}
    crashed: dict[str, float] = {}
    answered: dict[str, float] = {}
    for report in reports:
        for part, found in report["crashes"].items():
            known = crashes.get(part)
            if known is None:
                crashes[part] = {**found, "ages": dict(found["ages"])}
                continue
            for endpoint, age_s in found["ages"].items():
                known["ages"][endpoint] = max(age_s, known["ages"].get(endpoint, 0.0))
            known["common"] = [
                name for name in known["common"] if name in found["common"]
            ]
        for part, age_s in report["served"].items():
            served[part] = min(age_s, served.get(part, math.inf))
        for endpoint, age_s in report.get("crashed", {}).items():
            crashed[endpoint] = max(age_s, crashed.get(endpoint, 0.0))
        for endpoint, age_s in report.get("answered", {}).items():
            answered[endpoint] = min(age_s, answered.get(endpoint, math.inf))
    by_crashes = sorted(crashes, key=lambda part: -len(crashes[part]["ages"]))
    return {
        "crashes": {part: crashes[part] for part in by_crashes[:MAX_REPORTED]},
        "served": dict(list(served.items())[:MAX_REPORTED]),
        "crashed": _newest(crashed),
        "answered": _newest(answered),
    }


def _newest(ages: abc.Mapping[str, float]) -> dict[str, float]:
    newest = sorted(ages.items(), key=lambda item: item[1])
    return dict(newest[: crashedendpoints.MAX_REPORTED])


def is_valid(
    part: str, ages: abc.Mapping[str, float], common: abc.Collection[str] = ()
) -> bool:
    """Return whether what others report of a part may be remembered."""
    return (
        all(map(decoding.is_name, (part, *ages, *common)))
        and all(map(decoding.is_in_range, ages.values()))
        and len(ages) <= MAX_REPORTED_EACH
        and len(common) <= MAX_REPORTED_EACH
    )
