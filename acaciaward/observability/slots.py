"""
Counts of answers by time slot, service class, deployment and duration bound.

Slots start at multiples of their length in Unix time, so that the slots of any
two entries line up and can be added exactly. There are several levels: those
with short slots keep them for a short time, those with longer slots for longer.
Each answer is counted once at every level. A slot keeps the bounds that applied
when it first counted a series, so a bound that is added later is reported only
from the first answers that were compared with it.

    table = SlotTable(levels=LEVELS, bounds=(0.5, 2.0))
    table.add(at, "urgent", "desk", seconds=0.3, is_failure=False)
    table.sum(at=at, window_s=60.0)
"""

import array
import bisect
import collections
import typing
from collections import abc

SHORT_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75)
LONG_BOUNDS_S = (1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 120.0)
DEFAULT_BOUNDS_S = SHORT_BOUNDS_S + LONG_BOUNDS_S

Bounds = tuple[float, ...]


class Level(typing.NamedTuple):
    """Slots of one length in seconds, and how many of them are kept."""

    slot_s: int
    max_slots: int

    @property
    def span_s(self) -> int:
        """The longest window that the level can answer, in seconds."""
        return self.slot_s * (self.max_slots - 1)


# One hour, three days and 31 days, each with one more slot for the current one.
LEVELS = (Level(10, 361), Level(300, 865), Level(3600, 745))


class Series(typing.NamedTuple):
    """The labels that answers are counted by."""

    service_class: str
    deployment: str


class Counts(typing.NamedTuple):
    """
    Answers of one series: all, failures, and those within each bound.

    ``within`` maps a bound in seconds to the number of answers that were not
    failures and took at most that long. ``counted`` maps a bound to the number
    of answers that were compared with it; it is less than ``total`` while a
    bound is new.
    """

    total: int
    failures: int
    within: dict[float, int]
    counted: dict[float, int]


class _Histogram:
    """
    The durations and failures of one series in one slot.

    ``buckets`` has one count per bound and a last one for longer durations.
    """

    __slots__ = ("bounds", "buckets", "failures")

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self.buckets = array.array("Q", bytes(8 * (len(bounds) + 1)))
        self.failures = 0


class _Slot(typing.NamedTuple):
    """A series has one histogram for each set of bounds used during the slot."""

    start: int
    histograms: dict[Series, list[_Histogram]]


class SlotTable:
    """The slots of all levels, each level with a bounded number."""

    def __init__(
        self,
        *,
        levels: tuple[Level, ...] = LEVELS,
        bounds: Bounds = DEFAULT_BOUNDS_S,
    ):
        self._levels = levels
        self._bounds = bounds
        self._slots: list[collections.deque[_Slot]] = [
            collections.deque(maxlen=level.max_slots) for level in levels
        ]

    def set_bounds(self, bounds: abc.Iterable[float]) -> None:
        """Compare answers with these bounds, in seconds, from now on."""
        self._bounds = tuple(sorted(set(bounds)))

    def level_for(self, window_s: float) -> Level:
        """Return the finest level that covers a window, or the longest one."""
        covering = (level for level in self._levels if window_s <= level.span_s)
        return next(covering, self._levels[-1])

    def add(
        self,
        at: float,
        service_class: str,
        deployment: str,
        *,
        seconds: float,
        is_failure: bool,
    ) -> None:
        """Count one answer that ended at ``at``, Unix time in seconds."""
        series = Series(service_class, deployment)
        for level, slots in zip(self._levels, self._slots, strict=True):
            histogram = self._histogram(level, slots, at, series)
            if is_failure:
                histogram.failures += 1
            else:
                histogram.buckets[bisect.bisect_left(histogram.bounds, seconds)] += 1

    def _histogram(
        self, level: Level, slots: collections.deque[_Slot], at: float, series: Series
    ) -> _Histogram:
        start = slot_start(at, level.slot_s)
        # If the wall clock was set back, answers go to the newest slot.
        if not slots or slots[-1].start < start:
            slots.append(_Slot(start, {}))
        histograms = slots[-1].histograms.setdefault(series, [])
        if not histograms or histograms[-1].bounds != self._bounds:
            histograms.append(_Histogram(self._bounds))
        return histograms[-1]

    def sum(self, *, at: float, window_s: float) -> dict[Series, Counts]:
        """Return the counts of the window that ends with the slot of ``at``."""
        level = self.level_for(window_s)
        first_start = slot_start(at - window_s, level.slot_s)
        sums: dict[Series, Counts] = {}
        for slot in self._slots[self._levels.index(level)]:
            if first_start <= slot.start <= at:
                _add_slot(sums, slot)
        return sums

    def sum_by_slot(
        self, *, at: float, window_s: float
    ) -> dict[int, dict[Series, Counts]]:
        """Return the counts of each slot of a window by the slot's start."""
        level = self.level_for(window_s)
        first_start = slot_start(at - window_s, level.slot_s)
        sums_by_start: dict[int, dict[Series, Counts]] = {}
        for slot in self._slots[self._levels.index(level)]:
            if first_start <= slot.start <= at:
                _add_slot(sums_by_start.setdefault(slot.start, {}), slot)
        return sums_by_start


def slot_start(at: float, slot_s: int) -> int:
    """Return the start of the slot that a time falls into, both in Unix time."""
    return int(at // slot_s) * slot_s


def add_counts(first: Counts, second: Counts) -> Counts:
    """Return the sum of two counts."""
    within = collections.Counter(first.within)
    within.update(second.within)
    counted = collections.Counter(first.counted)
    counted.update(second.counted)
    return Counts(
        first.total + second.total,
        first.failures + second.failures,
        dict(within),
        dict(counted),
    )


def _add_slot(sums: dict[Series, Counts], slot: _Slot) -> None:
    for series, histograms in slot.histograms.items():
        for histogram in histograms:
            counts = _to_counts(histogram)
            previous = sums.get(series)
            sums[series] = add_counts(previous, counts) if previous else counts


def _to_counts(histogram: _Histogram) -> Counts:
    total = sum(histogram.buckets) + histogram.failures
    within = {}
    cumulative = 0
    for bound, count in zip(histogram.bounds, histogram.buckets, strict=False):
        cumulative += count
        within[bound] = cumulative
    return Counts(
        total, histogram.failures, within, dict.fromkeys(histogram.bounds, total)
    )
