"""
Service-level burn: how fast an objective's error budget is being spent.

An objective allows a share of answers to be late or to fail. The burn rate of a
window is the share that was bad divided by the share that may be bad: 1.0 spends
the budget exactly within the objective's own window. Alerts follow the
multi-window method of Google's *Site Reliability Workbook*, chapter 5: a long
window shows that it matters, a short one that it goes on. The workbook's windows
belong to a month; here they scale with the objective's window.

    burn_rate(Tally(total=1000, good=990), share=0.995)    # 2.0
"""

import typing

from acaciaward import documents
from acaciaward.observability import slots

SHORTEST_WINDOW_S = 60.0
SHORT_WINDOW_RATIO = 12
ALL_DEPLOYMENTS = "*"
NO_DEPLOYMENT = "-"
# Stands for infinity, which JSON can't express.
NO_BUDGET_RATE = 1e9


class AlertRule(typing.NamedTuple):
    """
    When to tell whom.

    ``divisor`` makes the long window from the objective's; both windows must
    burn at ``rate`` or faster.
    """

    severity: str
    divisor: int
    rate: float


ALERT_RULES = (
    AlertRule("page", 720, 14.4),
    AlertRule("page", 120, 6.0),
    AlertRule("ticket", 10, 1.0),
)


class Tally(typing.NamedTuple):
    """Answers that an objective is about, and the good ones among them."""

    total: int
    good: int


class CountsFields(typing.TypedDict):
    """Counts as they travel; ``within`` and ``counted`` are lists of pairs."""

    service_class: str
    deployment: str
    total: int
    failures: int
    within: list[tuple[float, int]]
    counted: list[tuple[float, int]]


class WindowFields(typing.TypedDict):
    """The counts of one window in seconds."""

    window_s: float
    counts: list[CountsFields]


class PointFields(typing.TypedDict):
    """What one slot of an objective's window came to; ``start`` is Unix time."""

    objective: str
    start: int
    total: int
    good: int


class EntryBurn(typing.TypedDict):
    """
    What one entry has counted, as ``GET /v1/admin/burn`` answers it.

    ``at`` is the end of all windows and ``since`` when the entry began to
    count, both Unix seconds.
    """

    name: str
    at: float
    since: float
    windows: list[WindowFields]
    points: list[PointFields]


class WindowBurn(typing.TypedDict):
    """One window of an objective; ``rate`` is None without any answer."""

    window_s: float
    total: int
    good: int
    rate: float | None


class Alert(typing.TypedDict):
    """An alert rule whose windows both burn too fast."""

    severity: str
    long_window_s: float
    short_window_s: float
    rate: float


class ObjectiveBurn(typing.TypedDict):
    """One row of the report; ``budget_left`` is a share and may be negative."""

    objective: str
    deployment: str
    service_class: str
    deadline_s: float
    share: float
    windows: list[WindowBurn]
    budget_left: float | None
    alerts: list[Alert]


def windows_of(objective: documents.Objective) -> list[float]:
    """Return every window in seconds that an objective is judged by, ascending."""
    windows = {float(objective["window_s"])}
    for rule in ALERT_RULES:
        windows.update(_rule_windows(rule, objective["window_s"]))
    return sorted(windows)


def _rule_windows(rule: AlertRule, window_s: float) -> tuple[float, float]:
    long_s = max(window_s / rule.divisor, SHORTEST_WINDOW_S)
    short_s = max(long_s / SHORT_WINDOW_RATIO, SHORTEST_WINDOW_S)
    return float(long_s), float(short_s)


def burn_rate(tally: Tally, share: float) -> float | None:
    """Return how many times too fast the budget is spent, None without answers."""
    if not tally.total:
        return None
    bad = tally.total - tally.good
    allowed = (1.0 - share) * tally.total
    if allowed > 0:
        return bad / allowed
    return NO_BUDGET_RATE if bad else 0.0


