"""The error of a request that ended without a complete answer."""

import typing

import msgspec

from acaciaward import errors, httpclient, verdicts

NO_STATUS = 0
RETRYABLE_STATUS = 503
FINAL_STATUS = 500


class CallerError(errors.AcaciawardError):
    """
    The request ended without a complete answer.

    ``verdict`` says whether it may have run; ``has_verdict`` is False if an entry
    answered without a verdict, so that MAY_HAVE_RUN was assumed. ``status`` is
    ``NO_STATUS`` if no entry answered.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        verdict: verdicts.Verdict,
        retry_after_s: float | None,
        has_verdict: bool = True,
    ):
        super().__init__(message)
        self.status = status
        self.verdict = verdict
        self.retry_after_s = retry_after_s
        self.has_verdict = has_verdict


def from_response(response: httpclient.Response, body: bytes) -> CallerError:
    """Return the error that a response with an error status describes."""
    try:
        fields = msgspec.json.decode(body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        fields = {}
    return from_fields(response.status, fields)


def from_fields(status: int, fields: dict[str, typing.Any]) -> CallerError:
    """Return the error for a status and the fields of an ``error`` object."""
    verdict = fields.get("verdict", verdicts.Verdict.MAY_HAVE_RUN.value)
    return CallerError(
        fields.get("message", f"status {status}"),
        status=status,
        verdict=verdicts.Verdict(verdict),
        retry_after_s=fields.get("retry_after"),
        has_verdict="verdict" in fields,
    )


def from_transport(error: httpclient.HttpError) -> CallerError:
    """Return the error for a connection failure or timeout."""
    is_unsent = isinstance(error, httpclient.ConnectFailedError)
    verdict = verdicts.Verdict.NOT_RUN if is_unsent else verdicts.Verdict.MAY_HAVE_RUN
    return CallerError(
        f"no entry answered: {error}",
        status=NO_STATUS,
        verdict=verdict,
        retry_after_s=None,
    )


def from_event(fields: dict[str, typing.Any]) -> CallerError:
    """
    Return the error that ended a stream.

    The response's own status was 200, so ``status`` is a substitute: a retryable one
    if the entry gave a retry delay, otherwise a final one.
    """
    is_retryable = fields.get("retry_after") is not None
    status = RETRYABLE_STATUS if is_retryable else FINAL_STATUS
    return from_fields(status, fields)


def answer_mismatch() -> CallerError:
    """Return the error of an answer that differs when it is generated again."""
    return CallerError(
        "the stream was lost, and the answer generated again differs from the "
        "tokens already received",
        status=FINAL_STATUS,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        retry_after_s=None,
    )
