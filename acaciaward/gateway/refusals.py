"""Refuses calls: the status and retry delay for callers, and what these promise."""

import random
import typing

from acaciaward import verdicts
from acaciaward.gateway import callers, callprogress

BAD_GATEWAY = 502
UNAVAILABLE = 503
# Statuses that promise callers that a call has not run and never will.
PROMISES = frozenset({408, 421, 429, UNAVAILABLE})

# Longest retry delay given to callers: a share of the time until the deadline, but
# not less than the floor. The delay is drawn from the upper half of that range.
MAX_RETRY_DELAY_SHARE = 0.25
MAX_RETRY_DELAY_FLOOR_S = 0.05
# A caller whose turn is expected at a known time returns then, but not later than this
# share of the time until the deadline, plus a random part of the second share: callers
# that are to stay away for more than a third of that time don't return.
MAX_TURN_SHARE = 0.2
TURN_SPREAD_SHARE = 0.1

# What callers are told that a closed entry refuses, and when they may ask another one.
CLOSED_REASON = "the entry is stopping"
CLOSED_RETRY_S = 0.05


class Refusals:
    """Refuses the calls of all callers."""

    def __init__(self, rng: random.Random):
        self._random = rng

    def refuse(
        self,
        progress: callprogress.Progress,
        responder: callers.Responder,
        reason: str,
        *,
        retry_after_s: float | None = None,
        cause: callprogress.Cause = callprogress.Cause.BROKEN_OFF,
        status: int = UNAVAILABLE,
        is_cut_off: bool = False,
    ) -> typing.NoReturn:
        """
        Raise ``RefusedError``; ``status`` is that of a call that has not run.

        ``is_cut_off`` tells a peer that this entry doesn't reach the endpoints.
        """
        if not progress.may_have_run and not responder.has_begun:
            if retry_after_s is None:
                retry_after_s = self.retry_delay_s(progress)
            raise callprogress.RefusedError(
                status,
                reason,
                retry_after_s=retry_after_s,
                is_cut_off=is_cut_off,
                cause=cause,
            )
        raise callprogress.RefusedError(
            BAD_GATEWAY, reason, verdict=verdicts.Verdict.MAY_HAVE_RUN, cause=cause
        )

    def delay_after_backoff_s(
        self, progress: callprogress.Progress, backoff_s: float
    ) -> float:
        """Return a random retry delay that is longer than endpoints' back-off."""
        return backoff_s + self.retry_delay_s(progress)

    def delay_until_s(
        self, progress: callprogress.Progress, expected_s: float
    ) -> float:
        """Return a random retry delay that ends when a turn is expected, or later."""
        first_s = min(
            max(expected_s, MAX_RETRY_DELAY_FLOOR_S), MAX_TURN_SHARE * progress.left_s
        )
        return first_s + self._random.uniform(0, TURN_SPREAD_SHARE * progress.left_s)

    def retry_delay_s(self, progress: callprogress.Progress) -> float:
        """Return a random retry delay that leaves time for the call to be served."""
        max_delay_s = max(
            MAX_RETRY_DELAY_FLOOR_S, MAX_RETRY_DELAY_SHARE * progress.left_s
        )
        return self._random.uniform(max_delay_s / 2, max_delay_s)
