"""
Compares the answers of a roll-out's target with those of the versions before it.

    monitor = Monitor("v2")
    monitor.record(now, counts)
    monitor.verdict(now)  # Verdict(is_bad=True, reason="14 of 40 answers failed ...")

Both are compared over the same time, by route and over all routes, so that what
disturbs the whole service counts on both sides.
"""

import collections
import math
import typing
from collections import abc

from acaciaward.rollouts import figures

# Besides all answers since the order, those of the last seconds are compared: a fault
# that begins later must not hide behind the good answers before it.
WINDOW_S = 3.0
# A difference counts if good versions would show it by chance this rarely. Some 20
# tests are made four times a second; 1e-5 keeps false alarms of a whole
# roll-out below 1%.
MAX_CHANCE = 1e-5
# With a difference this unlikely, the share isn't raised any more.
DOUBT_CHANCE = 0.04
# Failures that any version may have without a fault; the share of the old
# versions counts where it's higher.
NORMAL_FAILED_SHARE = 0.004
MIN_BAD_ANSWERS = 4
# An answer is slow if it takes this many times the median of the old versions.
# Endpoints that have just started have nothing cached, which makes them up to
# twice as slow.
SLOW_FACTOR = 2.5
# Part of the answers, beyond that of the old versions, that may be slow.
SLOW_ALLOWANCE = 0.05
# Both without answers of old versions at the same time; the load may have changed.
LATER_SLOW_FACTOR = 2.8
LATER_SLOW_ALLOWANCE = 0.06
# A shorter history doesn't tell the rate of requests.
MIN_HISTORY_S = 1.0
# Fewer answers of the old versions in the window don't make a baseline.
MIN_BASELINE = 20
# Answers that a version needs before its share is raised: over all routes, and on each
# route that gets at least ``MAIN_ROUTE_SHARE`` of the requests.
MIN_ANSWERS = 40
MIN_ROUTE_ANSWERS = 8
MAIN_ROUTE_SHARE = 0.15


class Verdict(typing.NamedTuple):
    """
    What the answers so far say of the target.

    ``is_enough`` means that there were enough answers, and that no difference makes one
    doubt them.
    """

    is_bad: bool = False
    is_enough: bool = False
    reason: str = ""


class _Difference(typing.NamedTuple):
    chance: float
    reason: str


class _Snapshot(typing.NamedTuple):
    at: float
    counts: figures.Counts


class Monitor:
    """Keeps the counts of one service over time and compares its versions."""

    def __init__(self, target: str):
        self._target = target
        self._snapshots: collections.deque[_Snapshot] = collections.deque()
        # Requests that the target got from entries that were lost since.
        self._lost_sent = 0

    @property
    def exposure(self) -> int:
        """How many requests the target got, also those of entries that were lost."""
        return self.of_target().sent + self._lost_sent

    @property
    def counts(self) -> figures.Counts:
        """The newest counts."""
        return self._snapshots[-1].counts if self._snapshots else {}

    def record(self, now: float, counts: figures.Counts) -> None:
        """Record the sums over all entries as of ``now``, a monotonic time."""
        before, sent_before = self.of_all().first, self.of_target().sent
        self._snapshots.append(_Snapshot(now, counts))
        # One that is older than the window is kept to compare with.
        while len(self._snapshots) > 1 and self._snapshots[1].at <= now - WINDOW_S:
            self._snapshots.popleft()
        if self.of_all().first < before:
            # Entries were lost with their counts: what came since isn't known.
            self._lost_sent += max(0, sent_before - self.of_target().sent)
            self._snapshots = collections.deque([self._snapshots[-1]])

    def rate(self, now: float) -> float:
        """Return the service's requests a second over the window, inf if unknown."""
        if not self._snapshots or now - self._snapshots[0].at < MIN_HISTORY_S:
            return math.inf
        oldest = self._snapshots[0]
        added = figures.since(self.counts, oldest.counts)
        elapsed_s = now - oldest.at
        return figures.total(added, lambda key: True).first / elapsed_s

    def of_target(self) -> figures.Figures:
        """Return the target's figures over all routes."""
        return figures.total(self.counts, self._is_target)

    def of_all(self) -> figures.Figures:
        """Return the figures of all versions."""
        return figures.total(self.counts, lambda key: True)

    def of_others(self) -> figures.Figures:
        """Return the figures of all versions but the target."""
        return figures.total(self.counts, lambda key: not self._is_target(key))

    def _is_target(self, key: figures.Key) -> bool:
        return key[0] == self._target

    def verdict(self) -> Verdict:
        """Compare the target's answers with the others'."""
        counts = self.counts
        recent = figures.since(counts, self._snapshots[0].counts) if counts else {}
        routes = {route for _, route in counts}
        differences = [
            difference
            for period, period_counts in (("", counts), (" lately", recent))
            for difference in self._compare(period_counts, counts, routes, period)
        ]
        worst = min(
            differences, key=lambda one: one.chance, default=_Difference(1.0, "")
        )
        if worst.chance < MAX_CHANCE:
            return Verdict(is_bad=True, reason=worst.reason)
        if worst.chance < DOUBT_CHANCE:
            return Verdict(reason=f"in doubt: {worst.reason}")
        missing = self._missing_answers(counts, routes)
        return Verdict(is_enough=not missing, reason=missing)

    def _compare(
        self,
        counts: figures.Counts,
        all_counts: figures.Counts,
        routes: abc.Iterable[str],
        period: str,
    ) -> abc.Iterator[_Difference]:
        """Compare failures and slow answers, over all routes and on each."""
        slow_answers = []
        for route in (None, *sorted(routes)):
            target, baseline = self._pair(counts, route)
            limits = _SIMULTANEOUS
            if baseline.ended < MIN_BASELINE:
                _, baseline = self._pair(all_counts, route)
                limits = _LATER
            where = ("" if route is None else f" on route {route}") + period
            yield _compare_failures(target, baseline, where)
            if route is not None:
                slow = _count_slow(target.buckets, baseline.buckets, limits)
                slow_answers.append(slow)
                yield _compare_slow([slow], where)
        yield _compare_slow(slow_answers, period)

    def _pair(
        self, counts: figures.Counts, route: str | None
    ) -> tuple[figures.Figures, figures.Figures]:
        """Return the figures of the target and of the others."""

        def find(*, is_target: bool) -> figures.Figures:
            return figures.total(
                counts,
                lambda key: (
                    self._is_target(key) is is_target and route in (None, key[1])
                ),
            )

        return find(is_target=True), find(is_target=False)

    def _missing_answers(
        self, counts: figures.Counts, routes: abc.Iterable[str]
    ) -> str:
        """Return which answers of the target are missing, empty if there are enough."""
        ended = self.of_target().ended
        if ended < MIN_ANSWERS:
            return f"{ended} of {MIN_ANSWERS} answers"
        requests = self.of_all().first
        for route in sorted(routes):
            target, baseline = self._pair(counts, route)
            is_main = target.first + baseline.first >= MAIN_ROUTE_SHARE * requests
            if is_main and target.ended < MIN_ROUTE_ANSWERS:
                return f"{target.ended} of {MIN_ROUTE_ANSWERS} answers on route {route}"
        return ""


