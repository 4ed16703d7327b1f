"""The error of a request that ended without its answer."""

import typing

import msgspec

from acaciaward import errors, httpclient, verdicts

NO_STATUS = 0
RETRIED_STATUS = 503
FINAL_STATUS = 500


class CallerError(errors.AcaciawardError):
    """
    The request ended without its answer; ``verdict`` says if it may have run.

    ``is_stated`` is False when an entry answered without a verdict.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        verdict: verdicts.Verdict,
        retry_after_s: float | None,
        is_stated: bool = True,
    ):
        super().__init__(message)
        self.status = status
        self.verdict = verdict
        self.retry_after_s = retry_after_s
        self.is_stated = is_stated


def from_answer(response: httpclient.Response, body: bytes) -> CallerError:
    """Return the error of an answer that is a refusal."""
    try:
        fields = msgspec.json.decode(body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        fields = {}
    return from_fields(response.status, fields)


def from_fields(status: int, fields: dict[str, typing.Any]) -> CallerError:
    """Return the error that the fields of a refusal describe."""
    verdict = fields.get("verdict", verdicts.Verdict.MAY_HAVE_RUN.value)
    return CallerError(
        fields.get("message", f"status {status}"),
        status=status,
        verdict=verdicts.Verdict(verdict),
        retry_after_s=fields.get("retry_after"),
        is_stated="verdict" in fields,
    )


def from_transport(error: httpclient.HttpError) -> CallerError:
    """Return the error of a request that an entry left without an answer."""
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

    Its head said 200, so the status is made up: one that asks to come back if
    the entry named a time for it.
    """
    can_return = fields.get("retry_after") is not None
    status = RETRIED_STATUS if can_return else FINAL_STATUS
    return from_fields(status, fields)


def changed_answer() -> CallerError:
    """Return the error of an answer that came out different the second time."""
    return CallerError(
        "the answer was lost half-way and came out different when made again",
        status=FINAL_STATUS,
        verdict=verdicts.Verdict.MAY_HAVE_RUN,
        retry_after_s=None,
    )
