"""
Decodes and encodes the platform's HTTP headers.

Headers that only this project may set, and those that concern one connection, are
never forwarded as a caller sent them.
"""

import logging
import math
import re
import typing

from acaciaward import decoding, verdicts
from acaciaward.gateway import calls, guarding
from acaciaward.observability import logs, metrics

log = logging.getLogger(__name__)

ATTEMPT_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
TOKEN_USAGE = b"token-usage"
PROMPT_PREFIX = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
NOT_EXECUTED = b"not-executed"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
SERVER_BRITTLE = b"server-brittle"
RETRY_AFTER = b"retry-after"
SIGNATURE = b"server-signature"
# Set by this project alone, between two entries.
DETOUR = b"acaciaward-detour"

# More rejections a second than this are no sensible bound.
MAX_BRITTLE = 10**6
_WHOLE_NUMBER = re.compile(r"[0-9]{1,20}")

MISDIRECTED_STATUS = 421
REFUSAL_STATUSES = frozenset({408, 429, 503})

# These concern one connection, so they are dropped in both directions.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Only this project may set these; a caller's are dropped.
SYSTEM_HEADERS = frozenset(
    {
        AUTHORIZATION,
        DEADLINE,
        DETOUR,
        LAST_EVENT_ID,
        NOT_EXECUTED,
        SIGNATURE,
        b"tenant",
        b"expect-instance",
        b"expect-version",
        b"request-priority",
        b"pin-ms",
        b"hold",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"duty-holder",
        b"fencing-token",
        b"instance-id",
        b"stage",
        b"weight-versions",
    }
)
# Engines accept ranks from 0, the most urgent, to 9.
LOWEST_RANK = 9


class CallFields(typing.TypedDict):
    """The fields of ``calls.Call`` that come from headers."""

    attempt_id: str | None
    timeout_s: float | None
    key: str | None
    prompt: calls.Prompt | None
    last_event_id: int | None
    resumed_attempt_id: str | None
    detour: typing.NotRequired[calls.Detour]


def decode_call(headers: calls.Headers) -> CallFields:
    """
    Decode a caller's headers; a value that isn't a number counts as absent.

    Raises ``DecodingError`` for one that is out of range.
    """
    values = {name.lower(): value.strip().decode("latin-1") for name, value in headers}
    deadline_ms = _parse_number(values.get(DEADLINE))
    return {
        "attempt_id": values.get(ATTEMPT_ID),
        "timeout_s": None if deadline_ms is None else deadline_ms / 1000,
        "key": _parse_bearer(values.get(AUTHORIZATION, "")),
        "prompt": _decode_prompt(values),
        "last_event_id": _parse_integer(values.get(LAST_EVENT_ID)),
        "resumed_attempt_id": values.get(RESUMES),
    }


def _parse_number(text: str | None) -> float | None:
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def _parse_integer(text: str | None) -> int | None:
    if text is None or not (text.isascii() and text.isdecimal()):
        return None
    return decoding.to_integer(text)


def _parse_bearer(text: str) -> str | None:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def _decode_prompt(values: dict[bytes, str]) -> calls.Prompt | None:
    numbers = [
        _parse_integer(part.strip()) for part in values.get(TOKEN_USAGE, "").split(",")
    ]
    if len(numbers) != 2 or None in numbers:
        return None
    parts = []
    for part in values.get(PROMPT_PREFIX, "").split(","):
        name, _, tokens = part.strip().partition(":")
        size = _parse_integer(tokens)
        if name and size is not None:
            parts.append((name, size))
    return calls.Prompt(numbers[0], numbers[1], tuple(parts))


def encode_forwarded(call: calls.Call, forwarding: calls.Forwarding) -> calls.Headers:
    """Return the headers to send to an endpoint for a caller's call."""
    dropped = CONNECTION_HEADERS | SYSTEM_HEADERS | named_by_connection(call.headers)
    headers = [header for header in call.headers if header[0].lower() not in dropped]
    headers.append((b"Deadline-Ms", b"%d" % max(1, int(forwarding.timeout_s * 1000))))
    headers.append((b"Expect-Instance", forwarding.endpoint.encode()))
    headers.append((b"Content-Length", b"%d" % len(call.body)))
    if forwarding.organisation is not None:
        headers.append((b"Tenant", forwarding.organisation.encode()))
    if call.prompt is not None:
        rank = b"%d" % min(LOWEST_RANK, forwarding.rank)
        headers.append((b"Request-Priority", rank))
    last_event_id = forwarding.last_event_id
    if last_event_id is None:
        last_event_id = call.last_event_id
    if last_event_id is not None:
        headers.append((b"Last-Event-Id", b"%d" % last_event_id))
    return headers


