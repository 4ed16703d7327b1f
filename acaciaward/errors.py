"""
The exception tree of the project.

Every error that a caller or an operator may see derives from
``AcaciawardError``. Errors about one request derive from ``RequestError`` and
carry what the response needs: the HTTP status, a short machine-readable code,
the verdict and, where a retry makes sense, the retry delay in seconds.

    raise errors.NoEndpointError("no live endpoint", retry_after_s=2.0)
"""

from acaciaward import verdicts


class AcaciawardError(Exception):
    """Base class of all errors of the project."""


class OperatorError(AcaciawardError):
    """
    A mistake of the operator: settings, arguments or files.

    The command line prints the message as one line, without a traceback, and
    exits with ``exit_code``.
    """

    exit_code = 1


class SettingsError(OperatorError):
    """A settings file that can't be used; the message names the key's path."""

    exit_code = 2


class RequestError(AcaciawardError):
    """
    A request that ends without a complete answer.

    ``verdict`` says whether the request may have run. ``retry_after_s`` is the
    number of seconds after which a retry makes sense, or None when it never does.
    """

    status = 500
    code = "internal_error"
    default_verdict = verdicts.Verdict.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        verdict: verdicts.Verdict | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.verdict = verdict or self.default_verdict
        self.retry_after_s = retry_after_s


class InvalidRequestError(RequestError):
    """Malformed input: the request was not run, and a retry would fail again."""

    status = 400
    code = "invalid_request_error"


class BodyTooLargeError(InvalidRequestError):
    """The body is larger than the settings allow."""

    status = 413
    code = "body_too_large"


class BodyTooSlowError(InvalidRequestError):
    """The body did not arrive in time."""

    status = 408
    code = "body_too_slow"


class AuthenticationError(RequestError):
    """The key is missing, unknown or revoked."""

    status = 401
    code = "invalid_api_key"


class PermissionDeniedError(RequestError):
    """The key is valid but doesn't allow this."""

    status = 403
    code = "permission_denied"


class NotFoundError(RequestError):
    """The named deployment, stream, key or version doesn't exist for the caller."""

    status = 404
    code = "not_found"


class ConflictError(RequestError):
    """The request contradicts an earlier one, such as a key with another body."""

    status = 409
    code = "conflict"


class LimitExceededError(RequestError):
    """A limit of the organisation is reached."""

    status = 429
    code = "limit_exceeded"


class OverloadedError(RequestError):
    """The work can't be done before its deadline, so it was not begun."""

    status = 503
    code = "overloaded"


class NoEndpointError(RequestError):
    """No live endpoint serves the deployment."""

    status = 503
    code = "no_endpoint"


class NotCurrentError(RequestError):
    """This entry can't prove that its configuration is current."""

    status = 503
    code = "not_current"


class PlatformUnavailableError(RequestError):
    """Data that the request needs from the platform's log is unavailable."""

    status = 503
    code = "platform_unavailable"


class PeerUnresponsiveError(RequestError):
    """The entry that the request is about did not answer this one."""

    status = 504
    code = "peer_silent"
    default_verdict = verdicts.Verdict.MAY_HAVE_RUN


class QuarantinedError(RequestError):
    """The request is quarantined: refused, as endpoints died while running it."""

    status = 422
    code = "quarantined"


class DeadlineExceededError(RequestError):
    """The deadline passed before the answer was complete."""

    status = 504
    code = "deadline_exceeded"
    default_verdict = verdicts.Verdict.MAY_HAVE_RUN


class AttemptFailedError(RequestError):
    """Every attempt that the request was allowed has failed."""

    status = 502
    code = "attempt_failed"
    default_verdict = verdicts.Verdict.MAY_HAVE_RUN


class OutcomeUnknownError(RequestError):
    """Another run holds the idempotency key, and its result is unavailable."""

    status = 409
    code = "outcome_unknown"
    default_verdict = verdicts.Verdict.MAY_HAVE_RUN


class StreamGoneError(RequestError):
    """The stream that a caller wants to resume no longer exists."""

    status = 410
    code = "stream_gone"
    default_verdict = verdicts.Verdict.MAY_HAVE_RUN


class PlatformError(AcaciawardError):
    """A call to the platform failed; subclasses say if it may have taken effect."""

    def __init__(self, message: str, *, retry_after_s: float | None = None):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class PlatformRefusedError(PlatformError):
    """The platform refused the call: the action had no effect."""


class PlatformUnknownError(PlatformError):
    """The answer was lost: the action may have taken effect, or still may."""


class RecordsExpiredError(PlatformError):
    """The requested offset is older than the first that the log retains."""

    def __init__(self, message: str, *, first_offset: int):
        super().__init__(message)
        self.first_offset = first_offset


class PeerUnreachableError(AcaciawardError):
    """No answer from a peer entry: it is unknown, unresponsive or lacks the data."""


class DecodingError(AcaciawardError):
    """What another has written can't be decoded, or a value is out of range."""


class WireError(AcaciawardError):
    """A message from a peer that can't be decoded."""


class EndpointError(AcaciawardError):
    """
    An attempt at an endpoint failed.

    ``verdict`` is what the client can prove about the attempt, and
    ``may_endpoint_have_died`` is True when the connection broke in a way that a crash
    of the endpoint would explain.
    """

    def __init__(
        self,
        message: str,
        *,
        verdict: verdicts.Verdict,
        may_endpoint_have_died: bool = False,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.verdict = verdict
        self.may_endpoint_have_died = may_endpoint_have_died
        self.retry_after_s = retry_after_s
