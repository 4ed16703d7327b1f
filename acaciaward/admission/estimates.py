"""
Estimates from samples, which decay to a baseline while there are no new samples.

An estimate that didn't decay could block admission for good: work that is estimated
to be too slow is never started, so no sample shows that it has become fast again.
"""

SMOOTHING = 0.1
HALF_LIFE_S = 0.5


class DecayingEstimate:
    """
    An exponentially smoothed value that decays to a baseline.

    The distance to the baseline halves every ``HALF_LIFE_S`` without a sample.

        estimate = DecayingEstimate(0.02)
        estimate.add_sample(2.5, now=0.0)
        estimate.value(now=5.0)  # close to 0.02 again
    """

    def __init__(self, baseline: float):
        self._baseline = baseline
        self._value = baseline
        self._sampled_at = 0.0

    def value(self, now: float) -> float:
        """Return the estimate at ``now``, in seconds of the clock of the samples."""
        age_s = max(0.0, now - self._sampled_at)
        return self._baseline + (self._value - self._baseline) * 0.5 ** (
            age_s / HALF_LIFE_S
        )

    def add_sample(self, sample: float, *, now: float) -> None:
        """Update the estimate with a sample."""
        current = self.value(now)
        self._value = current + SMOOTHING * (sample - current)
        self._sampled_at = now
