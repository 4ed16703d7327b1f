"""
Enforces an organisation's system-wide limits, of which each entry applies a part.

Rate limits are token buckets. A bucket refills at the part of the limit that this
entry may use now, and holds ``BURST_S`` seconds of it. Model tokens are charged by
estimate when a request begins and corrected when it has ended, so a bucket's level
may be negative.
"""

import time
from collections import abc

from acaciaward import documents, errors
from acaciaward.admission import useledger

BURST_S = 1.0
MINIMUM_BURST = 1.0
CONCURRENCY_RETRY_S = 0.25


class Bucket:
    """One token bucket whose rate may change with each call."""

    def __init__(self, now: float):
        self._level: float | None = None
        self._updated_at = now

    def wait_s(self, amount: float, rate: float, now: float) -> float:
        """Return the seconds until ``amount`` is available, 0 if it is now."""
        burst = max(MINIMUM_BURST, rate * BURST_S)
        level = burst if self._level is None else self._level
        self._level = min(burst, level + (now - self._updated_at) * rate)
        self._updated_at = now
        # An amount larger than the burst is admitted once the bucket is full.
        missing = min(amount, burst) - self._level
        return max(0.0, missing / rate)

    def consume(self, amount: float) -> None:
        """Deduct an amount; a negative one is a refund."""
        self._level = (self._level or 0.0) - amount


class SystemLimits:
    """Checks and charges the limits of all organisations."""

    def __init__(
        self,
        ledger: useledger.UseLedger,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._ledger = ledger
        self._clock = clock
        self._buckets: dict[tuple[str, useledger.Quantity], Bucket] = {}

    def check(self, organisation: str, limits: documents.Limits, tokens: float) -> None:
        """Charge one request of ``tokens``, or raise ``LimitExceededError``."""
        waits = {
            useledger.Quantity.CONCURRENCY: self._concurrency_wait(
                organisation, limits
            ),
            useledger.Quantity.REQUESTS: self._rate_wait(
                organisation, limits, useledger.Quantity.REQUESTS, 1.0
            ),
            useledger.Quantity.TOKENS: self._rate_wait(
                organisation, limits, useledger.Quantity.TOKENS, tokens
            ),
        }
        quantity, wait_s = max(waits.items(), key=lambda pair: pair[1])
        if wait_s > 0:
            raise errors.LimitExceededError(
                f"the organisation's limit {quantity.value} is reached",
                retry_after_s=wait_s,
            )
        self._consume(organisation, useledger.Quantity.REQUESTS, 1.0)
        self.charge_tokens(organisation, tokens)

    def charge_tokens(self, organisation: str, tokens: float) -> None:
        """Charge tokens; a negative number corrects an estimate."""
        self._consume(organisation, useledger.Quantity.TOKENS, tokens)

    def _consume(
        self, organisation: str, quantity: useledger.Quantity, amount: float
    ) -> None:
        bucket = self._buckets.get((organisation, quantity))
        if bucket is not None:
            bucket.consume(amount)

    def _concurrency_wait(self, organisation: str, limits: documents.Limits) -> float:
        limit = limits.get("concurrency")
        if limit is None:
            return 0.0
        quantity = useledger.Quantity.CONCURRENCY
        allowed = max(1.0, self._ledger.allowed(organisation, quantity, limit))
        is_reached = self._ledger.own_use(organisation, quantity) + 1 > allowed
        return CONCURRENCY_RETRY_S if is_reached else 0.0

    def _rate_wait(
        self,
        organisation: str,
        limits: documents.Limits,
        quantity: useledger.Quantity,
        amount: float,
    ) -> float:
        limit = limits.get(quantity.value)
        if limit is None:
            return 0.0
        key = (organisation, quantity)
        now = self._clock()
        if key not in self._buckets:
            self._buckets[key] = Bucket(now)
        rate = self._ledger.allowed(organisation, quantity, limit)
        return self._buckets[key].wait_s(amount, rate, now)
