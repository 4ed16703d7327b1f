"""Messages that entries exchange about entries and hints."""

import typing


class PeerFields(typing.TypedDict):
    """
    One entry in a message; ``interfaces.Peer`` explains the fields.

    ``public_key`` is the CURVE key in Z85, or null without encryption. Older builds
    don't send the fields that aren't required.
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
    detour_port: typing.NotRequired[int]
    is_isolated: typing.NotRequired[bool]
    counted: typing.NotRequired[int]


class HintFields(typing.TypedDict):
    """One hint in a message; ``interfaces.Hint`` explains the fields."""

    kind: str
    subject: str
    value: dict[str, typing.Any]
    origin: str
    stamp: float
    lifetime_s: float


class Gossip(typing.TypedDict):
    """Updates in a probe, its answer or gossip; the first peer is the sender."""

    sender: str
    peers: list[PeerFields]
    hints: list[HintFields]


class IndirectProbe(typing.TypedDict):
    """Asks a peer to probe a target that did not answer the sender."""

    sender: str
    target: str


class IndirectProbeAnswer(typing.TypedDict):
    """Whether the target answered."""

    reached: bool


class Sync(typing.TypedDict):
    """Compares what two entries know by digests; ``own`` is the sender."""

    sender: str
    own: PeerFields
    peers_digest: int
    hints_digest: int


class SyncAnswer(typing.TypedDict):
    """The answering entry's peers and hints, each only if its digest differs."""

    peers: list[PeerFields]
    hints: list[HintFields]


MESSAGE_TYPES: dict[str, type] = {
    "probe": Gossip,
    "probe_answer": Gossip,
    "probe_indirect": IndirectProbe,
    "probe_indirect_answer": IndirectProbeAnswer,
    "gossip": Gossip,
    "gossip_answer": Gossip,
    "sync": Sync,
    "sync_answer": SyncAnswer,
}
