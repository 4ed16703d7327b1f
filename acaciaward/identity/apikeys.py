"""
API keys of organisations and operators.

A key names its owner, so that finding its entry takes one look-up, and ends in
a secret of 256 bits. Only a salted hash of the secret is kept:

    key, entry = make_organisation_key("puzzle-agency", "desk")
    key                # aw-org.puzzle-agency.desk.kX3...
    entry["digest"]    # SHA-256 over salt and secret
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
    """An organisation's authenticated caller; ``role`` is the key's."""

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


def make_entry(role: str) -> tuple[str, documents.KeyEntry]:
    """Return a new secret and the entry that the configuration keeps of it."""
    secret = secrets.token_urlsafe(SECRET_BYTES)
    salt = secrets.token_hex(SALT_BYTES)
    entry = {"salt": salt, "digest": digest_secret(salt, secret), "role": role}
    return secret, entry


def make_organisation_key(
    organisation: str, name: str, role: str = "caller"
) -> tuple[str, documents.KeyEntry]:
    """Return a new key of an organisation and its entry."""
    secret, entry = make_entry(role)
    return f"{ORGANISATION_PREFIX}.{organisation}.{name}.{secret}", entry


def make_operator_key(
    name: str, role: str = "operator"
) -> tuple[str, documents.KeyEntry]:
    """Return a new key of an operator and its entry."""
    secret, entry = make_entry(role)
    return f"{OPERATOR_PREFIX}.{name}.{secret}", entry


def authenticate_caller(document: documents.Document, key: str) -> Caller:
    """
    Return who the key belongs to.

    Raises ``AuthenticationError`` for every key that isn't valid, without
    saying which part of it is wrong, and ``PermissionDeniedError`` for a
    suspended organisation.
    """
    prefix, _, rest = key.partition(".")
    organisation, _, rest = rest.partition(".")
    name, _, secret = rest.partition(".")
    known = document.get("organisations", {}).get(organisation, {})
    entry = known.get("keys", {}).get(name)
    if prefix != ORGANISATION_PREFIX or not _matches(entry, secret):
        raise errors.AuthenticationError("the API key is not valid")
    if known.get("suspended"):
        raise errors.PermissionDeniedError("the organisation is suspended")
    return Caller(organisation, name, entry.get("role", "caller"))


def authenticate_operator(
    document: documents.Document, key: str, bootstrap_digest: str | None
) -> Operator:
    """
    Return the operator that the key belongs to.

    The bootstrap key counts only while the configuration names no operator.
    """
    prefix, _, rest = key.partition(".")
    name, _, secret = rest.partition(".")
    operators = document.get("operators", {})
    entry = operators.get(name)
    if prefix == OPERATOR_PREFIX and _matches(entry, secret):
        return Operator(name, entry.get("role", "operator"))
    if not operators and bootstrap_digest and _is_bootstrap(key, bootstrap_digest):
        return Operator("bootstrap", "operator")
    raise errors.AuthenticationError("the API key is not valid")


def _is_bootstrap(key: str, digest: str) -> bool:
    given = hashlib.sha256(key.encode()).hexdigest()
    return hmac.compare_digest(given, digest)


def _matches(entry: documents.KeyEntry | None, secret: str) -> bool:
    # An unknown name costs the same hash as a known one, so that timing does
    # not tell them apart.
    salt = entry["salt"] if entry else "00" * SALT_BYTES
    digest = entry["digest"] if entry else "0" * 64
    is_same = hmac.compare_digest(digest_secret(salt, secret), digest)
    is_expired = bool(entry) and entry.get("expires", float("inf")) < time.time()
    return is_same and entry is not None and not is_expired
