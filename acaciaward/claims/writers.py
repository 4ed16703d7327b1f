"""
Forwards claims to the few entries of a region that append for all others.

The writers of a region are its first live entries by the hash of their names
(rendezvous hashing), so all entries choose the same ones without coordination.
Correctness doesn't depend on that: any entry may append, and a record that is
appended twice counts once. A writer that doesn't answer is ejected for a while.
"""

import hashlib
import time
import typing

from acaciaward import errors
from acaciaward.claims import messages
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.provider import batchappender

APPEND_KIND = "claims_append"
APPEND_TIMEOUT_S = 0.5
WRITER_EJECTION_S = 2.0
WRITERS_PER_REGION = 2
CHOICE_LIFETIME_S = 0.5


class WriterChoice(typing.NamedTuple):
    """The writers of this entry's region and the number of writers in all regions."""

    own: tuple[str, ...] = ()
    total: int = 1


def choose_writers(
    peers: typing.Iterable[membership_interfaces.Peer], region: str
) -> WriterChoice:
    """Return the writers among the live entries; every entry chooses the same."""
    regions: dict[str, list[str]] = {}
    for peer in peers:
        if peer.state is membership_interfaces.PeerState.LIVE:
            regions.setdefault(peer.region, []).append(peer.name)
    chosen = {
        name: sorted(members, key=_weight)[:WRITERS_PER_REGION]
        for name, members in regions.items()
    }
    total = sum(len(writers) for writers in chosen.values())
    return WriterChoice(tuple(chosen.get(region, ())), max(1, total))


def _weight(*names: str) -> bytes:
    return hashlib.sha256("/".join(names).encode()).digest()


class RoutedAppender:
    """Appends records here or through a writer."""

    def __init__(
        self,
        membership: membership_interfaces.Membership,
        network: membership_interfaces.PeerNetwork,
        appender: batchappender.BatchAppender,
    ):
        self._membership = membership
        self._network = network
        self._appender = appender
        self._choice = WriterChoice()
        self._chosen_at = float("-inf")
        self._ejected_until: dict[str, float] = {}
        network.handle(APPEND_KIND, self._handle_append)

    def choice(self) -> WriterChoice:
        """Return the writers; the choice is cached for ``CHOICE_LIFETIME_S``."""
        now = time.monotonic()
        if now - self._chosen_at > CHOICE_LIFETIME_S:
            peers = self._membership.peers()
            own = [peer for peer in peers if peer.name == self._membership.name]
            self._choice = choose_writers(peers, own[0].region if own else "")
            self._chosen_at = now
        return self._choice

    def _target_writer(self) -> str | None:
        """Return the writer to forward to, or None to append here."""
        writers = self.choice().own
        if self._membership.name in writers:
            return None
        now = time.monotonic()
        usable = [name for name in writers if self._ejected_until.get(name, 0.0) <= now]
        return min(
            usable,
            key=lambda name: _weight(name, self._membership.name),
            default=None,
        )

    async def append(self, record: messages.ClaimRecord) -> None:
        """Append a record; see ``BatchAppender.append`` for the errors."""
        writer = self._target_writer()
        if writer is None:
            await self._appender.append(record)
            return
        body = {"sender": self._membership.name, "record": record}
        try:
            answer = await self._network.request(
                writer, APPEND_KIND, body, timeout_s=APPEND_TIMEOUT_S
            )
        except errors.PeerUnreachableError:
            self._ejected_until[writer] = time.monotonic() + WRITER_EJECTION_S
            await self._appender.append(record)
            return
        error = _ERROR_OF_STATE.get(answer["state"])
        if error is not None:
            raise error(f"{writer}: {answer['reason']}")

    async def _handle_append(
        self, sender: str, body: dict[str, typing.Any]
    ) -> messages.AppendAnswer:
        try:
            await self._appender.append(body["record"])
        except errors.PlatformRefusedError as error:
            return {"state": "refused", "reason": str(error)}
        except errors.PlatformUnknownError as error:
            return {"state": "unknown", "reason": str(error)}
        return {"state": "taken", "reason": ""}


_ERROR_OF_STATE = {
    "refused": errors.PlatformRefusedError,
    "unknown": errors.PlatformUnknownError,
}
