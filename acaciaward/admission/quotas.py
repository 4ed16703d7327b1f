"""
Organisations' quotas, shared by all entries without asking anyone.

Each entry keeps the whole bucket of each organisation and takes from it what it
admits itself, what the others say they admitted, and what they will have admitted
since they said so. An entry that hears only some of the others uses only its part
of the rate, so that two halves of a cut system never spend a quota twice.

Answers to: a hot organisation, a quota cut down, entries cut off from each other.
"""

import typing
from collections import abc

# Part of the burst that an entry may spend before it has heard of the others.
FIRST_PART = 0.25
# What others say is drawn on for this long, in seconds.
EXTRAPOLATED_S = 1.0
SMOOTHING = 0.4
# The bucket can be overdrawn by what others admitted meanwhile, in seconds of rate.
DEEPEST_S = 3.0


class Rule(typing.NamedTuple):
    """Units a second and units at once."""

    rate: float
    burst: float


class _Told(typing.NamedTuple):
    """What another entry said: its total, when it was heard, and its pace."""

    total: float
    at: float
    pace: float = 0.0


class Bucket:
    """One organisation's bucket as this entry sees it."""

    def __init__(self, rule: Rule, now: float):
        self.rule = rule
        self.own_total = 0.0
        self._level = rule.burst * FIRST_PART
        self._since = now
        self._told: dict[str, _Told] = {}

    def set_rule(self, rule: Rule) -> None:
        """Use new figures; a lower burst takes what is saved beyond it."""
        self.rule = rule
        self._level = min(self._level, rule.burst)

    def level(self, now: float, part: float) -> float:
        """Return what may be admitted now; ``part`` is the part of entries heard."""
        self._refill(now, part)
        ahead = sum(
            told.pace * min(EXTRAPOLATED_S, now - told.at)
            for told in self._told.values()
        )
        return self._level - ahead

    def take(self, amount: float) -> None:
        """Count what is admitted here; a negative amount gives back."""
        self.own_total += amount
        self._level -= amount

    def hear(self, entry: str, total: float, now: float) -> None:
        """Take in the total that another entry has admitted since its start."""
        told = self._told.get(entry)
        if told is None:
            # What it admitted before this entry knew it, is not this entry's to count.
            self._told[entry] = _Told(total, now)
            return
        if total == told.total:
            return
        # A lower total is that of a new start.
        amount = total - told.total if total > told.total else total
        lasted_s = max(0.05, now - told.at)
        pace = told.pace + SMOOTHING * (amount / lasted_s - told.pace)
        self._told[entry] = _Told(total, now, pace)
        self._level = max(self._level - amount, -DEEPEST_S * self.rule.rate)

    def _refill(self, now: float, part: float) -> None:
        gained = self.rule.rate * part * max(0.0, now - self._since)
        self._since = now
        self._level = min(self.rule.burst * part, self._level + gained)


class Quotas:
    """The buckets of all organisations."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._buckets: dict[str, Bucket] = {}

    def set_rules(self, rules: abc.Mapping[str, Rule]) -> None:
        """Use the quotas of a configuration."""
        for name, rule in rules.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._buckets[name] = Bucket(rule, self._clock())
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
        level = bucket.level(self._clock(), part)
        # What is larger than the bucket passes when the bucket is full.
        wanted = min(amount, bucket.rule.burst * part)
        if level >= wanted:
            bucket.take(amount)
            return None
        return (wanted - level) / max(1.0, bucket.rule.rate * part)

    def give_back(self, organisation: str, amount: float) -> None:
        """Return what was taken for a call that didn't run."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            bucket.take(-amount)

    def totals(self) -> dict[str, float]:
        """Return what was admitted here, for the others."""
        return {name: bucket.own_total for name, bucket in self._buckets.items()}

    def hear(self, entry: str, totals: abc.Mapping[str, typing.Any]) -> None:
        """Take in another entry's totals; what isn't a number is left out."""
        now = self._clock()
        for name, total in totals.items():
            bucket = self._buckets.get(name)
            if bucket is not None and isinstance(total, int | float):
                bucket.hear(entry, float(total), now)
