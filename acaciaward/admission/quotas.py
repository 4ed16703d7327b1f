"""
Enforces organisations' quotas of all entries without remote calls.

Each entry keeps a token bucket with the full quota of each organisation. It deducts
what it admits itself and what its peers report as admitted. What peers admitted since
their last report is estimated from this entry's own admissions meanwhile and from its
usual share of the total. An entry that receives reports from only some of its peers
uses only their and its own part of the rate, so the two sides of a network partition
never spend a quota twice.

An entry that starts adopts the level of a running one. If all entries have restarted,
it restores the level that was saved last, and uses an even share of it until it
receives reports from its peers.

Guards against: a hot organisation, a quota that is lowered, network partitions between
entries, all entries killed at once.
"""

import collections
import typing
from collections import abc

from acaciaward import rates

# Level of a new bucket without a saved one, in seconds of the quota's rate.
INITIAL_LEVEL_S = 1.0
# Upper bound of a restored level, in seconds of the quota's rate: what was admitted
# between the last record and the end of the entries isn't known.
MAX_RESTORED_S = 2.5
SAVE_INTERVAL_S = 1.0
# For this long after its start, an entry may still lack reports of some peers.
WARM_UP_S = 2.0
# Delay until gossip reports what peers admitted.
GOSSIP_LAG_S = 0.5
# Sources that have been silent for this long don't count any more.
SOURCE_TIMEOUT_S = 1.5
# Use from before a longer silence is no longer charged.
MAX_CHARGED_SILENCE_S = 10.0
# Time constant of the smoothed rates of an organisation's use, here and at peers.
RATE_SMOOTHING_S = 6.0
# Weight of an even share as the prior of the peers' share, as a fraction of the
# quota's rate.
PRIOR_FRACTION = 0.1
# Peers are assumed to admit at most this many times an even share.
MAX_IMBALANCE = 1.5
# Between reports, peers are assumed to admit at most this many times their known rate.
MAX_GROWTH_FACTOR = 2.0
# Until they report, peers are assumed to use up to this fraction of the quota's rate.
ASSUMED_PEER_RATE_FRACTION = 0.6
# Peers' admissions may overdraw a bucket, at most by this many seconds of its rate.
MAX_OVERDRAFT_S = 8.0

# All entries together overshoot a quota by at most this many seconds of its rate, see
# shared.feature.
MAX_OVERSHOOT_S = 2.1
# Fraction of the spare tolerance that is granted.
USABLE_SPARE_FRACTION = 0.8


class Rule(typing.NamedTuple):
    """A refill rate in units per second and a bucket size in units."""

    rate: float
    burst: float


class Tolerance(typing.NamedTuple):
    """
    How far a window of ``window_s`` may exceed a quota.

    The excess is a fraction, ``part``, of what the quota allows, plus ``units``.
    """

    window_s: float
    part: float
    units: float


def admission_rule(rate: float, burst: float, tolerance: Tolerance) -> Rule:
    """
    Return the rule by which entries admit, for a quota with a tolerance.

    The tolerance that the entries' own overshoot doesn't need is granted to callers
    as a larger burst.

        admission_rule(1000, 1000, Tolerance(8.0, 0.1, 0)).burst  # 1000
    """
    allowed = tolerance.part * (rate * tolerance.window_s + burst) + tolerance.units
    spare = max(0.0, allowed - MAX_OVERSHOOT_S * rate)
    return Rule(rate, burst + USABLE_SPARE_FRACTION * spare)


