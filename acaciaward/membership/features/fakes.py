"""An in-memory network with partitions, frozen entries and counters, for tests."""

import asyncio
import collections
import random

import msgspec

from acaciaward import errors
from acaciaward.membership import gossip, hints, interfaces, transport

LIVE = interfaces.PeerState.LIVE
DEAD = interfaces.PeerState.DEAD


class Network:
    """Blocked directions between nodes, frozen nodes, and counts of what was sent."""

    def __init__(self):
        self.nodes = {}
        self.blocked = set()
        self.frozen = {}
        self.messages = collections.Counter()
        self.bytes = collections.Counter()

    def is_deliverable(self, sender, receiver):
        return (sender, receiver) not in self.blocked and receiver not in self.frozen


class NodeTransport:
    """Implements the part of ``PeerTransport`` that gossip uses."""

    def __init__(self, name, listen_address, network):
        self.name = name
        self.handlers = {}
        self.dropped = 0
        self._network = network
        self._tasks = set()
        network.nodes[listen_address] = self

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def forget(self, peer_address):
        pass

    def count_dropped(self, reason):
        self.dropped += 1

    def _count(self, name, body):
        self._network.messages[name] += 1
        self._network.bytes[name] += len(msgspec.msgpack.encode(body))

    async def request(self, peer_address, kind, body, *, timeout_s):
        await self._wait_while_frozen()
        self._count(self.name, body)
        node = self._network.nodes.get(peer_address)
        if node is None or not self._network.is_deliverable(self.name, node.name):
            await asyncio.sleep(timeout_s)
            await self._wait_while_frozen()
            raise errors.PeerUnreachableError(peer_address.url)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await node.handlers[kind](self.name, _copy(body))
        except TimeoutError as error:
            raise errors.PeerUnreachableError(peer_address.url) from error
        if answer is None or not self._network.is_deliverable(node.name, self.name):
            await asyncio.sleep(timeout_s)
            await self._wait_while_frozen()
            raise errors.PeerUnreachableError(peer_address.url)
        self._count(node.name, answer)
        return _copy(answer)

    def notify(self, peer_address, kind, body):
        self._count(self.name, body)
        node = self._network.nodes.get(peer_address)
        if node is not None and self._network.is_deliverable(self.name, node.name):
            coroutine = node.handlers[kind](self.name, _copy(body))
            task = asyncio.ensure_future(coroutine)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _wait_while_frozen(self):
        thawed = self._network.frozen.get(self.name)
        if thawed is not None:
            await thawed.wait()


def _copy(body):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(body))


class Cluster:
    """Entries of one system; each knows the first as its seed."""

    def __init__(self, interval_scale=1.0):
        self.network = Network()
        self.interval_scale = interval_scale
        self.entries = {}
        self.hint_tables = {}
        self.tasks = {}
        self.listen_addresses = {}
        self.incarnations = collections.Counter()

    def start(self, name, region="north"):
        number = int(name.rpartition("-")[2])
        listen_address = transport.PeerAddress("127.0.0.1", 10_000 + number)
        self.listen_addresses[name] = listen_address
        self.incarnations[name] += 100
        own = interfaces.Peer(
            name,
            "127.0.0.1",
            8000 + number,
            listen_address.port,
            f"dc-{number % 3}",
            region,
            self.incarnations[name],
            LIVE,
            0,
        )
        hint_table = hints.HintTable(name)
        entry = gossip.GossipMembership(
            own,
            listen_address,
            [transport.PeerAddress("127.0.0.1", 10_001)] if number != 1 else [],
            NodeTransport(name, listen_address, self.network),
            hint_table,
            probe_interval_s=0.5 * self.interval_scale,
            probe_timeout_s=0.4 * self.interval_scale,
            suspicion_timeout_s=2.0 * self.interval_scale,
            sync_interval_s=10.0 * self.interval_scale,
            rng=random.Random(number),
        )
        self.entries[name] = entry
        self.hint_tables[name] = hint_table
        self.tasks[name] = asyncio.create_task(entry.run())

    async def kill(self, name):
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        del self.entries[name]
        del self.network.nodes[self.listen_addresses[name]]

    async def stop(self):
        for name in list(self.entries):
            await self.kill(name)

    def states(self, subject):
        """Return the state of one entry as every other entry knows it."""
        states_by_entry = {}
        for name, entry in self.entries.items():
            if name != subject:
                known = {peer.name: peer.state for peer in entry.peers()}
                states_by_entry[name] = known.get(subject)
        return states_by_entry

    def all_live(self):
        names = set(self.entries)
        return all(
            {peer.name for peer in entry.peers() if peer.state is LIVE} == names
            for entry in self.entries.values()
        )

    async def wait_until(self, condition, timeout_s=15.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)
