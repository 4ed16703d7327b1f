"""
Keeps decaying sums of samples by endpoint, of this entry and of all others.

Sums are reported under a short key of name and start, so a relay with a hundred
endpoints holds them in less than two kilobytes.

    sums = RateSums(time.monotonic)
    sums.add(("model-1", 1700000000000), 0.5)
    sums.of(("model-1", 1700000000000)).lasting  # Sum(count=1.0, total=0.5)
"""

import math
import typing
import zlib
from collections import abc

# Time constants of the sums, in seconds: an endpoint gets some requests a second from
# all entries, so the fast sum holds enough of them to notice a slowdown by 4, and the
# slow one enough to notice a difference of a quarter.
LASTING_S = 15.0
RECENT_S = 1.5
# Sums of other entries are ignored if none came for this long, in seconds.
RECEIVED_LIFETIME_S = 4.0
# In reports, numbers are integers: hundredths.
SCALE = 100
# Fewer samples than this aren't reported, and are forgotten.
MIN_COUNT = 0.03
# One entry's samples at one endpoint count as at most so many: as many as an entry
# that answers 20 requests a second there has.
MAX_ENTRY_COUNT = 300.0
# No sample is larger; see ``endpointrates.MAX_SAMPLE``.
MAX_AVERAGE = 2.5
MAX_ROWS = 4096
ROW_LENGTH = 4

Incarnation = tuple[str, int]
# By ``key_of``: count and total of the slow sum, then of the fast one, in hundredths.
Report = dict[int, tuple[int, int, int, int]]


class Sum(typing.NamedTuple):
    """A decayed sum of samples, and of how many."""

    count: float = 0.0
    total: float = 0.0

    def plus(self, other: "Sum") -> "Sum":
        """Return the sum of both."""
        return Sum(self.count + other.count, self.total + other.total)

    def times(self, factor: float) -> "Sum":
        """Return the sum after a decay."""
        return Sum(self.count * factor, self.total * factor)


class Sums(typing.NamedTuple):
    """The slow and the fast sum of an endpoint."""

    lasting: Sum = Sum()
    recent: Sum = Sum()

    def decayed(self, elapsed_s: float) -> "Sums":
        """Return the sums as they are later."""
        return Sums(
            self.lasting.times(math.exp(-elapsed_s / LASTING_S)),
            self.recent.times(math.exp(-elapsed_s / RECENT_S)),
        )

    def plus(self, other: "Sums") -> "Sums":
        """Return the sums of both."""
        return Sums(self.lasting.plus(other.lasting), self.recent.plus(other.recent))


class RateSums:
    """The sums of all endpoints; ``clock`` is in seconds."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._own: dict[int, tuple[Sums, float]] = {}
        self._received: dict[int, Sums] = {}
        self._received_at = -math.inf

    def add(self, incarnation: Incarnation, sample: float) -> None:
        """Add a sample of this entry."""
        self._add(incarnation, Sums(Sum(1.0, sample), Sum(1.0, sample)))

    def withdraw(self, incarnation: Incarnation, sample: float, age_s: float) -> None:
        """Take back a sample that was added ``age_s`` ago."""
        added = Sums(Sum(1.0, sample), Sum(1.0, sample)).decayed(age_s)
        self._add(incarnation, Sums(added.lasting.times(-1), added.recent.times(-1)))

    def _add(self, incarnation: Incarnation, amount: Sums) -> None:
        key = key_of(incarnation)
        self._own[key] = (self._own_sums(key).plus(amount), self._clock())

    def _own_sums(self, key: int) -> Sums:
        if key not in self._own:
            return Sums()
        sums, updated_at = self._own[key]
        return sums.decayed(max(0.0, self._clock() - updated_at))

    def of(self, incarnation: Incarnation) -> Sums:
        """Return the sums of an endpoint, over all entries."""
        key = key_of(incarnation)
        sums = self._own_sums(key)
        age_s = max(0.0, self._clock() - self._received_at)
        if age_s < RECEIVED_LIFETIME_S and key in self._received:
            sums = sums.plus(self._received[key].decayed(age_s))
        return sums

    def report(self) -> Report:
        """Return the sums of this entry, and forget what has decayed."""
        current = {key: self._own_sums(key) for key in self._own}
        for key, sums in current.items():
            if sums.lasting.count < MIN_COUNT:
                del self._own[key]
        return {
            key: tuple(round(SCALE * figure) for one in sums for figure in one)
            for key, sums in current.items()
            if key in self._own
        }

    def receive(self, report: abc.Mapping[int, abc.Sequence[float]]) -> None:
        """Receive the sums of all other entries."""
        self._received = {
            key: Sums(
                Sum(row[0] / SCALE, row[1] / SCALE), Sum(row[2] / SCALE, row[3] / SCALE)
            )
            for key, row in valid(report, math.inf).items()
        }
        self._received_at = self._clock()


def key_of(incarnation: Incarnation) -> int:
    """
    Return the short key of an endpoint's start in reports.

    Two of a hundred endpoints have the same key with a probability of one in a million.
    """
    name, born = incarnation
    return zlib.crc32(f"{name}/{born}".encode())


def valid(
    report: abc.Mapping[int, abc.Sequence[float]], most: float = MAX_ENTRY_COUNT
) -> Report:
    """
    Return the rows of a report that samples can have brought about.

    Others are left out. A row of more than ``most`` samples counts as one of so many.
    """
    rows: Report = {}
    for key, row in list(report.items())[:MAX_ROWS]:
        if _is_possible(row):
            count = max(row[0], row[2])
            factor = min(1.0, SCALE * most / count) if count else 1.0
            rows[key] = tuple(round(factor * figure) for figure in row)
    return rows


def _is_possible(row: abc.Sequence[float]) -> bool:
    if len(row) != ROW_LENGTH or not all(map(math.isfinite, row)):
        return False
    # One hundredth more, as figures are rounded.
    return all(
        count >= 0 and abs(total) <= MAX_AVERAGE * (count + 1)
        for count, total in (row[:2], row[2:])
    )
