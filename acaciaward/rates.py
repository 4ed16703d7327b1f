"""Exponentially smoothed rates of amounts that arrive at irregular times."""

import math


class Rate:
    """
    Units per second, smoothed exponentially with the time constant in seconds.

        rate = Rate(3.0)
        rate.add(1000.0, now=1.0)
        rate.value(now=1.5)
    """

    def __init__(self, time_constant_s: float):
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._value = self.value(now) + amount / self._time_constant_s
        self._updated_at = now

    def value(self, now: float) -> float:
        """Return the rate, which decays while no amount is added."""
        age_s = max(0.0, now - self._updated_at)
        return self._value * math.exp(-age_s / self._time_constant_s)
