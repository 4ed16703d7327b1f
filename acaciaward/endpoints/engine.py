"""
HTTP client for model engines.

Every frame of a stream is checked for request, organisation and attempt. One that
doesn't match is dropped, counted and logged, never forwarded.
"""

import asyncio
import contextlib
import logging
import typing
from collections import abc

import msgspec
import prometheus_client

from acaciaward import errors, httpclient, requests, verdicts
from acaciaward.endpoints import attempts, interfaces
from acaciaward.observability import logs

log = logging.getLogger(__name__)

SHORT_CALL_TIMEOUT_S = 2.0
MAX_LINE_BYTES = 1024 * 1024

FOREIGN_FRAMES = prometheus_client.Counter(
    "acaciaward_foreign_frames_total",
    "Frames from endpoints that belonged to another request or attempt",
)


class EngineFrameFields(typing.TypedDict, total=False):
    """One JSON line of an engine's stream."""

    type: str
    request: str
    organisation: str
    attempt: str
    stream: str
    index: int
    text: str
    count: int
    digest: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int


_frame_decoder = msgspec.json.Decoder(EngineFrameFields)


def _decode_started(fields: EngineFrameFields) -> interfaces.StreamStarted:
    return interfaces.StreamStarted(fields["stream"], fields.get("cached_tokens", 0))


def _decode_token(fields: EngineFrameFields) -> requests.TokenFrame:
    return requests.TokenFrame(fields["index"], fields["text"])


def _decode_end(fields: EngineFrameFields) -> requests.Completion:
    return requests.Completion(
        count=fields["count"],
        digest=fields["digest"],
        finish_reason=fields["finish_reason"],
        prompt_tokens=fields["prompt_tokens"],
        cached_tokens=fields.get("cached_tokens", 0),
    )


_FRAME_DECODERS = {
    "started": _decode_started,
    "token": _decode_token,
    "end": _decode_end,
}


