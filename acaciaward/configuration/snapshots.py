"""
Snapshots of the replayed state, for newcomers and against retention.

Any entry may write one and any number may land: a snapshot changes nothing for
those that replay the patches. A newcomer takes the one that covers most among
the usable ones and replays the records after it.

    record = make(replay)
    found = newest_usable(page.records, page.first_offset)
"""

import base64
import binascii
import collections
import hashlib
import time
import typing
import zlib

import msgspec

from acaciaward import errors
from acaciaward.configuration import document, messages, records, replay
from acaciaward.provider import interfaces as provider_interfaces

MAX_STATE_BYTES = 16 * 1024 * 1024
TRACKED_RECORDS = 4096


class SnapshotError(errors.AcaciawardError):
    """A snapshot that can't be used."""


class Packed(typing.NamedTuple):
    """A state as it travels, and its digest."""

    state: str
    digest: str


def pack(state: replay.State) -> Packed:
    """Return a state in the form of snapshots and of answers to newcomers."""
    canonical = msgspec.json.encode(state, order="sorted")
    packed = base64.b64encode(zlib.compress(canonical)).decode()
    return Packed(packed, hashlib.sha256(canonical).hexdigest())


def unpack(packed: Packed, *, rules: int, version: int) -> replay.State:
    """Return the checked state, or raise ``SnapshotError``."""
    if rules > messages.RULES:
        raise SnapshotError(f"rule set {rules} is newer than this entry")
    canonical = _inflate(packed.state)
    if hashlib.sha256(canonical).hexdigest() != packed.digest:
        raise SnapshotError("the digest doesn't match the state")
    try:
        state = msgspec.json.decode(canonical, type=replay.State)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"malformed state: {error}") from error
    if state["version"] != version:
        raise SnapshotError(f"version {version} isn't that of the state")
    mistake = document.first_mistake(state["document"])
    if mistake is not None:
        raise SnapshotError(f"{mistake.path}: {mistake.reason}")
    return state


def _inflate(text: str) -> bytes:
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(
            base64.b64decode(text, validate=True), MAX_STATE_BYTES
        )
    except (binascii.Error, ValueError, zlib.error) as error:
        raise SnapshotError(f"damaged state: {error}") from error
    if not inflater.eof:
        raise SnapshotError("the state is truncated or too large")
    return data


def make(source: replay.Replay) -> messages.SnapshotRecord:
    """Return the record that carries the state of a replay."""
    packed = pack(source.to_state())
    return {
        "kind": "snapshot",
        "rules": messages.RULES,
        "version": source.view.version,
        "offset": source.next_offset - 1,
        "digest": packed.digest,
        "state": packed.state,
    }


def is_candidate(
    record: provider_interfaces.LogRecord, first_offset: int | None = None
) -> bool:
    """Return whether a record is a snapshot that leaves no gap to what is held."""
    data = record.data
    if not isinstance(data, dict) or data.get("kind") != "snapshot":
        return False
    if not records.is_plain(data) or not records.is_snapshot(data):
        return False
    is_past = -1 <= data["offset"] < record.offset
    return is_past and (first_offset is None or data["offset"] + 1 >= first_offset)


def load(record: provider_interfaces.LogRecord) -> replay.Replay:
    """Return the replay that a snapshot record begins, or raise."""
    data = record.data
    state = unpack(
        Packed(data["state"], data["digest"]),
        rules=data["rules"],
        version=data["version"],
    )
    return replay.Replay(state, data["offset"] + 1)


def newest_usable(
    found: typing.Iterable[provider_interfaces.LogRecord], first_offset: int
) -> replay.Replay | None:
    """Return the replay of the usable snapshot that covers most, or None."""
    candidates = [record for record in found if is_candidate(record, first_offset)]
    candidates.sort(key=lambda record: (record.data["offset"], record.offset))
    for record in reversed(candidates):
        try:
            return load(record)
        except SnapshotError:
            continue
    return None


class RenewalClock:
    """
    Says when the newest snapshot grows too old, by the log's own times.

    A snapshot is as old as the first record that it doesn't cover, since with
    that one expired it would leave a gap.
    """

    def __init__(self, *, renew_after_s: float, renew_after_records: int):
        self._renew_after_s = renew_after_s
        self._renew_after_records = renew_after_records
        self._times: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=TRACKED_RECORDS
        )
        self._covered = -1
        self._born: float | None = None
        self._taken_over: tuple[float, float] | None = None

    @property
    def covered(self) -> int:
        """The offset that the newest snapshot covers, -1 without one."""
        return self._covered

    def take_over(self, covered: int, age_s: float) -> None:
        """Begin with the newest snapshot that a peer knows of, and its age."""
        self._covered = covered
        self._taken_over = (age_s, time.monotonic())

    def age_s(self, now: float) -> float:
        """Return the age of the newest snapshot at ``now`` by the log's clock."""
        if self._born is None and self._taken_over is not None:
            age_s, since = self._taken_over
            self._born = now - age_s - (time.monotonic() - since)
        return 0.0 if self._born is None else now - self._born

    def note(self, record: provider_interfaces.LogRecord) -> None:
        """Take a replayed record into account."""
        if self._born is None and self._taken_over is None:
            self._born = record.time
        self._times.append((record.offset, record.time))
        if is_candidate(record) and record.data["offset"] >= self._covered:
            self._covered = record.data["offset"]
            self._born = self._age_start(record)
            self._taken_over = None

    def _age_start(self, record: provider_interfaces.LogRecord) -> float:
        if self._times[0][0] > self._covered + 1:
            return self._times[0][1] - self._renew_after_s
        uncovered = (moment for offset, moment in self._times if offset > self._covered)
        return min(record.time, next(uncovered, record.time))

    def is_due(self, next_offset: int, now: float) -> bool:
        """Return whether a snapshot should be written, by the log's clock."""
        if next_offset == 0:
            return False
        if next_offset - 1 - self._covered > self._renew_after_records:
            return True
        return self.age_s(now) > self._renew_after_s
