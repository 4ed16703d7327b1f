"""
Shared parts of the handlers of callers' requests: authentication, bodies, errors.

A handler runs inside ``run_handler``, which gives it a request id, counts its
request as open and turns its errors into answers.
"""

import asyncio
import logging
import uuid
from collections import abc

import blacksheep

from acaciaward import errors, httplimits, verdicts
from acaciaward.callers import answers, drain
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.identity import apikeys
from acaciaward.observability import logs, metrics, recorder

log = logging.getLogger(__name__)

BEARER = "bearer "
NOT_CURRENT_RETRY_DELAY_S = 2.0
BODY_TIMEOUT_S = 30.0
CLOSE_HEADER = (b"connection", b"close")

Handler = abc.Callable[[str], abc.Awaitable[blacksheep.Response]]


class HandlerContext:
    """The state and checks that the handlers of one entry share."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        request_drain: drain.Drain,
        *,
        connections: httplimits.ConnectionLimiter,
        request_recorder: recorder.Recorder,
        max_body_bytes: int,
    ):
        self._connections = connections
        self.configuration = configuration
        self.drain = request_drain
        self._recorder = request_recorder
        self._max_body_bytes = max_body_bytes

    def authenticate(self, request: blacksheep.Request) -> apikeys.Caller:
        """Return the caller by its API key, or raise ``AuthenticationError``."""
        document = self.configuration.view.document
        caller = apikeys.authenticate_caller(document, read_bearer(request))
        self._connections.bind(request, caller.organisation)
        return caller

    def check_current(self, request: blacksheep.Request) -> None:
        """Raise ``NotCurrentError`` unless the configuration is current."""
        if self.configuration.is_current:
            return
        error = errors.NotCurrentError(
            "this entry can't show that its configuration is current",
            retry_after_s=NOT_CURRENT_RETRY_DELAY_S,
        )
        service_class = request.get_first_header(b"x-service-class") or b""
        self._recorder.record_early_refusal(service_class.decode("latin-1"), error)
        raise error

    async def read_body(self, request: blacksheep.Request) -> bytes:
        """Return a request's body, up to the limit of the settings."""
        return await read_body_up_to(request, self._max_body_bytes)

    async def run_handler(
        self, handler: Handler, request: blacksheep.Request
    ) -> blacksheep.Response:
        """Run a handler and turn its request errors into answers."""
        request_id = f"req-{uuid.uuid4().hex}"
        with self.drain.track_request():
            response = await self._answer(handler, request, request_id)
        if self.drain.phase >= drain.Phase.LEAVING:
            response.add_header(*CLOSE_HEADER)
        return response

    async def _answer(
        self, handler: Handler, request: blacksheep.Request, request_id: str
    ) -> blacksheep.Response:
        try:
            response = await handler(request_id)
        except errors.RequestError as error:
            error.verdict = _verdict_after_resend(error.verdict, request)
            log_refusal(error, request_id)
            return answers.error_response(error, request_id)
        except Exception:
            log.exception("request failed", extra=logs.fields(request=request_id))
            unexpected = errors.AttemptFailedError("internal error")
            return answers.error_response(unexpected, request_id)
        metrics.ANSWERS.labels("answered").inc()
        return response


def read_bearer(request: blacksheep.Request) -> str:
    """Return the API key of a request, empty without one."""
    value = request.get_first_header(b"authorization") or b""
    text = value.decode("latin-1")
    if text[: len(BEARER)].lower() != BEARER:
        return ""
    return text[len(BEARER) :].strip()


async def read_body_up_to(request: blacksheep.Request, limit: int) -> bytes:
    """Return a request's body, or raise ``BodyTooLargeError``."""
    message = f"the body may have at most {limit} bytes"
    length = request.get_first_header(b"content-length") or b"0"
    if length.isdigit() and int(length) > limit:
        raise errors.BodyTooLargeError(message)
    parts = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            async for part in request.stream():
                size += len(part)
                if size > limit:
                    raise errors.BodyTooLargeError(message)
                parts.append(part)
    except TimeoutError as error:
        raise errors.BodyTooSlowError("the body did not arrive in time") from error
    return b"".join(parts)


def read_headers(request: blacksheep.Request) -> dict[str, str]:
    """Return the headers by their lower-case names."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.headers
    }


def _verdict_after_resend(
    verdict: verdicts.Verdict, request: blacksheep.Request
) -> verdicts.Verdict:
    """
    Return the verdict of a request, considering that an earlier attempt may run.

    A caller that repeats a request after an attempt that may have run sets
    ``X-Resend``. The earlier attempt may still be on its way to an endpoint from
    another entry, so nothing that this entry knows proves that it doesn't run.
    """
    is_resend = request.get_first_header(b"x-resend") == b"true"
    if is_resend and verdict is verdicts.Verdict.NOT_RUN:
        return verdicts.Verdict.MAY_HAVE_RUN
    return verdict


def log_refusal(error: errors.RequestError, request_id: str) -> None:
    """Count and log a request that ends without its answer."""
    metrics.ANSWERS.labels(error.code).inc()
    log.info(
        "request refused",
        extra=logs.fields(
            request=request_id,
            code=error.code,
            verdict=error.verdict.value,
            reason=error,
        ),
    )
