"""
Replays configuration records into the version in force.

The rule is deterministic: a patch is accepted if and only if its base is the
version at that point of the log and the patched document is valid. Every entry
that replays the same records holds the same version.

    replay = Replay()
    replay.apply(record)
    replay.view.version
"""

import collections
import enum
import typing

from acaciaward import documents, errors
from acaciaward.configuration import document, messages
from acaciaward.platform import interfaces as platform_interfaces

MAX_KNOWN_PATCHES = 10_000
MAX_HISTORY = 5_000


class PatchStatus(enum.Enum):
    """What became of a patch."""

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class PatchOutcome(typing.NamedTuple):
    """The verdict on one patch; ``version`` is the one in force after it."""

    status: PatchStatus
    version: int
    reason: str = ""


class HistoryEntry(typing.NamedTuple):
    """One accepted patch; ``time`` is the log's, in Unix seconds."""

    version: int
    patch_id: str
    author: str
    time: float
    changes: dict[str, typing.Any]


class NewerRulesError(errors.AcaciawardError):
    """A record of a newer rule set: this program can't judge it."""


class Replay:
    """The state that the records up to ``next_offset`` produce."""

    def __init__(self):
        self._view = documents.View(0, {})
        self._next_offset = 0
        self._outcomes: collections.OrderedDict[str, PatchOutcome] = (
            collections.OrderedDict()
        )
        self._history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self._skipped = 0

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
    def history(self) -> list[HistoryEntry]:
        """The accepted patches that are still known, oldest first."""
        return list(self._history)

    def outcome(self, patch_id: str) -> PatchOutcome | None:
        """Return the outcome of a patch, or None if it isn't known."""
        return self._outcomes.get(patch_id)

    def apply(self, record: platform_interfaces.LogRecord) -> None:
        """
        Replay the next record.

        Raises ``NewerRulesError``, without moving on, for a record whose rule
        set this program doesn't know.
        """
        kind = record.data.get("kind") if isinstance(record.data, dict) else None
        if kind == "patch" and _is_patch(record.data):
            self._apply_patch(record)
        else:
            self._skipped += 1
        self._next_offset = record.offset + 1

    def _apply_patch(self, record: platform_interfaces.LogRecord) -> None:
        patch = record.data
        if patch["rules"] > messages.RULES:
            raise NewerRulesError(f"rule set {patch['rules']} is newer than this entry")
        if patch["id"] in self._outcomes:
            return
        outcome = self._judge(patch)
        if outcome.status is PatchStatus.ACCEPTED:
            self._history.append(
                HistoryEntry(
                    outcome.version,
                    patch["id"],
                    patch["author"],
                    record.time,
                    patch["changes"],
                )
            )
        self._outcomes[patch["id"]] = outcome
        while len(self._outcomes) > MAX_KNOWN_PATCHES:
            self._outcomes.popitem(last=False)

    def _judge(self, patch: messages.PatchRecord) -> PatchOutcome:
        version = self._view.version
        if patch["base"] != version:
            reason = f"base {patch['base']} is not the current version {version}"
            return PatchOutcome(PatchStatus.STALE, version, reason)
        patched = document.merge(self._view.document, patch["changes"])
        mistake = document.first_mistake(patched)
        if mistake is not None:
            reason = f"{mistake.path}: {mistake.reason}"
            return PatchOutcome(PatchStatus.INVALID, version, reason)
        self._view = documents.View(version + 1, patched)
        return PatchOutcome(PatchStatus.ACCEPTED, version + 1)


def _is_patch(data: dict[str, typing.Any]) -> bool:
    types = {"rules": int, "id": str, "base": int, "author": str, "changes": dict}
    return all(isinstance(data.get(name), kind) for name, kind in types.items())
