"""
Counts of the attempts at the versions of a service, by version and route.

Figures are sums since the order was read, so they are added over entries, and the
difference of two of an entry's figures is what happened in between.
"""

import bisect
import collections
import operator
import typing
from collections import abc

# Upper limits of the times to the first byte that are told apart, in seconds: 5 ms to
# 15 s. With a factor of 1.4, a third of the answers that took four times as long were
# missed in the model.
BUCKET_LIMITS_S = tuple(0.005 * 1.25**step for step in range(37))
_BUCKETS = len(BUCKET_LIMITS_S) + 1


class Figures(typing.NamedTuple):
    """
    Attempts at one version, over one route or several.

    ``first`` counts those that were a request's first one, ``ended`` those that were
    decided, well or not, ``failed`` those that failed. ``running`` counts the attempts
    under way now, also those from before the order. ``buckets`` has the times to the
    first byte.
    """

    first: int = 0
    sent: int = 0
    ended: int = 0
    failed: int = 0
    running: int = 0
    buckets: tuple[int, ...] = (0,) * _BUCKETS

    def plus(self, other: "Figures") -> "Figures":
        """Return the sum."""
        return self._combine(other, operator.add)

    def minus(self, earlier: "Figures") -> "Figures":
        """
        Return what came since earlier figures.

        An entry that was lost meanwhile takes its counts with it, so nothing is less
        than 0.
        """
        return self._combine(earlier, lambda now, then: max(0, now - then))

    def _combine(
        self, other: "Figures", combine: abc.Callable[[int, int], int]
    ) -> "Figures":
        return Figures(
            *map(combine, self[:-1], other[:-1]),
            buckets=tuple(map(combine, self.buckets, other.buckets)),
        )

    def to_row(self) -> tuple[int, ...]:
        """Return the figures as they are sent; without the empty buckets at the end."""
        row = [*self[:-1], *self.buckets]
        while len(row) > len(self) - 1 and not row[-1]:
            row.pop()
        return tuple(row)


def of_row(row: abc.Sequence[int]) -> Figures:
    """Return figures that were sent; negative counts are taken as 0."""
    counts = [max(0, count) for count in row[: len(Figures._fields) - 1 + _BUCKETS]]
    counts += [0] * (len(Figures._fields) - 1 + _BUCKETS - len(counts))
    head = len(Figures._fields) - 1
    return Figures(*counts[:head], buckets=tuple(counts[head:]))


def bucket_of(seconds: float) -> int:
    """Return the index of the bucket that holds a time to the first byte."""
    return bisect.bisect_left(BUCKET_LIMITS_S, seconds)


# Version and route.
Key = tuple[str, str]
Counts = abc.Mapping[Key, Figures]


def add(parts: abc.Iterable[Counts]) -> dict[Key, Figures]:
    """Return the sums over several entries."""
    total: dict[Key, Figures] = collections.defaultdict(Figures)
    for part in parts:
        for key, figures in part.items():
            total[key] = total[key].plus(figures)
    return dict(total)


def since(counts: Counts, earlier: Counts) -> dict[Key, Figures]:
    """Return what was added to earlier counts."""
    return {
        key: figures.minus(earlier.get(key, Figures()))
        for key, figures in counts.items()
    }


def total(counts: Counts, matches: abc.Callable[[Key], bool]) -> Figures:
    """Return the sum over the versions and routes that match."""
    found = Figures()
    for key, figures in counts.items():
        if matches(key):
            found = found.plus(figures)
    return found
