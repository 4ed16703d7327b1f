"""
What an entry knows of its peers, and the rule by which news win.

A higher incarnation wins, which only the peer itself can raise. Within one, a
worse state wins, so that a suspicion holds until the peer refutes it.
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
DEAD_KEPT_S = 7200.0
# Incarnations begin with the clock in milliseconds; one far ahead could never
# be outbid by its entry.
MAX_AHEAD_MS = 30 * 86_400_000

State = interfaces.PeerState

_RANK = {
    State.JOINING: 0,
    State.LIVE: 0,
    State.SUSPECT: 1,
    State.LEAVING: 2,
    State.DEAD: 3,
}
# A leaving peer that falls silent has left.
_WORSE = {
    State.JOINING: State.SUSPECT,
    State.LIVE: State.SUSPECT,
    State.SUSPECT: State.DEAD,
    State.LEAVING: State.DEAD,
}


class Known(typing.NamedTuple):
    """A peer, where it listens, and since when it is in its state."""

    peer: interfaces.Peer
    location: transport.PeerAddress
    since: float


def to_fields(
    peer: interfaces.Peer, location: transport.PeerAddress
) -> messages.PeerFields:
    """Return a peer in the form that travels."""
    fields = peer._asdict() | {"state": peer.state.value}
    return fields | {
        "peer_address": location.address,
        "peer_port": location.port,
        "public_key": location.public_key,
    }


def from_fields(fields: messages.PeerFields) -> Known | None:
    """Return the peer that fields describe, or None if they make no sense."""
    names = (fields["name"], fields["data_centre"], fields["region"])
    ports = (fields["port"], fields["peer_port"])
    latest = time.time() * 1000 + MAX_AHEAD_MS
    is_sound = (
        all(0 < len(name) <= MAX_NAME_CHARACTERS for name in names)
        and all(0 < port <= MAX_PORT for port in ports)
        and 0 <= fields["incarnation"] <= latest
    )
    if not is_sound:
        return None
    try:
        state = State(fields["state"])
    except ValueError:
        return None
    kept = {name: fields[name] for name in interfaces.Peer._fields}
    location = transport.PeerAddress(
        fields["peer_address"], fields["peer_port"], fields["public_key"]
    )
    return Known(
        interfaces.Peer(**(kept | {"state": state})), location, time.monotonic()
    )


class PeerTable:
    """The peers of one entry, itself left out."""

    def __init__(self, own_name: str, *, neighbour_count: int):
        self._own_name = own_name
        self._neighbour_count = neighbour_count
        self._known: dict[str, Known] = {}
        self._neighbours: list[str] | None = None
        self._on_change: abc.Callable[[Known], None] | None = None

    def set_listener(self, on_change: abc.Callable[[Known], None]) -> None:
        """Call a listener with each peer whose state or incarnation changed."""
        self._on_change = on_change

    def get(self, name: str) -> Known | None:
        """Return what is known of a peer."""
        return self._known.get(name)

    def all(self) -> list[Known]:
        """Return every known peer."""
        return list(self._known.values())

    def neighbours(self) -> list[str]:
        """
        Return the peers that this entry talks to of its own accord.

        They are drawn by rendezvous hashing, so every entry keeps the same
        number of connections however many entries there are, and a change of
        one entry changes few neighbours. Small systems are a full mesh.
        """
        if self._neighbours is None:
            names = [
                name
                for name, known in self._known.items()
                if known.peer.state is not State.DEAD
            ]
            self._neighbours = rendezvous.choose(
                self._own_name, names, self._neighbour_count
            )
        return self._neighbours

    def digest(self, own: interfaces.Peer) -> int:
        """Return a number that is equal where the same peers are known."""
        peers = [own, *(known.peer for known in self._known.values())]
        combined = 0
        for peer in peers:
            if peer.state is not State.DEAD:
                key = f"{peer.name}/{peer.incarnation}/{peer.state.value}"
                combined ^= zlib.crc32(key.encode())
        return combined

    def take(self, news: Known) -> bool:
        """Take news of a peer in and return whether they changed anything."""
        name = news.peer.name
        held = self._known.get(name)
        if held is None:
            is_welcome = (
                news.peer.state is not State.DEAD and len(self._known) < MAX_PEERS
            )
            if is_welcome:
                self._set(news)
            return is_welcome
        ours, theirs = _order(held.peer), _order(news.peer)
        if theirs > ours:
            self._set(news)
            return True
        version = news.peer.configuration_version
        if theirs == ours and version > held.peer.configuration_version:
            peer = held.peer._replace(configuration_version=version)
            self._known[name] = held._replace(peer=peer)
        return False

    def worsen(self, name: str) -> None:
        """Believe less of a peer that doesn't answer."""
        held = self._known.get(name)
        if held is None or held.peer.state not in _WORSE:
            return
        peer = held.peer._replace(state=_WORSE[held.peer.state])
        self._set(Known(peer, held.location, time.monotonic()))

    def suspects_since(self, oldest: float) -> list[str]:
        """Return the peers suspected since before a moment of the clock."""
        return [
            name
            for name, known in self._known.items()
            if known.peer.state is State.SUSPECT and known.since < oldest
        ]

    def renew_suspicions(self) -> None:
        """Give every suspect its whole time again, after this process slept."""
        now = time.monotonic()
        for name, known in self._known.items():
            if known.peer.state is State.SUSPECT:
                self._known[name] = known._replace(since=now)

    def forget_dead(self) -> list[Known]:
        """Drop peers that died long ago and return them."""
        oldest = time.monotonic() - DEAD_KEPT_S
        gone = [
            known
            for known in self._known.values()
            if known.peer.state is State.DEAD and known.since < oldest
        ]
        for known in gone:
            del self._known[known.peer.name]
        return gone

    def _set(self, news: Known) -> None:
        held = self._known.get(news.peer.name)
        self._known[news.peer.name] = news
        self._neighbours = None
        if held is None or held.peer.state is not news.peer.state:
            log.info(
                "peer changed",
                extra=logs.fields(peer=news.peer.name, state=news.peer.state.value),
            )
        if self._on_change is not None:
            self._on_change(news)


def _order(peer: interfaces.Peer) -> tuple[int, int]:
    return (peer.incarnation, _RANK[peer.state])
