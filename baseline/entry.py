"""
The naive entry of the experiments' baseline: round robin, retries, no state.

It serves the callers' API and calls endpoints by their protocols, but tracks neither
idempotency keys nor verdicts: a request that failed is sent to the next endpoint even
if it may have run, and one that failed at every attempt is reported as not run. A
stream whose connection is lost is generated again from its first token, and the
tokens that the caller has received are skipped.

    entry = NaiveEntry({"engine-1": ("127.0.0.1", 8201)}, port=8100)
    await entry.start()
"""

import asyncio
import hashlib
import json
import time
import typing
import uuid
from collections import abc

import blacksheep
from blacksheep.server.responses import json as json_response

from acaciaward import httpclient, httpserver, requests
from acaciaward.callers import answers

SERVICE_PREFIX = "service"
MAX_ATTEMPTS = 4
ATTEMPT_TIMEOUT_S = 3.0
SERVICE_TIMEOUT_S = 1.0

Address = tuple[str, int]


class NaiveEntry:
    """Forwards requests; endpoints named ``service...`` are plain services."""

    def __init__(
        self,
        endpoints: abc.Mapping[str, Address],
        *,
        address: str = "127.0.0.1",
        port: int,
    ):
        self._address = address
        self._port = port
        self._services = [
            endpoint_address
            for name, endpoint_address in endpoints.items()
            if name.startswith(SERVICE_PREFIX)
        ]
        self._engines = [
            endpoint_address
            for endpoint_address in endpoints.values()
            if endpoint_address not in self._services
        ]
        self._attempt_count = 0
        self._client = httpclient.HttpClient()
        application = httpserver.make_application()
        routes = (
            ("GET", "/v1/entries", self._get_entries),
            ("POST", "/v1/completions", self._post_completion),
            ("POST", "/v1/services/{deployment}/{path:path}", self._post_service),
        )
        for method, path, handler in routes:
            httpserver.add_route(application, method, path, handler)
        self._server = httpserver.HttpServer(application, address, port)

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening once running requests have ended."""
        await self._server.stop()
        await self._client.close()

    def _next_address(self, addresses: list[Address]) -> Address:
        self._attempt_count += 1
        return addresses[self._attempt_count % len(addresses)]

    async def _get_entries(self) -> blacksheep.Response:
        entry = {
            "name": "naive",
            "address": self._address,
            "port": self._port,
            "data_centre": "",
        }
        return json_response({"entries": [entry], "lifetime_s": 1.0})

    async def _post_service(
        self, deployment: str, path: str, request: blacksheep.Request
    ) -> blacksheep.Response:
        body = await request.read() or b""
        headers = {"content-type": "application/json", "x-request-id": _new_id()}
        key = request.get_first_header(b"idempotency-key")
        if key is not None:
            headers["idempotency-key"] = key.decode("latin-1")
        for _ in range(MAX_ATTEMPTS):
            try:
                async with self._client.send(
                    "POST",
                    *self._next_address(self._services),
                    f"/{path}",
                    headers=headers,
                    body=body,
                    timeout_s=SERVICE_TIMEOUT_S,
                ) as response:
                    answer = await response.read()
            except httpclient.HttpError:
                continue
            if response.status < 500:
                content = blacksheep.Content(b"application/json", answer)
                verdict_headers = [(b"x-verdict", b"ran")]
                return blacksheep.Response(response.status, verdict_headers, content)
        return _failure_response()

    async def _post_completion(
        self, request: blacksheep.Request
    ) -> blacksheep.Response:
        body = json.loads(await request.read() or b"{}")
        model_request = _make_model_request(body)
        tokens = self._tokens(model_request)
        if not body.get("stream", False):
            texts = [token.text async for token in tokens]
            completion = _make_completion(model_request, texts)
            if completion.count < model_request.max_tokens:
                return _failure_response()
            answer = answers.complete_answer(
                answers.COMPLETION, model_request, "".join(texts), completion
            )
            return json_response(answer)

        async def chunk_bodies():
            chunks = answers.Chunks(answers.COMPLETION, model_request)
            texts = []
            async for token in tokens:
                texts.append(token.text)
                yield chunks.token(token)
            yield chunks.end(_make_completion(model_request, texts))

        content = blacksheep.StreamedContent(answers.SSE_TYPE, chunk_bodies)
        return blacksheep.Response(200, content=content)

    async def _tokens(
        self, request: requests.Request
    ) -> abc.AsyncIterator[requests.TokenFrame]:
        count = 0
        for _ in range(MAX_ATTEMPTS):
            try:
                async for frame in self._generate(request):
                    if frame["type"] == "token" and frame["index"] == count:
                        count += 1
                        yield requests.TokenFrame(frame["index"], frame["text"])
                    elif frame["type"] == "end":
                        return
            except httpclient.HttpError:
                continue

    async def _generate(
        self, request: requests.Request
    ) -> abc.AsyncIterator[dict[str, typing.Any]]:
        params = {
            "request": request.request_id,
            "organisation": request.organisation,
            "attempt": _new_id(),
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "priority": 0,
            "cache_salt": "",
            "delivered": [],
        }
        async with self._client.send(
            "POST",
            *self._next_address(self._engines),
            "/generate",
            body=json.dumps(params).encode(),
            timeout_s=ATTEMPT_TIMEOUT_S,
        ) as response:
            if response.status != 200:
                raise httpclient.ConnectionLostError(
                    f"engine answered with status {response.status}"
                )
            async for line in response.lines():
                yield json.loads(line)


def _make_model_request(body: dict[str, typing.Any]) -> requests.Request:
    return requests.Request(
        request_id=_new_id(),
        organisation="naive",
        deployment=body.get("model", ""),
        kind=requests.DeploymentKind.MODEL,
        service_class=requests.ServiceClass.SHORT,
        idempotent=True,
        key=None,
        digest="",
        deadline=time.monotonic() + ATTEMPT_TIMEOUT_S,
        prompt=body.get("prompt", ""),
        max_tokens=body.get("max_tokens", 64),
    )


def _make_completion(
    request: requests.Request, texts: list[str]
) -> requests.Completion:
    digest = hashlib.sha256("".join(texts).encode()).hexdigest()
    return requests.Completion(
        len(texts), digest, "length", len(request.prompt.split())
    )


def _failure_response() -> blacksheep.Response:
    error = {
        "code": "attempt_failed",
        "message": "every endpoint failed",
        "verdict": "not_run",
        "retry_after": 0.1,
        "request_id": _new_id(),
    }
    return json_response({"error": error}, status=502)


def _new_id() -> str:
    return uuid.uuid4().hex


async def serve(entry: NaiveEntry, stopped: asyncio.Event) -> None:
    """Run an entry until ``stopped`` is set."""
    await entry.start()
    await stopped.wait()
    await entry.stop()
