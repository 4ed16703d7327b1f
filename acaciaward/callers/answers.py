"""
Builds JSON and SSE answers in the forms that clients of completion APIs know.

Besides the usual fields each chunk has ``acaciaward``, with the token's index, in
the first event the resume token, and in the last one count and digest of the tokens.
``proof`` is the entry's signature over the tokens that it has delivered so far.
"""

import time
import typing

import blacksheep
import msgspec

from acaciaward import errors, requests, verdicts

JSON_TYPE = b"application/json"
SSE_TYPE = b"text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"


class ErrorFields(typing.TypedDict):
    """The body of an error answer, under the key ``error``."""

    message: str
    type: str
    code: str
    verdict: str
    retry_after: float | None
    request_id: str


class Form(typing.NamedTuple):
    """The format of a route's answers; the names are values of the field ``object``."""

    name: str
    chunk_name: str
    is_chat: bool


COMPLETION = Form("text_completion", "text_completion", False)
CHAT = Form("chat.completion", "chat.completion.chunk", True)


def json_response(
    body: typing.Any, status: int = 200, headers: typing.Iterable = ()
) -> blacksheep.Response:
    """Return a JSON response."""
    content = blacksheep.Content(JSON_TYPE, msgspec.json.encode(body))
    return blacksheep.Response(status, list(headers), content)


def error_fields(error: errors.RequestError, request_id: str) -> ErrorFields:
    """Return the fields of an error answer."""
    kind = "invalid_request_error" if error.status < 500 else "server_error"
    return {
        "message": str(error),
        "type": kind,
        "code": error.code,
        "verdict": error.verdict.value,
        "retry_after": error.retry_after_s,
        "request_id": request_id,
    }


def error_response(error: errors.RequestError, request_id: str) -> blacksheep.Response:
    """Return the final answer of a request that ends with an error."""
    headers = [
        (b"x-request-id", request_id.encode()),
        (b"x-verdict", error.verdict.value.encode()),
    ]
    if error.retry_after_s is not None:
        seconds = max(1, round(error.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    if isinstance(error, errors.BodyTooSlowError):
        # Closing discards the rest of the body, which may still arrive.
        headers.append((b"connection", b"close"))
    body = {"error": error_fields(error, request_id)}
    return json_response(body, error.status, headers)


def redirect(
    location: str, request_id: str, verdict: verdicts.Verdict
) -> blacksheep.Response:
    """Return the answer that redirects a request to another entry."""
    headers = [
        (b"location", location.encode()),
        (b"x-request-id", request_id.encode()),
        (b"x-verdict", verdict.value.encode()),
    ]
    return json_response({"location": location}, 307, headers)


def sse(body: typing.Any) -> bytes:
    """Return one server-sent event with a JSON body."""
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def error_event(error: errors.RequestError, request_id: str) -> bytes:
    """Return the last event of a stream that ends without its answer."""
    return sse({"error": error_fields(error, request_id)})


class Chunks:
    """Builds the events of one streamed answer."""

    def __init__(self, form: Form, request: requests.Request):
        self._form = form
        self._base = {
            "id": request.request_id,
            "object": form.chunk_name,
            "created": int(time.time()),
            "model": request.deployment,
        }

    def opened(self, resume: str | None, proof: str | None = None) -> bytes:
        """Return the event that opens a stream, with its resume token if any."""
        extra = {"resume": resume, "proof": proof} if resume else {}
        return sse(self._base | {"choices": [], "acaciaward": extra})

    def token(self, frame: requests.TokenFrame, proof: str | None = None) -> bytes:
        """Return the event of one token."""
        choice = self._choice(frame.text, None)
        extra: dict[str, typing.Any] = {"index": frame.index}
        if proof:
            extra["proof"] = proof
        return sse(self._base | {"choices": [choice], "acaciaward": extra})

    def moved(self, peer: typing.Mapping[str, typing.Any]) -> bytes:
        """Return the last event of a stream that continues at another entry."""
        extra = {"moved": dict(peer)}
        return sse(self._base | {"choices": [], "acaciaward": extra})

    def end(self, completion: requests.Completion) -> bytes:
        """Return the events that end a complete answer."""
        choice = self._choice("", completion.finish_reason)
        body = self._base | {
            "choices": [choice],
            "usage": usage(completion),
            "acaciaward": {"count": completion.count, "digest": completion.digest},
        }
        return sse(body) + DONE_EVENT

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, typing.Any]:
        content = {"delta": {"content": text}} if self._form.is_chat else {"text": text}
        return {"index": 0, "finish_reason": finish_reason} | content


def usage(completion: requests.Completion) -> dict[str, int]:
    """Return the usage fields of an answer."""
    return {
        "prompt_tokens": completion.prompt_tokens,
        "completion_tokens": completion.count,
        "total_tokens": completion.prompt_tokens + completion.count,
        "cached_tokens": completion.cached_tokens,
        "recomputed_tokens": completion.recomputed_tokens,
    }


def complete_answer(
    form: Form,
    request: requests.Request,
    text: str,
    completion: requests.Completion,
) -> dict[str, typing.Any]:
    """Return the body of an answer that isn't streamed."""
    content = (
        {"message": {"role": "assistant", "content": text}}
        if form.is_chat
        else {"text": text}
    )
    choice = {"index": 0, "finish_reason": completion.finish_reason} | content
    return {
        "id": request.request_id,
        "object": form.name,
        "created": int(time.time()),
        "model": request.deployment,
        "choices": [choice],
        "usage": usage(completion),
        "acaciaward": {
            "count": completion.count,
            "digest": completion.digest,
            "verdict": verdicts.Verdict.RAN.value,
        },
    }
