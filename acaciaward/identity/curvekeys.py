"""
CURVE key pairs of entries, in ZeroMQ's Z85 text form.

    pair = make_pair()
    len(pair.public_key)    # 40 characters
"""

import typing

import zmq


class KeyPair(typing.NamedTuple):
    """A pair as the settings hold it under ``peers``."""

    public_key: str
    secret_key: str


def make_pair() -> KeyPair:
    """Return a new key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


def public_key_of(secret_key: str) -> str:
    """Return the public key that belongs to a secret one."""
    return zmq.curve_public(secret_key.encode()).decode()
