"""
Gets the configuration from other entries while this one can't read it in the store.

The store may turn single entries away while it serves the others and the operator.
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
from acaciaward.membership import gossip, interfaces
from acaciaward.observability import logs

log = logging.getLogger(__name__)

State = interfaces.PeerState

CHECK_INTERVAL_S = 0.25
# A configuration that is newer elsewhere for this long isn't expected from the store.
FETCH_DELAY_S = 0.75
REQUEST_TIMEOUT_S = 0.5
# Peers that are asked one after the other before the next check.
MAX_REQUESTS = 3
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
            if await self._fetch(peer):
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

    async def _fetch(self, peer: interfaces.Peer) -> bool:
        before = self._store_view.catalogue.version
        try:
            answer = await self._membership.request(
                peer.name,
                "configuration_record",
                {"sender": self._membership.name},
                timeout_s=REQUEST_TIMEOUT_S,
            )
            if answer["data"] is not None:
                self._store_view.receive_configuration(_decompress(answer["data"]))
        except (errors.PeerUnreachableError, zlib.error) as error:
            log.info(
                "could not get the configuration from a peer",
                extra=logs.fields(peer=peer.name, reason=error),
            )
        return self._store_view.catalogue.version > before

    async def _answer(self, sender: str, body: dict) -> messages.ConfigurationAnswer:
        data = self._store_view.configuration_data
        return {
            "version": self._store_view.catalogue.version,
            "data": None if data is None else zlib.compress(data),
        }


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    record = decompressor.decompress(data, MAX_RECORD_BYTES)
    if not decompressor.eof:
        raise zlib.error(f"truncated, or over {MAX_RECORD_BYTES} bytes")
    return record
