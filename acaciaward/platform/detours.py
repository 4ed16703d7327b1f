"""
Decodes and encodes the HTTP headers of calls that one entry sends through another.

The call's headers are those of its caller; one more, which no caller can set, carries
what the entries tell each other.
"""

import logging
import typing

import msgspec

from acaciaward import decoding, verdicts
from acaciaward.gateway import calls, guarding
from acaciaward.observability import logs
from acaciaward.platform import headers

log = logging.getLogger(__name__)

# The caller's own values of these are replaced, or mustn't reach another entry.
DROPPED_HEADERS = frozenset({headers.DEADLINE, headers.DETOUR, headers.LAST_EVENT_ID})
MAX_REASON_CHARACTERS = 200


class DetourFields(typing.TypedDict):
    """The header of a call; ``calls.Detour`` explains the fields."""

    service: str
    version: str | None
    sends: int
    limit: int


class ReplyFields(typing.TypedDict):
    """The header of an answer; ``calls.DetourReply`` explains the fields."""

    sends: int
    version: str | None
    verdict: verdicts.Verdict | None
    reason: str
    is_cut_off: bool
    # Missing in messages of older builds.
    leaving: typing.NotRequired[tuple[str, int] | None]


_DETOUR_DECODER = msgspec.json.Decoder(DetourFields)
_REPLY_DECODER = msgspec.json.Decoder(ReplyFields)


def encode_call(
    call: calls.Call,
    detour: calls.Detour,
    timeout_s: float,
    last_event_id: int | None,
) -> calls.Headers:
    """
    Return the headers of a call for the peer that it is sent through.

    ``last_event_id`` is the last event that the caller has got.
    """
    dropped = (
        headers.CONNECTION_HEADERS
        | DROPPED_HEADERS
        | headers.named_by_connection(call.headers)
    )
    # The key lets the peer find the organisation.
    dropped -= {headers.AUTHORIZATION}
    found = [header for header in call.headers if header[0].lower() not in dropped]
    found.append((b"Deadline-Ms", b"%d" % max(1, int(timeout_s * 1000))))
    found.append((b"Content-Length", b"%d" % len(call.body)))
    found.append((b"Acaciaward-Detour", msgspec.json.encode(detour._asdict())))
    if last_event_id is not None:
        found.append((b"Last-Event-Id", b"%d" % last_event_id))
    return found


def decode_call(given: calls.Headers) -> headers.CallFields:
    """
    Decode the headers of a call that a peer sends through this entry.

    There is no ``detour`` if the header is missing or can't be read.
    """
    fields = headers.decode_call(given)
    detour = _decode(given, _DETOUR_DECODER)
    return fields if detour is None else fields | {"detour": calls.Detour(**detour)}


def encode_reply(reply: calls.DetourReply) -> calls.Headers:
    """Return the headers that an answer to a peer's call has besides its own."""
    fields = reply._replace(reason=reply.reason[:MAX_REASON_CHARACTERS])._asdict()
    return [(b"Acaciaward-Detour", msgspec.json.encode(fields))]


def encode_early_refusal(
    call: calls.Call, refusal: guarding.EarlyRefusal
) -> calls.Headers:
    """Return the headers of the refusal of a peer's call whose body isn't read."""
    found = headers.encode_early_refusal(call, refusal)
    if call.detour is None:
        return found
    reply = calls.DetourReply(
        call.detour.sends, verdict=verdicts.Verdict.NOT_RUN, reason=refusal.reason
    )
    return found + encode_reply(reply)


def decode_reply(status: int, given: calls.Headers) -> calls.ReplyHead:
    """Decode the head of a peer's answer, an endpoint's or the peer's own."""
    fields = _decode(given, _REPLY_DECODER)
    kept = [header for header in given if header[0].lower() != headers.DETOUR]
    head = headers.decode_reply(status, kept)._replace(
        is_misdirected=False, is_refusal=False, limit_per_s=None
    )
    if fields is None:
        # Not an entry's answer, so nothing is known of the call.
        return head._replace(is_signed=False)
    reply = calls.DetourReply(**fields)
    return head._replace(
        is_signed=head.is_signed and reply.verdict is None,
        is_refusal=reply.verdict is verdicts.Verdict.NOT_RUN,
        detour=reply,
    )


def _decode(
    given: calls.Headers, decoder: msgspec.json.Decoder
) -> dict[str, typing.Any] | None:
    values = [value for name, value in given if name.lower() == headers.DETOUR]
    if not values:
        return None
    try:
        # An endpoint or a caller may have sent one too; the entry's own is the last.
        fields = decoder.decode(values[-1])
    except decoding.LIBRARY_ERRORS as error:
        log.warning("a peer's header is invalid", extra=logs.fields(reason=error))
        return None
    known = decoder.type.__annotations__
    return {name: value for name, value in fields.items() if name in known}
