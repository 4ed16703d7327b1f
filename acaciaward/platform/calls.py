"""
Calls services of the platform over HTTP and reports whether a failed call took effect.

A call that could not be sent, or that the service refused, raises
``PlatformRefusedError``: it didn't take effect. A call whose answer was lost raises
``PlatformUnknownError``, since it may have taken effect.
"""

import json
import time
import typing
from collections import abc

import msgspec
import prometheus_client

from acaciaward import errors, httpclient

REFUSED_STATUSES = frozenset({400, 404, 409, 410, 413, 429, 503})
MAX_ERROR_CHARACTERS = 200
# Estimated size of the request line and headers of a call, and of its answer's head.
HEAD_BYTES = 200

# Outcomes of a call: it took effect, it certainly did not, or that is unknown.
TAKEN, REFUSED, LOST = OUTCOMES = ("taken", "refused", "lost")

PLATFORM_CALLS = prometheus_client.Counter(
    "acaciaward_platform_calls_total", "Calls to services of the platform", ["service"]
)
PLATFORM_SECONDS = prometheus_client.Histogram(
    "acaciaward_platform_call_seconds",
    "How long calls to services of the platform took, in seconds, by kind and outcome",
    ["service", "call", "outcome"],
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0),
)
PLATFORM_BYTES = prometheus_client.Counter(
    "acaciaward_platform_bytes_total",
    "Bytes exchanged with services of the platform, heads reckoned",
    ["service"],
)


class AnswerTooDeepError(errors.PlatformUnknownError):
    """The answer is nested deeper than the decoders allow."""


class PlatformReply(typing.NamedTuple):
    """
    Status, body and headers of a service's answer.

    ``call`` decodes the body from JSON. The names of headers are in lower case.
    """

    status: int
    body: typing.Any
    headers: abc.Mapping[str, str] = {}


class PlatformService:
    """One service of the platform at an IP address and port."""

    def __init__(
        self,
        client: httpclient.HttpClient,
        address: str,
        port: int,
        *,
        timeout_s: float,
        name: str = "platform",
    ):
        self._name = name
        self._client = client
        self._address = address
        self._port = port
        self._timeout_s = timeout_s
        self._timers_by_kind: dict[str, dict[str, prometheus_client.Histogram]] = {}

    async def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        *,
        wait_s: float = 0,
        accepted: frozenset[int] = frozenset(),
    ) -> PlatformReply:
        """
        Call the service and return its reply.

        ``wait_s`` is how long the service may hold the call, on top of the timeout.
        ``accepted`` lists statuses, besides those of success, to return.
        """
        payload = b"" if body is None else msgspec.json.encode(body)
        reply = await self.exchange(
            method, path, payload, wait_s=wait_s, accepted=accepted
        )
        return reply._replace(body=_decode(reply.body))

    async def exchange(
        self,
        method: str,
        path: str,
        payload: bytes,
        *,
        wait_s: float = 0,
        accepted: frozenset[int] = frozenset(),
        headers: abc.Mapping[str, str] | None = None,
    ) -> PlatformReply:
        """Call the service as ``call`` does, with bodies as bytes."""
        PLATFORM_CALLS.labels(self._name).inc()
        timers = self._timers(_kind(path))
        self._count_bytes(path, payload)
        began = time.monotonic()
        outcome = LOST
        try:
            async with self._client.send(
                method,
                self._address,
                self._port,
                path,
                headers={"content-type": "application/json", **(headers or {})},
                body=payload,
                timeout_s=self._timeout_s + wait_s,
            ) as response:
                answer = await response.read()
                self._count_bytes("", answer)
                is_success = response.status < 300 or response.status in accepted
                outcome = TAKEN if is_success else REFUSED
        except httpclient.ConnectFailedError as error:
            outcome = REFUSED
            raise errors.PlatformRefusedError(str(error)) from error
        except httpclient.HttpError as error:
            raise errors.PlatformUnknownError(f"{method} {path}: {error}") from error
        finally:
            timers[outcome].observe(time.monotonic() - began)
        if is_success:
            return PlatformReply(response.status, answer, response.headers)
        self._raise_for_status(response, answer)

    def _timers(self, kind: str) -> dict[str, prometheus_client.Histogram]:
        """
        Return the histograms of a kind of call, by outcome.

        All outcomes are created when the first call of the kind begins, so that the
        lines of ``/metrics`` depend neither on its outcome nor on its duration.
        """
        timers = self._timers_by_kind.get(kind)
        if timers is None:
            timers = self._timers_by_kind[kind] = {
                outcome: PLATFORM_SECONDS.labels(self._name, kind, outcome)
                for outcome in OUTCOMES
            }
        return timers

    def _count_bytes(self, path: str, body: bytes) -> None:
        size = HEAD_BYTES + len(path) + len(body)
        PLATFORM_BYTES.labels(self._name).inc(size)

    def _raise_for_status(
        self, response: httpclient.Response, answer: bytes
    ) -> typing.NoReturn:
        text = answer[:MAX_ERROR_CHARACTERS].decode(errors="replace")
        message = f"status {response.status}: {text}"
        if response.status in REFUSED_STATUSES:
            raise errors.PlatformRefusedError(
                message, retry_after_s=response.retry_after_s
            )
        raise errors.PlatformUnknownError(message)


def _kind(path: str) -> str:
    """Return the first segment of a path after ``/api``, the call's metric label."""
    segments = path.partition("?")[0].removeprefix("/api").split("/")
    return segments[1] if len(segments) > 1 else ""


def _decode(answer: bytes) -> typing.Any:
    # The log holds records of other writers. One that the strict decoder rejects
    # (infinite numbers, lone surrogates) must not make the others unreadable.
    try:
        return msgspec.json.decode(answer)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _decode_leniently(answer)


def _decode_leniently(answer: bytes) -> typing.Any:
    try:
        return json.loads(answer)
    except RecursionError as error:
        raise AnswerTooDeepError("answer is nested too deep") from error
    except ValueError as error:
        raise errors.PlatformUnknownError(f"answer is not JSON: {error}") from error
