"""HTTP client for plain services."""

import asyncio
import logging
from collections import abc

from acaciaward import errors, httpclient, requests, verdicts
from acaciaward.endpoints import attempts
from acaciaward.observability import logs

log = logging.getLogger(__name__)


class HttpPlainService:
    """Implements ``interfaces.PlainService`` over HTTP."""

    def __init__(self, client: httpclient.HttpClient):
        self._client = client

    async def call(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        *,
        attempt: str,
        deadline_s: float,
        before_write: abc.Callable[[], None] | None = None,
    ) -> requests.ServiceAnswer:
        """
        Send the body once and return the complete answer.

        The service gets the identifiers of request and attempt and may return them;
        an answer with other identifiers is never forwarded. Raises
        ``errors.EndpointError`` if the answer isn't complete within ``deadline_s``.
        """
        event = verdicts.TransportEvent.CONNECT_FAILED

        def record_write() -> None:
            nonlocal event
            if before_write is not None:
                before_write()
            event = verdicts.TransportEvent.TIMED_OUT

        try:
            async with asyncio.timeout(max(0.0, deadline_s)):
                return await self._send(
                    endpoint, request, attempt, deadline_s, record_write
                )
        except TimeoutError as error:
            raise errors.EndpointError(
                "no whole answer before the deadline",
                verdict=verdicts.verdict_after(verdicts.Verdict.NOT_RUN, event),
            ) from error

    async def _send(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        attempt: str,
        deadline_s: float,
        before_write: abc.Callable[[], None],
    ) -> requests.ServiceAnswer:
        headers = {
            "content-type": request.content_type,
            "x-request-id": request.request_id,
            "x-attempt": attempt,
            "x-organisation": request.organisation,
            "x-deadline-s": f"{deadline_s:.3f}",
        }
        if request.key is not None:
            headers["idempotency-key"] = request.key
        try:
            async with self._client.send(
                "POST",
                endpoint.address,
                endpoint.port,
                f"/{request.path}",
                headers=headers,
                body=request.body,
                timeout_s=deadline_s,
                needs_new_connection=not request.idempotent,
                before_write=before_write,
            ) as response:
                body = await response.read()
        except httpclient.HttpError as error:
            raise attempts.error_from_transport(error) from error
        if attempts.is_failure(response, body):
            raise attempts.error_from_response(response, body)
        self._check_identity(endpoint, request, attempt, response)
        content_type = response.headers.get("content-type", "application/octet-stream")
        return requests.ServiceAnswer(response.status, content_type, body)

    def _check_identity(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        attempt: str,
        response: httpclient.Response,
    ) -> None:
        returned_ids = (
            response.headers.get("x-request-id", request.request_id),
            response.headers.get("x-attempt", attempt),
        )
        if returned_ids == (request.request_id, attempt):
            return
        log.warning(
            "dropped an answer to another request",
            extra=logs.fields(endpoint=endpoint.name, request=request.request_id),
        )
        raise errors.EndpointError(
            "the answer belongs to another request",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )
