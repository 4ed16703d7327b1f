"""
Takes the keys that sign resume tokens out of what operators see.

    redact({"resume_keys": ["3kf..."]})    # {"resume_keys": ["redacted"]}
"""

import typing

from acaciaward.configuration import history

# Shorter than a real key may be, so that a document that was read and sent
# back is refused instead of replacing the keys.
REDACTED = "redacted"


class ShownPatch(typing.TypedDict):
    """An accepted patch as operators see it; ``time`` is Unix seconds."""

    version: int
    patch_id: str
    author: str
    time: float
    changes: dict[str, typing.Any]


def redact(document: typing.Mapping[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a document, or changes to one, without signing keys."""
    shown = dict(document)
    if shown.get("resume_keys"):
        shown["resume_keys"] = [REDACTED] * len(shown["resume_keys"])
    return shown


def show(entry: history.HistoryEntry) -> ShownPatch:
    """Return an accepted patch without signing keys and without its reverse."""
    return {
        "version": entry.version,
        "patch_id": entry.patch_id,
        "author": entry.author,
        "time": entry.time,
        "changes": redact(entry.changes),
    }
