"""
Lists the entries that callers should use.

An answer lists live entries only, those of the caller's data centre first. Their
order is random in each answer, which spreads callers over them. The answer also
says how long it is valid.
"""

import random
import typing

from acaciaward.membership import interfaces

MAX_ENTRIES = 16


class EntryAddress(typing.TypedDict):
    """One entry as callers see it."""

    name: str
    address: str
    port: int
    data_centre: str


class EntriesAnswer(typing.TypedDict):
    """The answer of ``GET /v1/entries``, valid for ``lifetime_s`` seconds."""

    entries: list[EntryAddress]
    lifetime_s: float


class Discovery:
    """Lists the entries that callers should connect to."""

    def __init__(
        self,
        membership: interfaces.Membership,
        *,
        lifetime_s: float,
        rng: random.Random | None = None,
    ):
        self._membership = membership
        self._lifetime_s = lifetime_s
        self._random = rng or random.Random()

    def answer(self, data_centre: str | None = None) -> EntriesAnswer:
        """Return live entries, those of ``data_centre`` first."""
        live = [
            peer
            for peer in self._membership.peers()
            if peer.state is interfaces.PeerState.LIVE
        ]
        self._random.shuffle(live)
        live.sort(key=lambda peer: peer.data_centre != data_centre)
        entries: list[EntryAddress] = [
            {
                "name": peer.name,
                "address": peer.address,
                "port": peer.port,
                "data_centre": peer.data_centre,
            }
            for peer in live[:MAX_ENTRIES]
        ]
        return {"entries": entries, "lifetime_s": self._lifetime_s}
