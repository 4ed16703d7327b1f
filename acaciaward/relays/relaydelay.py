"""
Measures how much longer a relay was under way than the fastest ones before it.

A reader whose link is full sends relays that arrive seconds late, and the ages in them
don't count that time. An entry that took these ages for true relied on its reader for
10 s at 300 entries, while a newer configuration was in force elsewhere.

    delay = RelayDelay(time.monotonic)
    delay.record("edge-1/7f3a", uptime_s=12.0)  # 0.0, the first one
    delay.record("edge-1/7f3a", uptime_s=12.25)  # 0.9 if it comes 1.15 s later
"""

import time
from collections import abc

# By how much the fastest way may grow in a second, in seconds. The steady clock of a
# suspended reader stands still, which looks like a longer way from then on.
DRIFT = 0.02


class RelayDelay:
    """The delay of the relays of one reader; times are monotonic seconds."""

    def __init__(self, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._start = ""
        # Between the reader's uptime and this clock, for the fastest relay.
        self._offset_s = 0.0
        self._updated_at = 0.0

    def record(self, start: str, uptime_s: float) -> float:
        """Return the delay of a relay that the reader's run sent at its uptime."""
        now = self._clock()
        offset_s = now - uptime_s
        if start == self._start:
            drift_s = DRIFT * (now - self._updated_at)
            self._offset_s = min(self._offset_s + drift_s, offset_s)
        else:
            self._start, self._offset_s = start, offset_s
        self._updated_at = now
        return offset_s - self._offset_s
