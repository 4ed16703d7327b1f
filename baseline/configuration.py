"""
The naive configuration: each entry accepts patches by its own view.

An entry that gets a patch compares the base with the version that it happens to
hold, answers at once and sends the result to the log; the others take whatever
arrives last. Measured against the rule that only the log's order decides.
"""

import asyncio
import contextlib
import typing

from acaciaward import errors
from acaciaward.provider import interfaces as provider_interfaces

POLL_S = 0.5
RETRY_S = 0.2


class NaiveView(typing.NamedTuple):
    """A version, the patch that made it and the value that it set."""

    version: int
    patch_id: str
    value: float


class NaiveConfiguration:
    """The last writer wins."""

    def __init__(self, log: provider_interfaces.Log, stream: str):
        self._log = log
        self._stream = stream
        self._offset = 0
        self.view = NaiveView(0, "", 0.0)
        self.reverted = 0

    async def run(self) -> None:
        """Take whatever the log brings until cancelled."""
        while True:
            try:
                page = await self._log.read(self._stream, self._offset, wait_s=POLL_S)
            except errors.PlatformError:
                await asyncio.sleep(RETRY_S)
                continue
            for record in page.records:
                self._offset = record.offset + 1
                self._take(NaiveView(**record.data))

    def _take(self, view: NaiveView) -> None:
        if view.version < self.view.version:
            self.reverted += 1
        self.view = view

    async def submit(self, base: int, patch_id: str, value: float) -> bool:
        """Return whether the patch was accepted by this entry's own view."""
        if base != self.view.version:
            return False
        self._take(NaiveView(base + 1, patch_id, value))
        with contextlib.suppress(errors.PlatformError):
            await self._log.append(self._stream, [self.view._asdict()])
        return True
