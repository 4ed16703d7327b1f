"""
Tracks an endpoint's health from the outcomes of the calls that it gets.

Works as a circuit breaker without probe requests: a failed call opens it, and the
next live call after the pause is the probe. The pause doubles with each failure in a
row.
"""

import enum
import typing
from collections import abc

FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 4.0
# Weight of the newest outcome in the share of failures.
SMOOTHING = 0.2
# An endpoint that fails this share of its calls is considered partially failed.
PARTIAL_FAILURE_SHARE = 0.15


class Outcome(enum.Enum):
    """What the end of a call says of the health of its endpoint."""

    SERVED = "served"
    FAILED = "failed"
    UNREACHED = "unreached"
    # It was reached and did nothing.
    REFUSED = "refused"
    # The call ended for a reason of its own before the endpoint had to answer.
    UNDECIDED = "undecided"


class Health(typing.NamedTuple):
    """
    One endpoint's health: failures in a row, smoothed share of failed calls, pause.

    ``paused_until`` is in seconds of the observer's clock. ``is_unreachable`` is true
    if the last call didn't reach the endpoint.
    """

    consecutive_failures: int = 0
    failed_share: float = 0.0
    paused_until: float = 0.0
    is_unreachable: bool = False

    def after(self, outcome: Outcome, now: float) -> "Health":
        """Return the health after a call with this outcome."""
        return _AFTER[outcome](self, now)

    def _after_success(self, now: float) -> "Health":
        return Health(0, self.failed_share * (1 - SMOOTHING), 0.0)

    def _after_failure(self, now: float, is_unreachable: bool = False) -> "Health":
        """
        Return the health after a failed call.

        An endpoint that can't be reached is paused at once, one whose calls fail only
        from the second failure in a row.
        """
        consecutive_failures = self.consecutive_failures + 1
        share = self.failed_share * (1 - SMOOTHING) + SMOOTHING
        steps = consecutive_failures if is_unreachable else consecutive_failures - 1
        pause_s = 0.0
        if steps > 0:
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** (steps - 1))
        return Health(consecutive_failures, share, now + pause_s, is_unreachable)

    def is_paused(self, now: float) -> bool:
        """Return whether calls should be sent elsewhere."""
        return now < self.paused_until


_AFTER: dict[Outcome, abc.Callable[[Health, float], Health]] = {
    Outcome.SERVED: Health._after_success,
    Outcome.FAILED: Health._after_failure,
    Outcome.UNREACHED: lambda health, now: health._after_failure(now, True),
    Outcome.REFUSED: lambda health, now: health._replace(is_unreachable=False),
    Outcome.UNDECIDED: lambda health, now: health,
}
