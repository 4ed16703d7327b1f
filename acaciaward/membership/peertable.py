"""
Holds the peers that an entry knows and merges updates about them.

An update with a higher incarnation wins; only the peer itself can raise its
incarnation. Within an incarnation the worse state wins, so that a suspicion
holds until the peer refutes it.
"""

import logging
import time
import typing
import zlib
from collections import abc

from acaciaward.membership import interfaces, messages, rendezvous, transport
from acaciaward.observability import logs

log = logging.getLogger(__name__)

MAX_PEERS = 4000
MAX_NAME_CHARACTERS = 63
MAX_PORT = 65535
MAX_ADDRESS_CHARACTERS = 255
DEAD_RETENTION_S = 7200.0
# Incarnations start at the Unix time in milliseconds. An entry could never exceed
# one that lies far ahead of its clock, and so could not refute it.
MAX_INCARNATION_LEAD_MS = 30 * 86_400_000

State = interfaces.PeerState

_STATE_RANKS = {
    State.JOINING: 0,
    State.LIVE: 0,
    State.SUSPECT: 1,
    State.LEAVING: 2,
    State.DEAD: 3,
}
# A leaving peer that stops answering has left, so it needs no suspicion first.
_NEXT_WORSE_STATES = {
    State.JOINING: State.SUSPECT,
    State.LIVE: State.SUSPECT,
    State.SUSPECT: State.DEAD,
    State.LEAVING: State.DEAD,
}


class PeerRecord(typing.NamedTuple):
    """
    What is known of a peer.

    ``listen_address`` is where it accepts connections of other entries;
    ``state_since`` is when this entry learnt of its state (monotonic clock).
    """

    peer: interfaces.Peer
    listen_address: transport.PeerAddress
    state_since: float


def to_fields(
    peer: interfaces.Peer, listen_address: transport.PeerAddress
) -> messages.PeerFields:
    """Return a peer in the form of messages."""
    fields = peer._asdict() | {"state": peer.state.value}
    if not peer.counted:
        del fields["counted"]
    return fields | {
        "peer_address": listen_address.address,
        "peer_port": listen_address.port,
        "public_key": listen_address.public_key,
    }


def from_fields(fields: messages.PeerFields) -> PeerRecord | None:
    """Return the peer that fields describe, or None if a value is out of bounds."""
    names = (fields["name"], fields["data_centre"], fields["region"])
    ports = (fields["port"], fields["peer_port"])
    addresses = (fields["address"], fields["peer_address"], fields["public_key"] or "")
    max_incarnation = time.time() * 1000 + MAX_INCARNATION_LEAD_MS
    is_valid = (
        all(0 < len(name) <= MAX_NAME_CHARACTERS for name in names)
        and all(0 < port <= MAX_PORT for port in ports)
        and max(map(len, addresses)) <= MAX_ADDRESS_CHARACTERS
        and 0 <= fields.get("detour_port", 0) <= MAX_PORT
        and 0 <= fields.get("counted", 0) <= MAX_PEERS
        and 0 <= fields["incarnation"] <= max_incarnation
    )
    if not is_valid:
        return None
    try:
        state = State(fields["state"])
    except ValueError:
        return None
    peer_values = {
        name: fields[name] for name in interfaces.Peer._fields if name in fields
    }
    listen_address = transport.PeerAddress(
        fields["peer_address"], fields["peer_port"], fields["public_key"]
    )
    return PeerRecord(
        interfaces.Peer(**(peer_values | {"state": state})),
        listen_address,
        time.monotonic(),
    )


