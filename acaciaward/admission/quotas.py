"""
Organisations' quotas, shared by all entries without asking anyone.

Each entry keeps the whole bucket of each organisation and takes from it what it
admits itself and what the others say they admitted. What they admitted since is
reckoned from what this entry did meanwhile and from its usual share of the whole.
An entry that hears only some of the others uses only its part of the rate, so that
two halves of a cut system never spend a quota twice.

An entry that starts takes over the level of one that runs, or the level that was
saved last if all have started anew; of the latter it uses an even share until it hears
the others.

Answers to: a hot organisation, a quota cut down, entries cut off from each other, all
entries killed at once.
"""

import collections
import typing
from collections import abc

from acaciaward import rates

# A bucket begins with that many seconds of rate if nothing was saved.
FIRST_S = 1.0
# Of what was saved, this many seconds of rate are used at most: what was admitted
# between the last record and the end isn't known.
RESTORED_S = 2.5
# Levels are saved this often, in seconds.
SAVE_S = 1.0
# So long after its start an entry may not know all others yet, in seconds.
YOUNG_S = 2.0
# What the others admitted is known this much later, in seconds, as gossip goes.
LAG_S = 0.5
# Shares of entries in an organisation's use are smoothed over this time.
SMOOTHED_S = 6.0
# Experience worth this part of the quota's rate is lent to an even share.
PRIOR_PART = 0.1
# The others are taken for at most that many times as busy as an even share.
MOST_UNEVEN = 1.5
# What others admit doesn't rise to more than that many times their rate unheard.
FASTEST = 2.0
# Until they are heard, the others are taken to use up to this part of the rate.
SUPPOSED_PART = 0.6
# The bucket is overdrawn by what others admitted, at most by seconds of its rate.
DEEPEST_S = 8.0

# Entries together overshoot by at most that many seconds of rate (shared.feature).
LAG_RATE_S = 2.1
# Part of the spare tolerance that is used.
SPARE_PART = 0.8


class Rule(typing.NamedTuple):
    """Units a second and units at once."""

    rate: float
    burst: float


class Tolerance(typing.NamedTuple):
    """How far a window of ``window_s`` may go beyond a quota: a part, and units."""

    window_s: float
    part: float
    units: float


def rule_of(rate: float, burst: float, tolerance: Tolerance) -> Rule:
    """
    Return the rule to admit by, for a quota with a tolerance.

    What the tolerance leaves beyond the entries' own lag is given to callers, as a
    larger burst.

        rule_of(1000, 1000, Tolerance(8.0, 0.1, 0)).burst  # 1000
    """
    allowed = tolerance.part * (rate * tolerance.window_s + burst) + tolerance.units
    spare = max(0.0, allowed - LAG_RATE_S * rate)
    return Rule(rate, burst + SPARE_PART * spare)


