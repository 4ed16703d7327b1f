"""
The callers' HTTP API: discovery, completions, service calls and outcomes.

Every answer carries a request id, and every error a verdict. A request is
refused before anything runs unless this entry can show that its configuration
is current.
"""

import asyncio
import contextlib
import logging
import typing
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable

import blacksheep

from acaciaward import errors, httplimits, httpserver, requests, verdicts
from acaciaward.callers import answers, discovery, parsing
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.dispatch import dispatcher, streams
from acaciaward.identity import apikeys, resumetokens
from acaciaward.observability import logs, metrics

log = logging.getLogger(__name__)

BEARER = "bearer "
BODY_TIMEOUT_S = 30.0
DISCONNECT_POLL_S = 0.2
NOT_CURRENT_RETRY_S = 2.0


class CallersApi:
    """Routes of callers on one HTTP application."""

    def __init__(
        self,
        application: blacksheep.Application,
        *,
        configuration: configuration_interfaces.Configuration,
        requests_dispatcher: dispatcher.Dispatcher,
        claims: claims_interfaces.ClaimBook,
        entries: discovery.Discovery,
        max_body_bytes: int,
        owners: httplimits.Connections,
    ):
        self._configuration = configuration
        self._dispatcher = requests_dispatcher
        self._claims = claims
        self._entries = entries
        self._max_body_bytes = max_body_bytes
        self._owners = owners
        routes = (
            ("GET", "/v1/entries", self._get_entries),
            ("GET", "/v1/models", self._get_models),
            ("POST", "/v1/completions", self._post_completion),
            ("POST", "/v1/chat/completions", self._post_chat),
            ("POST", "/v1/services/{deployment}/{path:path}", self._post_service),
            ("GET", "/v1/outcomes/{key}", self._get_outcome),
        )
        for method, path, handler in routes:
            httpserver.add_route(application, method, path, handler)

    async def _get_entries(self, request: blacksheep.Request) -> blacksheep.Response:
        data_centre = request.query.get("data_centre", [None])[0]
        return answers.json_response(self._entries.answer(data_centre))

    async def _get_models(self, request: blacksheep.Request) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._authenticate(request)
            deployments = self._configuration.view.document.get("deployments", {})
            listed = [
                {"id": name, "object": "model", "owned_by": "acaciaward"}
                for name, entry in sorted(deployments.items())
                if entry["kind"] == requests.DeploymentKind.MODEL.value
                and caller.organisation in entry.get("organisations", [])
            ]
            return answers.json_response({"object": "list", "data": listed})

        return await _answered(answer, request)

    async def _post_completion(self, request: blacksheep.Request):
        return await self._complete(request, answers.COMPLETION)

    async def _post_chat(self, request: blacksheep.Request):
        return await self._complete(request, answers.CHAT)

    async def _complete(
        self, request: blacksheep.Request, form: answers.Form
    ) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._authenticate(request)
            self._check_current()
            raw = await self._read_body(request)
            body = parsing.read_body(raw)
            model_request = self._model_request(
                caller, request_id, raw, body, form, _headers(request)
            )
            events = self._dispatcher.stream(model_request)
            if body.get("stream", False):
                return await self._stream(request, model_request, events, form)
            work = self._collect(model_request, events, form)
            return await _unless_disconnected(request, work)

        return await _answered(answer, request)

    def _model_request(
        self,
        caller: apikeys.Caller,
        request_id: str,
        raw: bytes,
        body: parsing.CompletionBody,
        form: answers.Form,
        headers: dict[str, str],
    ) -> requests.Request:
        options = parsing.read_options(headers)
        if not options.idempotent:
            raise errors.InvalidRequestError("completions are always idempotent")
        deployment = body.get("model", "")
        entry = parsing.find_deployment(
            self._configuration.view.document,
            caller.organisation,
            deployment,
            requests.DeploymentKind.MODEL,
        )
        prompt = parsing.read_prompt(body, is_chat=form.is_chat)
        now = asyncio.get_running_loop().time()
        return requests.Request(
            request_id=request_id,
            organisation=caller.organisation,
            deployment=deployment,
            kind=requests.DeploymentKind.MODEL,
            service_class=options.service_class,
            idempotent=True,
            key=options.key,
            digest=parsing.digest_of(deployment, form.name, raw),
            deadline=now + parsing.deadline_of(entry, options),
            prompt=prompt,
            prompt_tokens=parsing.count_tokens(prompt),
            max_tokens=parsing.read_max_tokens(body),
        )

    async def _collect(
        self,
        request: requests.Request,
        events: AsyncIterator[streams.StreamEvent],
        form: answers.Form,
    ) -> blacksheep.Response:
        texts = []
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, requests.TokenFrame):
                    texts.append(event.text)
                elif isinstance(event, requests.Completion):
                    body = answers.whole_answer(form, request, "".join(texts), event)
                    return answers.json_response(body)
        raise errors.AttemptFailedError("the answer ended without its final event")

    async def _stream(
        self,
        request: blacksheep.Request,
        model_request: requests.Request,
        events: AsyncIterator[streams.StreamEvent],
        form: answers.Form,
    ) -> blacksheep.Response:
        # The first event is awaited here, so that a request that never begins
        # is refused with a status of its own.
        first = await anext(events)
        body = self._sse_events(request, model_request, first, events, form)

        async def parts():
            async with contextlib.aclosing(body):
                async for part in body:
                    yield part

        content = blacksheep.StreamedContent(answers.SSE_TYPE, parts)
        headers = [(b"x-request-id", model_request.request_id.encode())]
        return blacksheep.Response(200, headers, content)

    async def _sse_events(
        self,
        request: blacksheep.Request,
        model_request: requests.Request,
        first: streams.StreamEvent,
        events: AsyncIterator[streams.StreamEvent],
        form: answers.Form,
    ) -> AsyncIterator[bytes]:
        chunks = answers.Chunks(form, model_request)
        async with contextlib.aclosing(events):
            try:
                yield self._encode(chunks, model_request, first)
                async for event in events:
                    if await request.is_disconnected():
                        return
                    yield self._encode(chunks, model_request, event)
            except errors.RequestError as error:
                _log_refusal(error, model_request.request_id)
                yield answers.error_event(error, model_request.request_id)

    def _encode(
        self,
        chunks: answers.Chunks,
        request: requests.Request,
        event: streams.StreamEvent,
    ) -> bytes:
        if isinstance(event, requests.TokenFrame):
            return chunks.token(event)
        if isinstance(event, requests.Completion):
            return chunks.end(event)
        return chunks.opened(self._resume_token(request, event))

    def _resume_token(
        self, request: requests.Request, opened: streams.Opened
    ) -> str | None:
        keys = self._configuration.view.document.get("resume_keys", [])
        if not keys:
            return None
        token = resumetokens.ResumeToken(
            request.organisation,
            request.request_id,
            request.deployment,
            request.digest,
            opened.endpoint,
            opened.stream,
        )
        return resumetokens.sign(keys, token)

    async def _post_service(
        self, deployment: str, path: str, request: blacksheep.Request
    ) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._authenticate(request)
            self._check_current()
            raw = await self._read_body(request)
            headers = _headers(request)
            options = parsing.read_options(headers)
            entry = parsing.find_deployment(
                self._configuration.view.document,
                caller.organisation,
                deployment,
                requests.DeploymentKind.SERVICE,
            )
            now = asyncio.get_running_loop().time()
            service_request = requests.Request(
                request_id=request_id,
                organisation=caller.organisation,
                deployment=deployment,
                kind=requests.DeploymentKind.SERVICE,
                service_class=options.service_class,
                idempotent=options.idempotent,
                key=options.key,
                digest=parsing.digest_of(deployment, path, raw),
                deadline=now + parsing.deadline_of(entry, options),
                body=raw,
                path=path,
                content_type=headers.get("content-type", "application/json"),
            )
            # A call that may not be repeated is finished even when its caller
            # has gone, so that its outcome can be asked for.
            work = self._dispatcher.call(service_request)
            if options.idempotent:
                result = await _unless_disconnected(request, work)
            else:
                result = await asyncio.shield(asyncio.create_task(work))
            content = blacksheep.Content(result.content_type.encode(), result.body)
            sent_id = (b"x-request-id", request_id.encode())
            return blacksheep.Response(
                result.status, [sent_id, (b"x-verdict", b"ran")], content
            )

        return await _answered(answer, request)

    async def _get_outcome(
        self, key: str, request: blacksheep.Request
    ) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._authenticate(request)
            outcome = await self._claims.outcome(
                caller.organisation, parsing.read_key(key)
            )
            body: dict[str, typing.Any] = {
                "key": key,
                "verdict": outcome.verdict.value,
                "status": None,
                "body": None,
            }
            if outcome.answer is not None:
                body["status"] = outcome.answer.status
                body["body"] = outcome.answer.body.decode(errors="replace")
            return answers.json_response(body)

        return await _answered(answer, request)

    def _authenticate(self, request: blacksheep.Request) -> apikeys.Caller:
        document = self._configuration.view.document
        caller = apikeys.authenticate_caller(document, read_bearer(request))
        self._owners.bind(request, caller.organisation)
        return caller

    def _check_current(self) -> None:
        if not self._configuration.is_current:
            raise errors.NotCurrentError(
                "this entry can't show that its configuration is current",
                retry_after_s=NOT_CURRENT_RETRY_S,
            )

    async def _read_body(self, request: blacksheep.Request) -> bytes:
        return await read_limited(request, self._max_body_bytes)