class _SlowLimits(typing.NamedTuple):
    """From how many medians on an answer is slow, and which part of them may be."""

    factor: float
    allowance: float


class _SlowAnswers(typing.NamedTuple):
    """How many answers of the target are slow, and which share of them may be."""

    slow: int
    of: int
    allowed_share: float


_SIMULTANEOUS = _SlowLimits(SLOW_FACTOR, SLOW_ALLOWANCE)
_LATER = _SlowLimits(LATER_SLOW_FACTOR, LATER_SLOW_ALLOWANCE)


def _compare_failures(
    target: figures.Figures, baseline: figures.Figures, where: str
) -> _Difference:
    allowed = _upper_share(baseline.failed, baseline.ended)
    return _Difference(
        _chance(target.failed, target.ended, max(NORMAL_FAILED_SHARE, allowed)),
        f"{target.failed} of {target.ended} answers failed{where},"
        f" {baseline.failed} of {baseline.ended} before",
    )


def _count_slow(
    target: abc.Sequence[int], baseline: abc.Sequence[int], limits: _SlowLimits
) -> _SlowAnswers:
    """Count the target's answers on one route that are slow for it."""
    answered = sum(baseline)
    if answered < MIN_BASELINE:
        return _SlowAnswers(0, 0, 1.0)
    first = figures.bucket_of(_median_s(baseline) * limits.factor) + 1
    allowed = _upper_share(sum(baseline[first:]), answered) + limits.allowance
    return _SlowAnswers(sum(target[first:]), sum(target), allowed)


def _compare_slow(parts: abc.Sequence[_SlowAnswers], where: str) -> _Difference:
    slow, answers = sum(part.slow for part in parts), sum(part.of for part in parts)
    allowed = sum(part.of * part.allowed_share for part in parts) / max(1, answers)
    return _Difference(
        _chance(slow, answers, allowed),
        f"{slow} of {answers} answers were slow{where}, {allowed:.0%} may be",
    )


def _upper_share(count: int, of: int) -> float:
    """Return the largest share that a count may well stand for."""
    share = (count + 0.5) / (of + 1)
    return min(1.0, share + 2 * math.sqrt(share * (1 - share) / (of + 1)))


def _median_s(buckets: abc.Sequence[int]) -> float:
    """Return the median time, interpolated within its bucket."""
    rest = sum(buckets) / 2
    index = 0
    while buckets[index] < rest:
        rest -= buckets[index]
        index += 1
    upper_s = figures.BUCKET_LIMITS_S[min(index, len(buckets) - 2)]
    lower_s = figures.BUCKET_LIMITS_S[index - 1] if index else 0.0
    return lower_s + (upper_s - lower_s) * rest / max(1, buckets[index])


def _chance(count: int, of: int, share: float) -> float:
    """
    Return an upper bound of the chance of so many or more, by Chernoff.

    A sound version has each of ``of`` answers fail with the chance ``share``.
    """
    if count < MIN_BAD_ANSWERS or of == 0 or count / of <= share or share >= 1:
        return 1.0
    observed = min(count / of, 1.0)
    divergence = observed * math.log(observed / share)
    if observed < 1:
        divergence += (1 - observed) * math.log((1 - observed) / (1 - share))
    return math.exp(-of * divergence)