class Bucket:
    """One organisation's bucket as this entry sees it."""

    def __init__(self, rule: Rule, now: float):
        self.rule = rule
        self.own_total = 0.0
        self.expected_peers = 0
        # What was spent before this entry started is unknown, so the level is low.
        self._level = self._initial_level = INITIAL_LEVEL_S * rule.rate
        self._refilled_at = now
        self._reachable_fraction = 1.0
        self._warm_up_until = now + WARM_UP_S
        # Total and time of the last report.
        self._total_by_source: dict[str, tuple[float, float]] = {}
        self._recent_admissions: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._own_rate = rates.Rate(RATE_SMOOTHING_S)
        self._peer_rate = rates.Rate(RATE_SMOOTHING_S)

    def set_rule(self, rule: Rule) -> None:
        """Change the quota; a lower burst discards the level above it."""
        self.rule = rule
        self._level = min(self._level, rule.burst)

    def is_warming_up(self, now: float) -> bool:
        """Whether peers that started at the same time may not have reported yet."""
        return now < self._warm_up_until

    def restore(self, saved_level: float) -> None:
        """Raise the initial level to one that was saved before all entries ended."""
        level = min(saved_level, MAX_RESTORED_S * self.rule.rate, self.rule.burst)
        self._level += max(0.0, level - self._initial_level)

    def adopt(self, level: float, now: float) -> None:
        """Take over the level of an entry that has run longer, during warm-up."""
        if self.is_warming_up(now):
            self._warm_up_until = now
            self._level = level

    def confirmed_level(self, now: float) -> float:
        """Return the level, ignoring what peers may have admitted unreported."""
        self._refill(now, self._reachable_fraction)
        return self._level

    def available(self, now: float, reachable_fraction: float) -> float:
        """
        Return the units that may be admitted now.

        ``reachable_fraction`` is the fraction of entries whose reports reach this
        one, itself included.
        """
        self._refill(now, reachable_fraction)
        while (
            self._recent_admissions
            and self._recent_admissions[0][0] < now - GOSSIP_LAG_S
        ):
            self._recent_admissions.popleft()
        own_recent = sum(amount for _, amount in self._recent_admissions)
        # A short burst here doesn't imply one at every peer, hence the upper bound.
        max_estimate = (
            MAX_GROWTH_FACTOR
            * GOSSIP_LAG_S
            * max(
                self._peer_rate.value(now), ASSUMED_PEER_RATE_FRACTION * self.rule.rate
            )
        )
        unreported_estimate = min(
            max_estimate, own_recent * self._peer_to_own_ratio(now)
        )
        if self.is_warming_up(now):
            # Peers that haven't reported may use their share of the initial level.
            unreachable_share = (1 - reachable_fraction) * (
                self._level + self.own_total
            )
            return (
                self._level
                - unreachable_share
                - reachable_fraction * unreported_estimate
            )
        return self._level - unreported_estimate

    @property
    def _prior_rate(self) -> float:
        return PRIOR_FRACTION * self.rule.rate

    def _peer_to_own_ratio(self, now: float) -> float:
        """
        Return the units that all peers admit while this entry admits one.

        Without samples, each peer is assumed to admit as much as this entry.
        """
        peers = max(self.expected_peers, min(1, len(self._total_by_source)))
        if not peers:
            return 0.0
        ratio = (self._peer_rate.value(now) + self._prior_rate) / (
            self._own_rate.value(now) + self._prior_rate / peers
        )
        return min(ratio, MAX_IMBALANCE * peers)

    def consume(self, amount: float, now: float) -> None:
        """Deduct what is admitted here; a negative amount is a refund."""
        self.own_total += amount
        self._level -= amount
        self._recent_admissions.append((now, amount))
        self._own_rate.add(amount, now)

    def record_total(
        self, source: str, total: float, now: float, *, is_recent_start: bool
    ) -> None:
        """
        Deduct what peers have admitted since the last total of this source.

        The first total of a recently started source was admitted around or after this
        entry's start and counts in full; the first total of an older source doesn't
        count. After a silence, only its first seconds count: the peers then used a part
        of the rate that this entry had left to them. After a long one, none count.
        """
        previous_total, previous_at = self._total_by_source.get(
            source, (0.0 if is_recent_start else total, now)
        )
        self._total_by_source[source] = total, now
        silence_s = now - previous_at
        counted_part = SOURCE_TIMEOUT_S / max(SOURCE_TIMEOUT_S, silence_s)
        if silence_s > MAX_CHARGED_SILENCE_S:
            counted_part = 0.0
        amount = (total - previous_total) * counted_part
        if amount:
            self._peer_rate.add(amount, now)
            min_level = -MAX_OVERDRAFT_S * self.rule.rate
            self._level = max(self._level - amount, min_level)

    def _refill(self, now: float, reachable_fraction: float) -> None:
        self._reachable_fraction = reachable_fraction
        if self._refilled_at < self._warm_up_until:
            warm_up_until = min(now, self._warm_up_until)
            refill = self.rule.rate * max(0.0, warm_up_until - self._refilled_at)
            self._refilled_at = max(self._refilled_at, warm_up_until)
            self._level = min(self.rule.burst, self._level + refill)
            if self.is_warming_up(now):
                return
            # Peers that still haven't reported keep their share of the level.
            self._level -= (1 - reachable_fraction) * (self._level + self.own_total)
        refill = self.rule.rate * reachable_fraction * max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._level = min(self.rule.burst * reachable_fraction, self._level + refill)


