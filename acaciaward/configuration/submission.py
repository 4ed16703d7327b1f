"""
Submits patches and determines their outcomes.

If the answer to an append is lost, the log is read to see whether the patch is
on it. Once a read that began after the lost append shows no such patch, it is
appended again under the same id; if both copies get onto the log, the second
changes nothing.
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
SETTLE_MARGIN_S = 0.5


class ReplayedState(typing.Protocol):
    """The replayed state as submissions read it."""

    @property
    def view(self) -> documents.View:
        """The newest accepted version."""

    @property
    def confirmed_at(self) -> float:
        """When the log last confirmed the view, as event loop time in seconds."""

    def known_patch(self, patch_id: str) -> replay.KnownPatch | None:
        """Return the record of a replayed patch, or None if its id isn't known."""

    def outcome(self, patch_id: str) -> replay.PatchOutcome | None:
        """Return the outcome of a patch, or None if it isn't known."""

    def changes_since(self, version: int) -> tuple[patch_history.AcceptedPatch, ...]:
        """Return the retained patches that were accepted after a version."""

    async def wait_for(
        self, condition: typing.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait for a condition on the replayed state; return whether it came true."""


class Submission:
    """Appends patches to the log and waits for their outcomes."""

    def __init__(
        self,
        state: ReplayedState,
        platform_log: provider_interfaces.Log,
        stream: str,
        peers: peering.ConfigurationPeers | None,
        *,
        outcome_wait_s: float,
        in_force_wait_s: float,
    ):
        self._state = state
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
        Append a patch and return its outcome, which the log's order decides.

        For an accepted patch, returns once every serving entry reports its
        version, or after the bound with the names of those that do not. The
        outcome is UNKNOWN when an answer was lost and the log can't be read in
        time; submitting the same id again determines it. Raises
        ``PlatformRefusedError`` if nothing was appended, ``ConflictError`` if
        the id belongs to a patch with other content.
        """
        patch_id = patch_id or str(uuid.uuid4())
        self._check_patch_id(base, author, changes, patch_id)
        record: messages.PatchRecord = {
            "kind": "patch",
            "rules": messages.RULE_SET,
            "id": patch_id,
            "base": base,
            "author": author,
            "changes": changes,
        }
        if not records.is_portable(record) or not records.is_patch(record):
            raise errors.InvalidRequestError("the patch holds values beyond JSON's")
        await self._append_until_known(record)
        return await self._resolve_outcome(base, author, changes, patch_id)

    def _check_patch_id(
        self, base: int, author: str, changes: dict[str, typing.Any], patch_id: str
    ) -> None:
        if not 0 < len(patch_id) <= records.MAX_ID_CHARACTERS:
            raise errors.InvalidRequestError("the patch id is empty or too long")
        known = self._state.known_patch(patch_id)
        digest = replay.digest_patch(base, author, changes)
        if known is not None and known.digest != digest:
            raise errors.ConflictError(f"patch id {patch_id} names another patch")

    async def _append_until_known(self, record: messages.PatchRecord) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._outcome_wait_s
        may_have_been_appended = False
        refusal = None
        failures = 0
        while not self._is_known(record["id"]) and loop.time() < deadline:
            try:
                await self._log.append(self._stream, [record])
                may_have_been_appended = True
            except errors.PlatformRefusedError as error:
                refusal = error
                delay_s = self._backoff_s(failures, error)
                failures += 1
                if loop.time() + delay_s >= deadline and not may_have_been_appended:
                    raise
                await self._wait_until_known(record["id"], delay_s)
                continue
            except errors.PlatformUnknownError as error:
                may_have_been_appended = True
                log.warning(
                    "append not answered; its effect is unknown",
                    extra=logs.fields(patch=record["id"], error=error),
                )
            await self._wait_until_known_or_absent(record["id"], deadline)
        is_absent = not may_have_been_appended and not self._is_known(record["id"])
        if refusal is not None and is_absent:
            raise refusal

    def _backoff_s(self, failures: int, error: errors.PlatformError) -> float:
        limit_s = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(failures, 16))
        return (error.retry_after_s or 0.0) + random.uniform(0.0, limit_s)

    def _is_known(self, patch_id: str) -> bool:
        return self._state.known_patch(patch_id) is not None

    async def _wait_until_known(self, patch_id: str, timeout_s: float) -> None:
        await self._state.wait_for(lambda: self._is_known(patch_id), timeout_s)

    async def _wait_until_known_or_absent(self, patch_id: str, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        # A read that begins a margin after the answer was due would return the
        # record. A copy that is appended even later changes nothing.
        absence_proven_from = loop.time() + SETTLE_MARGIN_S
        await self._state.wait_for(
            lambda: (
                self._is_known(patch_id)
                or self._state.confirmed_at >= absence_proven_from
            ),
            max(0.0, deadline - loop.time()),
        )

    async def _resolve_outcome(
        self, base: int, author: str, changes: dict[str, typing.Any], patch_id: str
    ) -> replay.PatchOutcome:
        self._check_patch_id(base, author, changes, patch_id)
        outcome = self._state.outcome(patch_id)
        if outcome is None:
            return replay.PatchOutcome(
                replay.PatchStatus.UNKNOWN,
                self._state.view.version,
                "ask again with this id",
                patch_id,
            )
        if outcome.status is replay.PatchStatus.STALE:
            return outcome._replace(since=self._state.changes_since(base))
        if outcome.status is replay.PatchStatus.ACCEPTED and self._peers is not None:
            missing = await self._peers.wait_in_force(
                outcome.version, self._in_force_wait_s
            )
            return outcome._replace(missing=missing)
        return outcome
