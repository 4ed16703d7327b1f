"""
Completions and chats: streamed, whole, and taken up after an entry was lost.

A streamed answer begins with an event that carries a resume token. A caller whose
connection breaks, or that got a ``moved`` event, posts the token with its own
request to ``/v1/resume`` at any entry and gets the rest of the answer.
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
    """Events kept for a slow caller, and how long a resume token holds."""

    buffer_events: int
    token_lifetime_s: float


class _Order(typing.NamedTuple):
    """
    A parsed request and, if its stream began elsewhere, where to go on.

    ``path`` is what it was posted to, ``resume`` the token that it came with.
    """

    request: requests.Request
    body: parsing.CompletionBody
    form: answers.Form
    path: str
    taken_up: streams.TakenUp | None = None
    resume: str | None = None


class CompletionRoutes:
    """The routes of completions on one HTTP application."""

    def __init__(
        self,
        application: blacksheep.Application,
        shared: handling.Handling,
        requests_dispatcher: dispatcher.Dispatcher,
        limits: StreamLimits,
    ):
        self._handling = shared
        self._dispatcher = requests_dispatcher
        self._limits = limits
        self._resumer = resuming.Resumer(
            shared.configuration, lifetime_s=limits.token_lifetime_s
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
            caller = self._handling.authenticate(request)
            self._handling.check_current(request)
            raw = await self._handling.read_body(request)
            token = request.query.get("resume", [None])[0]
            wanted = resuming.ResumeBody(resume=token) if token else None
            path = resuming.PATHS[form]
            order = self._order(request, caller, request_id, raw, form, path, wanted)
            return await self._answer(request, order)

        return await self._handling.answered(answer, request)

    async def _post_resume(self, request: blacksheep.Request) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._handling.authenticate(request)
            self._handling.check_current(request)
            wanted = resuming.read_body(await self._handling.read_body(request))
            form = answers.CHAT if wanted.get("chat", False) else answers.COMPLETION
            raw = wanted["body"].encode()
            path = resuming.RESUME_PATH
            order = self._order(request, caller, request_id, raw, form, path, wanted)
            return await self._answer(request, order)

        return await self._handling.answered(answer, request)

    def _order(
        self,
        request: blacksheep.Request,
        caller: apikeys.Caller,
        request_id: str,
        raw: bytes,
        form: answers.Form,
        path: str,
        wanted: resuming.ResumeBody | None,
    ) -> _Order:
        body = parsing.read_body(raw)
        headers = handling.read_headers(request)
        model_request = self._model_request(
            caller, request_id, raw, body, form, headers
        )
        if wanted is None:
            return _Order(model_request, body, form, path)
        request_id, taken_up = self._resumer.take_up(wanted, model_request)
        resumed = model_request._replace(request_id=request_id)
        return _Order(resumed, body, form, path, taken_up, wanted["resume"])

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
            self._handling.configuration.view.document,
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

    async def _answer(
        self, request: blacksheep.Request, order: _Order
    ) -> blacksheep.Response:
        control = streams.StreamControl()
        stop = self._handling.drain
        # What begins now would only be handed over: it is sent on at once.
        if stop.phase >= drain.Phase.HANDING_OVER and stop.choose_peer() is not None:
            return self._redirect(order, control)
        events = self._dispatcher.stream(
            order.request, taken_up=order.taken_up, control=control
        )
        if order.body.get("stream", False):
            return await self._stream(request, order, events, control)
        return await self._collect(request, order, events, control)

    async def _collect(
        self,
        request: blacksheep.Request,
        order: _Order,
        events: typing.AsyncIterator[streams.StreamEvent],
        control: streams.StreamControl,
    ) -> blacksheep.Response:
        work = asyncio.create_task(_whole_text(events))
        stop = self._handling.drain
        phase = drain.Phase.HANDING_OVER
        try:
            if await drain.finished(work, stop, phase, request.is_disconnected):
                text, completion = work.result()
                body = answers.whole_answer(order.form, order.request, text, completion)
                return answers.json_response(body)
            if stop.phase >= phase:
                return self._redirect(order, control)
            raise errors.AttemptFailedError("the caller went away")
        finally:
            work.cancel()
            await asyncio.wait({work})

    async def _stream(
        self,
        request: blacksheep.Request,
        order: _Order,
        events: typing.AsyncIterator[streams.StreamEvent],
        control: streams.StreamControl,
    ) -> blacksheep.Response:
        encoder = _Encoder(order, self._resumer, control)
        stream_feed = feed.Feed(
            events,
            encoder.encode,
            control,
            request.is_disconnected,
            max_events=self._limits.buffer_events,
        )
        # The first event is awaited here, so that a request that never begins
        # is refused with a status of its own.
        first = asyncio.create_task(stream_feed.wait_for_first())
        stop = self._handling.drain
        phase = drain.Phase.HANDING_OVER
        try:
            if not await drain.finished(first, stop, phase, request.is_disconnected):
                return self._redirect(order, control)
            first.result()
        except BaseException:
            await stream_feed.close()
            raise
        finally:
            first.cancel()
            if control.is_handed_over:
                await stream_feed.close()
        body = self._sse_parts(stream_feed, order, encoder.chunks)

        async def parts():
            async with contextlib.aclosing(body):
                async for part in body:
                    yield part

        content = blacksheep.StreamedContent(answers.SSE_TYPE, parts)
        headers = [(b"x-request-id", order.request.request_id.encode())]
        return blacksheep.Response(200, headers, content)

    async def _sse_parts(
        self, stream_feed: feed.Feed, order: _Order, chunks: answers.Chunks
    ) -> typing.AsyncIterator[bytes]:
        stop = self._handling.drain
        stop.add()
        leaving = asyncio.create_task(self._hand_over(stream_feed))
        try:
            async for part in stream_feed.parts():
                yield part
            if stream_feed.is_handed_over:
                yield self._farewell(order, chunks)
            elif stream_feed.error is not None:
                handling.log_refusal(stream_feed.error, order.request.request_id)
                yield answers.error_event(stream_feed.error, order.request.request_id)
        finally:
            leaving.cancel()
            await stream_feed.close()
            stop.remove()

    async def _hand_over(self, stream_feed: feed.Feed) -> None:
        stop = self._handling.drain
        await stop.reached(drain.Phase.HANDING_OVER)
        # Without a peer the stream stays here until the stop's last phase.
        while stop.choose_peer() is None and stop.phase < drain.Phase.GIVING_UP:
            await asyncio.sleep(drain.DISCONNECT_POLL_S)
        stream_feed.hand_over()

    def _farewell(self, order: _Order, chunks: answers.Chunks) -> bytes:
        peer = self._handling.drain.choose_peer()
        if peer is not None:
            return chunks.moved(peer)
        error = self._handling.drain.cut_error()
        return answers.error_event(error, order.request.request_id)

    def _redirect(
        self, order: _Order, control: streams.StreamControl
    ) -> blacksheep.Response:
        stop = self._handling.drain
        peer = stop.choose_peer()
        if peer is None:
            raise stop.cut_error()
        control.is_handed_over = True
        token = self._resumer.token(order.request, control.opened)
        signed = self._resumer.sign(token) if token else order.resume
        # A request to take a stream up carries its token in the body.
        has_query = signed is not None and order.path != resuming.RESUME_PATH
        query = f"?resume={signed}" if has_query else ""
        location = stop.location(peer, f"{order.path}{query}")
        verdict = (
            verdicts.Verdict.NOT_RUN
            if signed is None
            else verdicts.Verdict.MAY_HAVE_RUN
        )
        return answers.redirect(location, order.request.request_id, verdict)


class _Encoder:
    """Turns the events of one stream into those of its caller."""

    def __init__(
        self,
        order: _Order,
        resumer: resuming.Resumer,
        control: streams.StreamControl,
    ):
        self.chunks = answers.Chunks(order.form, order.request)
        self._request = order.request
        self._resumer = resumer
        self._control = control
        self._token: resumetokens.ResumeToken | None = None
        self._signed_at = 0.0

    def encode(self, event: streams.StreamEvent) -> bytes:
        """Return the bytes of an event."""
        if isinstance(event, requests.Completion):
            return self.chunks.end(event)
        if isinstance(event, requests.TokenFrame):
            return self._renewed() + self.chunks.token(event, self._proof())
        return self._opened(event)

    def _opened(self, opened: streams.Opened) -> bytes:
        self._token = self._resumer.token(self._request, opened)
        if self._token is None:
            return self.chunks.opened(None)
        self._signed_at = time.monotonic()
        return self.chunks.opened(self._resumer.sign(self._token), self._proof())

    def _renewed(self) -> bytes:
        """Return a fresh token's event when the caller's has grown old."""
        oldest = time.monotonic() - self._resumer.lifetime_s / 2
        if self._token is None or self._signed_at > oldest:
            return b""
        return self._opened(self._control.opened)

    def _proof(self) -> str | None:
        tokens = self._control.tokens
        return self._resumer.prove(self._token, tokens.count, tokens.digest)


async def _whole_text(
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
