"""
Selects the subset of endpoints that one entry uses, spread over the data centres.

Each entry ranks the endpoints of each data centre by rendezvous hashing and picks
from the data centres in rotation, its own first. Adding or removing an endpoint
changes only its own place in the subsets.

    choose_subset("entry-1", "dc-1", endpoints, size=16)
"""

import hashlib
from collections import abc

from acaciaward import requests


def rendezvous_weight(entry: str, endpoint: str) -> int:
    """Return the rendezvous weight (Thaler and Ravishankar) of an endpoint."""
    digest = hashlib.blake2b(f"{entry}|{endpoint}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose_subset(
    entry: str,
    data_centre: str,
    endpoints: abc.Sequence[requests.Endpoint],
    *,
    size: int,
) -> list[requests.Endpoint]:
    """Return at most ``size`` endpoints, spread over the data centres."""
    if len(endpoints) <= size:
        return list(endpoints)
    ranked = sorted(
        endpoints,
        key=lambda endpoint: rendezvous_weight(entry, endpoint.name),
        reverse=True,
    )
    counts: dict[str, int] = {}
    candidates = []
    for endpoint in ranked:
        position = counts.get(endpoint.data_centre, 0)
        counts[endpoint.data_centre] = position + 1
        is_elsewhere = endpoint.data_centre != data_centre
        candidates.append((position, is_elsewhere, endpoint.data_centre, endpoint))
    candidates.sort(key=lambda candidate: candidate[:3])
    return [candidate[3] for candidate in candidates[:size]]
