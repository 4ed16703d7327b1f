"""
An asyncio client with entry discovery, retries and stream resumption.

It asks an entry for the list of entries to use, caches the list for its lifetime,
fails over to another entry when one fails, and never treats a stream without its
final event as a complete answer.

    caller = Caller([("127.0.0.1", 8100)], key="aw-org.puzzle-agency.desk....")
    answer = await caller.complete("dossiers", "write a dossier", max_tokens=64)
    answer.text
"""

import contextlib
import time
import typing
import urllib.parse
from collections import abc

import msgspec
import uuid6

from acaciaward import httpclient, verdicts
from acaciaward.client import callererrors, entries, retrystate, streaming
from acaciaward.identity import tls

Address = tuple[str, int]

MAX_TRIES = retrystate.MAX_TRIES
MAX_REDIRECTS = 4
MIN_DEADLINE_S = 0.001
TIMEOUT_MARGIN_S = 1.0
# Statuses of a refused resume request: the stream can't be resumed, so start over.
LOST_STREAM_STATUSES = frozenset({403, 410})


class Answer(typing.NamedTuple):
    """
    A complete answer.

    ``count`` is the number of tokens, ``moves`` how often the stream changed its
    endpoint or entry, ``entry`` the address of the entry that sent the final event
    and ``usage`` the token counts in that event.
    """

    request_id: str
    text: str
    count: int
    moves: int
    entry: Address
    usage: dict[str, int] = {}


class ServiceReply(typing.NamedTuple):
    """The complete response of a plain service."""

    status: int
    body: bytes
    verdict: verdicts.Verdict


CallerError = callererrors.CallerError