def read_bearer(request: blacksheep.Request) -> str:
    """Return the API key of a request, empty without one."""
    value = request.get_first_header(b"authorization") or b""
    text = value.decode("latin-1")
    if text[: len(BEARER)].lower() != BEARER:
        return ""
    return text[len(BEARER) :].strip()


async def read_limited(request: blacksheep.Request, limit: int) -> bytes:
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


def _headers(request: blacksheep.Request) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.headers
    }


async def _answered(
    answer: Callable[[str], Awaitable[blacksheep.Response]],
    request: blacksheep.Request,
) -> blacksheep.Response:
    """Run a handler and turn its request errors into answers."""
    request_id = f"req-{uuid.uuid4().hex}"
    try:
        response = await answer(request_id)
    except errors.RequestError as error:
        error.verdict = _verdict_over_resends(error.verdict, request)
        _log_refusal(error, request_id)
        return answers.error_response(error, request_id)
    except Exception:
        log.exception("request failed", extra=logs.fields(request=request_id))
        unexpected = errors.AttemptFailedError("internal error")
        return answers.error_response(unexpected, request_id)
    metrics.ANSWERS.labels("answered").inc()
    return response


def _verdict_over_resends(
    verdict: verdicts.Verdict, request: blacksheep.Request
) -> verdicts.Verdict:
    """
    Return the verdict of a request whose earlier sending may have run.

    A caller that sends a request again after a try that may have run says so by
    ``X-Resend``. The earlier try may still be on its way to an endpoint from
    another entry, so nothing that is seen here can prove that it doesn't run.
    """
    is_resend = request.get_first_header(b"x-resend") == b"true"
    if is_resend and verdict is verdicts.Verdict.NOT_RUN:
        return verdicts.Verdict.MAY_HAVE_RUN
    return verdict


def _log_refusal(error: errors.RequestError, request_id: str) -> None:
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


async def _unless_disconnected(
    request: blacksheep.Request, work: typing.Coroutine
) -> typing.Any:
    """Return the result of work, and cancel it when the caller goes away."""
    task = asyncio.ensure_future(work)
    try:
        while not task.done():
            await asyncio.wait({task}, timeout=DISCONNECT_POLL_S)
            if not task.done() and await request.is_disconnected():
                break
        if task.done():
            return task.result()
        raise errors.AttemptFailedError("the caller went away")
    finally:
        task.cancel()
