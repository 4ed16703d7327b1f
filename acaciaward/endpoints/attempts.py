"""
Turns what the HTTP client saw into the verdict of an attempt.

The table of ``verdicts`` decides; this module only names the transport event.
"""

from acaciaward import errors, httpclient, verdicts

REFUSAL_STATUSES = frozenset({409, 429, 503})

_EVENT_OF_ERROR = {
    httpclient.ConnectFailedError: verdicts.TransportEvent.CONNECT_FAILED,
    httpclient.ConnectionLostError: verdicts.TransportEvent.CONNECTION_LOST,
    httpclient.ResponseTimeoutError: verdicts.TransportEvent.TIMED_OUT,
}


def error_from_transport(error: httpclient.HttpError) -> errors.EndpointError:
    """Return the endpoint error for a failure of the HTTP client."""
    event = _EVENT_OF_ERROR[type(error)]
    is_lost = event is verdicts.TransportEvent.CONNECTION_LOST
    return errors.EndpointError(
        str(error),
        verdict=verdicts.judge(verdicts.Verdict.NOT_RUN, event),
        endpoint_died=is_lost,
    )


def error_from_refusal(
    response: httpclient.Response, body: bytes
) -> errors.EndpointError:
    """
    Return the endpoint error for an answer that is no success.

    Only an endpoint that says in its own words that it refused proves NOT_RUN.
    """
    is_refusal = response.status in REFUSAL_STATUSES and b'"not_run"' in body
    event = (
        verdicts.TransportEvent.REFUSED_BY_ENDPOINT
        if is_refusal
        else verdicts.TransportEvent.FIRST_BYTE_WRITTEN
    )
    return errors.EndpointError(
        f"endpoint answered {response.status}",
        verdict=verdicts.judge(verdicts.Verdict.MAY_HAVE_RUN, event),
        retry_after_s=response.retry_after_s,
    )
