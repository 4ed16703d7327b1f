"""
A bounded history of accepted patches, from which older documents are rebuilt.

Each patch holds its changes and their reverse, so that an older document can be
rebuilt from the newest one. The history is bounded by count and by bytes; both
bounds are part of the rule set, since snapshots contain the history.
"""

import collections
import typing

import json_merge_patch
import msgspec

from acaciaward import documents, errors
from acaciaward.configuration import document

MAX_PATCHES = 1000
MAX_BYTES = 512 * 1024


class AcceptedPatch(typing.NamedTuple):
    """
    One accepted patch; ``time`` is by the log's clock, in Unix seconds.

    ``reverse`` is the merge patch that restores the previous version.
    """

    version: int
    patch_id: str
    author: str
    time: float
    changes: dict[str, typing.Any]
    reverse: dict[str, typing.Any]


class History:
    """Bounded list of accepted patches, oldest first."""

    def __init__(self, patches: typing.Iterable[AcceptedPatch] = ()):
        self._patches: collections.deque[AcceptedPatch] = collections.deque()
        self._sizes: collections.deque[int] = collections.deque()
        self._bytes = 0
        for patch in patches:
            self.add(patch)

    @property
    def patches(self) -> list[AcceptedPatch]:
        """The retained patches, oldest first."""
        return list(self._patches)

    def add(self, patch: AcceptedPatch) -> None:
        """Add a patch and evict the oldest ones beyond the bounds."""
        size = len(msgspec.json.encode(patch))
        self._patches.append(patch)
        self._sizes.append(size)
        self._bytes += size
        while len(self._patches) > MAX_PATCHES or self._bytes > MAX_BYTES:
            self._patches.popleft()
            self._bytes -= self._sizes.popleft()

    def since(self, version: int) -> tuple[AcceptedPatch, ...]:
        """Return the retained patches that led to the versions after ``version``."""
        return tuple(patch for patch in self._patches if patch.version > version)

    def document_at(self, version: int, view: documents.View) -> documents.Document:
        """
        Return the document of an older version, rebuilt from a view.

        Raises ``NotFoundError`` for a future version or one no longer retained.
        """
        later = self.since(version)
        if version > view.version or version < 0:
            raise errors.NotFoundError(f"there is no version {version} yet")
        if len(later) != view.version - version:
            raise errors.NotFoundError(f"version {version} is no longer known")
        rebuilt = view.document
        for patch in reversed(later):
            rebuilt = document.merge(rebuilt, patch.reverse)
        return rebuilt

    def diff(
        self, older: int, newer: int, view: documents.View
    ) -> dict[str, typing.Any]:
        """Return the merge patch that leads from one version to another."""
        return json_merge_patch.create_patch(
            self.document_at(older, view), self.document_at(newer, view)
        )
