"""Messages between entries about entries and hints."""

import typing


class PeerFields(typing.TypedDict):
    """One entry as it travels; see ``interfaces.Peer`` for the meanings."""

    name: str
    address: str
    port: int
    peer_address: str
    peer_port: int
    data_centre: str
    region: str
    incarnation: int
    state: str
    configuration_version: int


class HintFields(typing.TypedDict):
    """One hint as it travels; see ``interfaces.Hint`` for the meanings."""

    kind: str
    subject: str
    value: dict[str, typing.Any]
    origin: str
    stamp: float
    lifetime_s: float


class Gossip(typing.TypedDict):
    """What a probe and its answer carry: changed peers and hints."""

    sender: str
    peers: list[PeerFields]
    hints: list[HintFields]


KINDS = {"probe": Gossip, "probe_answer": Gossip}
