"""
Maps HTTP client errors and unsuccessful responses to an attempt's verdict.

This module only determines the transport event; the table in ``verdicts`` decides.
"""

import msgspec

from acaciaward import errors, httpclient, verdicts

REFUSAL_STATUSES = frozenset({409, 429, 503})
OVERLOAD_STATUSES = frozenset({429, 503})
NOT_RUN = verdicts.Verdict.NOT_RUN.value

_EVENT_OF_ERROR = {
    httpclient.ConnectFailedError: verdicts.TransportEvent.CONNECT_FAILED,
    httpclient.ConnectionLostError: verdicts.TransportEvent.CONNECTION_LOST,
    httpclient.ResponseTimeoutError: verdicts.TransportEvent.TIMED_OUT,
}


def error_from_transport(error: httpclient.HttpError) -> errors.EndpointError:
    """Return the endpoint error for a failure of the HTTP client."""
    event = _EVENT_OF_ERROR[type(error)]
    is_connection_lost = event is verdicts.TransportEvent.CONNECTION_LOST
    return errors.EndpointError(
        str(error),
        verdict=verdicts.verdict_after(verdicts.Verdict.NOT_RUN, event),
        may_endpoint_have_died=is_connection_lost,
    )


def reports_not_run(response: httpclient.Response, body: bytes) -> bool:
    """
    Return whether the endpoint states that it refused to run the request.

    Only the top-level field ``verdict`` of a JSON object counts: a body may echo
    anything that the request contained.
    """
    if response.status not in REFUSAL_STATUSES:
        return False
    try:
        answer = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return False
    return isinstance(answer, dict) and answer.get("verdict") == NOT_RUN


def is_failure(response: httpclient.Response, body: bytes) -> bool:
    """Return whether a service's complete answer is a failure of the attempt."""
    return response.status in OVERLOAD_STATUSES or reports_not_run(response, body)


def error_from_response(
    response: httpclient.Response, body: bytes
) -> errors.EndpointError:
    """
    Return the endpoint error for an unsuccessful answer.

    Only an explicit refusal by the endpoint proves NOT_RUN.
    """
    is_refusal = reports_not_run(response, body)
    event = (
        verdicts.TransportEvent.REFUSED_BY_ENDPOINT
        if is_refusal
        else verdicts.TransportEvent.FIRST_BYTE_WRITTEN
    )
    return errors.EndpointError(
        f"endpoint answered {response.status}",
        verdict=verdicts.verdict_after(verdicts.Verdict.MAY_HAVE_RUN, event),
        retry_after_s=response.retry_after_s,
    )
