"""
Parses callers' HTTP bodies and headers into a ``Request``.

Bodies have the form that clients of completion APIs already use. Options that such
APIs lack are sent as headers: ``Idempotency-Key``, ``X-Idempotent``,
``X-Service-Class``, ``X-Deadline-S`` and ``X-Resend``.
"""

import hashlib
import math
import typing
import uuid
from collections import abc

import msgspec

from acaciaward import documents, errors, requests

DEFAULT_DEADLINES_S = {"urgent": 2.0, "short": 15.0, "long": 120.0}
MAX_DEADLINE_S = 3600.0
DEFAULT_MAX_TOKENS = 64
MAX_TOKENS = 32768
MAX_KEY_CHARACTERS = 36
BOOLEANS = {"true": True, "false": False}


class ChatMessage(typing.TypedDict):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(typing.TypedDict, total=False):
    """The fields of a completion's JSON body that are used; others are ignored."""

    model: str
    prompt: str
    messages: list[ChatMessage]
    max_tokens: int
    stream: bool


class Options(typing.NamedTuple):
    """A request's options from its headers; ``deadline_s`` is None without one."""

    service_class: requests.ServiceClass
    deadline_s: float | None
    idempotent: bool
    key: str | None


_body_decoder = msgspec.json.Decoder(CompletionBody)


def read_body(body: bytes) -> CompletionBody:
    """Return the checked body of a completion."""
    try:
        return _body_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidRequestError(f"malformed body: {error}") from error


def read_options(headers: abc.Mapping[str, str]) -> Options:
    """Return the checked options; header names are in lower case."""
    service_class = headers.get("x-service-class", "short")
    try:
        parsed_class = requests.ServiceClass(service_class)
    except ValueError as error:
        raise errors.InvalidRequestError(
            "X-Service-Class must be urgent, short or long"
        ) from error
    idempotent = headers.get("x-idempotent", "true").lower()
    if idempotent not in BOOLEANS:
        raise errors.InvalidRequestError("X-Idempotent must be true or false")
    key = headers.get("idempotency-key")
    if key is not None:
        key = read_key(key)
    if not BOOLEANS[idempotent] and key is None:
        raise errors.InvalidRequestError(
            "a non-idempotent request needs an Idempotency-Key"
        )
    return Options(parsed_class, _read_deadline(headers), BOOLEANS[idempotent], key)


def read_key(text: str) -> str:
    """Return an idempotency key in its canonical form; it must be a UUIDv7."""
    try:
        key = uuid.UUID(text[: MAX_KEY_CHARACTERS + 1])
    except ValueError as error:
        raise errors.InvalidRequestError("Idempotency-Key must be a UUID") from error
    if key.version != 7:
        raise errors.InvalidRequestError("Idempotency-Key must be a UUID of version 7")
    return str(key)


def _read_deadline(headers: abc.Mapping[str, str]) -> float | None:
    text = headers.get("x-deadline-s")
    if text is None:
        return None
    try:
        deadline_s = float(text)
    except ValueError as error:
        raise errors.InvalidRequestError("X-Deadline-S must be a number") from error
    if not math.isfinite(deadline_s) or not 0 < deadline_s <= MAX_DEADLINE_S:
        raise errors.InvalidRequestError(
            f"X-Deadline-S must lie between 0 and {MAX_DEADLINE_S:.0f}"
        )
    return deadline_s


def find_deployment(
    document: documents.Document,
    organisation: str,
    name: str,
    kind: requests.DeploymentKind,
) -> documents.DeploymentEntry:
    """Return a deployment that the organisation may use."""
    deployment = document.get("deployments", {}).get(name)
    is_usable = (
        deployment is not None
        and deployment["kind"] == kind.value
        and organisation in deployment.get("organisations", [])
    )
    if not is_usable:
        raise errors.NotFoundError(f"there is no {kind.value} {name[:80]!r} for you")
    return deployment


def choose_deadline_s(deployment: documents.DeploymentEntry, options: Options) -> float:
    """Return within how many seconds a request must be answered."""
    service_class = options.service_class.value
    configured_s = deployment.get("deadlines_s", {}).get(service_class)
    default_s = configured_s or DEFAULT_DEADLINES_S[service_class]
    return min(options.deadline_s or default_s, MAX_DEADLINE_S)


def read_prompt(body: CompletionBody, *, is_chat: bool) -> str:
    """Return the prompt of a completion or of a chat."""
    if not is_chat:
        if not body.get("prompt"):
            raise errors.InvalidRequestError("prompt must be a text that isn't empty")
        return body["prompt"]
    messages = body.get("messages")
    if not messages:
        raise errors.InvalidRequestError("messages must be a list that isn't empty")
    return "\n".join(f"{item['role']}: {item['content']}" for item in messages)


def read_max_tokens(body: CompletionBody) -> int:
    """Return the maximum length of the answer in tokens."""
    max_tokens = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not 1 <= max_tokens <= MAX_TOKENS:
        raise errors.InvalidRequestError(
            f"max_tokens must lie between 1 and {MAX_TOKENS}"
        )
    return max_tokens


def digest_request(deployment: str, path: str, body: bytes) -> str:
    """Return the hexadecimal SHA-256 of a request's content."""
    digest = hashlib.sha256()
    for part in (deployment.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def count_tokens(text: str) -> int:
    """Return the estimated length of a text in tokens."""
    return len(text.split())
