"""
Gets the configuration from other entries.

An entry whose reader has a newer configuration requests it from a peer, so that only
readers read the store. The entries of a data centre form a tree with the reader as its
root, in which nobody sends the record to more than ``CHILDREN`` others: 25 entries that
all asked a reader with a link of 5 Mbit/s for 40 KB would wait for 1.6 s.

The store may also turn single entries away while it serves the others and the operator.
Gossip tells which version is in force at each entry; one that is newer elsewhere for
longer than a read takes is requested from there.
"""

import asyncio
import logging
import random
import time
import zlib

from acaciaward import errors
from acaciaward.catalogue import messages, storeview
from acaciaward.membership import gossip, interfaces, rendezvous
from acaciaward.observability import logs

log = logging.getLogger(__name__)

State = interfaces.PeerState

CHECK_INTERVAL_S = 0.25
# A configuration that is newer elsewhere for this long isn't expected from the store.
FETCH_DELAY_S = 0.75
REQUEST_TIMEOUT_S = 0.5
# Peers that are asked one after the other before the next check.
MAX_REQUESTS = 3
# Entries that ask the same peer for a new version.
CHILDREN = 4
# How long a peer waits for a version that it lacks itself; shorter than its child does.
HOLD_S = 0.4
HOLD_CHECK_INTERVAL_S = 0.02
MAX_RECORD_BYTES = 64 * 1024 * 1024


class PeerFetcher:
    """Serves the configuration to peers, and requests it where it is newer."""

    def __init__(
        self,
        membership: gossip.GossipMembership,
        store_view: storeview.StoreView,
        *,
        data_centre: str,
        rng: random.Random | None = None,
    ):
        self._membership = membership
        self._store_view = store_view
        self._data_centre = data_centre
        self._random = rng or random.Random()
        self._behind_since: float | None = None
        # The record that was compressed last, with the result.
        self._compressed: tuple[bytes, bytes] = (b"", zlib.compress(b""))
        membership.handle("configuration_record", self._answer)

    async def run(self) -> None:
        """Check for newer versions until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            try:
                await self.check()
            except Exception as error:
                # Whatever one peer answers, the next check is needed.
                log.error("getting a configuration failed", exc_info=error)

    async def run_relayed(self) -> None:
        """Request what the reader has newer, whenever a relay says so."""
        while True:
            await self._store_view.outdated.wait()
            try:
                await self.fetch_relayed()
            except Exception as error:
                # Whatever one peer answers, the next version is needed.
                log.error("getting a configuration failed", exc_info=error)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def fetch_relayed(self) -> None:
        """Request the configuration from this entry's parent, then from the reader."""
        for name in self._find_sources():
            if not self._store_view.outdated.is_set() or await self._fetch(name):
                return

    def _find_sources(self) -> list[str]:
        names = {
            peer.name
            for peer in self._membership.peers()
            if peer.data_centre == self._data_centre
            and peer.state in (State.LIVE, State.LEAVING)
        } | {self._membership.name}
        # The first one is the reader that all entries choose.
        ranked = rendezvous.choose("reader", names, len(names))
        rank = ranked.index(self._membership.name)
        if rank == 0:
            return []
        parent = ranked[(rank - 1) // CHILDREN]
        return list(dict.fromkeys([parent, ranked[0]]))

    async def check(self) -> None:
        """Request the configuration if it has been newer elsewhere for long enough."""
        newer_peers = self._find_newer_peers()
        if not newer_peers:
            self._behind_since = None
            return
        now = time.monotonic()
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < FETCH_DELAY_S:
            return
        for peer in newer_peers[:MAX_REQUESTS]:
            if await self._fetch(peer.name):
                return

    def _find_newer_peers(self) -> list[interfaces.Peer]:
        """Return the entries with a newer version, first those nearby."""
        version = self._store_view.catalogue.version
        newer_peers = [
            peer
            for peer in self._membership.peers()
            if peer.configuration_version > version
            and peer.state in (State.LIVE, State.LEAVING)
        ]
        self._random.shuffle(newer_peers)
        newer_peers.sort(key=lambda peer: peer.data_centre != self._data_centre)
        return newer_peers

    async def _fetch(self, name: str) -> bool:
        before = self._store_view.catalogue.version
        try:
            answer = await self._membership.request(
                name,
                "configuration_record",
                {"sender": self._membership.name, "newer_than": before},
                timeout_s=REQUEST_TIMEOUT_S,
            )
            if answer["data"] is not None:
                self._store_view.receive_configuration(_decompress(answer["data"]))
        except (errors.PeerUnreachableError, zlib.error) as error:
            log.info(
                "could not get the configuration from a peer",
                extra=logs.fields(peer=name, reason=error),
            )
        return self._store_view.catalogue.version > before

    async def _answer(self, sender: str, body: dict) -> messages.ConfigurationAnswer:
        newer_than = body.get("newer_than")
        if newer_than is not None:
            await self._wait_for_newer(newer_than)
        version = self._store_view.catalogue.version
        data = self._store_view.configuration_data
        if data is None or (newer_than is not None and version <= newer_than):
            return {"version": version, "data": None}
        if self._compressed[0] is not data:
            self._compressed = (data, zlib.compress(data))
        return {"version": version, "data": self._compressed[1]}

    async def _wait_for_newer(self, version: int) -> None:
        deadline = time.monotonic() + HOLD_S
        while (
            self._store_view.catalogue.version <= version
            and time.monotonic() < deadline
        ):
            await asyncio.sleep(HOLD_CHECK_INTERVAL_S)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    record = decompressor.decompress(data, MAX_RECORD_BYTES)
    if not decompressor.eof:
        raise zlib.error(f"truncated, or over {MAX_RECORD_BYTES} bytes")
    return record
