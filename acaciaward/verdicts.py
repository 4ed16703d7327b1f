"""
The verdict: what can be proved about whether a request ran.

An attempt begins as NOT_RUN. It becomes MAY_HAVE_RUN when the first byte of the
request is written to an endpoint, and RAN when its answer is complete. Only an
explicit refusal by the endpoint returns it to NOT_RUN.
"""

import enum


class Verdict(enum.Enum):
    """What is certain about one attempt or one request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class TransportEvent(enum.Enum):
    """What happened on the connection to an endpoint, in the order it may happen."""

    CONNECT_FAILED = "connect_failed"
    FIRST_BYTE_WRITTEN = "first_byte_written"
    REFUSED_BY_ENDPOINT = "refused_by_endpoint"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    ANSWER_COMPLETE = "answer_complete"


# The verdict after an event, regardless of the previous one, except that an attempt
# which has run keeps its verdict.
VERDICT_AFTER = {
    TransportEvent.CONNECT_FAILED: Verdict.NOT_RUN,
    TransportEvent.FIRST_BYTE_WRITTEN: Verdict.MAY_HAVE_RUN,
    TransportEvent.REFUSED_BY_ENDPOINT: Verdict.NOT_RUN,
    TransportEvent.CONNECTION_LOST: Verdict.MAY_HAVE_RUN,
    TransportEvent.TIMED_OUT: Verdict.MAY_HAVE_RUN,
    TransportEvent.ANSWER_COMPLETE: Verdict.RAN,
}


def verdict_after(current: Verdict, event: TransportEvent) -> Verdict:
    """
    Return the verdict of an attempt after one more transport event.

        verdict_after(Verdict.NOT_RUN, TransportEvent.FIRST_BYTE_WRITTEN)
        # Verdict.MAY_HAVE_RUN
    """
    if current is Verdict.RAN:
        return current
    return VERDICT_AFTER[event]
