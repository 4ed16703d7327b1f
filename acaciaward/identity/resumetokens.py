"""
Signed tokens with which a caller takes up a stream at any entry.

A token says where the stream is and what it answers; it is bound to the
organisation and signed with the configuration's resume keys. The newest key
signs, all of them are accepted.

Beside the token each event carries a proof of what the caller has: a keyed hash
over the stream, the number of tokens and their text. A caller that shows texts
with their proof can have its answer continued at another engine after its stream
was lost; without one an entry would have to believe the caller's word.
"""

import base64
import functools
import hashlib
import hmac
import typing
from collections import abc

import itsdangerous

from acaciaward import errors

SALT = b"acaciaward.resume.1"
PROOF_SALT = b"acaciaward.delivered.1"
PROOF_BYTES = 16
REFUSAL = "the resume token is not valid"


class ResumeToken(typing.NamedTuple):
    """
    Where a stream can be taken up.

    ``prompt`` and ``max_tokens`` are not part of it: a caller that resumes
    sends its request again, and ``digest`` proves that it is the same.
    """

    organisation: str
    request_id: str
    deployment: str
    digest: str
    endpoint: str
    stream: str


def sign(keys: abc.Sequence[str], token: ResumeToken) -> str:
    """Return the token's signed form; ``keys`` has the newest last."""
    return _serializer(keys).dumps(list(token))


def read(
    keys: abc.Sequence[str],
    text: str,
    *,
    organisation: str,
    lifetime_s: float,
) -> ResumeToken:
    """
    Return a valid token of this organisation.

    Raises ``PermissionDeniedError`` in the same words for a stolen, an altered
    and an expired token, so that it reveals nothing.
    """
    try:
        fields = _serializer(keys).loads(text, max_age=lifetime_s)
        token = ResumeToken(*fields)
    except (itsdangerous.BadData, TypeError) as error:
        raise errors.PermissionDeniedError(REFUSAL) from error
    if token.organisation != organisation:
        raise errors.PermissionDeniedError(REFUSAL)
    return token


def prove_delivered(
    keys: abc.Sequence[str], token: ResumeToken, count: int, digest: str
) -> str:
    """
    Return the proof that ``count`` tokens of a stream were delivered.

    ``digest`` is the hexadecimal SHA-256 over their texts joined in order.
    """
    return _proof(keys[-1], token, count, digest)


def check_delivered(
    keys: abc.Sequence[str],
    token: ResumeToken,
    texts: abc.Sequence[str],
    proof: str,
) -> None:
    """Raise ``PermissionDeniedError`` unless the proof fits these texts."""
    digest = hashlib.sha256("".join(texts).encode()).hexdigest()
    for key in keys:
        expected = _proof(key, token, len(texts), digest)
        if hmac.compare_digest(expected.encode(), proof.encode()):
            return
    raise errors.PermissionDeniedError(REFUSAL)


def _proof(key: str, token: ResumeToken, count: int, digest: str) -> str:
    fields = "\0".join([*token, str(count), digest])
    mac = hmac.digest(_proof_key(key), fields.encode(), "sha256")[:PROOF_BYTES]
    return base64.urlsafe_b64encode(mac).rstrip(b"=").decode()


@functools.lru_cache(maxsize=16)
def _proof_key(key: str) -> bytes:
    return hmac.digest(key.encode(), PROOF_SALT, "sha256")


def _serializer(
    keys: abc.Sequence[str],
) -> itsdangerous.URLSafeTimedSerializer:
    if not keys:
        raise errors.PermissionDeniedError("streams can't be resumed here")
    return itsdangerous.URLSafeTimedSerializer(
        list(keys), salt=SALT, signer_kwargs={"key_derivation": "hmac"}
    )
