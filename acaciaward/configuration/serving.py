"""Answers the configuration requests of peers."""

import time
import typing

from acaciaward import documents
from acaciaward.configuration import messages, peering, recent, replay, snapshots

MAX_WAIT_S = 10.0
# Reported instead of an infinite age by an entry that the log never confirmed.
MAX_AGE_S = 1e9


class ServedState(typing.Protocol):
    """The replayed state as peer answers read it."""

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
    def renewal(self) -> snapshots.RenewalSchedule:
        """The age of the newest snapshot."""

    @property
    def log_time(self) -> float:
        """The log's clock at the last read."""

    @property
    def confirmed_at(self) -> float:
        """When the log last confirmed the view, as event loop time in seconds."""

    async def wait_for(
        self, condition: typing.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait for a condition on the replayed state; return whether it came true."""


class PeerRequestHandlers:
    """Serves records, the state and the version to peers."""

    def __init__(self, state: ServedState, network: peering.Network):
        self._state = state
        network.handle("configuration_read", self._answer_read)
        network.handle("configuration_state", self._answer_state)
        network.handle("configuration_version", self._answer_version)

    @property
    def _next_offset(self) -> int:
        replayed = self._state.replayed
        return 0 if replayed is None else replayed.next_offset

    async def _answer_read(
        self, sender: str, body: messages.ReadRequest
    ) -> messages.ReadAnswer:
        received_at = time.monotonic()
        from_offset = body["from_offset"]
        if from_offset == self._next_offset:
            await self._wait(lambda: self._next_offset > from_offset, body["wait_s"])
        has_state = self._state.replayed is not None
        held_records = self._state.recent.since(from_offset) if has_state else None
        now = time.monotonic()
        age_s = now - self._state.confirmed_at
        return {
            "held": held_records is not None,
            "records": [record._asdict() for record in held_records or ()],
            "next_offset": self._next_offset,
            "age_s": min(age_s, MAX_AGE_S),
            "waited_s": now - received_at,
        }

    async def _answer_state(
        self, sender: str, body: messages.StateRequest
    ) -> messages.StateAnswer | None:
        replayed = self._state.replayed
        if replayed is None:
            return None
        packed = snapshots.pack(replayed.to_state())
        return {
            "rules": messages.RULE_SET,
            "version": replayed.view.version,
            "next_offset": replayed.next_offset,
            "digest": packed.digest,
            "state": packed.state,
            "covered": self._state.renewal.covered_offset,
            "snapshot_age_s": self._state.renewal.age_s(self._state.log_time),
        }

    async def _answer_version(
        self, sender: str, body: messages.VersionRequest
    ) -> messages.VersionAnswer:
        version = body["version"]
        await self._wait(lambda: self._state.view.version >= version, body["wait_s"])
        return {
            "version": self._state.view.version,
            "next_offset": self._next_offset,
        }

    async def _wait(self, condition: typing.Callable[[], bool], wait_s: float) -> None:
        if wait_s > 0 and not condition():
            await self._state.wait_for(condition, min(wait_s, MAX_WAIT_S))
