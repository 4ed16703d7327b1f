"""
Knows the entries, by the SWIM protocol, at a constant cost for each entry.

One task probes a neighbour each interval; a silent one is probed through others
before it is suspected, and counts as dead when it has not refuted that in time.
One task sends urgent changes at once within an allowance of bytes, and one
compares digests with a peer now and then, so that nothing is missed for long.
"""

import asyncio
import logging
import random
import time
import typing

from acaciaward import errors
from acaciaward.membership import (
    hints,
    interfaces,
    messages,
    spreading,
    table,
    transport,
)
from acaciaward.observability import logs

log = logging.getLogger(__name__)

MESSAGE_BYTES = 1200
ROUND_S = 0.1
FANOUT = 3
INDIRECT_PROBES = 3
RECONNECT_ROUNDS = 10
MAX_SYNC_HINTS = 2000
SLEPT_FACTOR = 4.0

State = interfaces.PeerState


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
        sync_interval_s: float = 10.0,
        neighbours: int = 12,
        gossip_bytes_per_s: float = 12_000.0,
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
        self._sync_interval_s = sync_interval_s
        self._random = chooser or random.Random()
        self._table = table.PeerTable(own.name, neighbour_count=neighbours)
        self._table.set_listener(self._spread_peer)
        self._updates = spreading.UpdateQueue()
        self._allowance = spreading.ByteAllowance(gossip_bytes_per_s)
        self._turn: list[str] = []
        self._unasked = asyncio.Event()
        board.set_spreader(self._spread_hint)
        peer_transport.handle("probe", self._answer_probe)
        peer_transport.handle("probe_indirect", self._answer_indirect)
        peer_transport.handle("gossip", self._answer_gossip)
        peer_transport.handle("sync", self._answer_sync)

    @property
    def name(self) -> str:
        """The name of this entry."""
        return self._own.name

    def peers(self) -> list[interfaces.Peer]:
        """Return all known entries, this one included."""
        return [self._own, *(known.peer for known in self._table.all())]

    def set_ready(self) -> None:
        """Tell everyone that this entry has a configuration and serves."""
        if self._own.state is State.JOINING:
            self._change_own(State.LIVE)

    def set_leaving(self) -> None:
        """Tell everyone that this entry leaves."""
        self._change_own(State.LEAVING)

    def _change_own(self, state: interfaces.PeerState) -> None:
        incarnation = self._own.incarnation + 1
        self._own = self._own._replace(state=state, incarnation=incarnation)
        self._spread_own(spreading.Priority.URGENT)

    def set_configuration_version(self, version: int) -> None:
        """Report the version in force here with the next probes."""
        self._own = self._own._replace(configuration_version=version)
        self._spread_own(spreading.Priority.BULK)

    def handle(self, kind: str, handler: interfaces.MessageHandler) -> None:
        """Serve requests of a kind from peers."""
        self._transport.handle(kind, handler)

    def notify(
        self, peer: str, kind: str, body: typing.Mapping[str, typing.Any]
    ) -> None:
        """Send a peer a message without reply, if it is known."""
        known = self._table.get(peer)
        if known is not None:
            self._transport.notify(known.location, kind, body)

    async def request(
        self,
        peer: str,
        kind: str,
        body: typing.Mapping[str, typing.Any],
        *,
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        """Ask a peer by name and return its reply."""
        known = self._table.get(peer)
        if known is None:
            raise errors.PeerUnreachableError(f"unknown peer {peer}")
        return await self._transport.request(
            known.location, kind, body, timeout_s=timeout_s
        )

    async def run(self) -> None:
        """Take part until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_probes())
            group.create_task(self._run_rounds())
            group.create_task(self._run_syncs())

    async def spread_now(self) -> None:
        """Probe every neighbour once, so that news spread at once."""
        found = [self._table.get(name) for name in self._table.neighbours()]
        await asyncio.gather(*(self._reach(known.location) for known in found if known))

    async def _run_probes(self) -> None:
        rounds = 0
        while True:
            began = time.monotonic()
            await self._probe_next()
            rounds += 1
            if rounds % RECONNECT_ROUNDS == 0 or not self._table.neighbours():
                await self._reach_lost()
            self._bury_suspects()
            for known in self._table.forget_dead():
                self._transport.forget(known.location)
            pause_s = self._probe_interval_s * self._random.uniform(0.8, 1.2)
            await asyncio.sleep(max(0.0, pause_s - (time.monotonic() - began)))
            self._notice_sleep(began)

    def _notice_sleep(self, began: float) -> None:
        # Whoever was frozen itself must not blame the others for the silence.
        longest_s = self._probe_interval_s + 4 * self._probe_timeout_s
        if time.monotonic() - began > SLEPT_FACTOR * longest_s:
            self._table.renew_suspicions()

    async def _probe_next(self) -> None:
        while self._turn:
            known = self._table.get(self._turn.pop())
            if known is not None and known.peer.state is not State.DEAD:
                await self._probe(known)
                return
        self._turn = list(self._table.neighbours())
        self._random.shuffle(self._turn)

    async def _probe(self, known: table.Known) -> None:
        began = time.monotonic()
        if await self._reach(known.location):
            return
        if await self._reach_indirectly(known.peer.name):
            return
        tried_s = time.monotonic() - began
        if tried_s > SLEPT_FACTOR * 4 * self._probe_timeout_s:
            return
        self._suspect(known)

    def _suspect(self, asked: table.Known) -> None:
        now_known = self._table.get(asked.peer.name)
        is_same = now_known is not None and now_known.peer == asked.peer
        if is_same and asked.peer.state is not State.SUSPECT:
            self._table.worsen(asked.peer.name)

    async def _reach(self, location: transport.PeerAddress) -> bool:
        try:
            answer = await self._transport.request(
                location, "probe", self._news(), timeout_s=self._probe_timeout_s
            )
        except errors.PeerUnreachableError:
            return False
        self._take_news(answer)
        return True

    async def _reach_indirectly(self, target: str) -> bool:
        helpers = [name for name in self._table.neighbours() if name != target]
        chosen = self._random.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        answers = await asyncio.gather(*(self._ask_helper(h, target) for h in chosen))
        return any(answers)

    async def _ask_helper(self, helper: str, target: str) -> bool:
        body: messages.IndirectProbe = {"sender": self.name, "target": target}
        timeout_s = 2 * self._probe_timeout_s
        try:
            answer = await self.request(
                helper, "probe_indirect", body, timeout_s=timeout_s
            )
        except errors.PeerUnreachableError:
            return False
        return answer["reached"]

    async def _reach_lost(self) -> None:
        """Try a seed or dead peer, so that regions that were cut off meet again."""
        known = self._table.all()
        met = {one.location for one in known if one.peer.state is not State.DEAD}
        lost = [one.location for one in known if one.peer.state is State.DEAD]
        met_places = {(place.address, place.port) for place in met}
        lost += [s for s in self._seeds if (s.address, s.port) not in met_places]
        if lost:
            await self._reach(self._random.choice(lost))

    def _bury_suspects(self) -> None:
        oldest = time.monotonic() - self._suspicion_s
        for name in self._table.suspects_since(oldest):
            self._table.worsen(name)
            log.warning("peer is dead", extra=logs.fields(peer=name))

    async def _run_rounds(self) -> None:
        while True:
            if not self._updates.has_urgent:
                self._unasked.clear()
                await self._unasked.wait()
            await self._spread_round()
            await asyncio.sleep(ROUND_S)

    async def _spread_round(self) -> None:
        names = self._table.neighbours()
        for name in self._random.sample(names, min(FANOUT, len(names))):
            if not self._allowance.spend(MESSAGE_BYTES, time.monotonic()):
                return
            known = self._table.get(name)
            if known is not None:
                self._transport.notify(known.location, "gossip", self._news())

    async def _run_syncs(self) -> None:
        while True:
            names = self._table.neighbours()
            if names:
                await self._sync(self._random.choice(names))
                pause_s = self._sync_interval_s * self._random.uniform(0.5, 1.5)
            else:
                pause_s = self._probe_interval_s
            await asyncio.sleep(pause_s)

    async def _sync(self, name: str) -> None:
        body: messages.Sync = {
            "sender": self.name,
            "own": table.to_fields(self._own, self._location),
            "peers_digest": self._table.digest(self._own),
            "hints_digest": self._board.digest(),
        }
        try:
            answer = await self.request(
                name, "sync", body, timeout_s=4 * self._probe_timeout_s
            )
        except errors.PeerUnreachableError:
            return
        self._take_news(answer)

    async def _answer_sync(
        self, sender: str, body: messages.Sync
    ) -> messages.SyncAnswer:
        self._take_peer(body["own"])
        answer: messages.SyncAnswer = {"peers": [], "hints": []}
        if body["peers_digest"] != self._table.digest(self._own):
            known = [(one.peer, one.location) for one in self._table.all()]
            everyone = [(self._own, self._location), *known]
            answer["peers"] = [table.to_fields(*one) for one in everyone]
        if body["hints_digest"] != self._board.digest():
            answer["hints"] = self._board.to_fields(MAX_SYNC_HINTS)
        return answer

    async def _answer_probe(
        self, sender: str, news: messages.Gossip
    ) -> messages.Gossip:
        self._take_news(news)
        return self._news()

    async def _answer_gossip(self, sender: str, news: messages.Gossip) -> None:
        self._take_news(news)

    async def _answer_indirect(
        self, sender: str, body: messages.IndirectProbe
    ) -> messages.IndirectProbeAnswer:
        known = self._table.get(body["target"])
        return {"reached": known is not None and await self._reach(known.location)}

    def _news(self) -> messages.Gossip:
        own = table.to_fields(self._own, self._location)
        news: messages.Gossip = {"sender": self.name, "peers": [own], "hints": []}
        for key, fields in self._updates.take(MESSAGE_BYTES):
            news["peers" if key[0] == "peer" else "hints"].append(fields)
        return news

    def _take_news(self, news: typing.Mapping[str, typing.Any]) -> None:
        for fields in news["peers"]:
            self._take_peer(fields)
        for fields in news["hints"]:
            if not self._board.accept_fields(fields):
                self._transport.count_dropped("hint out of bounds")

    def _take_peer(self, fields: messages.PeerFields) -> None:
        news = table.from_fields(fields)
        if news is None:
            self._transport.count_dropped("peer out of bounds")
        elif news.peer.name == self.name:
            self._refute(news.peer)
        elif not self._table.take(news):
            self._contradict(news.peer)

    def _contradict(self, peer: interfaces.Peer) -> None:
        """Let a peer that speaks, but is held for worse, hear it and refute."""
        held = self._table.get(peer.name)
        is_worse = held is not None and held.peer.state in (State.SUSPECT, State.DEAD)
        if is_worse and peer.state is not held.peer.state:
            self._spread_peer(held)

    def _refute(self, rumour: interfaces.Peer) -> None:
        is_newer = rumour.incarnation > self._own.incarnation
        is_same = rumour.incarnation == self._own.incarnation
        if is_newer or (is_same and rumour.state is not self._own.state):
            self._own = self._own._replace(incarnation=rumour.incarnation + 1)
            self._spread_own(spreading.Priority.URGENT)

    def _spread_own(self, priority: spreading.Priority) -> None:
        fields = table.to_fields(self._own, self._location)
        self._put(("peer", self.name), fields, priority)

    def _spread_peer(self, known: table.Known) -> None:
        fields = table.to_fields(known.peer, known.location)
        self._put(("peer", known.peer.name), fields, spreading.Priority.URGENT)

    def _spread_hint(self, key: tuple, fields: messages.HintFields) -> None:
        self._put(("hint", *key), fields, hints.PRIORITIES[key[0]])

    def _put(
        self, key: tuple, fields: typing.Mapping, priority: spreading.Priority
    ) -> None:
        self._updates.put(key, fields, priority, len(self._table.all()) + 1)
        if priority is spreading.Priority.URGENT:
            self._unasked.set()
