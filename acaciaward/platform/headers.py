"""
Decodes and encodes the platform's HTTP headers.

Headers that only the system may set are never passed on as a caller sent them,
and neither are those that concern one connection.
"""

import math
import typing

from acaciaward import verdicts
from acaciaward.gateway import calls

ATTEMPT_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
TOKENS = b"token-usage"
PREFIX = b"prompt-prefix"
LAST_EVENT = b"last-event-id"
NOT_RUN = b"not-executed"
SIGNATURE = b"server-signature"

MISDIRECTED = 421
REFUSALS = frozenset({408, 429, 503})

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
# What the system alone tells endpoints; a caller's own is dropped.
SYSTEM_HEADERS = frozenset(
    {
        AUTHORIZATION,
        DEADLINE,
        LAST_EVENT,
        NOT_RUN,
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
# The engines' order runs from 0 to 9.
LOWEST_RANK = 9


class CallFields(typing.TypedDict):
    """The fields of ``calls.Call`` that come from headers."""

    attempt_id: str | None
    patience_s: float | None
    key: str | None
    prompt: calls.Prompt | None
    last_event_id: int | None


def decode_call(headers: calls.Headers) -> CallFields:
    """Return what a caller's headers say; what can't be read counts as absent."""
    found = {name.lower(): value.strip().decode("latin-1") for name, value in headers}
    milliseconds = _number(found.get(DEADLINE))
    return {
        "attempt_id": found.get(ATTEMPT_ID),
        "patience_s": None if milliseconds is None else milliseconds / 1000,
        "key": _bearer(found.get(AUTHORIZATION, "")),
        "prompt": _decode_prompt(found),
        "last_event_id": _whole(found.get(LAST_EVENT)),
    }


def _number(text: str | None) -> float | None:
    try:
        value = float(text or "")
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def _whole(text: str | None) -> int | None:
    return int(text) if text is not None and text.isdecimal() else None


def _bearer(text: str) -> str | None:
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key.strip() else None


def _decode_prompt(found: dict[bytes, str]) -> calls.Prompt | None:
    numbers = [_whole(part.strip()) for part in found.get(TOKENS, "").split(",")]
    if len(numbers) != 2 or None in numbers:
        return None
    parts = []
    for part in found.get(PREFIX, "").split(","):
        name, _, tokens = part.strip().partition(":")
        size = _whole(tokens)
        if name and size is not None:
            parts.append((name, size))
    return calls.Prompt(numbers[0], numbers[1], tuple(parts))


def encode_forwarded(call: calls.Call, forwarding: calls.Forwarding) -> calls.Headers:
    """Return the headers of a call as an endpoint is to get them."""
    dropped = CONNECTION_HEADERS | SYSTEM_HEADERS | _named_by_connection(call.headers)
    headers = [one for one in call.headers if one[0].lower() not in dropped]
    headers.append((b"Deadline-Ms", b"%d" % max(1, int(forwarding.patience_s * 1000))))
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


def _named_by_connection(headers: calls.Headers) -> frozenset[bytes]:
    values = [value for name, value in headers if name.lower() == b"connection"]
    names = {name.strip().lower() for value in values for name in value.split(b",")}
    # A caller can't have the request's own headers dropped that way.
    return frozenset(names) - {ATTEMPT_ID, TOKENS, PREFIX, b"host", b"model"}


def decode_reply(status: int, headers: calls.Headers) -> calls.ReplyHead:
    """Return what an endpoint's head says, without what concerns the connection."""
    found = {name.lower(): value.decode("latin-1") for name, value in headers}
    dropped = CONNECTION_HEADERS | _named_by_connection(headers)
    is_misdirected = status == MISDIRECTED and SIGNATURE not in found
    return calls.ReplyHead(
        status=status,
        headers=[one for one in headers if one[0].lower() not in dropped],
        attempt_id=found.get(ATTEMPT_ID),
        is_signed=SIGNATURE in found,
        is_refusal=is_misdirected or NOT_RUN in found,
        is_misdirected=is_misdirected,
        ends_connection="close" in found.get(b"connection", "").lower(),
        keep_alive_s=_keep_alive(found.get(b"keep-alive", "")),
        retry_after_s=_number(found.get(b"retry-after")),
    )


def _keep_alive(text: str) -> float | None:
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _number(value)
    return None


def encode_own(
    attempt_id: str | None, verdict: verdicts.Verdict, retry_after_s: float | None
) -> calls.Headers:
    """Return the headers of an answer that is the system's own."""
    headers = []
    if attempt_id is not None:
        headers.append((b"Attempt-Id", attempt_id.encode("latin-1")))
    if verdict is verdicts.Verdict.NOT_RUN and retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    return headers