class Caller:
    """
    Sends requests of one organisation.

    ``seeds`` are the addresses of entries that are asked for the list of entries.
    With ``ca_file`` connections are encrypted, and each entry must present a
    certificate for its IP address that this authority has signed.
    """

    def __init__(
        self,
        seeds: abc.Sequence[Address],
        *,
        key: str,
        data_centre: str | None = None,
        client: httpclient.HttpClient | None = None,
        ca_file: str | None = None,
        max_tries: int = retrystate.MAX_TRIES,
    ):
        self._key = key
        self._max_tries = max_tries
        tls_context = tls.client_context(ca_file) if ca_file else None
        self._client = client or httpclient.HttpClient(tls=tls_context)
        self._entries = entries.Entries(seeds, self._client, data_centre)

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()

    async def complete(
        self,
        model: str,
        prompt: str,
        *,
        max_tokens: int = 64,
        service_class: str = "short",
        deadline_s: float | None = None,
    ) -> Answer:
        """Return the complete answer, retrying and resuming at other entries."""
        completion = _StreamedCompletion(
            self, model, prompt, max_tokens, service_class, deadline_s
        )
        async for _ in completion.tokens():
            pass
        return completion.answer()

    def stream(
        self,
        model: str,
        prompt: str,
        *,
        max_tokens: int = 64,
        service_class: str = "short",
        deadline_s: float | None = None,
    ) -> abc.AsyncIterator[str]:
        """
        Yield each token's text once, until the answer is complete.

        Raises ``CallerError`` if a lost answer differs when it is generated again,
        since texts that were already yielded can't be retracted.
        """
        completion = _StreamedCompletion(
            self, model, prompt, max_tokens, service_class, deadline_s
        )
        return completion.tokens()

    async def call(
        self,
        service: str,
        path: str,
        body: bytes,
        *,
        idempotent: bool = True,
        key: str | None = None,
        service_class: str = "urgent",
        deadline_s: float | None = None,
    ) -> ServiceReply:
        """
        Call a plain service and return its complete response.

        A call that isn't idempotent gets a new idempotency key unless ``key`` is
        given. Retries use the same key, so that the call runs at most once.
        """
        headers = self.headers(service_class, deadline_s)
        if not idempotent:
            headers["x-idempotent"] = "false"
            headers["idempotency-key"] = key or new_key()
        return await self._with_retries(
            headers,
            lambda entry: self._call_at(entry, service, path, body, headers),
        )

    async def _call_at(
        self,
        entry: Address,
        service: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> ServiceReply:
        async with self.post(
            entry, f"/v1/services/{service}/{path}", headers, body
        ) as response:
            answer = await response.read()
        if response.headers.get("x-verdict") != verdicts.Verdict.RAN.value:
            raise callererrors.from_response(response, answer)
        return ServiceReply(response.status, answer, verdicts.Verdict.RAN)

    @contextlib.asynccontextmanager
    async def post(
        self, entry: Address, path: str, headers: dict[str, str], body: bytes
    ) -> abc.AsyncIterator[httpclient.Response]:
        """Post to an entry and follow redirects to other entries."""
        for _ in range(MAX_REDIRECTS):
            async with self._client.send(
                "POST",
                *entry,
                path,
                headers=headers,
                body=body,
                timeout_s=_timeout_s(headers),
            ) as response:
                if response.status != httpclient.TEMPORARY_REDIRECT:
                    yield response
                    return
                await response.read()
            entry, path = _read_location(response)
        raise httpclient.ConnectionLostError(f"redirected {MAX_REDIRECTS} times")

    async def _with_retries(
        self, headers: dict[str, str], attempt: typing.Callable
    ) -> typing.Any:
        retry_state = self.make_retry_state(headers)
        while True:
            entry = await retry_state.next_entry()
            try:
                return await attempt(entry)
            except (httpclient.HttpError, CallerError) as error:
                await retry_state.after_failure(entry, error)

    def pin(self, addresses: abc.Sequence[Address]) -> None:
        """Use only these entries from now on and skip discovery."""
        self._entries.pin(addresses)

    def make_retry_state(self, headers: dict[str, str]) -> retrystate.RetryState:
        """Return the retry state of a request that is sent with these headers."""
        return retrystate.RetryState(self._entries, headers, max_tries=self._max_tries)

    def headers(self, service_class: str, deadline_s: float | None) -> dict[str, str]:
        """Return the headers of a request."""
        headers = {
            "authorization": f"Bearer {self._key}",
            "content-type": "application/json",
            "x-service-class": service_class,
        }
        if deadline_s is not None:
            headers["x-deadline-s"] = str(deadline_s)
        return headers


def new_key() -> str:
    """Return a new idempotency key, a UUID of version 7."""
    return str(uuid6.uuid7())


class _StreamedCompletion:
    """One streamed completion, across as many entries as it needs."""

    def __init__(
        self,
        caller: Caller,
        model: str,
        prompt: str,
        max_tokens: int,
        service_class: str,
        deadline_s: float | None,
    ):
        self._caller = caller
        self._headers = caller.headers(service_class, deadline_s)
        self._deadline = time.monotonic() + deadline_s if deadline_s else None
        self._body = msgspec.json.encode(
            {
                "model": model,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": True,
            }
        )
        self._state = streaming.StreamState()
        self._entry: Address = ("", 0)

    def answer(self) -> Answer:
        """Return the complete answer."""
        state = self._state
        return Answer(
            state.request_id,
            state.text,
            len(state.texts),
            max(0, state.start_event_count - 1),
            self._entry,
            state.usage,
        )

    async def tokens(self) -> abc.AsyncIterator[str]:
        """Yield each token once until the answer is complete."""
        retry_state = self._caller.make_retry_state(self._headers)
        while not self._state.is_complete:
            self._entry = await retry_state.next_entry()
            try:
                async with contextlib.aclosing(self._tokens_at(self._entry)) as texts:
                    async for text in texts:
                        yield text
            except (httpclient.HttpError, CallerError) as error:
                if self._is_stream_lost(error):
                    retry_state.after_stream_loss(error)
                    self._state.restart()
                else:
                    is_past_deadline = self._remaining_s() == MIN_DEADLINE_S
                    await retry_state.after_failure(
                        self._entry, error, is_final=is_past_deadline
                    )

    def _is_stream_lost(self, error: Exception) -> bool:
        is_refusal = isinstance(error, CallerError)
        has_resume_token = self._state.resume_token is not None
        return has_resume_token and is_refusal and error.status in LOST_STREAM_STATUSES

    async def _tokens_at(self, entry: Address) -> abc.AsyncIterator[str]:
        path, body = "/v1/completions", self._body
        if self._state.resume_token is not None:
            path = "/v1/resume"
            body = msgspec.json.encode(self._state.resume_body(self._body))
        if self._deadline is not None:
            self._headers["x-deadline-s"] = str(self._remaining_s())
        async with self._caller.post(entry, path, self._headers, body) as response:
            if response.status != httpclient.OK:
                raise callererrors.from_response(response, await response.read())
            async with contextlib.aclosing(self._state.read(response)) as texts:
                async for text in texts:
                    yield text

    def _remaining_s(self) -> float | None:
        if self._deadline is None:
            return None
        return max(MIN_DEADLINE_S, self._deadline - time.monotonic())


def _timeout_s(headers: dict[str, str]) -> float:
    """Return how long to wait for data from an entry, in seconds."""
    deadline_s = headers.get("x-deadline-s")
    if deadline_s is None:
        return httpclient.DEFAULT_TIMEOUT_S
    return float(deadline_s) + TIMEOUT_MARGIN_S


def _read_location(response: httpclient.Response) -> tuple[Address, str]:
    parts = urllib.parse.urlsplit(response.headers.get("location", ""))
    if not parts.hostname or not parts.port:
        raise httpclient.ConnectionLostError("redirect without a usable location")
    query = f"?{parts.query}" if parts.query else ""
    return (parts.hostname, parts.port), f"{parts.path}{query}"