class Quotas:
    """The token buckets of all organisations with a quota."""

    def __init__(
        self, clock: abc.Callable[[], float], entry_count: abc.Callable[[], int]
    ):
        self._clock = clock
        self._entry_count = entry_count
        self._buckets: dict[str, Bucket] = {}
        self._restored_levels: dict[str, float] = {}

    def set_rules(self, rules: abc.Mapping[str, Rule]) -> None:
        """Apply the quotas of a configuration, by organisation."""
        for name, rule in rules.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = bucket = Bucket(rule, self._clock())
                bucket.restore(self._restored_levels.pop(name, 0.0))
            elif bucket.rule != rule:
                bucket.set_rule(rule)
        for name in list(self._buckets):
            if name not in rules:
                del self._buckets[name]

    def admit(
        self, organisation: str, amount: float, reachable_fraction: float
    ) -> float | None:
        """
        Deduct an amount, or return the seconds after which it may be available.

        ``reachable_fraction`` is the fraction of the known entries whose reports
        reach this one, itself included. Returns None if the amount was deducted or
        the organisation has no quota.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return None
        now = self._clock()
        bucket.expected_peers = self._entry_count() - 1
        level = bucket.available(now, reachable_fraction)
        # An amount larger than the bucket is admitted when the bucket is full.
        needed = min(amount, bucket.rule.burst * reachable_fraction)
        if level >= needed:
            bucket.consume(amount, now)
            return None
        return (needed - level) / max(1.0, bucket.rule.rate * reachable_fraction)

    def refund(self, organisation: str, amount: float) -> None:
        """Refund what was deducted for a call that didn't run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.consume(-amount, self._clock())

    def admitted_totals(self) -> dict[str, float]:
        """Return the units admitted here since the start, to report to peers."""
        return {name: bucket.own_total for name, bucket in self._buckets.items()}

    def restore(self, levels: abc.Mapping[str, float]) -> None:
        """
        Start from levels that were saved before all entries ended.

        Those of organisations without a rule yet are applied by ``set_rules``.
        """
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._restored_levels[name] = level
            else:
                bucket.restore(level)

    def adopt(self, levels: abc.Mapping[str, float]) -> None:
        """Take over the levels of an entry that has run longer, during warm-up."""
        now = self._clock()
        for name, level in levels.items():
            if name in self._buckets:
                self._buckets[name].adopt(level, now)

    def levels(self) -> dict[str, float]:
        """Return the levels that a starting entry may adopt or restore."""
        now = self._clock()
        return {
            name: bucket.confirmed_level(now)
            for name, bucket in self._buckets.items()
            if not bucket.is_warming_up(now)
        }

    def receive_totals(
        self,
        source: str,
        totals: abc.Mapping[str, float],
        *,
        is_recent_start: bool = False,
    ) -> None:
        """
        Receive the totals that peers have admitted, as counted by one source.

        A source's totals decrease only by refunds. A source that restarts gets a new
        name, and passes ``is_recent_start`` for a while.
        """
        now = self._clock()
        for name, total in totals.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.record_total(source, total, now, is_recent_start=is_recent_start)
