"""
Snapshots of the replayed state: how they are written, checked and renewed.

A new entry starts from a snapshot, since the log retains records for a limited
time only.

Any entry may write one and the log may hold any number: a snapshot changes
nothing for entries that replay the patches. A new entry loads the usable one
that covers the most records and replays the records after it.

    record = make(replay)
    replay = load_newest_usable(page.records, page.first_offset)
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
MAX_TRACKED_RECORDS = 4096


class SnapshotError(errors.AcaciawardError):
    """A snapshot that is corrupted, invalid or of a newer rule set."""


class PackedState(typing.NamedTuple):
    """A state in its encoded form, and its digest."""

    state: str
    digest: str


def pack(state: replay.State) -> PackedState:
    """Return a state as snapshots and state answers to peers carry it."""
    canonical = msgspec.json.encode(state, order="sorted")
    packed = base64.b64encode(zlib.compress(canonical)).decode()
    return PackedState(packed, hashlib.sha256(canonical).hexdigest())


def unpack(packed: PackedState, *, rules: int, version: int) -> replay.State:
    """Return the validated state, or raise ``SnapshotError``."""
    if rules > messages.RULE_SET:
        raise SnapshotError(
            f"snapshot has rule set {rules}; this entry knows up to {messages.RULE_SET}"
        )
    canonical = _inflate(packed.state)
    if hashlib.sha256(canonical).hexdigest() != packed.digest:
        raise SnapshotError("snapshot digest doesn't match its state")
    try:
        state = msgspec.json.decode(canonical, type=replay.State)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"snapshot state can't be decoded: {error}") from error
    if state["version"] != version:
        raise SnapshotError(
            f"snapshot claims version {version}, its state has {state['version']}"
        )
    problem = document.find_first_problem(state["document"])
    if problem is not None:
        raise SnapshotError(f"{problem.path}: {problem.reason}")
    return state


def _inflate(text: str) -> bytes:
    inflater = zlib.decompressobj()
    try:
        data = inflater.decompress(
            base64.b64decode(text, validate=True), MAX_STATE_BYTES
        )
    except (binascii.Error, ValueError, zlib.error) as error:
        raise SnapshotError(f"snapshot state is corrupted: {error}") from error
    if not inflater.eof:
        raise SnapshotError(
            f"snapshot state is truncated or over {MAX_STATE_BYTES} bytes"
        )
    return data


def make(source: replay.Replay) -> messages.SnapshotRecord:
    """Return the record that carries the state of a replay."""
    packed = pack(source.to_state())
    return {
        "kind": "snapshot",
        "rules": messages.RULE_SET,
        "version": source.view.version,
        "offset": source.next_offset - 1,
        "digest": packed.digest,
        "state": packed.state,
    }


def is_candidate(
    record: provider_interfaces.LogRecord, first_offset: int | None = None
) -> bool:
    """Return whether a record is a snapshot without a gap to the retained records."""
    data = record.data
    if not isinstance(data, dict) or data.get("kind") != "snapshot":
        return False
    if not records.is_portable(data) or not records.is_snapshot(data):
        return False
    is_of_earlier_records = -1 <= data["offset"] < record.offset
    return is_of_earlier_records and (
        first_offset is None or data["offset"] + 1 >= first_offset
    )


def load(record: provider_interfaces.LogRecord) -> replay.Replay:
    """Return the replay that starts at a snapshot; raises ``SnapshotError``."""
    data = record.data
    state = unpack(
        PackedState(data["state"], data["digest"]),
        rules=data["rules"],
        version=data["version"],
    )
    return replay.Replay(state, data["offset"] + 1)


def load_newest_usable(
    log_records: typing.Iterable[provider_interfaces.LogRecord], first_offset: int
) -> replay.Replay | None:
    """Return the replay from the usable snapshot that covers the most, or None."""
    candidates = [
        record for record in log_records if is_candidate(record, first_offset)
    ]
    candidates.sort(key=lambda record: (record.data["offset"], record.offset))
    for record in reversed(candidates):
        try:
            return load(record)
        except SnapshotError:
            continue
    return None


class RenewalSchedule:
    """
    Decides when the newest snapshot is due for renewal, by the log's clock.

    A snapshot is as old as the first record that it doesn't cover: once the log
    no longer retains that record, the snapshot leaves a gap.
    """

    def __init__(self, *, renew_after_s: float, renew_after_records: int):
        self._renew_after_s = renew_after_s
        self._renew_after_records = renew_after_records
        self._record_times: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=MAX_TRACKED_RECORDS
        )
        self._covered_offset = -1
        self._age_start_time: float | None = None
        # The reported age in seconds, and the monotonic time of the report.
        self._peer_report: tuple[float, float] | None = None

    @property
    def covered_offset(self) -> int:
        """The offset that the newest snapshot covers, -1 without one."""
        return self._covered_offset

    def start_from_peer(self, covered_offset: int, age_s: float) -> None:
        """Start with the newest snapshot that a peer knows of, and its age."""
        self._covered_offset = covered_offset
        self._peer_report = (age_s, time.monotonic())

    def age_s(self, log_time: float) -> float:
        """Return the newest snapshot's age at ``log_time``, in Unix seconds."""
        if self._age_start_time is None and self._peer_report is not None:
            age_s, reported_at = self._peer_report
            self._age_start_time = log_time - age_s - (time.monotonic() - reported_at)
        return 0.0 if self._age_start_time is None else log_time - self._age_start_time

    def observe(self, record: provider_interfaces.LogRecord) -> None:
        """Update the age by a replayed record."""
        if self._age_start_time is None and self._peer_report is None:
            self._age_start_time = record.time
        self._record_times.append((record.offset, record.time))
        if is_candidate(record) and record.data["offset"] >= self._covered_offset:
            self._covered_offset = record.data["offset"]
            self._age_start_time = self._find_age_start(record)
            self._peer_report = None

    def _find_age_start(self, record: provider_interfaces.LogRecord) -> float:
        if self._record_times[0][0] > self._covered_offset + 1:
            # The time of the first uncovered record is unknown: renewal is due.
            return self._record_times[0][1] - self._renew_after_s
        uncovered = (
            log_time
            for offset, log_time in self._record_times
            if offset > self._covered_offset
        )
        return min(record.time, next(uncovered, record.time))

    def is_due(self, next_offset: int, log_time: float) -> bool:
        """Return whether a snapshot should be written at ``log_time``."""
        if next_offset == 0:
            return False
        if next_offset - 1 - self._covered_offset > self._renew_after_records:
            return True
        return self.age_s(log_time) > self._renew_after_s
