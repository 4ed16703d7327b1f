"""The paths and bodies of the questions that callers and the platform ask entries."""

from collections import abc

import msgspec

READY_PATH = "/api/readyz"
DISCOVERY_PATH = "/api/resolve"
# The most entries that an answer of discovery holds.
MAX_ENTRIES = 64


def encode_entries(places: abc.Sequence[str], lifetime_s: float) -> bytes:
    """Return the body of an answer of discovery: where to connect, and for how long."""
    return msgspec.json.encode(
        {"Addresses": list(places[:MAX_ENTRIES]), "TtlS": lifetime_s}
    )
