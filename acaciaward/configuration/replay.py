"""
Replays configuration records into the version in force.

The rule is deterministic: a patch is accepted if and only if its id is new, its
base is the version at that point of the log and the patched document is valid.
Every entry that replays the same records holds the same version, whether it
began with the first record or with a snapshot.

    replay = Replay()
    replay.apply(record)
    replay.view.version
"""

import collections
import enum
import hashlib
import typing

import json_merge_patch
import msgspec

from acaciaward import documents, errors
from acaciaward.configuration import (
    document,
    history as patch_history,
    messages,
    records,
)
from acaciaward.provider import interfaces as provider_interfaces

HistoryEntry = patch_history.HistoryEntry

MAX_KNOWN_PATCHES = 2000
MAX_REASON_CHARACTERS = 300
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


class PatchStatus(enum.Enum):
    """What became of a patch."""

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class PatchOutcome(typing.NamedTuple):
    """
    The verdict on one patch.

    ``version`` is the one in force after it. ``missing`` names the live entries
    that had not reported an accepted version within the bound, and ``since``
    lists what was accepted after the base of a stale one.
    """

    status: PatchStatus
    version: int
    reason: str = ""
    patch_id: str = ""
    missing: tuple[str, ...] = ()
    since: tuple[HistoryEntry, ...] = ()


class KnownPatch(typing.NamedTuple):
    """A judged patch; ``digest`` tells another patch under the same id."""

    status: str
    version: int
    reason: str
    digest: str


class State(typing.TypedDict):
    """What a snapshot carries; everything that a later verdict may depend on."""

    version: int
    document: dict[str, typing.Any]
    known: list[tuple[str, str, int, str, str]]
    history: list[HistoryEntry]


class NewerRulesError(errors.AcaciawardError):
    """A record of a newer rule set: this program can't judge it."""


def digest_patch(base: int, author: str, changes: dict[str, typing.Any]) -> str:
    """Return a short digest of what a patch says."""
    canonical = msgspec.json.encode([base, author, changes], order="sorted")
    return hashlib.sha256(canonical).hexdigest()[:16]


class Replay:
    """The state that the records up to ``next_offset`` produce."""

    def __init__(self, state: State | None = None, next_offset: int = 0):
        self._view = documents.View(0, {})
        self._next_offset = next_offset
        self._known: collections.OrderedDict[str, KnownPatch] = (
            collections.OrderedDict()
        )
        self._history = patch_history.History()
        self._skipped = 0
        self._doubled = 0
        self._disagreeing = 0
        self._changed_at = next_offset - 1
        if state is not None:
            self._load(state)

    def _load(self, state: State) -> None:
        self._view = documents.View(state["version"], state["document"])
        for patch_id, *known in state["known"]:
            self._known[patch_id] = KnownPatch(*known)
        self._history = patch_history.History(
            HistoryEntry(*entry) for entry in state["history"]
        )

    @property
    def view(self) -> documents.View:
        """The newest accepted version."""
        return self._view

    @property
    def next_offset(self) -> int:
        """The offset of the first record that hasn't been replayed."""
        return self._next_offset

    @property
    def skipped(self) -> int:
        """Number of records that were no records of ours."""
        return self._skipped

    @property
    def doubled(self) -> int:
        """Number of patches that came again under a known id."""
        return self._doubled

    @property
    def disagreeing(self) -> int:
        """Number of snapshots that claim another version than was replayed."""
        return self._disagreeing

    @property
    def history(self) -> patch_history.History:
        """The accepted patches that are still known."""
        return self._history

    def to_state(self) -> State:
        """Return the state for a snapshot."""
        return {
            "version": self._view.version,
            "document": self._view.document,
            "known": [(name, *known) for name, known in self._known.items()],
            "history": self._history.entries,
        }

    def known(self, patch_id: str) -> KnownPatch | None:
        """Return what became of a patch, or None if its id isn't known."""
        return self._known.get(patch_id)

    def outcome(self, patch_id: str) -> PatchOutcome | None:
        """Return the outcome of a patch, or None if it isn't known."""
        known = self._known.get(patch_id)
        if known is None:
            return None
        status = PatchStatus(known.status)
        return PatchOutcome(status, known.version, known.reason, patch_id)

    def apply(self, record: provider_interfaces.LogRecord) -> None:
        """
        Replay the next record; one that has been replayed is left alone.

        Raises ``NewerRulesError``, without moving on, for a record whose rule
        set this program doesn't know.
        """
        if record.offset < self._next_offset:
            return
        data = record.data
        if not isinstance(data, dict) or not records.is_plain(data):
            self._skipped += 1
        elif _is_newer(data):
            raise NewerRulesError(f"rule set {data['rules']} is newer than this entry")
        elif data.get("kind") == "patch" and records.is_patch(data):
            self._apply_patch(record)
        elif data.get("kind") == "snapshot" and records.is_snapshot(data):
            self._compare(data)
        else:
            self._skipped += 1
        self._next_offset = record.offset + 1

    def _compare(self, snapshot: messages.SnapshotRecord) -> None:
        is_comparable = self._changed_at <= snapshot["offset"] < self._next_offset
        if is_comparable and snapshot["version"] != self._view.version:
            self._disagreeing += 1

    def _apply_patch(self, record: provider_interfaces.LogRecord) -> None:
        patch = record.data
        if patch["id"] in self._known:
            self._doubled += 1
            return
        self._changed_at = record.offset
        digest = digest_patch(patch["base"], patch["author"], patch["changes"])
        status, reason = self._judge(patch, record.time)
        self._known[patch["id"]] = KnownPatch(
            status.value,
            self._view.version,
            reason[:MAX_REASON_CHARACTERS],
            digest,
        )
        while len(self._known) > MAX_KNOWN_PATCHES:
            self._known.popitem(last=False)

    def _judge(
        self, patch: messages.PatchRecord, time: float
    ) -> tuple[PatchStatus, str]:
        version = self._view.version
        if patch["base"] != version:
            reason = f"base {patch['base']} is not the current version {version}"
            return PatchStatus.STALE, reason
        patched = document.merge(self._view.document, patch["changes"])
        mistake = document.first_mistake_of_change(self._view.document, patched)
        if mistake is not None:
            return PatchStatus.INVALID, f"{mistake.path}: {mistake.reason}"
        if len(msgspec.json.encode(patched)) > MAX_DOCUMENT_BYTES:
            return PatchStatus.INVALID, f"document over {MAX_DOCUMENT_BYTES} bytes"
        self._history.add(
            HistoryEntry(
                version + 1,
                patch["id"],
                patch["author"],
                time,
                patch["changes"],
                json_merge_patch.create_patch(patched, self._view.document),
            )
        )
        self._view = documents.View(version + 1, patched)
        return PatchStatus.ACCEPTED, ""


def _is_newer(data: dict[str, typing.Any]) -> bool:
    # A newer snapshot changes nothing for an entry that replays the patches.
    rules = data.get("rules")
    is_ours = isinstance(data.get("kind"), str) and data["kind"] != "snapshot"
    return is_ours and type(rules) is int and rules > messages.RULES
