"""
What entries ask one another about the configuration.

A few entries of each data centre read the log; the others read from them, so
that the log's readers stay as few as data centres however many entries there
are. Newcomers take their state from a peer, and while the log is down entries
confirm to one another that nobody knows more.
"""

import asyncio
import random
import typing

from acaciaward import errors
from acaciaward.configuration import messages
from acaciaward.membership import interfaces as membership_interfaces, rendezvous

ANSWER_TIMEOUT_S = 1.0
STATE_SOURCES = 3
MAX_ASKED_AT_ONCE = 64

SERVING = frozenset(
    {
        membership_interfaces.PeerState.LIVE,
        membership_interfaces.PeerState.SUSPECT,
        membership_interfaces.PeerState.LEAVING,
    }
)


class Network(
    membership_interfaces.Membership, membership_interfaces.PeerNetwork, typing.Protocol
):
    """Who the peers are, and requests to them."""


class PeerVersion(typing.NamedTuple):
    """A peer's answer about its own version."""

    name: str
    version: int
    next_offset: int


class PeerSide:
    """Asks the peers of one entry."""

    def __init__(
        self,
        network: Network,
        *,
        data_centre: str,
        readers_per_data_centre: int,
        chooser: random.Random | None = None,
    ):
        self._network = network
        self._data_centre = data_centre
        self._readers_per_data_centre = readers_per_data_centre
        self._random = chooser or random.Random()

    @property
    def is_reader(self) -> bool:
        """Whether this entry is one of its data centre's readers of the log."""
        return self._network.name in self._readers()

    @property
    def newest_reported(self) -> int:
        """The newest version that any entry was heard to have."""
        return max(peer.configuration_version for peer in self._network.peers())

    @property
    def has_peers(self) -> bool:
        """Whether any other entry serves."""
        return bool(self._others())

    def _others(self) -> list[membership_interfaces.Peer]:
        return [
            peer
            for peer in self._network.peers()
            if peer.name != self._network.name and peer.state in SERVING
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
        """Return records from one of the readers, or raise if none answers."""
        names = [name for name in self._readers() if name != self._network.name]
        if not names:
            raise errors.PeerUnreachableError("no reader of the log is known")
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
        """Return the states of a few peers, the one that covers most first."""
        others = self._others()
        asked = self._random.sample(others, min(STATE_SOURCES, len(others)))
        answers = await asyncio.gather(
            *(self._fetch_state(peer.name) for peer in asked), return_exceptions=True
        )
        states = [answer for answer in answers if isinstance(answer, dict)]
        return sorted(states, key=lambda state: state["next_offset"], reverse=True)

    async def _fetch_state(self, name: str) -> messages.StateAnswer:
        body: messages.StateRequest = {"sender": self._network.name}
        return await self._network.request(
            name, "configuration_state", body, timeout_s=2 * ANSWER_TIMEOUT_S
        )

    async def hear_data_centres(self) -> tuple[list[PeerVersion], bool]:
        """
        Ask one entry of each data centre and return the answers.

        The flag says whether a strict majority of the known data centres, this
        one included, was heard, and at least one peer.
        """
        centres: dict[str, list[str]] = {self._data_centre: []}
        for peer in self._network.peers():
            names = centres.setdefault(peer.data_centre, [])
            if peer.name != self._network.name and peer.state in SERVING:
                names.append(peer.name)
        answers = await asyncio.gather(
            *(self._hear_one(names) for names in centres.values())
        )
        heard = {
            centre
            for centre, answer in zip(centres, answers, strict=True)
            if answer is not None
        }
        is_majority = 2 * len(heard | {self._data_centre}) > len(centres)
        found = [answer for answer in answers if answer is not None]
        return found, bool(heard) and is_majority

    async def _hear_one(self, names: list[str]) -> PeerVersion | None:
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
        """Return the names of serving entries that don't report the version."""
        free = asyncio.Semaphore(MAX_ASKED_AT_ONCE)
        deadline = asyncio.get_running_loop().time() + wait_s

        async def lacks(name: str) -> bool:
            async with free:
                left_s = deadline - asyncio.get_running_loop().time()
                try:
                    async with asyncio.timeout(max(left_s, 0.0)):
                        answer = await self._ask_version(name, version, left_s)
                except (errors.PeerUnreachableError, TimeoutError):
                    return True
                return answer.version < version

        names = sorted(peer.name for peer in self._others())
        lacking = await asyncio.gather(*(lacks(name) for name in names))
        return tuple(name for name, lack in zip(names, lacking, strict=True) if lack)