class HttpModelEngine:
    """Implements ``interfaces.ModelEngine`` over HTTP."""

    def __init__(self, client: httpclient.HttpClient):
        self._client = client

    async def generate(
        self, endpoint: requests.Endpoint, order: interfaces.GenerateOrder
    ) -> abc.AsyncIterator[interfaces.EngineFrame]:
        """Run one attempt; see ``interfaces.ModelEngine.generate``."""
        body = {
            "request": order.request.request_id,
            "organisation": order.request.organisation,
            "attempt": order.attempt,
            "prompt": order.request.prompt,
            "max_tokens": order.request.max_tokens,
            "priority": order.priority,
            "cache_salt": order.cache_salt,
            "deadline_s": order.deadline_s,
            "delivered": list(order.delivered),
            "kv_handle": order.kv_handle,
        }
        frames = self._frames(
            endpoint, "POST", "/generate", body, order.request, order.attempt
        )
        async with contextlib.aclosing(frames):
            async for frame in frames:
                yield frame

    async def resume(
        self,
        endpoint: requests.Endpoint,
        *,
        stream: str,
        request: requests.Request,
        from_index: int,
    ) -> abc.AsyncIterator[interfaces.EngineFrame]:
        """Continue reading a stream; see ``interfaces.ModelEngine.resume``."""
        path = (
            f"/streams/{stream}?from={from_index}&request={request.request_id}"
            f"&organisation={request.organisation}"
        )
        frames = self._frames(endpoint, "GET", path, None, request, None)
        async with contextlib.aclosing(frames):
            async for frame in frames:
                yield frame

    async def _frames(
        self,
        endpoint: requests.Endpoint,
        method: str,
        path: str,
        body: dict[str, typing.Any] | None,
        request: requests.Request,
        attempt: str | None,
    ) -> abc.AsyncIterator[interfaces.EngineFrame]:
        payload = b"" if body is None else msgspec.json.encode(body)
        try:
            async with self._client.send(
                method,
                endpoint.address,
                endpoint.port,
                path,
                headers={"content-type": "application/json"},
                body=payload,
                # Whether silence matters is decided by who reads the frames.
                timeout_s=request.deadline - asyncio.get_running_loop().time(),
            ) as response:
                if response.status != 200:
                    answer = await response.read()
                    raise attempts.error_from_response(response, answer)
                async for line in response.lines():
                    frame = self._decode_line(endpoint, line, request, attempt)
                    if frame is not None:
                        yield frame
        except httpclient.HttpError as error:
            raise attempts.error_from_transport(error) from error

    def _decode_line(
        self,
        endpoint: requests.Endpoint,
        line: bytes,
        request: requests.Request,
        attempt: str | None,
    ) -> interfaces.EngineFrame | None:
        try:
            fields = _frame_decoder.decode(line)
            is_matching = (
                fields["request"] == request.request_id
                and fields["organisation"] == request.organisation
                and attempt in (None, fields["attempt"])
            )
            if is_matching:
                return _FRAME_DECODERS[fields["type"]](fields)
        except (msgspec.DecodeError, KeyError) as error:
            raise errors.EndpointError(
                f"malformed frame: {error}", verdict=verdicts.Verdict.MAY_HAVE_RUN
            ) from error
        FOREIGN_FRAMES.inc()
        log.warning(
            "dropped a frame of another request",
            extra=logs.fields(endpoint=endpoint.name, request=request.request_id),
        )
        return None

    async def cancel(self, endpoint: requests.Endpoint, stream: str) -> None:
        """Stop a stream; it is no error if it has ended already."""
        await self._call(endpoint, "POST", f"/streams/{stream}/cancel")

    async def export_kv(self, endpoint: requests.Endpoint, stream: str) -> bytes:
        """Stop a stream and return its KV cache."""
        return await self._call(endpoint, "POST", f"/streams/{stream}/export")

    async def import_kv(self, endpoint: requests.Endpoint, blob: bytes) -> str:
        """Upload a KV cache to an engine and return its handle."""
        answer = await self._call(endpoint, "POST", "/kv", blob)
        return msgspec.json.decode(answer)["handle"]

    async def load(self, endpoint: requests.Endpoint) -> interfaces.EngineLoad:
        """Return the engine's load report, which lags."""
        fields = msgspec.json.decode(await self._call(endpoint, "GET", "/load"))
        load_fields = {name: fields[name] for name in interfaces.EngineLoad._fields}
        return interfaces.EngineLoad(**load_fields)

    async def cache_events(
        self, endpoint: requests.Endpoint, from_offset: int
    ) -> list[interfaces.CacheEvent]:
        """Return cache events from an offset on; they are late and have gaps."""
        answer = await self._call(endpoint, "GET", f"/cache-events?from={from_offset}")
        return [
            interfaces.CacheEvent(event["offset"], event["block"], event["stored"])
            for event in msgspec.json.decode(answer)
        ]

    async def order(
        self, endpoint: requests.Endpoint, order: interfaces.EngineOrder
    ) -> None:
        """Send an order; a fenced engine refuses an older fencing token."""
        body = msgspec.json.encode(order._asdict())
        await self._call(endpoint, "POST", "/orders", body)

    async def state(self, endpoint: requests.Endpoint) -> dict[str, typing.Any]:
        """Return the models, role and fence that the engine reports."""
        return msgspec.json.decode(await self._call(endpoint, "GET", "/state"))

    async def _call(
        self, endpoint: requests.Endpoint, method: str, path: str, body: bytes = b""
    ) -> bytes:
        try:
            async with self._client.send(
                method,
                endpoint.address,
                endpoint.port,
                path,
                body=body,
                timeout_s=SHORT_CALL_TIMEOUT_S,
            ) as response:
                answer = await response.read()
        except httpclient.HttpError as error:
            raise attempts.error_from_transport(error) from error
        if response.status != 200:
            raise attempts.error_from_response(response, answer)
        return answer
