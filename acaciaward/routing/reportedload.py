"""
Keeps the load that other entries report at endpoints, as relays bring it.

Reports name endpoints without their starts. When one starts again under its name, they
count its former start's requests until all entries know of the restart.

    reported = ReportedLoad(time.monotonic)
    reported.receive({"model-1": (3.0, 12000.0)})
    reported.of("model-1")  # (3.0, 12000.0): requests, prompt tokens to prefill
"""

import math
from collections import abc

# Reports older than this are ignored, in seconds.
REPORT_LIFETIME_S = 3.0
# Reports of an endpoint are ignored for this long after it has started again, in
# seconds: entries hear of a restart within half a second of each other, and reports and
# relays take as long.
RESTART_SETTLE_S = 1.0

NO_LOAD = (0.0, 0.0)

Incarnation = tuple[str, int]


class ReportedLoad:
    """The newest load of all other entries; ``clock`` is in seconds."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._load: abc.Mapping[str, tuple[float, float]] = {}
        self._received_at = -math.inf
        self._restarted_at: dict[str, float] = {}

    @property
    def age_s(self) -> float:
        """The age of the newest report, in seconds."""
        return self._clock() - self._received_at

    def receive(self, load: abc.Mapping[str, tuple[float, float]]) -> None:
        """Receive the requests and the backlog tokens by endpoint."""
        self._load = load
        self._received_at = self._clock()
        self._restarted_at = {
            name: at
            for name, at in self._restarted_at.items()
            if self._received_at - at < RESTART_SETTLE_S
        }

    def record_restart(self, name: str) -> None:
        """Record that an endpoint has started again."""
        self._restarted_at[name] = self._clock()

    def of(self, name: str) -> tuple[float, float]:
        """Return the requests and the backlog tokens at an endpoint."""
        if self.age_s >= REPORT_LIFETIME_S:
            return NO_LOAD
        restarted_at = self._restarted_at.get(name, -math.inf)
        if self._clock() - restarted_at < RESTART_SETTLE_S:
            return NO_LOAD
        return self._load.get(name, NO_LOAD)


def is_later_start(incarnation: Incarnation, than: Incarnation) -> bool:
    """
    Return whether an endpoint's start is proven to be later than another of its name.

    A record without a start proves nothing.
    """
    name, born = incarnation
    former_name, former_born = than
    return name == former_name and born > former_born > 0
