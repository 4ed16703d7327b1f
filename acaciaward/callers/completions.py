"""
Handles completions and chats: streamed or as one body, and resumed streams.

A streamed answer begins with an event that carries a resume token. A caller whose
connection is lost, or that receives a ``moved`` event, posts the token with its
original request to ``/v1/resume`` at any entry and gets the rest of the answer.
"""

import asyncio
import contextlib
import time
import typing

import blacksheep

from acaciaward import errors, httpserver, requests, verdicts
from acaciaward.callers import answers, drain, feed, handling, parsing, resuming
from acaciaward.dispatch import dispatcher, streams
from acaciaward.identity import apikeys, resumetokens


class StreamLimits(typing.NamedTuple):
    """Events buffered for a slow caller, and how long a resume token is valid."""

    buffer_events: int
    token_lifetime_s: float


class _ParsedRequest(typing.NamedTuple):
    """
    A parsed request and, if it resumes a stream, that stream.

    ``path`` is where it was posted, ``resume_token`` the signed token that it carried.
    """

    request: requests.Request
    body: parsing.CompletionBody
    form: answers.Form
    path: str
    resumed: streams.ResumedStream | None = None
    resume_token: str | None = None


class CompletionRoutes:
    """The routes of completions on one HTTP application."""

    def __init__(
        self,
        application: blacksheep.Application,
        context: handling.HandlerContext,
        requests_dispatcher: dispatcher.Dispatcher,
        limits: StreamLimits,
    ):
        self._context = context
        self._dispatcher = requests_dispatcher
        self._limits = limits
        self._resumer = resuming.Resumer(
            context.configuration, lifetime_s=limits.token_lifetime_s
        )
        routes = (
            (resuming.PATHS[answers.COMPLETION], self._post_completion),
            (resuming.PATHS[answers.CHAT], self._post_chat),
            (resuming.RESUME_PATH, self._post_resume),
        )
        for path, handler in routes:
            httpserver.add_route(application, "POST", path, handler)

    async def _post_completion(self, request: blacksheep.Request):
        return await self._complete(request, answers.COMPLETION)

    async def _post_chat(self, request: blacksheep.Request):
        return await self._complete(request, answers.CHAT)

    async def _complete(
        self, request: blacksheep.Request, form: answers.Form
    ) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._context.authenticate(request)
            self._context.check_current(request)
            raw = await self._context.read_body(request)
            token = request.query.get("resume", [None])[0]
            resume_body = resuming.ResumeBody(resume=token) if token else None
            path = resuming.PATHS[form]
            parsed = self._parse(
                request, caller, request_id, raw, form, path, resume_body
            )
            return await self._answer(request, parsed)

        return await self._context.run_handler(answer, request)

    async def _post_resume(self, request: blacksheep.Request) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._context.authenticate(request)
            self._context.check_current(request)
            resume_body = resuming.read_body(await self._context.read_body(request))
            form = (
                answers.CHAT if resume_body.get("chat", False) else answers.COMPLETION
            )
            raw = resume_body["body"].encode()
            path = resuming.RESUME_PATH
            parsed = self._parse(
                request, caller, request_id, raw, form, path, resume_body
            )
            return await self._answer(request, parsed)

        return await self._context.run_handler(answer, request)

    def _parse(
        self,
        request: blacksheep.Request,
        caller: apikeys.Caller,
        request_id: str,
        raw: bytes,
        form: answers.Form,
        path: str,
        resume_body: resuming.ResumeBody | None,
    ) -> _ParsedRequest:
        body = parsing.read_body(raw)
        headers = handling.read_headers(request)
        model_request = self._model_request(
            caller, request_id, raw, body, form, headers
        )
        if resume_body is None:
            return _ParsedRequest(model_request, body, form, path)
        request_id, resumed = self._resumer.locate(resume_body, model_request)
        original = model_request._replace(request_id=request_id)
        return _ParsedRequest(
            original, body, form, path, resumed, resume_body["resume"]
        )

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
        deployment_entry = parsing.find_deployment(
            self._context.configuration.view.document,
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
            digest=parsing.digest_request(deployment, form.name, raw),
            deadline=now + parsing.choose_deadline_s(deployment_entry, options),
            prompt=prompt,
            prompt_tokens=parsing.count_tokens(prompt),
            max_tokens=parsing.read_max_tokens(body),
        )

    async def _answer(
        self, request: blacksheep.Request, parsed: _ParsedRequest
    ) -> blacksheep.Response:
        control = streams.StreamControl()
        request_drain = self._context.drain
        # A stream that began now would only be handed over, so redirect at once.
        if (
            request_drain.phase >= drain.Phase.HANDING_OVER
            and request_drain.choose_peer() is not None
        ):
            return self._redirect(parsed, control)
        events = self._dispatcher.stream(
            parsed.request, resumed=parsed.resumed, control=control
        )
        if parsed.body.get("stream", False):
            return await self._stream(request, parsed, events, control)
        return await self._collect(request, parsed, events, control)

    async def _collect(
        self,
        request: blacksheep.Request,
        parsed: _ParsedRequest,
        events: typing.AsyncIterator[streams.StreamEvent],
        control: streams.StreamControl,
    ) -> blacksheep.Response:
        answer_task = asyncio.create_task(_collect_text(events))
        request_drain = self._context.drain
        phase = drain.Phase.HANDING_OVER
        try:
            if await drain.wait_until_done(
                answer_task, request_drain, phase, request.is_disconnected
            ):
                text, completion = answer_task.result()
                body = answers.complete_answer(
                    parsed.form, parsed.request, text, completion
                )
                return answers.json_response(body)
            if request_drain.phase >= phase:
                return self._redirect(parsed, control)
            raise errors.AttemptFailedError("the caller went away")
        finally:
            answer_task.cancel()
            await asyncio.wait({answer_task})

    async def _stream(
        self,
        request: blacksheep.Request,
        parsed: _ParsedRequest,
        events: typing.AsyncIterator[streams.StreamEvent],
        control: streams.StreamControl,
    ) -> blacksheep.Response:
        encoder = _Encoder(parsed, self._resumer, control)
        stream_feed = feed.Feed(
            events,
            encoder.encode,
            control,
            request.is_disconnected,
            max_events=self._limits.buffer_events,
        )
        # The first event is awaited before the answer's head is sent, so that a
        # request that never begins is refused with the status of its error.
        first_event_task = asyncio.create_task(stream_feed.wait_for_first())
        request_drain = self._context.drain
        phase = drain.Phase.HANDING_OVER
        try:
            if not await drain.wait_until_done(
                first_event_task, request_drain, phase, request.is_disconnected
            ):
                return self._redirect(parsed, control)
            first_event_task.result()
        except BaseException:
            await stream_feed.close()
            raise
        finally:
            first_event_task.cancel()
            if control.is_handed_over:
                await stream_feed.close()
        body = self._sse_parts(stream_feed, parsed, encoder.chunks)

        async def parts():
            async with contextlib.aclosing(body):
                async for part in body:
                    yield part

        content = blacksheep.StreamedContent(answers.SSE_TYPE, parts)
        headers = [(b"x-request-id", parsed.request.request_id.encode())]
        return blacksheep.Response(200, headers, content)

    async def _sse_parts(
        self, stream_feed: feed.Feed, parsed: _ParsedRequest, chunks: answers.Chunks
    ) -> typing.AsyncIterator[bytes]:
        request_drain = self._context.drain
        request_drain.add()
        hand_over_task = asyncio.create_task(self._hand_over(stream_feed))
        try:
            async for part in stream_feed.parts():
                yield part
            if stream_feed.is_handed_over:
                yield self._final_event(parsed, chunks)
            elif stream_feed.error is not None:
                handling.log_refusal(stream_feed.error, parsed.request.request_id)
                yield answers.error_event(stream_feed.error, parsed.request.request_id)
        finally:
            hand_over_task.cancel()
            await stream_feed.close()
            request_drain.remove()

    async def _hand_over(self, stream_feed: feed.Feed) -> None:
        request_drain = self._context.drain
        await request_drain.wait_for_phase(drain.Phase.HANDING_OVER)
        # Without a peer the stream stays here until the last phase.
        while (
            request_drain.choose_peer() is None
            and request_drain.phase < drain.Phase.ABORTING
        ):
            await asyncio.sleep(drain.DISCONNECT_POLL_S)
        stream_feed.hand_over()

    def _final_event(self, parsed: _ParsedRequest, chunks: answers.Chunks) -> bytes:
        peer = self._context.drain.choose_peer()
        if peer is not None:
            return chunks.moved(peer)
        error = self._context.drain.abort_request()
        return answers.error_event(error, parsed.request.request_id)

    def _redirect(
        self, parsed: _ParsedRequest, control: streams.StreamControl
    ) -> blacksheep.Response:
        request_drain = self._context.drain
        peer = request_drain.choose_peer()
        if peer is None:
            raise request_drain.abort_request()
        control.is_handed_over = True
        token = self._resumer.make_token(parsed.request, control.last_opened)
        signed = self._resumer.sign(token) if token else parsed.resume_token
        # A request that resumes a stream has its token in the body.
        needs_query = signed is not None and parsed.path != resuming.RESUME_PATH
        query = f"?resume={signed}" if needs_query else ""
        location = request_drain.location(peer, f"{parsed.path}{query}")
        verdict = (
            verdicts.Verdict.NOT_RUN
            if signed is None
            else verdicts.Verdict.MAY_HAVE_RUN
        )
        return answers.redirect(location, parsed.request.request_id, verdict)


