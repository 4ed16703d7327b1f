"""
Whether and when a failed attempt is followed by another.

An idempotent request may be tried again whatever the verdict; one that isn't
only on NOT_RUN. Delays grow exponentially and are drawn at random below their
bound ("full jitter"), so that retries of many requests don't come in step.
"""

import random

from acaciaward import verdicts

MAY_RETRY = {
    (True, verdicts.Verdict.NOT_RUN): True,
    (True, verdicts.Verdict.MAY_HAVE_RUN): True,
    (False, verdicts.Verdict.NOT_RUN): True,
    (False, verdicts.Verdict.MAY_HAVE_RUN): False,
}


def may_retry(*, idempotent: bool, verdict: verdicts.Verdict) -> bool:
    """Return whether another attempt keeps the promise of the request."""
    return MAY_RETRY.get((idempotent, verdict), False)


def backoff_s(
    attempt: int, *, first_s: float, most_s: float, chooser: random.Random
) -> float:
    """Return the seconds to wait after failed attempt number ``attempt`` (from 1)."""
    bound = min(most_s, first_s * 2 ** (attempt - 1))
    return chooser.uniform(0, bound)


def worst(one: verdicts.Verdict, other: verdicts.Verdict) -> verdicts.Verdict:
    """Return the verdict of a request whose attempts ended in these two."""
    order = (
        verdicts.Verdict.NOT_RUN,
        verdicts.Verdict.MAY_HAVE_RUN,
        verdicts.Verdict.RAN,
    )
    return max(one, other, key=order.index)
