"""
Signed tokens with which a caller takes up a stream at any entry.

A token says where the stream is and what it answers; it is bound to the
organisation and signed with the configuration's resume keys. The newest key
signs, all of them are accepted.
"""

import typing
from collections.abc import Sequence

import itsdangerous

from acaciaward import errors

SALT = b"acaciaward.resume.1"


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


def sign(keys: Sequence[str], token: ResumeToken) -> str:
    """Return the token's signed form; ``keys`` has the newest last."""
    return _serializer(keys).dumps(list(token))


def read(
    keys: Sequence[str], text: str, *, organisation: str, lifetime_s: float
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
        raise errors.PermissionDeniedError("the resume token is not valid") from error
    if token.organisation != organisation:
        raise errors.PermissionDeniedError("the resume token is not valid")
    return token


def _serializer(keys: Sequence[str]) -> itsdangerous.URLSafeTimedSerializer:
    if not keys:
        raise errors.PermissionDeniedError("streams can't be resumed here")
    return itsdangerous.URLSafeTimedSerializer(
        list(keys), salt=SALT, signer_kwargs={"key_derivation": "hmac"}
    )
