"""
Chooses names for a key by rendezvous hashing (Thaler and Ravishankar, 1998).

All entries that know the same names choose the same ones, and a name that is added
or removed changes few choices.

    choose("fleet", ["entry-1", "entry-2", "entry-3"], 2)
"""

import hashlib
from collections import abc


def choose(key: str, names: abc.Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names that rank lowest for a key."""
    return sorted(names, key=lambda name: _rank(key, name))[:count]


def _rank(key: str, name: str) -> bytes:
    return hashlib.sha256(f"{key}/{name}".encode()).digest()
