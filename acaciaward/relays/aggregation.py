"""
Sums what a reader receives from the entries of its data centre and other readers.

Quota use is summed by increments, so that an entry that fails or restarts doesn't
lower a sum. Loads and demand count only while they are recent.
"""

import operator
import statistics
import typing
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.quarantine import crashreports, partreports
from acaciaward.relays import messages
from acaciaward.rollouts import messages as rollout_messages, newsmerge
from acaciaward.routing import announcements

# Messages received longer ago than this are ignored.
MAX_AGE_S = 1.5
# The first totals of a source that started less than this long ago count in full: its
# use can't have been counted before. The time is long enough to receive messages from
# all sources that start together.
RECENT_START_S = 3.0
# Use from before a longer silence is no longer charged: windows of quotas have passed.
MAX_CHARGED_SILENCE_S = 10.0
# With fewer clocks than this there is no majority.
MIN_CLOCKS = 3


class _Received(typing.NamedTuple):
    received_at: float
    body: typing.Any


class Clocks(typing.NamedTuple):
    """The median Unix time of some clocks, and how many they are."""

    now: float
    clock_count: int


class Sums(typing.NamedTuple):
    """
    Sums over several entries.

    ``heard`` counts the entries whose messages the sums are based on. ``crashes`` and
    ``parts`` are those that any entry reports, ``limits`` and ``brittle`` the newest of
    what endpoints announce, and ``leaving`` names those that told any entry that they
    leave.
    """

    heard: int
    use: dict[str, float]
    load: dict[str, tuple[float, float]]
    demand: dict[str, tuple[float, ...]]
    crashes: crashreports.CrashReport
    limits: announcements.Report = {}
    parts: partreports.Report = partreports.empty_report()
    leaving: abc.Sequence[endpoints.Incarnation] = ()
    brittle: announcements.Report = {}
    rollouts: rollout_messages.News | None = None


def without_missing(figures: typing.NamedTuple) -> dict[str, typing.Any]:
    """Return the fields for a message; ``rollouts`` only if there is an order."""
    fields = figures._asdict()
    if fields["rollouts"] is None:
        del fields["rollouts"]
    return fields


class _UseTotals:
    """Sums the increments of use, in total and by source."""

    def __init__(self):
        self.total: dict[str, float] = {}
        self._by_source: dict[str, dict[str, float]] = {}
        self._last_totals: dict[str, dict[str, float]] = {}
        self._last_at: dict[str, float] = {}

    def add(
        self, source: str, totals: abc.Mapping[str, float], uptime_s: float, now: float
    ) -> None:
        """
        Add what a source's totals rose by since its last ones.

        The first totals of a source that didn't start recently are only the baseline.
        Of a source that was silent for longer than its messages count, only the part of
        that time is added: after it, the source used a part of the quota that was left
        to it. Nothing is added after a long silence.
        """
        is_recent_start = uptime_s < RECENT_START_S
        silence_s = now - self._last_at.get(source, now)
        counted_part = MAX_AGE_S / max(MAX_AGE_S, silence_s)
        if silence_s > MAX_CHARGED_SILENCE_S:
            counted_part = 0.0
        self._last_at[source] = now
        last_totals = self._last_totals.get(source)
        own_totals = self._by_source.setdefault(source, {})
        for name, total in totals.items():
            if last_totals is None:
                previous = 0.0 if is_recent_start else total
            else:
                previous = last_totals.get(name, 0.0)
            # A total is lower than before after a restart or if units were returned.
            amount = (total - previous) * counted_part
            own_totals[name] = own_totals.get(name, 0.0) + amount
            self.total[name] = self.total.get(name, 0.0) + amount
        self._last_totals[source] = dict(totals)

    def total_excluding(self, source: str) -> dict[str, float]:
        """Return the summed increments of all sources except one."""
        own_totals = self._by_source.get(source, {})
        return {
            name: total - own_totals.get(name, 0.0)
            for name, total in self.total.items()
        }


