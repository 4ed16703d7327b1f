"""
Tracks an endpoint's health from the outcomes of the calls that it gets.

Works as a circuit breaker without probe requests: a failed call opens it, and the
next live call after the pause is the probe. The pause doubles with each failure in a
row.

Silence is a state of the endpoint and no failure of a call: it shows in all calls there
at once, and ends with the first byte that the endpoint sends. So it counts once, and
leaves the share of failed calls as it is.
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
    # It sent nothing to any call, and another endpoint went on with this one.
    SILENT = "silent"
    # It was reached and did nothing.
    REFUSED = "refused"
    # The call ended for a reason of its own before the endpoint had to answer.
    UNDECIDED = "undecided"


class Health(typing.NamedTuple):
    """
    One endpoint's health: failures in a row, smoothed share of failed calls, pause.

    ``paused_until`` is in seconds of the observer's clock. ``is_unreachable`` is true
    if the last call didn't reach the endpoint, and ``is_silent`` if it was left as
    silent and has sent nothing since.
    """

    consecutive_failures: int = 0
    failed_share: float = 0.0
    paused_until: float = 0.0
    is_unreachable: bool = False
    is_silent: bool = False

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
        return Health(
            consecutive_failures, share, now + _pause_s(steps), is_unreachable
        )

    def _after_silence(self, now: float) -> "Health":
        """
        Return the health after a call that was left as its endpoint was silent.

        All calls there are, so that one during the pause doesn't lengthen it.
        """
        if self.is_silent and self.is_paused(now):
            return self
        steps = self.consecutive_failures + 1
        return Health(
            steps,
            self.failed_share,
            now + _pause_s(steps),
            is_unreachable=True,
            is_silent=True,
        )

    def after_data(self) -> "Health":
        """Return the health after the endpoint has sent something."""
        return Health(0, self.failed_share) if self.is_silent else self

    def is_paused(self, now: float) -> bool:
        """Return whether calls should be sent elsewhere."""
        return now < self.paused_until


def _pause_s(steps: int) -> float:
    if steps <= 0:
        return 0.0
    return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** (steps - 1))


_AFTER: dict[Outcome, abc.Callable[[Health, float], Health]] = {
    Outcome.SERVED: Health._after_success,
    Outcome.FAILED: Health._after_failure,
    Outcome.UNREACHED: lambda health, now: health._after_failure(now, True),
    Outcome.SILENT: Health._after_silence,
    Outcome.REFUSED: lambda health, now: health._replace(is_unreachable=False),
    Outcome.UNDECIDED: lambda health, now: health,
}