class PeerTable:
    """The peers that one entry knows, without itself."""

    def __init__(self, own_name: str, *, neighbour_count: int):
        self._own_name = own_name
        self._neighbour_count = neighbour_count
        self._records: dict[str, PeerRecord] = {}
        self._neighbours: list[str] | None = None
        self._on_change: abc.Callable[[PeerRecord], None] | None = None

    def set_listener(self, on_change: abc.Callable[[PeerRecord], None]) -> None:
        """Call a function with each peer whose state or incarnation changed."""
        self._on_change = on_change

    def get(self, name: str) -> PeerRecord | None:
        """Return what is known of a peer."""
        return self._records.get(name)

    def all(self) -> list[PeerRecord]:
        """Return every known peer."""
        return list(self._records.values())

    def neighbours(self) -> list[str]:
        """
        Return the names of the peers that this entry contacts on its own initiative.

        They are chosen by rendezvous hashing: each entry keeps the same number of
        connections however many entries there are, and one entry more or less
        changes few neighbours. In small systems every peer is a neighbour.
        """
        if self._neighbours is None:
            names = [
                name
                for name, record in self._records.items()
                if record.peer.state is not State.DEAD
            ]
            self._neighbours = rendezvous.choose(
                self._own_name, names, self._neighbour_count
            )
        return self._neighbours

    def digest(self, own: interfaces.Peer) -> int:
        """
        Return a checksum that is equal on entries that know the same peers.

        Covers names, incarnations and states; dead peers don't count.
        """
        peers = [own, *(record.peer for record in self._records.values())]
        combined = 0
        for peer in peers:
            if peer.state is not State.DEAD:
                key = f"{peer.name}/{peer.incarnation}/{peer.state.value}"
                combined ^= zlib.crc32(key.encode())
        return combined

    def merge(self, update: PeerRecord) -> bool:
        """
        Apply an update about a peer and return whether its state or incarnation won.

        A newer configuration version alone is stored, but doesn't count.
        """
        name = update.peer.name
        current = self._records.get(name)
        if current is None:
            is_accepted = (
                update.peer.state is not State.DEAD and len(self._records) < MAX_PEERS
            )
            if is_accepted:
                self._store(update)
            return is_accepted
        current_rank, update_rank = _precedence(current.peer), _precedence(update.peer)
        if update_rank > current_rank:
            self._store(update)
            return True
        version = update.peer.configuration_version
        if update_rank == current_rank and version > current.peer.configuration_version:
            peer = current.peer._replace(configuration_version=version)
            self._records[name] = current._replace(peer=peer)
        return False

    def downgrade(self, name: str) -> None:
        """Set a peer that doesn't answer to its next worse state, if there is one."""
        current = self._records.get(name)
        if current is None or current.peer.state not in _NEXT_WORSE_STATES:
            return
        log.info(
            "peer doesn't answer",
            extra=logs.fields(peer=name, state=current.peer.state.value),
        )
        peer = current.peer._replace(state=_NEXT_WORSE_STATES[current.peer.state])
        self._store(PeerRecord(peer, current.listen_address, time.monotonic()))

    def suspects_before(self, cutoff: float) -> list[str]:
        """Return the names of peers suspected since before a monotonic time."""
        return [
            name
            for name, record in self._records.items()
            if record.peer.state is State.SUSPECT and record.state_since < cutoff
        ]

    def restart_suspicion_timers(self) -> None:
        """Let every suspicion time out anew, after this process was paused."""
        now = time.monotonic()
        for name, record in self._records.items():
            if record.peer.state is State.SUSPECT:
                self._records[name] = record._replace(state_since=now)

    def remove_long_dead(self) -> list[PeerRecord]:
        """Remove peers dead for more than ``DEAD_RETENTION_S`` and return them."""
        cutoff = time.monotonic() - DEAD_RETENTION_S
        removed = [
            record
            for record in self._records.values()
            if record.peer.state is State.DEAD and record.state_since < cutoff
        ]
        for record in removed:
            del self._records[record.peer.name]
        return removed

    def _store(self, record: PeerRecord) -> None:
        current = self._records.get(record.peer.name)
        self._records[record.peer.name] = record
        self._neighbours = None
        if current is None or current.peer.state is not record.peer.state:
            log.info(
                "peer state changed",
                extra=logs.fields(peer=record.peer.name, state=record.peer.state.value),
            )
        if self._on_change is not None:
            self._on_change(record)


def _precedence(peer: interfaces.Peer) -> tuple[int, int]:
    return (peer.incarnation, _STATE_RANKS[peer.state])