class Aggregator:
    """Keeps the last reports and summaries, and computes sums over them."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._reports: dict[str, _Received] = {}
        self._summaries: dict[str, _Received] = {}
        self._own_use = _UseTotals()
        self._all_use = _UseTotals()

    def receive_report(self, report: messages.Report) -> None:
        """Store the report of an entry of this data centre, and add its use."""
        source = report["start"]
        self._reports[report["sender"]] = _Received(self._clock(), report)
        for use in (self._own_use, self._all_use):
            use.add(source, report["use"], report["uptime_s"], self._clock())

    def receive_summary(self, summary: messages.Summary) -> None:
        """Store the summary of another data centre's reader, and add its use."""
        self._summaries[summary["data_centre"]] = _Received(self._clock(), summary)
        self._all_use.add(
            summary["sender"], summary["use"], summary["uptime_s"], self._clock()
        )

    def reports(self) -> dict[str, messages.Report]:
        """Return the last report of each entry, including those that are gone."""
        return {name: received.body for name, received in self._reports.items()}

    def recently_started(self) -> set[str]:
        """Return the entries whose last report says that they started recently."""
        return {
            name
            for name, received in self._reports.items()
            if received.body["uptime_s"] < RECENT_START_S
        }

    def forget(self, names: abc.Container[str]) -> None:
        """Remove the reports of entries that are permanently gone."""
        for name in [name for name in self._reports if name in names]:
            del self._reports[name]

    def summary(self) -> Sums:
        """Return the sums over the entries of this data centre."""
        reports = self._recent(self._reports)
        return Sums(
            len(reports),
            dict(self._own_use.total),
            add_figures(message["load"] for message in reports),
            add_figures(message["demand"] for message in reports),
            crashreports.merge(message["crashes"] for message in reports),
            self._merge_announced("limits", self._reports),
            _merge_parts(reports),
            _merge_leaving(reports),
            self._merge_announced("brittle", self._reports),
            self._merge_rollouts(self._reports),
        )

    def sums_for(self, entry: str) -> Sums:
        """
        Return the sums for one entry.

        Use and load are those of all other entries; demand and crashes those of all.
        """
        return self.sums_for_each([entry])[entry]

    def sums_for_each(self, entries: abc.Iterable[str]) -> dict[str, Sums]:
        """
        Return ``sums_for`` of each entry.

        The total is computed once, and each entry's own part is subtracted from it.
        """
        reports = self._recent(self._reports)
        summaries = self._recent(self._summaries)
        all_messages = [*reports, *summaries]
        entry_count = len(reports) + sum(message["heard"] for message in summaries)
        load = add_figures(message["load"] for message in all_messages)
        demand = add_figures(message["demand"] for message in all_messages)
        crashes = crashreports.merge(message["crashes"] for message in all_messages)
        limits, brittle = (
            self._merge_announced(field, self._reports, self._summaries)
            for field in ("limits", "brittle")
        )
        parts = _merge_parts(all_messages)
        leaving = _merge_leaving(all_messages)
        rollouts = self._merge_rollouts(self._reports, self._summaries)
        own_loads = {message["sender"]: message["load"] for message in reports}
        sums = {}
        for entry in entries:
            last_report = self._reports.get(entry)
            start = last_report.body["start"] if last_report else ""
            sums[entry] = Sums(
                entry_count,
                self._all_use.total_excluding(start),
                subtract_figures(load, own_loads.get(entry, {})),
                demand,
                crashes,
                limits,
                parts,
                leaving,
                brittle,
                rollouts,
            )
        return sums

    def clocks(self) -> Clocks:
        """Return the median Unix time of this data centre, and of how many clocks."""
        now = self._clock()
        times = [
            received.body["now"] + now - received.received_at
            for received in self._reports.values()
            if now - received.received_at <= MAX_AGE_S
        ]
        return Clocks(statistics.median(times) if times else 0.0, len(times))

    def majority_time(self) -> float | None:
        """
        Return the median Unix time of the entries' clocks, None without a majority.

        The median of another data centre counts as often as it has clocks.
        """
        now = self._clock()
        own = self.clocks()
        times = [own.now] * own.clock_count
        for received in self._summaries.values():
            age_s = now - received.received_at
            if age_s <= MAX_AGE_S and "now" in received.body:
                time_there = received.body["now"] + age_s
                times += [time_there] * received.body["clock_count"]
        return statistics.median(times) if len(times) >= MIN_CLOCKS else None

    def _merge_announced(
        self, field: str, *sources: abc.Mapping[str, _Received]
    ) -> announcements.Report:
        """Return the newest of what recent messages say, with its age as of now."""
        now = self._clock()
        return announcements.merge(
            {
                key: (value, age_s + now - received.received_at)
                for key, (value, age_s) in received.body.get(field, {}).items()
            }
            for messages_by_source in sources
            for received in messages_by_source.values()
            if now - received.received_at <= MAX_AGE_S
        )

    def _merge_rollouts(
        self, *sources: abc.Mapping[str, _Received]
    ) -> rollout_messages.News | None:
        """Return what recent messages say of roll-outs, None without an order."""
        now = self._clock()
        return newsmerge.merge(
            (received.body.get("rollouts"), now - received.received_at)
            for messages_by_source in sources
            for received in messages_by_source.values()
            if now - received.received_at <= MAX_AGE_S
        )

    def _recent(
        self, messages_by_source: abc.Mapping[str, _Received]
    ) -> list[typing.Any]:
        oldest = self._clock() - MAX_AGE_S
        return [
            received.body
            for received in messages_by_source.values()
            if received.received_at >= oldest
        ]


def _merge_parts(received: abc.Iterable[typing.Any]) -> partreports.Report:
    return partreports.merge(
        message["parts"] for message in received if "parts" in message
    )


def _merge_leaving(
    received: abc.Iterable[typing.Any],
) -> list[endpoints.Incarnation]:
    return sorted(
        {tuple(one) for message in received for one in message.get("leaving", ())}
    )


def add_figures(
    parts: abc.Iterable[abc.Mapping[str, tuple[float, ...]]],
) -> dict[str, tuple[float, ...]]:
    """Add up tuples of the same length, name by name."""
    total: dict[str, tuple[float, ...]] = {}
    for part in parts:
        for name, figures in part.items():
            sum_so_far = total.get(name)
            total[name] = (
                tuple(figures)
                if sum_so_far is None
                else tuple(map(operator.add, sum_so_far, figures))
            )
    return total


def subtract_figures(
    total: abc.Mapping[str, tuple[float, ...]],
    part: abc.Mapping[str, tuple[float, ...]],
) -> dict[str, tuple[float, ...]]:
    """Subtract one part from a sum, and drop names whose figures become zero."""
    remaining_total = dict(total)
    for name, figures in part.items():
        remaining = tuple(map(operator.sub, remaining_total[name], figures))
        if any(remaining):
            remaining_total[name] = remaining
        else:
            del remaining_total[name]
    return remaining_total
