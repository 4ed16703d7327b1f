"""
Follows the configuration stream and submits patches to it.

One task reads the log and replays what it finds. A patch is submitted by
appending it and waiting until the replay has met it, so that the operator hears
what the log's order decided and nothing else.
"""

import asyncio
import logging
import typing
import uuid
from collections.abc import Callable

from acaciaward import documents, errors, requests
from acaciaward.configuration import document, messages, replay
from acaciaward.observability import logs
from acaciaward.platform import interfaces as platform_interfaces

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.2
OUTCOME_WAIT_S = 5.0


class LogConfiguration:
    """Implements ``interfaces.Configuration`` from the platform's log."""

    def __init__(
        self,
        platform_log: platform_interfaces.Log,
        *,
        stream: str,
        poll_wait_s: float,
        current_bound_s: float,
    ):
        self._log = platform_log
        self._stream = stream
        self._poll_wait_s = poll_wait_s
        self._current_bound_s = current_bound_s
        self._replay = replay.Replay()
        self._listeners: list[Callable[[documents.View], None]] = []
        self._confirmed_at = float("-inf")
        self._changed = asyncio.Condition()
        self._endpoints: dict[str, list[requests.Endpoint]] = {}

    @property
    def view(self) -> documents.View:
        """The newest accepted version."""
        return self._replay.view

    @property
    def is_current(self) -> bool:
        """Whether the log confirmed the view within the bound."""
        age_s = asyncio.get_running_loop().time() - self._confirmed_at
        return age_s <= self._current_bound_s

    @property
    def history(self) -> list[replay.HistoryEntry]:
        """The accepted patches that are still known, oldest first."""
        return self._replay.history

    def outcome(self, patch_id: str) -> replay.PatchOutcome | None:
        """Return what became of a patch, or None if it isn't known here."""
        return self._replay.outcome(patch_id)

    def endpoints(self, deployment: str) -> list[requests.Endpoint]:
        """Return the endpoints of a deployment, empty if there is none."""
        if deployment not in self._endpoints:
            found = document.endpoints_of(self.view.document, deployment)
            self._endpoints[deployment] = found
        return self._endpoints[deployment]

    def subscribe(self, listener: Callable[[documents.View], None]) -> None:
        """Call a listener with each new view."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self._read_once()
            except errors.PlatformError as error:
                log.warning("configuration log unread", extra=logs.fields(error=error))
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read_once(self) -> None:
        page = await self._log.read(
            self._stream, self._replay.next_offset, wait_s=self._poll_wait_s
        )
        version = self.view.version
        for record in page.records:
            self._replay.apply(record)
        if self._replay.next_offset >= page.next_offset:
            self._confirmed_at = asyncio.get_running_loop().time()
        if self.view.version != version:
            self._announce()
        async with self._changed:
            self._changed.notify_all()

    def _announce(self) -> None:
        self._endpoints = {}
        log.info("configuration in force", extra=logs.fields(version=self.view.version))
        for listener in self._listeners:
            listener(self.view)

    async def wait_until_current(self, timeout_s: float) -> bool:
        """Return whether the view became current in time."""
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(lambda: self.is_current)
        except TimeoutError:
            return False
        return True

    async def submit(
        self,
        *,
        base: int,
        author: str,
        changes: dict[str, typing.Any],
        patch_id: str | None = None,
    ) -> replay.PatchOutcome:
        """
        Append a patch and return what the log's order decided.

        The outcome is UNKNOWN when the answer to the append was lost and the
        log can't be read in time; the same patch id settles it later.
        """
        patch_id = patch_id or str(uuid.uuid4())
        known = self._replay.outcome(patch_id)
        if known is not None:
            return known
        record: messages.PatchRecord = {
            "kind": "patch",
            "rules": messages.RULES,
            "id": patch_id,
            "base": base,
            "author": author,
            "changes": changes,
        }
        try:
            await self._log.append(self._stream, [record])
        except errors.PlatformUnknownError as error:
            log.warning("append unanswered", extra=logs.fields(patch=patch_id, e=error))
        return await self._wait_for_outcome(patch_id)

    async def _wait_for_outcome(self, patch_id: str) -> replay.PatchOutcome:
        try:
            async with asyncio.timeout(OUTCOME_WAIT_S), self._changed:
                await self._changed.wait_for(
                    lambda: self._replay.outcome(patch_id) is not None
                )
        except TimeoutError:
            return replay.PatchOutcome(
                replay.PatchStatus.UNKNOWN, self.view.version, "ask again with this id"
            )
        return self._replay.outcome(patch_id)
