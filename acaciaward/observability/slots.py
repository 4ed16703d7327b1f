"""
Counts of answers by time slot, service class, deployment and duration bound.

Slots start at multiples of their length in Unix time, so that the slots of any
two entries line up and can be added exactly. Short slots are kept for a short
time and longer ones for longer; a count stands in one slot of each level. A
slot keeps the bounds that were in force when it began a series, so a bound that
came later is reported only from where it was counted.

    book = SlotBook(levels=LEVELS, bounds=(0.5, 2.0))
    book.add(at, "urgent", "desk", seconds=0.3, is_failure=False)
    book.sum(since=at - 60.0, until=at, window_s=60.0)
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
    """Slots of one length in seconds, and how many are kept."""

    slot_s: int
    kept: int

    @property
    def span_s(self) -> int:
        """The longest window that the level can answer, in seconds."""
        return self.slot_s * (self.kept - 1)


LEVELS = (Level(10, 361), Level(300, 865), Level(3600, 745))


class Series(typing.NamedTuple):
    """What a count is about."""

    service_class: str
    deployment: str


class Counts(typing.NamedTuple):
    """
    Answers of one series: all, failures, and those within each bound.

    ``within`` maps a bound in seconds to the number of answers that were no
    failures and took at most as long. ``counted`` maps a bound to the number
    of answers that were compared with it; it is less than ``total`` while a
    bound is new.
    """

    total: int
    failures: int
    within: dict[float, int]
    counted: dict[float, int]


class _Cell:
    """The counts of one series in one slot, by position in the bounds."""

    __slots__ = ("bounds", "failures", "steps")

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self.steps = array.array("Q", bytes(8 * (len(bounds) + 1)))
        self.failures = 0


class _Slot(typing.NamedTuple):
    start: int
    cells: dict[Series, list[_Cell]]


class SlotBook:
    """Counts at every level, bounded in number."""

    def __init__(
        self,
        *,
        levels: tuple[Level, ...] = LEVELS,
        bounds: Bounds = DEFAULT_BOUNDS_S,
    ):
        self._levels = levels
        self._bounds = bounds
        self._slots: list[collections.deque[_Slot]] = [
            collections.deque(maxlen=level.kept) for level in levels
        ]

    def set_bounds(self, bounds: abc.Iterable[float]) -> None:
        """Compare answers with these bounds, in seconds, from now on."""
        self._bounds = tuple(sorted(set(bounds)))

    def level_for(self, window_s: float) -> Level:
        """Return the finest level that covers a window, or the longest one."""
        fitting = (level for level in self._levels if window_s <= level.span_s)
        return next(fitting, self._levels[-1])

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
            cell = self._cell(level, slots, at, series)
            if is_failure:
                cell.failures += 1
            else:
                cell.steps[bisect.bisect_left(cell.bounds, seconds)] += 1

    def _cell(
        self, level: Level, slots: collections.deque[_Slot], at: float, series: Series
    ) -> _Cell:
        start = slot_start(at, level.slot_s)
        # The wall clock may be set back; such answers go to the newest slot.
        if not slots or slots[-1].start < start:
            slots.append(_Slot(start, {}))
        cells = slots[-1].cells.setdefault(series, [])
        if not cells or cells[-1].bounds != self._bounds:
            cells.append(_Cell(self._bounds))
        return cells[-1]

    def sum(self, *, at: float, window_s: float) -> dict[Series, Counts]:
        """Return the counts of the window that ends with the slot of ``at``."""
        level = self.level_for(window_s)
        first = slot_start(at - window_s, level.slot_s)
        sums: dict[Series, Counts] = {}
        for slot in self._slots[self._levels.index(level)]:
            if first <= slot.start <= at:
                _add_slot(sums, slot)
        return sums

    def series(self, *, at: float, window_s: float) -> dict[int, dict[Series, Counts]]:
        """Return the counts of each slot of a window by the slot's start."""
        level = self.level_for(window_s)
        first = slot_start(at - window_s, level.slot_s)
        found: dict[int, dict[Series, Counts]] = {}
        for slot in self._slots[self._levels.index(level)]:
            if first <= slot.start <= at:
                _add_slot(found.setdefault(slot.start, {}), slot)
        return found


def slot_start(at: float, slot_s: int) -> int:
    """Return the start of the slot that a moment falls into."""
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
    for series, cells in slot.cells.items():
        for cell in cells:
            counts = _counts_of(cell)
            known = sums.get(series)
            sums[series] = add_counts(known, counts) if known else counts


def _counts_of(cell: _Cell) -> Counts:
    total = sum(cell.steps) + cell.failures
    within = {}
    running = 0
    for bound, count in zip(cell.bounds, cell.steps, strict=False):
        running += count
        within[bound] = running
    return Counts(total, cell.failures, within, dict.fromkeys(cell.bounds, total))
