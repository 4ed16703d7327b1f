"""
Estimates learnt from what happened, which fade while nothing is learnt.

An estimate that stays would keep admission shut for good: when work is taken for
too slow, none of it starts, and nothing shows that it has become fast again.
"""

SMOOTHING = 0.1
HALF_LIFE_S = 0.5


class FadingEstimate:
    """
    A smoothed value that falls back to its usual one.

    The distance to ``usual`` halves each ``HALF_LIFE_S`` without a sample.

        estimate = FadingEstimate(0.02)
        estimate.learn(2.5, now=0.0)
        estimate.value(now=5.0)  # close to 0.02 again
    """

    def __init__(self, usual: float):
        self._usual = usual
        self._value = usual
        self._learnt_at = 0.0

    def value(self, now: float) -> float:
        """Return the estimate at a time in seconds of the learner's clock."""
        age_s = max(0.0, now - self._learnt_at)
        return self._usual + (self._value - self._usual) * 0.5 ** (age_s / HALF_LIFE_S)

    def learn(self, sample: float, *, now: float) -> None:
        """Take one more sample in."""
        known = self.value(now)
        self._value = known + SMOOTHING * (sample - known)
        self._learnt_at = now
