"""Messages between entries about entries and hints."""

import typing


class PeerFields(typing.TypedDict):
    """
    One entry as it travels; see ``interfaces.Peer`` for the meanings.

    ``public_key`` is the CURVE key in Z85, or null without encryption.
    """

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
    public_key: str | None


class HintFields(typing.TypedDict):
    """One hint as it travels; see ``interfaces.Hint`` for the meanings."""

    kind: str
    subject: str
    value: dict[str, typing.Any]
    origin: str
    stamp: float
    lifetime_s: float


class Gossip(typing.TypedDict):
    """What a probe, its answer and gossip carry: a few changes, the sender's first."""

    sender: str
    peers: list[PeerFields]
    hints: list[HintFields]


class IndirectProbe(typing.TypedDict):
    """Asks a peer to probe another one that did not answer the sender."""

    sender: str
    target: str


class IndirectProbeAnswer(typing.TypedDict):
    """Whether the target answered."""

    reached: bool


class Sync(typing.TypedDict):
    """Compares two entries' knowledge by digests; ``own`` is the sender."""

    sender: str
    own: PeerFields
    peers_digest: int
    hints_digest: int


class SyncAnswer(typing.TypedDict):
    """Everything of the parts whose digests differ."""

    peers: list[PeerFields]
    hints: list[HintFields]


KINDS: dict[str, type] = {
    "probe": Gossip,
    "probe_answer": Gossip,
    "probe_indirect": IndirectProbe,
    "probe_indirect_answer": IndirectProbeAnswer,
    "gossip": Gossip,
    "gossip_answer": Gossip,
    "sync": Sync,
    "sync_answer": SyncAnswer,
}
