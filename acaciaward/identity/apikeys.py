"""
Creates and authenticates the API keys of organisations and operators.

A key contains its owner's name, so that one look-up finds its key entry, and ends in a
secret of 256 bits. The configuration stores only a salted hash of the secret:

    key, key_entry = make_organisation_key("puzzle-agency", "desk")
    key                    # aw-org.puzzle-agency.desk.kX3...
    key_entry["digest"]    # SHA-256 over salt and secret
"""

import hashlib
import hmac
import secrets
import time
import typing

from acaciaward import documents, errors

ORGANISATION_PREFIX = "aw-org"
OPERATOR_PREFIX = "aw-op"
SECRET_BYTES = 32
SALT_BYTES = 16
ORGANISATION_ROLES = ("caller", "administrator")


class Caller(typing.NamedTuple):
    """An authenticated caller of an organisation; ``role`` is the role of its key."""

    organisation: str
    key_name: str
    role: str


class Operator(typing.NamedTuple):
    """An authenticated operator; ``role`` is operator or viewer."""

    name: str
    role: str


def digest_secret(salt: str, secret: str) -> str:
    """Return the hexadecimal SHA-256 over salt and secret."""
    return hashlib.sha256(bytes.fromhex(salt) + secret.encode()).hexdigest()


def make_key_entry(role: str) -> tuple[str, documents.KeyEntry]:
    """Return a new secret and the key entry that the configuration stores for it."""
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    key_entry = {"salt": salt, "digest": digest_secret(salt, secret), "role": role}
    return secret, key_entry


def make_organisation_key(
    organisation: str, name: str, role: str = "caller"
) -> tuple[str, documents.KeyEntry]:
    """Return a new key of an organisation and its key entry."""
    secret, key_entry = make_key_entry(role)
    return f"{ORGANISATION_PREFIX}.{organisation}.{name}.{secret}", key_entry


def make_operator_key(
    name: str, role: str = "operator"
) -> tuple[str, documents.KeyEntry]:
    """Return a new key of an operator and its key entry."""
    secret, key_entry = make_key_entry(role)
    return f"{OPERATOR_PREFIX}.{name}.{secret}", key_entry


def authenticate_caller(document: documents.Document, key: str) -> Caller:
    """
    Return the caller that the key belongs to.

    Raises ``AuthenticationError`` for any invalid key, without saying which
    part of it is wrong, and ``PermissionDeniedError`` for a
    suspended organisation.
    """
    prefix, _, rest = key.partition(".")
    organisation, _, rest = rest.partition(".")
    name, _, secret = rest.partition(".")
    organisation_document = document.get("organisations", {}).get(organisation, {})
    key_entry = organisation_document.get("keys", {}).get(name)
    if prefix != ORGANISATION_PREFIX or not _matches(key_entry, secret):
        raise errors.AuthenticationError("the API key is not valid")
    if organisation_document.get("suspended"):
        raise errors.PermissionDeniedError("the organisation is suspended")
    return Caller(organisation, name, key_entry.get("role", "caller"))


def authenticate_operator(
    document: documents.Document, key: str, bootstrap_digest: str | None
) -> Operator:
    """
    Return the operator that the key belongs to.

    The bootstrap key is valid only while the configuration has no operators.

    Raises ``AuthenticationError`` for any invalid key.
    """
    prefix, _, rest = key.partition(".")
    name, _, secret = rest.partition(".")
    operators = document.get("operators", {})
    key_entry = operators.get(name)
    if prefix == OPERATOR_PREFIX and _matches(key_entry, secret):
        return Operator(name, key_entry.get("role", "operator"))
    if not operators and bootstrap_digest and _is_bootstrap_key(key, bootstrap_digest):
        return Operator("bootstrap", "operator")
    raise errors.AuthenticationError("the API key is not valid")


def _is_bootstrap_key(key: str, bootstrap_digest: str) -> bool:
    key_digest = hashlib.sha256(key.encode()).hexdigest()
    return hmac.compare_digest(key_digest, bootstrap_digest)


def _matches(key_entry: documents.KeyEntry | None, secret: str) -> bool:
    # Hashes a dummy salt for an unknown name, so that response times don't show
    # which names exist.
    salt = key_entry["salt"] if key_entry else "00" * SALT_BYTES
    digest = key_entry["digest"] if key_entry else "0" * 64
    is_match = hmac.compare_digest(digest_secret(salt, secret), digest)
    is_expired = (
        bool(key_entry) and key_entry.get("expires", float("inf")) < time.time()
    )
    return is_match and key_entry is not None and not is_expired
