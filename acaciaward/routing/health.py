"""
What served work says about an endpoint's health.

Nothing is probed: a failed call is the sign, and the next live call after a pause
is the probe. Pauses double from failure to failure in a row.
"""

import typing

FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 4.0
# Weight of the newest outcome in the share of failures.
SMOOTHING = 0.2
# An endpoint that fails this share of its calls counts as grey.
GREY_SHARE = 0.15


class Health(typing.NamedTuple):
    """
    One endpoint's record: failures in a row, their smoothed share, and the pause.

    Times are seconds of the observer's clock.
    """

    in_a_row: int = 0
    failed_share: float = 0.0
    paused_until: float = 0.0

    def note_success(self) -> "Health":
        """Return the record after a call that was answered."""
        return Health(0, self.failed_share * (1 - SMOOTHING), 0.0)

    def note_failure(self, now: float, *, is_unreachable: bool) -> "Health":
        """
        Return the record after a failed call.

        An endpoint that can't be reached is paused at once, one whose calls fail
        only when they fail in a row.
        """
        in_a_row = self.in_a_row + 1
        share = self.failed_share * (1 - SMOOTHING) + SMOOTHING
        steps = in_a_row if is_unreachable else in_a_row - 1
        pause_s = 0.0
        if steps > 0:
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** (steps - 1))
        return Health(in_a_row, share, now + pause_s)

    def is_paused(self, now: float) -> bool:
        """Whether calls should go elsewhere."""
        return now < self.paused_until