def fields_of(counts: dict[slots.Series, slots.Counts]) -> list[CountsFields]:
    """Return counts in the form in which they travel."""
    return [
        {
            "service_class": series.service_class,
            "deployment": series.deployment,
            "total": one.total,
            "failures": one.failures,
            "within": sorted(one.within.items()),
            "counted": sorted(one.counted.items()),
        }
        for series, one in sorted(counts.items())
    ]


def tally(
    counts: list[CountsFields],
    objective: documents.Objective,
    deployment: str = ALL_DEPLOYMENTS,
) -> Tally:
    """Return what counts of any number of entries come to for an objective."""
    total = 0
    good = 0
    for one in counts:
        is_same_class = one["service_class"] == objective["service_class"]
        if is_same_class and deployment in (ALL_DEPLOYMENTS, one["deployment"]):
            total += dict(one["counted"]).get(objective["deadline_s"], 0)
            good += dict(one["within"]).get(objective["deadline_s"], 0)
    return Tally(total, good)


def report(
    objectives: dict[str, documents.Objective], answers: list[EntryBurn]
) -> list[ObjectiveBurn]:
    """Return one row for each objective and for each of its deployments."""
    rows = []
    for name, objective in sorted(objectives.items()):
        counts = _merge_windows(answers)
        for deployment in _deployments_of(objective, counts):
            rows.append(_row(name, objective, deployment, counts))
    return rows


def _merge_windows(answers: list[EntryBurn]) -> dict[float, list[CountsFields]]:
    merged: dict[float, list[CountsFields]] = {}
    for answer in answers:
        for window in answer["windows"]:
            merged.setdefault(window["window_s"], []).extend(window["counts"])
    return merged


def _deployments_of(
    objective: documents.Objective, counts: dict[float, list[CountsFields]]
) -> list[str]:
    named = {
        one["deployment"]
        for one in counts.get(objective["window_s"], [])
        if one["service_class"] == objective["service_class"]
    }
    return [ALL_DEPLOYMENTS, *sorted(named)]


def _row(
    name: str,
    objective: documents.Objective,
    deployment: str,
    counts: dict[float, list[CountsFields]],
) -> ObjectiveBurn:
    windows: list[WindowBurn] = []
    for window_s in windows_of(objective):
        found = tally(counts.get(window_s, []), objective, deployment)
        rate = burn_rate(found, objective["share"])
        windows.append({"window_s": window_s, **found._asdict(), "rate": rate})
    rates = {window["window_s"]: window["rate"] for window in windows}
    whole = rates[objective["window_s"]]
    return {
        "objective": name,
        "deployment": deployment,
        "service_class": objective["service_class"],
        "deadline_s": objective["deadline_s"],
        "share": objective["share"],
        "windows": windows,
        "budget_left": None if whole is None else 1.0 - whole,
        "alerts": _alerts(objective["window_s"], rates),
    }


def _alerts(window_s: float, rates: dict[float, float | None]) -> list[Alert]:
    alerts: list[Alert] = []
    for rule in ALERT_RULES:
        long_s, short_s = _rule_windows(rule, window_s)
        found = (rates[long_s], rates[short_s])
        if all(rate is not None and rate >= rule.rate for rate in found):
            alerts.append(
                {
                    "severity": rule.severity,
                    "long_window_s": long_s,
                    "short_window_s": short_s,
                    "rate": rule.rate,
                }
            )
    return alerts


def points(objective: str, answers: list[EntryBurn]) -> list[tuple[int, Tally]]:
    """Return what each slot of an objective's window came to, oldest first."""
    by_start: dict[int, Tally] = {}
    for answer in answers:
        for point in answer["points"]:
            if point["objective"] == objective:
                known = by_start.get(point["start"], Tally(0, 0))
                by_start[point["start"]] = Tally(
                    known.total + point["total"], known.good + point["good"]
                )
    return sorted(by_start.items())
