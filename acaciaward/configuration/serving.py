"""Answers what peers ask about the configuration."""

import time
import typing

from acaciaward import documents
from acaciaward.configuration import messages, peering, recent, replay, snapshots

MAX_WAIT_S = 10.0
MAX_AGE_S = 1e9


class Served(typing.Protocol):
    """What the answers need of the replayed state."""

    @property
    def view(self) -> documents.View:
        """The newest accepted version."""

    @property
    def replayed(self) -> replay.Replay | None:
        """The replayed state, None while this entry has none."""

    @property
    def recent(self) -> recent.RecentRecords:
        """The newest records in memory."""

    @property
    def renewal(self) -> snapshots.RenewalClock:
        """The age of the newest snapshot."""

    @property
    def log_time(self) -> float:
        """The log's clock at the last read."""

    @property
    def confirmed_at(self) -> float:
        """When the log last confirmed the view, in the loop's seconds."""

    async def wait_for(
        self, condition: typing.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Return whether a condition on the replayed state came true in time."""


class PeerAnswers:
    """Serves records, the state and the version to peers."""

    def __init__(self, served: Served, network: peering.Network):
        self._served = served
        network.handle("configuration_read", self._answer_read)
        network.handle("configuration_state", self._answer_state)
        network.handle("configuration_version", self._answer_version)

    @property
    def _next_offset(self) -> int:
        replayed = self._served.replayed
        return 0 if replayed is None else replayed.next_offset

    async def _answer_read(
        self, sender: str, body: messages.ReadRequest
    ) -> messages.ReadAnswer:
        asked = time.monotonic()
        wanted = body["from_offset"]
        if wanted == self._next_offset:
            await self._wait(lambda: self._next_offset > wanted, body["wait_s"])
        has_state = self._served.replayed is not None
        found = self._served.recent.since(wanted) if has_state else None
        now = time.monotonic()
        age_s = now - self._served.confirmed_at
        return {
            "held": found is not None,
            "records": [record._asdict() for record in found or ()],
            "next_offset": self._next_offset,
            "age_s": min(age_s, MAX_AGE_S),
            "waited_s": now - asked,
        }

    async def _answer_state(
        self, sender: str, body: messages.StateRequest
    ) -> messages.StateAnswer | None:
        replayed = self._served.replayed
        if replayed is None:
            return None
        packed = snapshots.pack(replayed.to_state())
        return {
            "rules": messages.RULES,
            "version": replayed.view.version,
            "next_offset": replayed.next_offset,
            "digest": packed.digest,
            "state": packed.state,
            "covered": self._served.renewal.covered,
            "snapshot_age_s": self._served.renewal.age_s(self._served.log_time),
        }

    async def _answer_version(
        self, sender: str, body: messages.VersionRequest
    ) -> messages.VersionAnswer:
        wanted = body["version"]
        await self._wait(lambda: self._served.view.version >= wanted, body["wait_s"])
        return {
            "version": self._served.view.version,
            "next_offset": self._next_offset,
        }

    async def _wait(self, condition: typing.Callable[[], bool], wait_s: float) -> None:
        if wait_s > 0 and not condition():
            await self._served.wait_for(condition, min(wait_s, MAX_WAIT_S))
