"""
The subset of endpoints that one entry uses: deterministic, and spread.

Each entry ranks the endpoints of each data centre by rendezvous hashing and
takes them in turn, its own data centre first. An endpoint that comes or goes
changes only its own place in the subsets.

    choose_subset("entry-1", "dc-1", endpoints, size=16)
"""

import hashlib
from collections import abc

from acaciaward import requests


def rendezvous_weight(entry: str, endpoint: str) -> int:
    """Return the weight of an endpoint for an entry (Thaler and Ravishankar)."""
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
    turns: dict[str, int] = {}
    places = []
    for endpoint in ranked:
        turn = turns.get(endpoint.data_centre, 0)
        turns[endpoint.data_centre] = turn + 1
        is_elsewhere = endpoint.data_centre != data_centre
        places.append((turn, is_elsewhere, endpoint.data_centre, endpoint))
    places.sort(key=lambda place: place[:3])
    return [place[3] for place in places[:size]]
