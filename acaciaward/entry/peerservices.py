"""
Builds the components that communicate with other entries: transport, gossip and hints.
"""

import time
import typing

from acaciaward.administration import messages as administration_messages
from acaciaward.catalogue import messages as catalogue_messages
from acaciaward.claims import messages as claims_messages
from acaciaward.configuration import messages as configuration_messages
from acaciaward.identity import curvekeys
from acaciaward.membership import (
    gossip,
    hints,
    interfaces as membership_interfaces,
    messages as membership_messages,
    transport,
)
from acaciaward.relays import messages as relays_messages
from acaciaward.resumption import messages as resumption_messages
from acaciaward.settings import loader

MESSAGE_TYPES = (
    membership_messages.MESSAGE_TYPES
    | administration_messages.MESSAGE_TYPES
    | configuration_messages.MESSAGE_TYPES
    | claims_messages.MESSAGE_TYPES
    | relays_messages.MESSAGE_TYPES
    | catalogue_messages.MESSAGE_TYPES
    | resumption_messages.MESSAGE_TYPES
)


class PeerServices(typing.NamedTuple):
    """The transport, hints and membership of one entry."""

    transport: transport.PeerTransport
    hints: hints.HintTable
    membership: gossip.GossipMembership


def build(settings: loader.Settings) -> PeerServices:
    """Build transport, hints and membership from an entry's settings."""
    peers = settings["peers"]
    hint_table = hints.HintTable(settings["instance"]["name"])
    curve = read_curve_keys(peers)
    peer_transport = transport.PeerTransport(
        peers["address"], peers["port"], MESSAGE_TYPES, curve=curve
    )
    own_address = transport.PeerAddress(
        peers["address"], peers["port"], curve.public_key if curve else None
    )
    membership = gossip.GossipMembership(
        _own_peer(settings),
        own_address,
        read_seeds(peers),
        peer_transport,
        hint_table,
        probe_interval_s=peers["probe_interval_s"],
        probe_timeout_s=peers["probe_timeout_s"],
        suspicion_timeout_s=peers["suspicion_s"],
        sync_interval_s=peers["sync_interval_s"],
        neighbour_count=peers["neighbours"],
        gossip_bytes_per_s=peers["gossip_bytes_per_s"],
    )
    return PeerServices(peer_transport, hint_table, membership)


def read_seeds(peers: dict[str, typing.Any]) -> list[transport.PeerAddress]:
    """Return the addresses of the seeds from the ``peers`` settings."""
    return [
        transport.PeerAddress(seed["address"], seed["port"], seed.get("public_key"))
        for seed in peers["seeds"]
    ]


def read_curve_keys(peers: dict[str, typing.Any]) -> transport.CurveKeys | None:
    """Return the keys from the ``peers`` settings, or None without encryption."""
    if peers["secret_key"] is None:
        return None
    seeds = {seed.get("public_key") for seed in peers["seeds"]} - {None}
    allowed = frozenset(peers["allowed_public_keys"]) | seeds
    public_key = curvekeys.public_key_of(peers["secret_key"])
    return transport.CurveKeys(public_key, peers["secret_key"], allowed)


def _own_peer(settings: loader.Settings) -> membership_interfaces.Peer:
    instance = settings["instance"]
    callers = settings["callers"]
    # The incarnation is the time in ms, so that it is higher after each restart
    # without being stored on disk.
    return membership_interfaces.Peer(
        name=instance["name"],
        address=callers["address"],
        port=callers["port"],
        peer_port=settings["peers"]["port"],
        data_centre=instance["data_centre"],
        region=instance["region"],
        incarnation=int(time.time() * 1000),
        state=membership_interfaces.PeerState.JOINING,
        configuration_version=0,
    )
