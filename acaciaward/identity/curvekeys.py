"""
Creates CURVE key pairs for entries, in ZeroMQ's Z85 text encoding.

    pair = make_pair()
    len(pair.public_key)    # 40 characters
"""

import typing

import zmq

DEFAULT_PEER_ADDRESS = "127.0.0.1"


class KeyPair(typing.NamedTuple):
    """A key pair with the field names of the settings under ``peers``."""

    public_key: str
    secret_key: str


def make_pair() -> KeyPair:
    """Return a new key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


def public_key_of(secret_key: str) -> str:
    """Return the public key that belongs to a secret one."""
    return zmq.curve_public(secret_key.encode()).decode()


def exchange_public_keys(
    files: list[dict[str, typing.Any]], *, prune: bool = False
) -> None:
    """
    Change the settings in ``files`` so that their entries accept each other's keys.

    Settings without a key pair get a new one, and seeds that are among these entries
    get their public keys. With ``prune``, allowed keys of other entries are removed.
    """
    public_keys: dict[tuple[str, int], str] = {}
    for settings in files:
        peers = settings.setdefault("peers", {})
        if not peers.get("secret_key"):
            peers |= make_pair()._asdict()
        peers["public_key"] = public_key_of(peers["secret_key"])
        public_keys[
            peers.get("address", DEFAULT_PEER_ADDRESS), peers.get("port", 0)
        ] = peers["public_key"]
    for settings in files:
        peers = settings["peers"]
        allowed_keys = set() if prune else set(peers.get("allowed_public_keys", []))
        peers["allowed_public_keys"] = sorted(allowed_keys | set(public_keys.values()))
        for seed in peers.get("seeds", []):
            address = (seed["address"], seed["port"])
            seed["public_key"] = public_keys.get(address, seed.get("public_key"))
