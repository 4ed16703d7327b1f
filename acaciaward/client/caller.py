"""
An asyncio caller that keeps the system's promises on its own side.

It asks an entry which addresses to use, keeps the answer for its lifetime, goes
to another entry when one fails, and never takes a stream without its final
event for a whole answer.

    caller = Caller([("127.0.0.1", 8100)], key="aw-org.puzzle-agency.desk....")
    answer = await caller.complete("dossiers", "write a dossier", max_tokens=64)
    answer.text
"""

import asyncio
import hashlib
import time
import typing
from collections.abc import Sequence

import msgspec
import uuid6

from acaciaward import errors, httpclient, verdicts
from acaciaward.client import sse
from acaciaward.identity import tls

Address = tuple[str, int]

DISCOVERY_TIMEOUT_S = 2.0
MAX_TRIES = 8
PAUSE_BETWEEN_TRIES_S = 0.1
NO_STATUS = 0
RETRIED_STATUSES = frozenset({NO_STATUS, 429, 502, 503, 504})
PATIENCE_MARGIN_S = 1.0


class Answer(typing.NamedTuple):
    """A whole answer; ``moves`` counts changes of endpoint on the way."""

    request_id: str
    text: str
    count: int
    moves: int
    entry: Address


class ServiceReply(typing.NamedTuple):
    """The whole answer of a plain service."""

    status: int
    body: bytes
    verdict: verdicts.Verdict


class CallerError(errors.AcaciawardError):
    """
    The request ended without its answer; ``verdict`` says if it may have run.

    ``is_stated`` is False when an entry answered without a verdict.
    """

    def __init__(
        self,
        message: str,
        *,
        status: int,
        verdict: verdicts.Verdict,
        retry_after_s: float | None,
        is_stated: bool = True,
    ):
        super().__init__(message)
        self.status = status
        self.verdict = verdict
        self.retry_after_s = retry_after_s
        self.is_stated = is_stated