def named_by_connection(headers: calls.Headers) -> frozenset[bytes]:
    """Return the headers that concern only the connection, by ``Connection``."""
    values = [value for name, value in headers if name.lower() == b"connection"]
    names = {name.strip().lower() for value in values for name in value.split(b",")}
    # Naming them in Connection must not make a request lose these headers.
    return frozenset(names) - {
        ATTEMPT_ID,
        TOKEN_USAGE,
        PROMPT_PREFIX,
        b"host",
        b"model",
    }


def decode_reply(status: int, headers: calls.Headers) -> calls.ReplyHead:
    """Decode an endpoint's status and headers; drop those of the connection."""
    values = {name.lower(): value.decode("latin-1") for name, value in headers}
    dropped = CONNECTION_HEADERS | named_by_connection(headers)
    is_misdirected = status == MISDIRECTED_STATUS and SIGNATURE not in values
    return calls.ReplyHead(
        status=status,
        headers=[header for header in headers if header[0].lower() not in dropped],
        attempt_id=values.get(ATTEMPT_ID),
        is_signed=SIGNATURE in values,
        is_refusal=is_misdirected or NOT_EXECUTED in values,
        is_misdirected=is_misdirected,
        ends_connection="close" in values.get(b"connection", "").lower(),
        keep_alive_s=_parse_keep_alive(values.get(b"keep-alive", "")),
        retry_after_s=_parse_signal(values, RETRY_AFTER),
        limit_per_s=_parse_signal(values, SERVER_LIMIT),
        media_type=_parse_media_type(values.get(b"content-type")),
        says_leaving=values.get(SERVER_LEAVING, "0").strip() != "0",
        bears_rejections=_parse_brittle(headers),
    )


def _parse_signal(values: dict[bytes, str], name: bytes) -> float | None:
    """Return what an endpoint says of itself, None if that isn't a number from 0 on."""
    text = values.get(name)
    value = _parse_number(text)
    if text is not None and value is None:
        metrics.INVALID_SIGNALS.labels(name.decode()).inc()
        log.warning(
            "endpoint's header is invalid",
            extra=logs.fields(header=name.decode(), value=text),
        )
    return value


def _parse_brittle(headers: calls.Headers) -> int | None:
    """Return how many rejections a second a brittle endpoint says that it bears."""
    values = [
        value.decode("latin-1").strip()
        for name, value in headers
        if name.lower() == SERVER_BRITTLE
    ]
    if not values:
        return None
    if len(values) == 1 and _WHOLE_NUMBER.fullmatch(values[0]):
        number = int(values[0])
        if number <= MAX_BRITTLE:
            return number
    metrics.INVALID_SIGNALS.labels(SERVER_BRITTLE.decode()).inc()
    log.warning(
        "endpoint's header is invalid",
        extra=logs.fields(header=SERVER_BRITTLE.decode(), value=", ".join(values)),
    )
    return None


def _parse_media_type(text: str | None) -> str | None:
    return None if text is None else text.partition(";")[0].strip().lower()


def _parse_keep_alive(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_number(value)
    return None


def encode_gateway_reply(
    attempt_id: str | None, verdict: verdicts.Verdict, retry_after_s: float | None
) -> calls.Headers:
    """Return the headers of an answer that the entry itself makes."""
    headers = []
    if attempt_id is not None:
        headers.append((b"Attempt-Id", attempt_id.encode("latin-1")))
    if verdict is verdicts.Verdict.NOT_RUN and retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    return headers


def encode_early_refusal(
    call: calls.Call, refusal: guarding.EarlyRefusal
) -> calls.Headers:
    """Return the headers of the refusal of a call whose body isn't read."""
    return encode_gateway_reply(
        call.attempt_id, verdicts.Verdict.NOT_RUN, refusal.retry_after_s
    )
