"""Smoothed rates of what is counted now and then."""

import math


class Rate:
    """
    Units a second, smoothed exponentially over ``smoothed_s``.

        rate = Rate(3.0)
        rate.note(1000.0, now=1.0)
        rate.value(now=1.5)
    """

    def __init__(self, smoothed_s: float):
        self._smoothed_s = smoothed_s
        self._value = 0.0
        self._since = 0.0

    def note(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._value = self.value(now) + amount / self._smoothed_s
        self._since = now

    def value(self, now: float) -> float:
        """Return the rate, which fades while nothing is noted."""
        age_s = max(0.0, now - self._since)
        return self._value * math.exp(-age_s / self._smoothed_s)
