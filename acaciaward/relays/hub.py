"""
The sums that a reader keeps over the entries of its data centre and the others.

Quota use is summed by increments, so that an entry that dies or starts anew never
lowers a sum; loads and demand count only while they are fresh.
"""

import operator
import statistics
import typing
from collections import abc

from acaciaward.quarantine import suspects
from acaciaward.relays import messages

# What was told longer ago than this is left out, in seconds.
FRESH_S = 1.5
# Whatever a source that started no longer ago than this tells of its use is news, in
# seconds: others that started together with it have had time to be heard.
FRESH_START_S = 3.0
# With fewer clocks than this there is no majority.
LEAST_VOTES = 3


class _Told(typing.NamedTuple):
    at: float
    body: typing.Any


class Sums(typing.NamedTuple):
    """
    Sums over all entries but one; ``heard`` counts the entries behind them.

    ``crashes`` are those that any entry tells of.
    """

    heard: int
    use: dict[str, float]
    load: dict[str, tuple[float, float]]
    demand: dict[str, tuple[float, ...]]
    crashes: suspects.Told


class _Use:
    """Increments of use, in all and by source."""

    def __init__(self):
        self.total: dict[str, float] = {}
        self._by_source: dict[str, dict[str, float]] = {}
        self._last: dict[str, dict[str, float]] = {}

    def take(
        self, source: str, totals: abc.Mapping[str, float], uptime_s: float
    ) -> None:
        """Take in a source's totals; an old one's first ones are where it begins."""
        is_fresh = uptime_s < FRESH_START_S
        last = self._last.get(source)
        own = self._by_source.setdefault(source, {})
        for name, total in totals.items():
            if last is None:
                known = 0.0 if is_fresh else total
            else:
                known = last.get(name, 0.0)
            # A lower total is that of a new start, or of what was given back.
            amount = total - known
            own[name] = own.get(name, 0.0) + amount
            self.total[name] = self.total.get(name, 0.0) + amount
        self._last[source] = dict(totals)

    def without(self, source: str) -> dict[str, float]:
        """Return the increments of all other sources."""
        own = self._by_source.get(source, {})
        return {name: total - own.get(name, 0.0) for name, total in self.total.items()}


class Hub:
    """Keeps reports and summaries, and answers with sums."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._reports: dict[str, _Told] = {}
        self._summaries: dict[str, _Told] = {}
        self._own_use = _Use()
        self._all_use = _Use()

    def take_report(self, report: messages.Report) -> None:
        """Take in what an entry of this data centre tells."""
        source = report["start"]
        self._reports[report["sender"]] = _Told(self._clock(), report)
        self._own_use.take(source, report["use"], report["uptime_s"])
        self._all_use.take(source, report["use"], report["uptime_s"])

    def take_summary(self, summary: messages.Summary) -> None:
        """Take in what another data centre's reader tells."""
        self._summaries[summary["data_centre"]] = _Told(self._clock(), summary)
        self._all_use.take(summary["sender"], summary["use"], summary["uptime_s"])

    def reports(self) -> dict[str, messages.Report]:
        """Return the last report of each entry, also of those that are gone."""
        return {name: told.body for name, told in self._reports.items()}

    def forget(self, names: abc.Container[str]) -> None:
        """Drop the reports of entries that are gone for good."""
        for name in [one for one in self._reports if one in names]:
            del self._reports[name]

    def summary(self) -> Sums:
        """Return the sums over this data centre."""
        reports = self._fresh(self._reports)
        return Sums(
            len(reports),
            dict(self._own_use.total),
            _add_figures(one["load"] for one in reports),
            _add_figures(one["demand"] for one in reports),
            suspects.merge(one["crashes"] for one in reports),
        )

    def sums_for(self, entry: str) -> Sums:
        """Return the sums that an entry needs: use and load of all the others."""
        return self.sums_for_each([entry])[entry]

    def sums_for_each(self, entries: abc.Iterable[str]) -> dict[str, Sums]:
        """
        Return ``sums_for`` of each entry.

        Everything is added up once, and each entry's own part taken off again.
        """
        reports = self._fresh(self._reports)
        summaries = self._fresh(self._summaries)
        everyone = [*reports, *summaries]
        heard = len(reports) + sum(one["heard"] for one in summaries)
        load = _add_figures(one["load"] for one in everyone)
        demand = _add_figures(one["demand"] for one in everyone)
        crashes = suspects.merge(one["crashes"] for one in everyone)
        own_loads = {one["sender"]: one["load"] for one in reports}
        sums = {}
        for entry in entries:
            known = self._reports.get(entry)
            start = known.body["start"] if known else ""
            sums[entry] = Sums(
                heard,
                self._all_use.without(start),
                _take_off(load, own_loads.get(entry, {})),
                demand,
                crashes,
            )
        return sums

    def true_now(self, own: float) -> float:
        """Return the median of the entries' times of day, ``own`` without a vote."""
        now = self._clock()
        times = [
            told.body["now"] + now - told.at
            for told in self._reports.values()
            if now - told.at <= FRESH_S
        ]
        return statistics.median(times) if len(times) >= LEAST_VOTES else own

    def _fresh(self, told: abc.Mapping[str, _Told]) -> list[typing.Any]:
        oldest = self._clock() - FRESH_S
        return [one.body for one in told.values() if one.at >= oldest]


def _add_figures(
    parts: abc.Iterable[abc.Mapping[str, tuple[float, ...]]],
) -> dict[str, tuple[float, ...]]:
    """Add up tuples of the same length, name by name."""
    total: dict[str, tuple[float, ...]] = {}
    for part in parts:
        for name, figures in part.items():
            known = total.get(name)
            total[name] = (
                tuple(figures)
                if known is None
                else tuple(map(operator.add, known, figures))
            )
    return total


def _take_off(
    total: abc.Mapping[str, tuple[float, ...]],
    part: abc.Mapping[str, tuple[float, ...]],
) -> dict[str, tuple[float, ...]]:
    """Return a sum without one of its parts; what is nothing then is left out."""
    rest = dict(total)
    for name, figures in part.items():
        left = tuple(map(operator.sub, rest[name], figures))
        if any(left):
            rest[name] = left
        else:
            del rest[name]
    return rest
