"""
Computes service-level burn: how fast an objective's error budget is being spent.

An objective allows a share of answers to be late or to fail. The burn rate of a
window is the share that was bad divided by the share that may be bad: 1.0 spends
the budget exactly within the objective's own window. Alerts follow the
multi-window method of Google's *Site Reliability Workbook*, chapter 5: a long
window shows that the burn is significant, a short one that it is still going on.
The workbook's windows are for objectives of a month; here they scale with the
objective's window.

    burn_rate(Tally(total=1000, good=990), share=0.995)    # 2.0
"""

import typing

from acaciaward import documents
from acaciaward.observability import slots

SHORTEST_WINDOW_S = 60.0
LONG_TO_SHORT_WINDOW_RATIO = 12
ALL_DEPLOYMENTS = "*"
NO_DEPLOYMENT = "-"
# Reported instead of infinity, which JSON can't express.
ZERO_BUDGET_RATE = 1e9


class AlertRule(typing.NamedTuple):
    """
    An alert's severity and the condition under which it fires.

    The long window is the objective's window divided by ``divisor``. Both the
    long and the short window must burn at ``rate`` or faster.
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
    """The number of answers that an objective covers, and of good ones."""

    total: int
    good: int


class CountsFields(typing.TypedDict):
    """``slots.Counts`` as sent between entries, with its mappings as pairs."""

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
    """The answers of one slot in an objective's window; ``start`` is Unix time."""

    objective: str
    start: int
    total: int
    good: int


class EntryBurn(typing.TypedDict):
    """
    The counts of one entry, as ``GET /v1/admin/burn`` returns them.

    ``at`` is the end of all windows and ``since`` the time at which the entry
    began to count, both Unix time in seconds.
    """

    name: str
    at: float
    since: float
    windows: list[WindowFields]
    points: list[PointFields]


class WindowBurn(typing.TypedDict):
    """One window of an objective; ``rate`` is None if it has no answers."""

    window_s: float
    total: int
    good: int
    rate: float | None


class Alert(typing.TypedDict):
    """A firing alert: both windows of its rule burn at ``rate`` or faster."""

    severity: str
    long_window_s: float
    short_window_s: float
    rate: float


class ObjectiveBurn(typing.TypedDict):
    """One row of the report; ``budget_left`` is a fraction and may be negative."""

    objective: str
    deployment: str
    service_class: str
    deadline_s: float
    share: float
    windows: list[WindowBurn]
    budget_left: float | None
    alerts: list[Alert]


def windows_of(objective: documents.Objective) -> list[float]:
    """Return every window in seconds that an objective is evaluated over, ascending."""
    windows = {float(objective["window_s"])}
    for rule in ALERT_RULES:
        windows.update(_rule_windows(rule, objective["window_s"]))
    return sorted(windows)


def _rule_windows(rule: AlertRule, window_s: float) -> tuple[float, float]:
    long_s = max(window_s / rule.divisor, SHORTEST_WINDOW_S)
    short_s = max(long_s / LONG_TO_SHORT_WINDOW_RATIO, SHORTEST_WINDOW_S)
    return float(long_s), float(short_s)


def burn_rate(tally: Tally, share: float) -> float | None:
    """Return the burn rate of a window, None if it has no answers."""
    if not tally.total:
        return None
    bad = tally.total - tally.good
    allowed = (1.0 - share) * tally.total
    if allowed > 0:
        return bad / allowed
    return ZERO_BUDGET_RATE if bad else 0.0


def to_fields(counts: dict[slots.Series, slots.Counts]) -> list[CountsFields]:
    """Return counts in the form in which entries send them."""
    return [
        {
            "service_class": series.service_class,
            "deployment": series.deployment,
            "total": series_counts.total,
            "failures": series_counts.failures,
            "within": sorted(series_counts.within.items()),
            "counted": sorted(series_counts.counted.items()),
        }
        for series, series_counts in sorted(counts.items())
    ]


def tally(
    counts: list[CountsFields],
    objective: documents.Objective,
    deployment: str = ALL_DEPLOYMENTS,
) -> Tally:
    """Add up the answers that an objective covers, from any number of entries."""
    total = 0
    good = 0
    for series in counts:
        is_same_class = series["service_class"] == objective["service_class"]
        if is_same_class and deployment in (ALL_DEPLOYMENTS, series["deployment"]):
            total += dict(series["counted"]).get(objective["deadline_s"], 0)
            good += dict(series["within"]).get(objective["deadline_s"], 0)
    return Tally(total, good)


def report(
    objectives: dict[str, documents.Objective], entry_burns: list[EntryBurn]
) -> list[ObjectiveBurn]:
    """Return rows for each objective: all deployments first, then each of them."""
    rows = []
    for name, objective in sorted(objectives.items()):
        counts = _merge_windows(entry_burns)
        for deployment in _deployments_of(objective, counts):
            rows.append(_objective_row(name, objective, deployment, counts))
    return rows


def _merge_windows(entry_burns: list[EntryBurn]) -> dict[float, list[CountsFields]]:
    merged: dict[float, list[CountsFields]] = {}
    for entry_burn in entry_burns:
        for window in entry_burn["windows"]:
            merged.setdefault(window["window_s"], []).extend(window["counts"])
    return merged


def _deployments_of(
    objective: documents.Objective, counts: dict[float, list[CountsFields]]
) -> list[str]:
    names = {
        series["deployment"]
        for series in counts.get(objective["window_s"], [])
        if series["service_class"] == objective["service_class"]
    }
    return [ALL_DEPLOYMENTS, *sorted(names)]


def _objective_row(
    name: str,
    objective: documents.Objective,
    deployment: str,
    counts: dict[float, list[CountsFields]],
) -> ObjectiveBurn:
    windows: list[WindowBurn] = []
    for window_s in windows_of(objective):
        window_tally = tally(counts.get(window_s, []), objective, deployment)
        rate = burn_rate(window_tally, objective["share"])
        windows.append({"window_s": window_s, **window_tally._asdict(), "rate": rate})
    rates = {window["window_s"]: window["rate"] for window in windows}
    full_window_rate = rates[objective["window_s"]]
    return {
        "objective": name,
        "deployment": deployment,
        "service_class": objective["service_class"],
        "deadline_s": objective["deadline_s"],
        "share": objective["share"],
        "windows": windows,
        "budget_left": None if full_window_rate is None else 1.0 - full_window_rate,
        "alerts": _alerts(objective["window_s"], rates),
    }


def _alerts(window_s: float, rates: dict[float, float | None]) -> list[Alert]:
    alerts: list[Alert] = []
    for rule in ALERT_RULES:
        long_s, short_s = _rule_windows(rule, window_s)
        rule_rates = (rates[long_s], rates[short_s])
        if all(rate is not None and rate >= rule.rate for rate in rule_rates):
            alerts.append(
                {
                    "severity": rule.severity,
                    "long_window_s": long_s,
                    "short_window_s": short_s,
                    "rate": rule.rate,
                }
            )
    return alerts


def points(objective: str, entry_burns: list[EntryBurn]) -> list[tuple[int, Tally]]:
    """Add up the slots of an objective's window over all entries, oldest first."""
    by_start: dict[int, Tally] = {}
    for entry_burn in entry_burns:
        for point in entry_burn["points"]:
            if point["objective"] == objective:
                previous = by_start.get(point["start"], Tally(0, 0))
                by_start[point["start"]] = Tally(
                    previous.total + point["total"], previous.good + point["good"]
                )
    return sorted(by_start.items())
