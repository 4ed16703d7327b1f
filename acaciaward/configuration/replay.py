"""
Replays configuration records into the version in force.

Replay is deterministic: a patch is accepted if and only if its id is new, its
base is the version at that point of the log and the patched document is valid
and within the size limit. Every entry that replays the same records holds the
same version, whether it started at the first record or from a snapshot.

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

AcceptedPatch = patch_history.AcceptedPatch

MAX_KNOWN_PATCHES = 2000
MAX_REASON_CHARACTERS = 300
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


class PatchStatus(enum.Enum):
    """The outcome of a patch; UNKNOWN while the log hasn't decided it."""

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class PatchOutcome(typing.NamedTuple):
    """
    The outcome of one patch, as its submitter receives it.

    ``version`` is the one in force after the patch. ``missing`` names the live
    entries that had not reported an accepted version within the bound, and
    ``since`` lists the patches accepted after the base of a stale one.
    """

    status: PatchStatus
    version: int
    reason: str = ""
    patch_id: str = ""
    missing: tuple[str, ...] = ()
    since: tuple[AcceptedPatch, ...] = ()


class KnownPatch(typing.NamedTuple):
    """A replayed patch; ``digest`` detects another patch under the same id."""

    status: str
    version: int
    reason: str
    digest: str


class State(typing.TypedDict):
    """The content of a snapshot: all on which the outcomes of later patches depend."""

    version: int
    document: dict[str, typing.Any]
    known: list[tuple[str, str, int, str, str]]
    history: list[AcceptedPatch]


class NewerRulesError(errors.AcaciawardError):
    """A record of a newer rule set, which this program can't evaluate."""


def digest_patch(base: int, author: str, changes: dict[str, typing.Any]) -> str:
    """Return a short digest of a patch's content."""
    canonical = msgspec.json.encode([base, author, changes], order="sorted")
    return hashlib.sha256(canonical).hexdigest()[:16]


class Replay:
    """The state that the records before ``next_offset`` produce."""

    def __init__(self, state: State | None = None, next_offset: int = 0):
        self._view = documents.View(0, {})
        self._next_offset = next_offset
        self._known: collections.OrderedDict[str, KnownPatch] = (
            collections.OrderedDict()
        )
        self._history = patch_history.History()
        self._skipped_count = 0
        self._duplicate_count = 0
        self._mismatch_count = 0
        self._last_change_offset = next_offset - 1
        if state is not None:
            self._load(state)

    def _load(self, state: State) -> None:
        self._view = documents.View(state["version"], state["document"])
        for patch_id, *known in state["known"]:
            self._known[patch_id] = KnownPatch(*known)
        self._history = patch_history.History(
            AcceptedPatch(*fields) for fields in state["history"]
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
    def skipped_count(self) -> int:
        """Number of corrupted and foreign records."""
        return self._skipped_count

    @property
    def duplicate_count(self) -> int:
        """Number of repeated patches under a known id."""
        return self._duplicate_count

    @property
    def mismatch_count(self) -> int:
        """Number of snapshots whose version differs from the replayed one."""
        return self._mismatch_count

    @property
    def history(self) -> patch_history.History:
        """The accepted patches that are retained."""
        return self._history

    def to_state(self) -> State:
        """Return the state for a snapshot."""
        return {
            "version": self._view.version,
            "document": self._view.document,
            "known": [(name, *known) for name, known in self._known.items()],
            "history": self._history.patches,
        }

    def known_patch(self, patch_id: str) -> KnownPatch | None:
        """Return the record of a replayed patch, or None if its id isn't known."""
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
        Replay the next record; does nothing for one that was replayed before.

        Raises ``NewerRulesError``, without advancing, for a record whose rule
        set this program doesn't know.
        """
        if record.offset < self._next_offset:
            return
        data = record.data
        if not isinstance(data, dict) or not records.is_portable(data):
            self._skipped_count += 1
        elif _has_newer_rules(data):
            raise NewerRulesError(
                f"record has rule set {data['rules']}; "
                f"this entry knows up to {messages.RULE_SET}"
            )
        elif data.get("kind") == "patch" and records.is_patch(data):
            self._apply_patch(record)
        elif data.get("kind") == "snapshot" and records.is_snapshot(data):
            self._check_snapshot_version(data)
        else:
            self._skipped_count += 1
        self._next_offset = record.offset + 1

    def _check_snapshot_version(self, snapshot: messages.SnapshotRecord) -> None:
        is_comparable = (
            self._last_change_offset <= snapshot["offset"] < self._next_offset
        )
        if is_comparable and snapshot["version"] != self._view.version:
            self._mismatch_count += 1

    def _apply_patch(self, record: provider_interfaces.LogRecord) -> None:
        patch = record.data
        if patch["id"] in self._known:
            self._duplicate_count += 1
            return
        self._last_change_offset = record.offset
        digest = digest_patch(patch["base"], patch["author"], patch["changes"])
        status, reason = self._evaluate(patch, record.time)
        self._known[patch["id"]] = KnownPatch(
            status.value,
            self._view.version,
            reason[:MAX_REASON_CHARACTERS],
            digest,
        )
        while len(self._known) > MAX_KNOWN_PATCHES:
            self._known.popitem(last=False)

    def _evaluate(
        self, patch: messages.PatchRecord, record_time: float
    ) -> tuple[PatchStatus, str]:
        version = self._view.version
        if patch["base"] != version:
            reason = f"base {patch['base']} is not the current version {version}"
            return PatchStatus.STALE, reason
        patched = document.merge(self._view.document, patch["changes"])
        problem = document.find_first_problem_of_change(self._view.document, patched)
        if problem is not None:
            return PatchStatus.INVALID, f"{problem.path}: {problem.reason}"
        if len(msgspec.json.encode(patched)) > MAX_DOCUMENT_BYTES:
            return PatchStatus.INVALID, f"document over {MAX_DOCUMENT_BYTES} bytes"
        self._history.add(
            AcceptedPatch(
                version + 1,
                patch["id"],
                patch["author"],
                record_time,
                patch["changes"],
                json_merge_patch.create_patch(patched, self._view.document),
            )
        )
        self._view = documents.View(version + 1, patched)
        return PatchStatus.ACCEPTED, ""


def _has_newer_rules(data: dict[str, typing.Any]) -> bool:
    # A snapshot of newer rules changes nothing for an entry that replays patches.
    rules = data.get("rules")
    may_change_state = isinstance(data.get("kind"), str) and data["kind"] != "snapshot"
    return may_change_state and type(rules) is int and rules > messages.RULE_SET