class _Encoder:
    """Encodes the events of one stream for its caller."""

    def __init__(
        self,
        parsed: _ParsedRequest,
        resumer: resuming.Resumer,
        control: streams.StreamControl,
    ):
        self.chunks = answers.Chunks(parsed.form, parsed.request)
        self._request = parsed.request
        self._resumer = resumer
        self._control = control
        self._token: resumetokens.ResumeToken | None = None
        self._signed_at = 0.0

    def encode(self, event: streams.StreamEvent) -> bytes:
        """Return the bytes of an event."""
        if isinstance(event, requests.Completion):
            return self.chunks.end(event)
        if isinstance(event, requests.TokenFrame):
            return self._encode_renewal() + self.chunks.token(
                event, self._prove_delivered()
            )
        return self._encode_opened(event)

    def _encode_opened(self, opened: streams.StreamOpened) -> bytes:
        self._token = self._resumer.make_token(self._request, opened)
        if self._token is None:
            return self.chunks.opened(None)
        self._signed_at = time.monotonic()
        return self.chunks.opened(
            self._resumer.sign(self._token), self._prove_delivered()
        )

    def _encode_renewal(self) -> bytes:
        """Return an event with a new token after half of the last one's lifetime."""
        renewal_limit = time.monotonic() - self._resumer.lifetime_s / 2
        if self._token is None or self._signed_at > renewal_limit:
            return b""
        return self._encode_opened(self._control.last_opened)

    def _prove_delivered(self) -> str | None:
        tokens = self._control.tokens
        return self._resumer.prove(self._token, tokens.count, tokens.digest)


async def _collect_text(
    events: typing.AsyncIterator[streams.StreamEvent],
) -> tuple[str, requests.Completion]:
    texts = []
    async with contextlib.aclosing(events):
        async for event in events:
            if isinstance(event, requests.TokenFrame):
                texts.append(event.text)
            elif isinstance(event, requests.Completion):
                return "".join(texts), event
    raise errors.AttemptFailedError("the answer ended without its final event")
