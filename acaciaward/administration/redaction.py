"""
Removes the keys that sign resume tokens from documents and patches shown to operators.

    redact_document({"resume_keys": ["3kf..."]})    # {"resume_keys": ["redacted"]}
"""

import typing

from acaciaward.configuration import history

# Shorter than the schema allows for a key, so that a document that was read and
# submitted unchanged is refused instead of replacing the keys.
REDACTED = "redacted"


class RedactedPatch(typing.TypedDict):
    """An accepted patch as shown to operators; ``time`` is Unix time in seconds."""

    version: int
    patch_id: str
    author: str
    time: float
    changes: dict[str, typing.Any]


def redact_document(document: typing.Mapping[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a copy of a document, or of changes to one, without signing keys."""
    redacted = dict(document)
    if redacted.get("resume_keys"):
        redacted["resume_keys"] = [REDACTED] * len(redacted["resume_keys"])
    return redacted


def redact_patch(patch: history.AcceptedPatch) -> RedactedPatch:
    """Return an accepted patch without signing keys and without its reverse patch."""
    return {
        "version": patch.version,
        "patch_id": patch.patch_id,
        "author": patch.author,
        "time": patch.time,
        "changes": redact_document(patch.changes),
    }
