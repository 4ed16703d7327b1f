"""
Signs and verifies the tokens with which a caller resumes a stream at any entry.

A resume token says where the stream is and which request it answers; it is bound to
the organisation and signed with the configuration's resume keys. The newest key
signs, and signatures of all keys are accepted.

In addition, each event carries a proof of delivery: a keyed hash over the stream, the
number of tokens delivered so far and their text. If the stream is lost, a caller that
sends the texts with their proof can have its answer continued at another engine.
Without a proof, an entry would have to trust the caller about what was delivered.
"""

import base64
import functools
import hashlib
import hmac
import typing
from collections import abc

import itsdangerous

from acaciaward import errors

TOKEN_SALT = b"acaciaward.resume.1"
PROOF_SALT = b"acaciaward.delivered.1"
PROOF_BYTES = 16
INVALID_TOKEN_MESSAGE = "the resume token is not valid"


class ResumeToken(typing.NamedTuple):
    """
    Where a stream can be resumed.

    ``prompt`` and ``max_tokens`` are not part of it: a caller that resumes
    sends its request again, and ``digest`` proves that it is the same request.
    """

    organisation: str
    request_id: str
    deployment: str
    digest: str
    endpoint: str
    stream: str


def sign(keys: abc.Sequence[str], token: ResumeToken) -> str:
    """Return the signed token; ``keys`` are ordered oldest to newest."""
    return _serializer(keys).dumps(list(token))


def verify(
    keys: abc.Sequence[str],
    text: str,
    *,
    organisation: str,
    lifetime_s: float,
) -> ResumeToken:
    """
    Verify a signed token and return it.

    Raises ``PermissionDeniedError`` with the same message for an altered token, an
    expired one and one of another organisation, so that the error reveals nothing.
    """
    try:
        fields = _serializer(keys).loads(text, max_age=lifetime_s)
        token = ResumeToken(*fields)
    except (itsdangerous.BadData, TypeError) as error:
        raise errors.PermissionDeniedError(INVALID_TOKEN_MESSAGE) from error
    if token.organisation != organisation:
        raise errors.PermissionDeniedError(INVALID_TOKEN_MESSAGE)
    return token


def make_delivery_proof(
    keys: abc.Sequence[str], token: ResumeToken, token_count: int, digest: str
) -> str:
    """
    Return the proof that ``token_count`` tokens of a stream were delivered.

    ``digest`` is the hexadecimal SHA-256 over their texts joined in order.
    """
    return _make_proof(keys[-1], token, token_count, digest)


def verify_delivery_proof(
    keys: abc.Sequence[str],
    token: ResumeToken,
    texts: abc.Sequence[str],
    proof: str,
) -> None:
    """Raise ``PermissionDeniedError`` unless the proof matches the token and texts."""
    digest = hashlib.sha256("".join(texts).encode()).hexdigest()
    for key in keys:
        expected = _make_proof(key, token, len(texts), digest)
        if hmac.compare_digest(expected.encode(), proof.encode()):
            return
    raise errors.PermissionDeniedError(INVALID_TOKEN_MESSAGE)


def _make_proof(key: str, token: ResumeToken, token_count: int, digest: str) -> str:
    fields = "\0".join([*token, str(token_count), digest])
    mac = hmac.digest(_derive_proof_key(key), fields.encode(), "sha256")[:PROOF_BYTES]
    return base64.urlsafe_b64encode(mac).rstrip(b"=").decode()


@functools.lru_cache(maxsize=16)
def _derive_proof_key(key: str) -> bytes:
    return hmac.digest(key.encode(), PROOF_SALT, "sha256")


def _serializer(
    keys: abc.Sequence[str],
) -> itsdangerous.URLSafeTimedSerializer:
    if not keys:
        raise errors.PermissionDeniedError("streams can't be resumed here")
    return itsdangerous.URLSafeTimedSerializer(
        list(keys), salt=TOKEN_SALT, signer_kwargs={"key_derivation": "hmac"}
    )
