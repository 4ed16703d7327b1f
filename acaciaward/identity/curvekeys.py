"""
CURVE key pairs of entries, in ZeroMQ's Z85 text form.

    pair = make_pair()
    len(pair.public_key)    # 40 characters
"""

import typing

import zmq

LOOPBACK = "127.0.0.1"


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


def share(files: list[dict[str, typing.Any]], *, prune: bool = False) -> None:
    """
    Let the entries of several settings files connect to each other.

    A file without a pair gets one. Seeds that are entries of these files get
    their public keys. With ``prune`` keys of no file are disallowed.
    """
    own: dict[tuple[str, int], str] = {}
    for settings in files:
        peers = settings.setdefault("peers", {})
        if not peers.get("secret_key"):
            peers |= make_pair()._asdict()
        peers["public_key"] = public_key_of(peers["secret_key"])
        own[peers.get("address", LOOPBACK), peers.get("port", 0)] = peers["public_key"]
    for settings in files:
        peers = settings["peers"]
        known = set() if prune else set(peers.get("allowed_public_keys", []))
        peers["allowed_public_keys"] = sorted(known | set(own.values()))
        for seed in peers.get("seeds", []):
            place = (seed["address"], seed["port"])
            seed["public_key"] = own.get(place, seed.get("public_key"))