class Caller:
    """
    Sends requests of one organisation.

    With ``ca_file`` connections are encrypted, and each entry must show a
    certificate for its IP number that this authority has signed.
    """

    def __init__(
        self,
        seeds: Sequence[Address],
        *,
        key: str,
        data_centre: str | None = None,
        client: httpclient.HttpClient | None = None,
        ca_file: str | None = None,
        max_tries: int = MAX_TRIES,
    ):
        trust = tls.client_context(ca_file) if ca_file else None
        self._seeds = list(seeds)
        self._key = key
        self._data_centre = data_centre
        self._client = client or httpclient.HttpClient(tls=trust)
        self._entries: list[Address] = []
        self._entries_expire = 0.0
        self._max_tries = max_tries
        self._pinned: list[Address] = []
        self._turn = 0

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()

    def pin(self, entries: Sequence[Address]) -> None:
        """Use these entries from now on, without asking which to use."""
        self._entries = list(entries)
        self._pinned = list(entries)

    async def complete(
        self,
        model: str,
        prompt: str,
        *,
        max_tokens: int = 64,
        service_class: str = "short",
        deadline_s: float | None = None,
    ) -> Answer:
        """Return the whole streamed answer, trying other entries as needed."""
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        headers = self._headers(service_class, deadline_s)
        payload = msgspec.json.encode(body)
        return await self._with_retries(
            headers, lambda entry: self._complete_at(entry, payload, headers)
        )

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
        headers = self._headers(service_class, deadline_s)
        if not idempotent:
            headers["x-idempotent"] = "false"
            headers["idempotency-key"] = key or new_key()
        return await self._with_retries(
            headers,
            lambda entry: self._call_at(entry, service, path, body, headers),
        )

    async def _complete_at(
        self, entry: Address, payload: bytes, headers: dict[str, str]
    ) -> Answer:
        async with self._client.send(
            "POST", *entry, "/v1/completions", headers=headers, body=payload
        ) as response:
            if response.status != 200:
                raise _error_from_answer(response, await response.read())
            return await self._read_stream(entry, response)

    async def _read_stream(
        self, entry: Address, response: httpclient.Response
    ) -> Answer:
        texts: list[str] = []
        opened = 0
        end: dict[str, typing.Any] = {}
        async for event in sse.events(response):
            if "error" in event:
                raise _error_from_fields(response.status, event["error"])
            extra = event["acaciaward"]
            if not event["choices"]:
                opened += 1
            elif "count" in extra:
                end = extra
            else:
                if extra["index"] != len(texts):
                    raise httpclient.ConnectionLostError("a token came out of turn")
                texts.append(event["choices"][0]["text"])
        text = "".join(texts)
        digest = hashlib.sha256(text.encode()).hexdigest()
        if end.get("count") != len(texts) or end.get("digest") != digest:
            raise httpclient.ConnectionLostError("the answer isn't whole")
        request_id = response.headers.get("x-request-id", "")
        return Answer(request_id, text, len(texts), max(0, opened - 1), entry)

    async def _call_at(
        self,
        entry: Address,
        service: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> ServiceReply:
        async with self._client.send(
            "POST",
            *entry,
            f"/v1/services/{service}/{path}",
            headers=headers,
            body=body,
            timeout_s=_patience_s(headers),
        ) as response:
            answer = await response.read()
        if response.headers.get("x-verdict") != verdicts.Verdict.RAN.value:
            raise _error_from_answer(response, answer)
        return ServiceReply(response.status, answer, verdicts.Verdict.RAN)

    async def _with_retries(
        self, headers: dict[str, str], attempt: typing.Callable
    ) -> typing.Any:
        """
        Try entry after entry; an error carries the worst verdict of all tries.

        A "not run" from one entry says nothing of a try at another that was
        left without an answer, so only tries that all prove it leave NOT_RUN.
        """
        may_have_run = False
        last: CallerError | None = None
        for number in range(self._max_tries):
            entry = await self._next_entry()
            try:
                return await attempt(entry)
            except httpclient.HttpError as error:
                self._forget(entry)
                last = _error_from_transport(error)
                pause_s = PAUSE_BETWEEN_TRIES_S * number
            except CallerError as error:
                last = error
                pause_s = error.retry_after_s or PAUSE_BETWEEN_TRIES_S
            may_have_run |= last.verdict is verdicts.Verdict.MAY_HAVE_RUN
            if may_have_run:
                headers["x-resend"] = "true"
            if last.status not in RETRIED_STATUSES:
                break
            await asyncio.sleep(pause_s)
        if may_have_run and last.verdict is verdicts.Verdict.NOT_RUN:
            last.verdict = verdicts.Verdict.MAY_HAVE_RUN
        raise last

    async def _next_entry(self) -> Address:
        is_due = not self._entries or time.monotonic() > self._entries_expire
        if is_due and not self._pinned:
            await self._discover()
        self._turn += 1
        return self._entries[self._turn % len(self._entries)]

    async def _discover(self) -> None:
        query = f"?data_centre={self._data_centre}" if self._data_centre else ""
        for seed in [*self._entries, *self._seeds]:
            try:
                async with self._client.send(
                    "GET",
                    *seed,
                    f"/v1/entries{query}",
                    timeout_s=DISCOVERY_TIMEOUT_S,
                ) as response:
                    answer = msgspec.json.decode(await response.read())
            except (httpclient.HttpError, msgspec.DecodeError):
                continue
            if answer["entries"]:
                self._entries = [(e["address"], e["port"]) for e in answer["entries"]]
                self._entries_expire = time.monotonic() + answer["lifetime_s"]
                return
        # Without any answer the addresses known so far are still the best guess.
        self._entries = self._entries or list(self._seeds)

    def _forget(self, entry: Address) -> None:
        if self._pinned:
            return
        self._entries = [known for known in self._entries if known != entry]

    def _headers(self, service_class: str, deadline_s: float | None) -> dict[str, str]:
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


def _patience_s(headers: dict[str, str]) -> float:
    """Return how long to wait for an entry, in seconds."""
    deadline_s = headers.get("x-deadline-s")
    if deadline_s is None:
        return httpclient.DEFAULT_TIMEOUT_S
    return float(deadline_s) + PATIENCE_MARGIN_S


def _error_from_transport(error: httpclient.HttpError) -> CallerError:
    is_unsent = isinstance(error, httpclient.ConnectFailedError)
    verdict = verdicts.Verdict.NOT_RUN if is_unsent else verdicts.Verdict.MAY_HAVE_RUN
    return CallerError(
        f"no entry answered: {error}",
        status=NO_STATUS,
        verdict=verdict,
        retry_after_s=None,
    )


def _error_from_answer(response: httpclient.Response, body: bytes) -> CallerError:
    try:
        fields = msgspec.json.decode(body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        fields = {}
    return _error_from_fields(response.status, fields)


def _error_from_fields(status: int, fields: dict[str, typing.Any]) -> CallerError:
    verdict = fields.get("verdict", verdicts.Verdict.MAY_HAVE_RUN.value)
    return CallerError(
        fields.get("message", f"status {status}"),
        status=status,
        verdict=verdicts.Verdict(verdict),
        retry_after_s=fields.get("retry_after"),
        is_stated="verdict" in fields,
    )
