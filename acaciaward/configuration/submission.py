"""
Submits patches and settles what became of them.

An append whose answer was lost is settled by reading the log. Once the log has
been read beyond the lost append without meeting the patch, it is appended again
under the same id; should both copies land, the second changes nothing.
"""

import asyncio
import logging
import random
import typing
import uuid

from acaciaward import documents, errors
from acaciaward.configuration import (
    history as patch_history,
    messages,
    peering,
    records,
    replay,
)
from acaciaward.observability import logs
from acaciaward.provider import interfaces as provider_interfaces

log = logging.getLogger(__name__)

BACKOFF_S = 0.1
BACKOFF_MAX_S = 1.0
SETTLE_POLL_S = 0.5


class Followed(typing.Protocol):
    """What a submission sees of the replayed state."""

    @property
    def view(self) -> documents.View:
        """The newest accepted version."""

    @property
    def confirmed_at(self) -> float:
        """When the log last confirmed the view, in the loop's seconds."""

    def known(self, patch_id: str) -> replay.KnownPatch | None:
        """Return what became of a patch, or None if its id isn't known."""

    def outcome(self, patch_id: str) -> replay.PatchOutcome | None:
        """Return the outcome of a patch, or None if it isn't known."""

    def changes_since(self, version: int) -> tuple[patch_history.HistoryEntry, ...]:
        """Return the known patches that were accepted after a version."""

    async def wait_for(
        self, condition: typing.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Return whether a condition on the replayed state came true in time."""


class Submission:
    """Brings patches onto the log."""

    def __init__(
        self,
        followed: Followed,
        platform_log: provider_interfaces.Log,
        stream: str,
        peers: peering.PeerSide | None,
        *,
        outcome_wait_s: float,
        in_force_wait_s: float,
    ):
        self._followed = followed
        self._log = platform_log
        self._stream = stream
        self._peers = peers
        self._outcome_wait_s = outcome_wait_s
        self._in_force_wait_s = in_force_wait_s

    async def submit(
        self,
        base: int,
        author: str,
        changes: dict[str, typing.Any],
        patch_id: str | None,
    ) -> replay.PatchOutcome:
        """
        Append a patch and return what the log's order decided.

        An accepted one is answered once every serving entry reports its
        version, or after the bound with the names of those that do not. The
        outcome is UNKNOWN when an answer was lost and the log can't be read in
        time; the same id settles it later. Raises ``PlatformRefusedError`` if
        nothing was appended, ``ConflictError`` if the id names another patch.
        """
        patch_id = patch_id or str(uuid.uuid4())
        self._check(base, author, changes, patch_id)
        record: messages.PatchRecord = {
            "kind": "patch",
            "rules": messages.RULES,
            "id": patch_id,
            "base": base,
            "author": author,
            "changes": changes,
        }
        if not records.is_plain(record) or not records.is_patch(record):
            raise errors.InvalidRequestError("the patch holds values beyond JSON's")
        await self._append_until_known(record)
        return await self._finish(base, author, changes, patch_id)

    def _check(
        self, base: int, author: str, changes: dict[str, typing.Any], patch_id: str
    ) -> None:
        if not 0 < len(patch_id) <= records.MAX_ID_CHARACTERS:
            raise errors.InvalidRequestError("the patch id is empty or too long")
        known = self._followed.known(patch_id)
        digest = replay.digest_patch(base, author, changes)
        if known is not None and known.digest != digest:
            raise errors.ConflictError(f"patch id {patch_id} names another patch")

    async def _append_until_known(self, record: messages.PatchRecord) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._outcome_wait_s
        may_have_landed = False
        failures = 0
        while not self._is_known(record["id"]) and loop.time() < deadline:
            try:
                await self._log.append(self._stream, [record])
                may_have_landed = True
            except errors.PlatformRefusedError as error:
                pause_s = self._backoff_s(failures, error)
                failures += 1
                if loop.time() + pause_s >= deadline and not may_have_landed:
                    raise
                await self._wait_known(record["id"], pause_s)
                continue
            except errors.PlatformUnknownError as error:
                may_have_landed = True
                log.warning(
                    "append unanswered",
                    extra=logs.fields(patch=record["id"], error=error),
                )
            await self._wait_settled(record["id"], deadline)

    def _backoff_s(self, failures: int, error: errors.PlatformError) -> float:
        highest = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(failures, 16))
        return (error.retry_after_s or 0.0) + random.uniform(0.0, highest)

    def _is_known(self, patch_id: str) -> bool:
        return self._followed.known(patch_id) is not None

    async def _wait_known(self, patch_id: str, timeout_s: float) -> None:
        await self._followed.wait_for(lambda: self._is_known(patch_id), timeout_s)

    async def _wait_settled(self, patch_id: str, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        # A read that began after the answer was due, and a while later, would
        # have met the record; a copy that lands later still is harmless.
        settled_from = loop.time() + SETTLE_POLL_S
        await self._followed.wait_for(
            lambda: (
                self._is_known(patch_id) or self._followed.confirmed_at >= settled_from
            ),
            max(0.0, deadline - loop.time()),
        )

    async def _finish(
        self, base: int, author: str, changes: dict[str, typing.Any], patch_id: str
    ) -> replay.PatchOutcome:
        self._check(base, author, changes, patch_id)
        outcome = self._followed.outcome(patch_id)
        if outcome is None:
            return replay.PatchOutcome(
                replay.PatchStatus.UNKNOWN,
                self._followed.view.version,
                "ask again with this id",
                patch_id,
            )
        if outcome.status is replay.PatchStatus.STALE:
            return outcome._replace(since=self._followed.changes_since(base))
        if outcome.status is replay.PatchStatus.ACCEPTED and self._peers is not None:
            missing = await self._peers.wait_in_force(
                outcome.version, self._in_force_wait_s
            )
            return outcome._replace(missing=missing)
        return outcome
