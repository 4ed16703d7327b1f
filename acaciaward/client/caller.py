"""
An asyncio caller that keeps the system's promises on its own side.

It asks an entry which addresses to use, keeps the answer for its lifetime, goes
to another entry when one fails, and never takes a stream without its final
event for a whole answer.

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
from acaciaward.client import entries, refusals, streaming, tries
from acaciaward.identity import tls

Address = tuple[str, int]

MAX_TRIES = tries.MAX_TRIES
MAX_REDIRECTS = 4
MINIMUM_DEADLINE_S = 0.001
PATIENCE_MARGIN_S = 1.0
# What a resume is refused with when the stream can't be taken up.
LOST_STREAM_STATUSES = frozenset({403, 410})


class Answer(typing.NamedTuple):
    """
    A whole answer.

    ``moves`` counts changes of endpoint or entry on the way, ``entry`` is the
    one that sent the end, ``usage`` are the token counts that it told.
    """

    request_id: str
    text: str
    count: int
    moves: int
    entry: Address
    usage: dict[str, int] = {}


class ServiceReply(typing.NamedTuple):
    """The whole answer of a plain service."""

    status: int
    body: bytes
    verdict: verdicts.Verdict


CallerError = refusals.CallerError


class Caller:
    """
    Sends requests of one organisation.

    ``seeds`` are asked for the entries to use. With ``ca_file`` connections are
    encrypted, and each entry must show a certificate for its IP number that
    this authority has signed.
    """

    def __init__(
        self,
        seeds: abc.Sequence[Address],
        *,
        key: str,
        data_centre: str | None = None,
        client: httpclient.HttpClient | None = None,
        ca_file: str | None = None,
        max_tries: int = tries.MAX_TRIES,
    ):
        self._key = key
        self._max_tries = max_tries
        trust = tls.client_context(ca_file) if ca_file else None
        self._client = client or httpclient.HttpClient(tls=trust)
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
        """Return the whole answer, whatever happens to entries on the way."""
        run = _StreamRun(self, model, prompt, max_tokens, service_class, deadline_s)
        async for _ in run.tokens():
            pass
        return run.answer()

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
        Yield the tokens' texts, each once, until the answer is whole.

        An answer that was lost and comes out different when it is made again
        raises ``CallerError``: what was yielded can't be taken back.
        """
        run = _StreamRun(self, model, prompt, max_tokens, service_class, deadline_s)
        return run.tokens()

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
        Call a plain service and return its whole answer.

        A call that isn't idempotent gets a new key unless one is given, and is
        repeated under the same key, so that it runs at most once.
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
            raise refusals.from_answer(response, answer)
        return ServiceReply(response.status, answer, verdicts.Verdict.RAN)

    @contextlib.asynccontextmanager
    async def post(
        self, entry: Address, path: str, headers: dict[str, str], body: bytes
    ) -> abc.AsyncIterator[httpclient.Response]:
        """Post to an entry and follow it when it sends the request on."""
        for _ in range(MAX_REDIRECTS):
            async with self._client.send(
                "POST",
                *entry,
                path,
                headers=headers,
                body=body,
                timeout_s=_patience_s(headers),
            ) as response:
                if response.status != httpclient.TEMPORARY_REDIRECT:
                    yield response
                    return
                await response.read()
            entry, path = _read_location(response)
        raise httpclient.ConnectionLostError("sent on too many times")

    async def _with_retries(
        self, headers: dict[str, str], attempt: typing.Callable
    ) -> typing.Any:
        run = self.make_tries(headers)
        while True:
            entry = await run.next_entry()
            try:
                return await attempt(entry)
            except (httpclient.HttpError, CallerError) as error:
                await run.after_failure(entry, error)

    def pin(self, addresses: abc.Sequence[Address]) -> None:
        """Use these entries from now on, without asking which to use."""
        self._entries.pin(addresses)

    def make_tries(self, headers: dict[str, str]) -> tries.Tries:
        """Return the tries of a request that is sent with these headers."""
        return tries.Tries(self._entries, headers, max_tries=self._max_tries)

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


class _StreamRun:
    """One completion, over as many entries as it takes."""

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
        """Return the whole answer."""
        state = self._state
        return Answer(
            state.request_id,
            state.text,
            len(state.texts),
            max(0, state.opened - 1),
            self._entry,
            state.usage,
        )

    async def tokens(self) -> abc.AsyncIterator[str]:
        """Yield each token once until the answer is whole."""
        run = self._caller.make_tries(self._headers)
        while not self._state.is_whole:
            self._entry = await run.next_entry()
            try:
                async with contextlib.aclosing(self._tokens_at(self._entry)) as texts:
                    async for text in texts:
                        yield text
            except (httpclient.HttpError, CallerError) as error:
                if self._is_lost(error):
                    run.after_loss(error)
                    self._state.restart()
                else:
                    is_late = self._time_left() == MINIMUM_DEADLINE_S
                    await run.after_failure(self._entry, error, is_final=is_late)

    def _is_lost(self, error: Exception) -> bool:
        is_refusal = isinstance(error, CallerError)
        has_token = self._state.resume is not None
        return has_token and is_refusal and error.status in LOST_STREAM_STATUSES

    async def _tokens_at(self, entry: Address) -> abc.AsyncIterator[str]:
        path, body = "/v1/completions", self._body
        if self._state.resume is not None:
            path = "/v1/resume"
            body = msgspec.json.encode(self._state.resume_body(self._body))
        if self._deadline is not None:
            self._headers["x-deadline-s"] = str(self._time_left())
        async with self._caller.post(entry, path, self._headers, body) as response:
            if response.status != httpclient.OK:
                raise refusals.from_answer(response, await response.read())
            async with contextlib.aclosing(self._state.read(response)) as texts:
                async for text in texts:
                    yield text

    def _time_left(self) -> float | None:
        if self._deadline is None:
            return None
        return max(MINIMUM_DEADLINE_S, self._deadline - time.monotonic())


def _patience_s(headers: dict[str, str]) -> float:
    """Return how long to wait for an entry, in seconds."""
    deadline_s = headers.get("x-deadline-s")
    if deadline_s is None:
        return httpclient.DEFAULT_TIMEOUT_S
    return float(deadline_s) + PATIENCE_MARGIN_S


def _read_location(response: httpclient.Response) -> tuple[Address, str]:
    parts = urllib.parse.urlsplit(response.headers.get("location", ""))
    if not parts.hostname or not parts.port:
        raise httpclient.ConnectionLostError("sent on without a usable location")
    query = f"?{parts.query}" if parts.query else ""
    return (parts.hostname, parts.port), f"{parts.path}{query}"