class Bucket:
    """One organisation's bucket as this entry sees it."""

    def __init__(self, rule: Rule, now: float):
        self.rule = rule
        self.own_total = 0.0
        self.others_expected = 0
        # What was spent before this entry started isn't known, so little is there.
        self._level = self._first_level = FIRST_S * rule.rate
        self._since = now
        self._part = 1.0
        self._young_until = now + YOUNG_S
        self._totals: dict[str, float] = {}
        self._recent: collections.deque[tuple[float, float]] = collections.deque()
        self._own_rate = rates.Rate(SMOOTHED_S)
        self._others_rate = rates.Rate(SMOOTHED_S)

    def set_rule(self, rule: Rule) -> None:
        """Use new figures; a lower burst takes what is saved beyond it."""
        self.rule = rule
        self._level = min(self._level, rule.burst)

    def is_young(self, now: float) -> bool:
        """Whether others that started as well may not be heard yet."""
        return now < self._young_until

    def restore(self, saved: float) -> None:
        """Begin with a level that was saved before all entries ended."""
        level = min(saved, RESTORED_S * self.rule.rate, self.rule.burst)
        self._level += max(0.0, level - self._first_level)

    def adopt(self, level: float, now: float) -> None:
        """Begin with the level of an entry that has run for long."""
        if self.is_young(now):
            self._young_until = now
            self._level = level

    def known_level(self, now: float) -> float:
        """Return the level without what others may have admitted unheard."""
        self._refill(now, self._part)
        return self._level

    def level(self, now: float, part: float) -> float:
        """Return what may be admitted now; ``part`` is the part of entries heard."""
        self._refill(now, part)
        while self._recent and self._recent[0][0] < now - LAG_S:
            self._recent.popleft()
        own = sum(amount for _, amount in self._recent)
        # A few calls in a row here don't mean as many at all others.
        most = (
            FASTEST
            * LAG_S
            * max(self._others_rate.value(now), SUPPOSED_PART * self.rule.rate)
        )
        reckoned = min(most, own * self._others_per_own(now))
        if self.is_young(now):
            # Those that aren't heard have a share of what there was.
            theirs = (1 - part) * (self._level + self.own_total)
            return self._level - theirs - part * reckoned
        return self._level - reckoned

    @property
    def _prior(self) -> float:
        return PRIOR_PART * self.rule.rate

    def _others_per_own(self, now: float) -> float:
        """
        Return what all others admit while this entry admits one unit.

        Before there is experience, the others are taken for as busy as this one.
        """
        others = max(self.others_expected, min(1, len(self._totals)))
        if not others:
            return 0.0
        ratio = (self._others_rate.value(now) + self._prior) / (
            self._own_rate.value(now) + self._prior / others
        )
        return min(ratio, MOST_UNEVEN * others)

    def take(self, amount: float, now: float) -> None:
        """Count what is admitted here; a negative amount gives back."""
        self.own_total += amount
        self._level -= amount
        self._recent.append((now, amount))
        self._own_rate.note(amount, now)

    def hear(self, source: str, total: float, now: float, *, is_fresh: bool) -> None:
        """
        Take in the total of what others have admitted, by one source's count.

        All that a fresh source tells was admitted after this entry's start or about
        then; what an older one first tells is not this entry's to count.
        """
        known = self._totals.get(source, 0.0 if is_fresh else total)
        self._totals[source] = total
        amount = total - known
        if amount:
            self._others_rate.note(amount, now)
            deepest = -DEEPEST_S * self.rule.rate
            self._level = max(self._level - amount, deepest)

    def _refill(self, now: float, part: float) -> None:
        self._part = part
        if self._since < self._young_until:
            young_until = min(now, self._young_until)
            gained = self.rule.rate * max(0.0, young_until - self._since)
            self._since = max(self._since, young_until)
            self._level = min(self.rule.burst, self._level + gained)
            if self.is_young(now):
                return
            # The shares of those that are still unheard are theirs.
            self._level -= (1 - part) * (self._level + self.own_total)
        gained = self.rule.rate * part * max(0.0, now - self._since)
        self._since = now
        self._level = min(self.rule.burst * part, self._level + gained)


class Quotas:
    """The buckets of all organisations."""

    def __init__(self, clock: abc.Callable[[], float], entries: abc.Callable[[], int]):
        self._clock = clock
        self._entries = entries
        self._buckets: dict[str, Bucket] = {}
        self._saved: dict[str, float] = {}

    def set_rules(self, rules: abc.Mapping[str, Rule]) -> None:
        """Use the quotas of a configuration."""
        for name, rule in rules.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = bucket = Bucket(rule, self._clock())
                bucket.restore(self._saved.pop(name, 0.0))
            elif bucket.rule != rule:
                bucket.set_rule(rule)
        for name in list(self._buckets):
            if name not in rules:
                del self._buckets[name]

    def admit(self, organisation: str, amount: float, part: float) -> float | None:
        """
        Take an amount, or return the seconds after which it may be there.

        ``part`` is the part of the known entries that this one hears, itself
        included. Returns None when the amount was taken.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            return None
        now = self._clock()
        bucket.others_expected = self._entries() - 1
        level = bucket.level(now, part)
        # What is larger than the bucket passes when the bucket is full.
        wanted = min(amount, bucket.rule.burst * part)
        if level >= wanted:
            bucket.take(amount, now)
            return None
        return (wanted - level) / max(1.0, bucket.rule.rate * part)

    def give_back(self, organisation: str, amount: float) -> None:
        """Return what was taken for a call that didn't run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.take(-amount, self._clock())

    def totals(self) -> dict[str, float]:
        """Return what was admitted here, for the others."""
        return {name: bucket.own_total for name, bucket in self._buckets.items()}

    def restore(self, levels: abc.Mapping[str, float]) -> None:
        """Begin with levels that were saved before all entries ended."""
        for name, level in levels.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._saved[name] = level
            else:
                bucket.restore(level)

    def adopt(self, levels: abc.Mapping[str, float]) -> None:
        """Begin with the levels of an entry that has run for long."""
        now = self._clock()
        for name, level in levels.items():
            if name in self._buckets:
                self._buckets[name].adopt(level, now)

    def levels(self) -> dict[str, float]:
        """Return the levels that an entry which starts may begin with."""
        now = self._clock()
        return {
            name: bucket.known_level(now)
            for name, bucket in self._buckets.items()
            if not bucket.is_young(now)
        }

    def hear(
        self, source: str, totals: abc.Mapping[str, float], *, is_fresh: bool = False
    ) -> None:
        """
        Take in what others have admitted.

        A source's totals only fall by what was given back; a source that starts
        anew is another one, and is ``is_fresh`` for a while.
        """
        now = self._clock()
        for name, total in totals.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.hear(source, total, now, is_fresh=is_fresh)
