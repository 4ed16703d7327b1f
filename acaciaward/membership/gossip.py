"""
Knows the entries: each probes a random peer now and then.

A probe and its answer carry what both sides know. A peer that doesn't answer is
suspected, and dead when it hasn't refuted that in time.
"""

import asyncio
import logging
import random
import time
import typing

from acaciaward import errors
from acaciaward.membership import hints, interfaces, messages, transport
from acaciaward.observability import logs

log = logging.getLogger(__name__)

_RANK = {
    interfaces.PeerState.LIVE: 0,
    interfaces.PeerState.SUSPECT: 1,
    interfaces.PeerState.LEAVING: 2,
    interfaces.PeerState.DEAD: 3,
}


class _Known(typing.NamedTuple):
    peer: interfaces.Peer
    location: transport.PeerAddress
    since: float


class GossipMembership:
    """Implements ``interfaces.Membership`` and ``interfaces.PeerNetwork``."""

    def __init__(
        self,
        own: interfaces.Peer,
        location: transport.PeerAddress,
        seeds: list[transport.PeerAddress],
        peer_transport: transport.PeerTransport,
        board: hints.HintBoard,
        *,
        probe_interval_s: float,
        probe_timeout_s: float,
        suspicion_s: float,
        chooser: random.Random | None = None,
    ):
        self._own = own
        self._location = location
        self._seeds = seeds
        self._transport = peer_transport
        self._board = board
        self._probe_interval_s = probe_interval_s
        self._probe_timeout_s = probe_timeout_s
        self._suspicion_s = suspicion_s
        self._random = chooser or random.Random()
        self._known: dict[str, _Known] = {}
        peer_transport.handle("probe", self._answer_probe)

    @property
    def name(self) -> str:
        """The name of this entry."""
        return self._own.name

    def peers(self) -> list[interfaces.Peer]:
        """Return all known entries, this one included."""
        return [self._own, *(known.peer for known in self._known.values())]

    def set_leaving(self) -> None:
        """Tell everyone that this entry leaves."""
        self._own = self._own._replace(
            state=interfaces.PeerState.LEAVING, incarnation=self._own.incarnation + 1
        )

    def set_configuration_version(self, version: int) -> None:
        """Report the version in force here with the next probes."""
        self._own = self._own._replace(configuration_version=version)

    def handle(self, kind: str, handler: interfaces.MessageHandler) -> None:
        """Serve requests of a kind from peers."""
        self._transport.handle(kind, handler)

    async def request(
        self,
        peer: str,
        kind: str,
        body: typing.Mapping[str, typing.Any],
        *,
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        """Ask a peer by name and return its reply."""
        known = self._known.get(peer)
        if known is None:
            raise errors.PeerUnreachableError(f"unknown peer {peer}")
        return await self._transport.request(
            known.location, kind, body, timeout_s=timeout_s
        )

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self._probe_one()
            self._bury_suspects()
            await asyncio.sleep(self._probe_interval_s * self._random.uniform(0.5, 1.5))

    async def spread_now(self) -> None:
        """Probe every known peer once, so that news spread at once."""
        locations = [known.location for known in self._known.values()]
        await asyncio.gather(*(self._probe(location) for location in locations))

    async def _probe_one(self) -> None:
        alive = [
            known.location
            for known in self._known.values()
            if known.peer.state is not interfaces.PeerState.DEAD
        ]
        unmet = [seed for seed in self._seeds if seed not in alive]
        candidates = alive + unmet
        if candidates:
            await self._probe(self._random.choice(candidates))

    async def _probe(self, location: transport.PeerAddress) -> None:
        try:
            answer = await self._transport.request(
                location, "probe", self._news(), timeout_s=self._probe_timeout_s
            )
        except errors.PeerUnreachableError:
            self._suspect(location)
            return
        self._take_news(answer)

    async def _answer_probe(
        self, sender: str, news: dict[str, typing.Any]
    ) -> messages.Gossip:
        self._take_news(news)
        return self._news()

    def _news(self) -> messages.Gossip:
        own = self._fields(self._own, self._location)
        others = [self._fields(k.peer, k.location) for k in self._known.values()]
        return {
            "sender": self._own.name,
            "peers": [own, *others],
            "hints": self._board.to_fields(),
        }

    def _fields(
        self, peer: interfaces.Peer, location: transport.PeerAddress
    ) -> messages.PeerFields:
        fields = peer._asdict() | {"state": peer.state.value}
        return fields | {
            "peer_address": location.address,
            "peer_port": location.port,
        }

    def _take_news(self, news: dict[str, typing.Any]) -> None:
        for fields in news["peers"]:
            self._take_peer(fields)
        for fields in news["hints"]:
            self._board.accept_fields(fields)

    def _take_peer(self, fields: messages.PeerFields) -> None:
        try:
            state = interfaces.PeerState(fields["state"])
        except ValueError:
            return
        kept = {name: fields[name] for name in interfaces.Peer._fields}
        peer = interfaces.Peer(**(kept | {"state": state}))
        if peer.name == self._own.name:
            self._refute(peer)
            return
        held = self._known.get(peer.name)
        if held is not None and not _is_newer(peer, held.peer):
            return
        location = transport.PeerAddress(fields["peer_address"], fields["peer_port"])
        self._known[peer.name] = _Known(peer, location, time.monotonic())
        if held is None or held.peer.state is not peer.state:
            log.info(
                "peer changed", extra=logs.fields(peer=peer.name, state=state.value)
            )

    def _refute(self, rumour: interfaces.Peer) -> None:
        if rumour.incarnation < self._own.incarnation:
            return
        if rumour.state is not self._own.state:
            self._own = self._own._replace(incarnation=rumour.incarnation + 1)

    def _suspect(self, location: transport.PeerAddress) -> None:
        for name, known in self._known.items():
            is_live = known.peer.state is interfaces.PeerState.LIVE
            if known.location == location and is_live:
                peer = known.peer._replace(state=interfaces.PeerState.SUSPECT)
                self._known[name] = _Known(peer, location, time.monotonic())

    def _bury_suspects(self) -> None:
        oldest = time.monotonic() - self._suspicion_s
        for name, known in self._known.items():
            is_suspect = known.peer.state is interfaces.PeerState.SUSPECT
            if is_suspect and known.since < oldest:
                peer = known.peer._replace(state=interfaces.PeerState.DEAD)
                self._known[name] = known._replace(peer=peer)
                log.warning("peer is dead", extra=logs.fields(peer=name))


def _is_newer(peer: interfaces.Peer, held: interfaces.Peer) -> bool:
    ours = (held.incarnation, _RANK[held.state], held.configuration_version)
    theirs = (peer.incarnation, _RANK[peer.state], peer.configuration_version)
    return theirs > ours
