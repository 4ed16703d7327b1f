"""Paths and bodies of the readiness and discovery requests that entries answer."""

from collections import abc

import msgspec

READY_PATH = "/api/readyz"
DISCOVERY_PATH = "/api/resolve"
# Per discovery answer.
MAX_ENTRIES = 64


def encode_entries(addresses: abc.Sequence[str], lifetime_s: float) -> bytes:
    """Return the body of a discovery answer with entries as ``IP:PORT``."""
    return msgspec.json.encode(
        {"Addresses": list(addresses[:MAX_ENTRIES]), "TtlS": lifetime_s}
    )
