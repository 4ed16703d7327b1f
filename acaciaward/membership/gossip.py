"""
Tracks the entries by the SWIM protocol, at a constant cost for each entry.

One task probes a neighbour each interval. One that doesn't answer is probed
through other peers, then suspected, and considered dead if it doesn't refute the
suspicion in time. A second task sends urgent updates at once, limited in bytes
per second. A third compares digests with a random neighbour from time to time,
so that an entry doesn't lack an update for long.
"""

import asyncio
import logging
import random
import time
import typing
from collections import abc

from acaciaward import errors
from acaciaward.membership import (
    dissemination,
    hints,
    interfaces,
    messages,
    peertable,
    transport,
)
from acaciaward.observability import logs

log = logging.getLogger(__name__)

MESSAGE_BUDGET_BYTES = 1200
GOSSIP_INTERVAL_S = 0.1
FANOUT = 3
INDIRECT_PROBES = 3
RECONNECT_INTERVAL_ROUNDS = 10
MAX_SYNC_HINTS = 2000
# If a step takes this many times its longest regular duration, this process is
# assumed to have been paused.
PROCESS_PAUSE_FACTOR = 4.0

State = interfaces.PeerState


class GossipMembership:
    """Implements ``interfaces.Membership`` and ``interfaces.PeerNetwork``."""

    def __init__(
        self,
        own_peer: interfaces.Peer,
        listen_address: transport.PeerAddress,
        seeds: list[transport.PeerAddress],
        peer_transport: transport.PeerTransport,
        hint_table: hints.HintTable,
        *,
        probe_interval_s: float,
        probe_timeout_s: float,
        suspicion_timeout_s: float,
        sync_interval_s: float = 10.0,
        neighbour_count: int = 12,
        gossip_bytes_per_s: float = 12_000.0,
        rng: random.Random | None = None,
    ):
        self._own_peer = own_peer
        self._listen_address = listen_address
        self.set_seeds(seeds)
        self._transport = peer_transport
        self._hint_table = hint_table
        self._probe_interval_s = probe_interval_s
        self._probe_timeout_s = probe_timeout_s
        self._suspicion_timeout_s = suspicion_timeout_s
        self._sync_interval_s = sync_interval_s
        self._rng = rng or random.Random()
        self._table = peertable.PeerTable(
            own_peer.name, neighbour_count=neighbour_count
        )
        self._table.set_listener(self._queue_peer)
        self._updates = dissemination.UpdateQueue()
        self._rate_limiter = dissemination.ByteRateLimiter(gossip_bytes_per_s)
        self._probe_order: list[str] = []
        self._urgent_queued = asyncio.Event()
        hint_table.set_gossip_callback(self._queue_hint)
        peer_transport.handle("probe", self._answer_probe)
        peer_transport.handle("probe_indirect", self._answer_indirect)
        peer_transport.handle("gossip", self._answer_gossip)
        peer_transport.handle("sync", self._answer_sync)

    @property
    def name(self) -> str:
        """The name of this entry."""
        return self._own_peer.name

    @property
    def own_fields(self) -> messages.PeerFields:
        """This entry in the form of messages."""
        return peertable.to_fields(self._own_peer, self._listen_address)

    def peers(self) -> list[interfaces.Peer]:
        """Return all known entries, this one included."""
        return [self._own_peer, *(record.peer for record in self._table.all())]

    def set_seeds(self, seeds: abc.Iterable[transport.PeerAddress]) -> None:
        """Replace the addresses at which others are looked for; its own is left out."""
        own = self._listen_address[:2]
        self._seeds = [seed for seed in seeds if seed[:2] != own]

    async def join(self, record: peertable.PeerRecord) -> bool:
        """Exchange what both know with an entry; return whether it was reached."""
        if record.listen_address[:2] == self._listen_address[:2]:
            return False
        if not await self._probe_address(record.listen_address):
            return False
        await self._sync(record.peer.name)
        return True

    def set_ready(self) -> None:
        """Announce that this entry has a configuration and serves callers."""
        if self._own_peer.state is State.JOINING:
            self._set_own_state(State.LIVE)

    def set_leaving(self) -> None:
        """Announce that this entry is leaving."""
        self._set_own_state(State.LEAVING)

    def _set_own_state(self, state: interfaces.PeerState) -> None:
        incarnation = self._own_peer.incarnation + 1
        self._own_peer = self._own_peer._replace(state=state, incarnation=incarnation)
        self._queue_own_peer(dissemination.Priority.URGENT)

    def set_detour_port(self, port: int) -> None:
        """Set where this entry takes the calls of peers, before it is ready."""
        self._own_peer = self._own_peer._replace(detour_port=port)

    def set_isolated(self, is_isolated: bool) -> None:
        """Announce whether this entry is cut off from endpoints, if that changed."""
        if self._own_peer.is_isolated != is_isolated:
            self._own_peer = self._own_peer._replace(is_isolated=is_isolated)
            self._set_own_state(self._own_peer.state)

    def set_counted(self, count: int) -> None:
        """Announce how many entries there are if the store shows others, else 0."""
        count = min(count, peertable.MAX_PEERS)
        if self._own_peer.counted != count:
            self._own_peer = self._own_peer._replace(counted=count)
            self._set_own_state(self._own_peer.state)

    def set_configuration_version(self, version: int) -> None:
        """Announce the configuration version in force here with the next probes."""
        self._own_peer = self._own_peer._replace(configuration_version=version)
        self._queue_own_peer(dissemination.Priority.BULK)

    def handle(self, kind: str, handler: interfaces.MessageHandler) -> None:
        """Serve requests of a kind from peers."""
        self._transport.handle(kind, handler)

    def notify(
        self, peer: str, kind: str, body: typing.Mapping[str, typing.Any]
    ) -> None:
        """Send a message without reply to a peer, if it is known."""
        record = self._table.get(peer)
        if record is not None:
            self._transport.notify(record.listen_address, kind, body)

    async def request(
        self,
        peer: str,
        kind: str,
        body: typing.Mapping[str, typing.Any],
        *,
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        """Send a request to a peer by name and return its reply."""
        record = self._table.get(peer)
        if record is None:
            raise errors.PeerUnreachableError(f"unknown peer {peer}")
        return await self._transport.request(
            record.listen_address, kind, body, timeout_s=timeout_s
        )

    async def run(self) -> None:
        """Run the protocol until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_probes())
            group.create_task(self._run_gossip_rounds())
            group.create_task(self._run_syncs())

    async def send_updates_now(self) -> None:
        """Probe every neighbour once now; the probes carry the queued updates."""
        records = [self._table.get(name) for name in self._table.neighbours()]
        await asyncio.gather(
            *(
                self._probe_address(record.listen_address)
                for record in records
                if record
            )
        )

    async def _run_probes(self) -> None:
        rounds = 0
        while True:
            started_at = time.monotonic()
            await self._probe_next()
            rounds += 1
            if rounds % RECONNECT_INTERVAL_ROUNDS == 0 or not self._table.neighbours():
                await self._probe_lost_peers()
            self._expire_suspects()
            for record in self._table.remove_long_dead():
                self._transport.forget(record.listen_address)
            interval_s = self._probe_interval_s * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(max(0.0, interval_s - (time.monotonic() - started_at)))
            self._detect_process_pause(started_at)

    def _detect_process_pause(self, started_at: float) -> None:
        # If this process was paused, missing answers say nothing about the peers.
        longest_round_s = self._probe_interval_s + 4 * self._probe_timeout_s
        if time.monotonic() - started_at > PROCESS_PAUSE_FACTOR * longest_round_s:
            self._table.restart_suspicion_timers()

    async def _probe_next(self) -> None:
        while self._probe_order:
            record = self._table.get(self._probe_order.pop())
            if record is not None and record.peer.state is not State.DEAD:
                await self._probe_peer(record)
                return
        self._probe_order = list(self._table.neighbours())
        self._rng.shuffle(self._probe_order)

    async def _probe_peer(self, record: peertable.PeerRecord) -> None:
        started_at = time.monotonic()
        if await self._probe_address(record.listen_address):
            return
        if await self._probe_indirectly(record.peer.name):
            return
        elapsed_s = time.monotonic() - started_at
        if elapsed_s > PROCESS_PAUSE_FACTOR * 4 * self._probe_timeout_s:
            return
        self._suspect(record)

    def _suspect(self, probed: peertable.PeerRecord) -> None:
        current = self._table.get(probed.peer.name)
        is_unchanged = current is not None and current.peer == probed.peer
        if is_unchanged and probed.peer.state is not State.SUSPECT:
            self._table.downgrade(probed.peer.name)

    async def _probe_address(self, address: transport.PeerAddress) -> bool:
        try:
            answer = await self._transport.request(
                address, "probe", self._next_gossip(), timeout_s=self._probe_timeout_s
            )
        except errors.PeerUnreachableError:
            return False
        self._apply_gossip(answer)
        return True

    async def _probe_indirectly(self, target: str) -> bool:
        helpers = [name for name in self._table.neighbours() if name != target]
        chosen = self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        answers = await asyncio.gather(
            *(self._request_indirect_probe(helper, target) for helper in chosen)
        )
        return any(answers)

    async def _request_indirect_probe(self, helper: str, target: str) -> bool:
        body: messages.IndirectProbe = {"sender": self.name, "target": target}
        timeout_s = 2 * self._probe_timeout_s
        try:
            answer = await self.request(
                helper, "probe_indirect", body, timeout_s=timeout_s
            )
        except errors.PeerUnreachableError:
            return False
        return answer["reached"]

    async def _probe_lost_peers(self) -> None:
        """Probe a dead peer or an unknown seed, so that partitioned regions rejoin."""
        records = self._table.all()
        alive = {
            record.listen_address
            for record in records
            if record.peer.state is not State.DEAD
        }
        lost = [
            record.listen_address
            for record in records
            if record.peer.state is State.DEAD
        ]
        alive_hosts = {(address.address, address.port) for address in alive}
        lost += [s for s in self._seeds if (s.address, s.port) not in alive_hosts]
        if lost:
            await self._probe_address(self._rng.choice(lost))

    def _expire_suspects(self) -> None:
        cutoff = time.monotonic() - self._suspicion_timeout_s
        for name in self._table.suspects_before(cutoff):
            self._table.downgrade(name)
            log.warning("peer considered dead", extra=logs.fields(peer=name))

    async def _run_gossip_rounds(self) -> None:
        while True:
            if not self._updates.has_urgent:
                self._urgent_queued.clear()
                await self._urgent_queued.wait()
            await self._send_gossip_round()
            await asyncio.sleep(GOSSIP_INTERVAL_S)

    async def _send_gossip_round(self) -> None:
        names = self._table.neighbours()
        for name in self._rng.sample(names, min(FANOUT, len(names))):
            if not self._rate_limiter.try_consume(
                MESSAGE_BUDGET_BYTES, time.monotonic()
            ):
                return
            record = self._table.get(name)
            if record is not None:
                self._transport.notify(
                    record.listen_address, "gossip", self._next_gossip()
                )

    async def _run_syncs(self) -> None:
        while True:
            names = self._table.neighbours()
            if names:
                await self._sync(self._rng.choice(names))
                interval_s = self._sync_interval_s * self._rng.uniform(0.5, 1.5)
            else:
                interval_s = self._probe_interval_s
            await asyncio.sleep(interval_s)

    async def _sync(self, name: str) -> None:
        body: messages.Sync = {
            "sender": self.name,
            "own": self.own_fields,
            "peers_digest": self._table.digest(self._own_peer),
            "hints_digest": self._hint_table.digest(),
        }
        try:
            answer = await self.request(
                name, "sync", body, timeout_s=4 * self._probe_timeout_s
            )
        except errors.PeerUnreachableError:
            return
        self._apply_gossip(answer)

    async def _answer_sync(
        self, sender: str, body: messages.Sync
    ) -> messages.SyncAnswer:
        self._apply_peer(body["own"])
        answer: messages.SyncAnswer = {"peers": [], "hints": []}
        if body["peers_digest"] != self._table.digest(self._own_peer):
            others = [
                (record.peer, record.listen_address) for record in self._table.all()
            ]
            everyone = [(self._own_peer, self._listen_address), *others]
            answer["peers"] = [peertable.to_fields(*pair) for pair in everyone]
        if body["hints_digest"] != self._hint_table.digest():
            answer["hints"] = self._hint_table.non_bulk_fields(MAX_SYNC_HINTS)
        return answer

    async def _answer_probe(
        self, sender: str, message: messages.Gossip
    ) -> messages.Gossip:
        self._apply_gossip(message)
        return self._next_gossip()

    async def _answer_gossip(self, sender: str, message: messages.Gossip) -> None:
        self._apply_gossip(message)

    async def _answer_indirect(
        self, sender: str, body: messages.IndirectProbe
    ) -> messages.IndirectProbeAnswer:
        record = self._table.get(body["target"])
        return {
            "reached": record is not None
            and await self._probe_address(record.listen_address)
        }

    def _next_gossip(self) -> messages.Gossip:
        message: messages.Gossip = {
            "sender": self.name,
            "peers": [self.own_fields],
            "hints": [],
        }
        for key, fields in self._updates.next_batch(MESSAGE_BUDGET_BYTES):
            message["peers" if key[0] == "peer" else "hints"].append(fields)
        return message

    def _apply_gossip(self, message: typing.Mapping[str, typing.Any]) -> None:
        for fields in message["peers"]:
            self._apply_peer(fields)
        for fields in message["hints"]:
            if not self._hint_table.accept_fields(fields):
                self._transport.count_dropped("hint out of bounds")

    def _apply_peer(self, fields: messages.PeerFields) -> None:
        update = peertable.from_fields(fields)
        if update is None:
            self._transport.count_dropped("peer out of bounds")
        elif update.peer.name == self.name:
            self._refute(update.peer)
        elif not self._table.merge(update):
            self._prompt_refutation(update.peer)

    def _prompt_refutation(self, peer: interfaces.Peer) -> None:
        """Spread that a peer is suspect or dead here, so that it can refute this."""
        record = self._table.get(peer.name)
        is_worse = record is not None and record.peer.state in (
            State.SUSPECT,
            State.DEAD,
        )
        if is_worse and peer.state is not record.peer.state:
            self._queue_peer(record)

    def _refute(self, reported: interfaces.Peer) -> None:
        is_newer = reported.incarnation > self._own_peer.incarnation
        is_same_incarnation = reported.incarnation == self._own_peer.incarnation
        if is_newer or (
            is_same_incarnation and reported.state is not self._own_peer.state
        ):
            self._own_peer = self._own_peer._replace(
                incarnation=reported.incarnation + 1
            )
            self._queue_own_peer(dissemination.Priority.URGENT)

    def _queue_own_peer(self, priority: dissemination.Priority) -> None:
        self._queue_update(("peer", self.name), self.own_fields, priority)

    def _queue_peer(self, record: peertable.PeerRecord) -> None:
        fields = peertable.to_fields(record.peer, record.listen_address)
        self._queue_update(
            ("peer", record.peer.name), fields, dissemination.Priority.URGENT
        )

    def _queue_hint(self, key: tuple, fields: messages.HintFields) -> None:
        self._queue_update(("hint", *key), fields, hints.PRIORITIES[key[0]])

    def _queue_update(
        self, key: tuple, fields: typing.Mapping, priority: dissemination.Priority
    ) -> None:
        self._updates.put(key, fields, priority, len(self._table.all()) + 1)
        if priority is dissemination.Priority.URGENT:
            self._urgent_queued.set()
