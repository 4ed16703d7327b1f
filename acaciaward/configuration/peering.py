"""
Requests that entries send one another about the configuration.

A few entries of each data centre, its readers, read the log; the others read from
them, so that the number of the log's readers grows with the data centres and not
with the entries. New entries fetch their state from a peer. While the log is
unavailable, entries confirm to one another that none has replayed more records.
"""

import asyncio
import random
import typing

from acaciaward import errors
from acaciaward.configuration import messages
from acaciaward.membership import interfaces as membership_interfaces, rendezvous

ANSWER_TIMEOUT_S = 1.0
MAX_STATE_SOURCES = 3
MAX_CONCURRENT_REQUESTS = 64

SERVING_STATES = frozenset(
    {
        membership_interfaces.PeerState.LIVE,
        membership_interfaces.PeerState.SUSPECT,
        membership_interfaces.PeerState.LEAVING,
    }
)


class Network(
    membership_interfaces.Membership, membership_interfaces.PeerNetwork, typing.Protocol
):
    """The peers, their state, and requests to them."""


class PeerVersion(typing.NamedTuple):
    """A peer's answer about its own version."""

    name: str
    version: int
    next_offset: int


class ConfigurationPeers:
    """Sends one entry's requests to its peers."""

    def __init__(
        self,
        network: Network,
        *,
        data_centre: str,
        readers_per_data_centre: int,
        rng: random.Random | None = None,
    ):
        self._network = network
        self._data_centre = data_centre
        self._readers_per_data_centre = readers_per_data_centre
        self._random = rng or random.Random()

    @property
    def is_reader(self) -> bool:
        """Whether this entry is one of its data centre's readers of the log."""
        return self._network.name in self._readers()

    @property
    def newest_reported_version(self) -> int:
        """The newest version that any known entry reports."""
        return max(peer.configuration_version for peer in self._network.peers())

    @property
    def has_peers(self) -> bool:
        """Whether any other entry is serving."""
        return bool(self._serving_peers())

    def _serving_peers(self) -> list[membership_interfaces.Peer]:
        return [
            peer
            for peer in self._network.peers()
            if peer.name != self._network.name and peer.state in SERVING_STATES
        ]

    def _readers(self) -> list[str]:
        names = [
            peer.name
            for peer in self._network.peers()
            if peer.data_centre == self._data_centre
            and peer.state is membership_interfaces.PeerState.LIVE
        ]
        return rendezvous.choose("reader", names, self._readers_per_data_centre)

    async def read(self, from_offset: int, wait_s: float) -> messages.ReadAnswer:
        """
        Return records that a random reader holds.

        Raises ``PeerUnreachableError`` if there is none or it doesn't answer.
        """
        names = [name for name in self._readers() if name != self._network.name]
        if not names:
            raise errors.PeerUnreachableError(
                "no other entry of this data centre reads the log"
            )
        return await self.read_from(self._random.choice(names), from_offset, wait_s)

    async def read_from(
        self, name: str, from_offset: int, wait_s: float
    ) -> messages.ReadAnswer:
        """Return records that a peer holds."""
        body: messages.ReadRequest = {
            "sender": self._network.name,
            "from_offset": from_offset,
            "wait_s": wait_s,
        }
        return await self._network.request(
            name, "configuration_read", body, timeout_s=wait_s + ANSWER_TIMEOUT_S
        )

    async def fetch_states(self) -> list[messages.StateAnswer]:
        """Return the states of a few peers, the one with the most records first."""
        serving = self._serving_peers()
        sampled = self._random.sample(serving, min(MAX_STATE_SOURCES, len(serving)))
        answers = await asyncio.gather(
            *(self._fetch_state(peer.name) for peer in sampled), return_exceptions=True
        )
        states = [answer for answer in answers if isinstance(answer, dict)]
        return sorted(states, key=lambda state: state["next_offset"], reverse=True)

    async def _fetch_state(self, name: str) -> messages.StateAnswer:
        body: messages.StateRequest = {"sender": self._network.name}
        return await self._network.request(
            name, "configuration_state", body, timeout_s=2 * ANSWER_TIMEOUT_S
        )

    async def ask_data_centres(self) -> tuple[list[PeerVersion], bool]:
        """
        Return the version of one entry of each data centre, and a majority flag.

        The flag is true if at least one peer answered and the data centres with an
        answer, together with this one, are a strict majority of the known ones.
        """
        entries_by_centre: dict[str, list[str]] = {self._data_centre: []}
        for peer in self._network.peers():
            names = entries_by_centre.setdefault(peer.data_centre, [])
            if peer.name != self._network.name and peer.state in SERVING_STATES:
                names.append(peer.name)
        answers = await asyncio.gather(
            *(self._ask_any_of(names) for names in entries_by_centre.values())
        )
        answered_centres = {
            centre
            for centre, answer in zip(entries_by_centre, answers, strict=True)
            if answer is not None
        }
        is_majority = 2 * len(answered_centres | {self._data_centre}) > len(
            entries_by_centre
        )
        versions = [answer for answer in answers if answer is not None]
        return versions, bool(answered_centres) and is_majority

    async def _ask_any_of(self, names: list[str]) -> PeerVersion | None:
        for name in self._random.sample(names, min(2, len(names))):
            try:
                return await self._ask_version(name, 0, 0.0)
            except errors.PeerUnreachableError:
                continue
        return None

    async def _ask_version(self, name: str, version: int, wait_s: float) -> PeerVersion:
        body: messages.VersionRequest = {
            "sender": self._network.name,
            "version": version,
            "wait_s": wait_s,
        }
        answer = await self._network.request(
            name, "configuration_version", body, timeout_s=wait_s + ANSWER_TIMEOUT_S
        )
        return PeerVersion(name, answer["version"], answer["next_offset"])

    async def wait_in_force(self, version: int, wait_s: float) -> tuple[str, ...]:
        """Return the names of the serving entries that don't report the version."""
        slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        deadline = asyncio.get_running_loop().time() + wait_s

        async def is_behind(name: str) -> bool:
            async with slots:
                remaining_s = deadline - asyncio.get_running_loop().time()
                try:
                    async with asyncio.timeout(max(remaining_s, 0.0)):
                        answer = await self._ask_version(name, version, remaining_s)
                except (errors.PeerUnreachableError, TimeoutError):
                    return True
                return answer.version < version

        names = sorted(peer.name for peer in self._serving_peers())
        behind = await asyncio.gather(*(is_behind(name) for name in names))
        return tuple(
            name for name, is_late in zip(names, behind, strict=True) if is_late
        )
