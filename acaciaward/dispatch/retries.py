"""
Rules for retries: whether a failed attempt may be retried, and after which backoff.

An idempotent request may be retried unless it ran; any other only on NOT_RUN. The
backoff grows exponentially with full jitter, a random value below the bound, so that
retries of many requests don't coincide.
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
    """Return whether another attempt is safe; idempotent requests may run twice."""
    return MAY_RETRY.get((idempotent, verdict), False)


def backoff_s(
    attempt: int, *, initial_s: float, max_s: float, rng: random.Random
) -> float:
    """Return the seconds to wait after failed attempt number ``attempt`` (from 1)."""
    upper_bound_s = min(max_s, initial_s * 2 ** (attempt - 1))
    return rng.uniform(0, upper_bound_s)


def worst(first: verdicts.Verdict, second: verdicts.Verdict) -> verdicts.Verdict:
    """Return the verdict of a request with two attempts that ended in these."""
    order = (
        verdicts.Verdict.NOT_RUN,
        verdicts.Verdict.MAY_HAVE_RUN,
        verdicts.Verdict.RAN,
    )
    return max(first, second, key=order.index)
