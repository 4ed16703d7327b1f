"""
The naive configuration: each entry checks patches against its own view.

An entry that receives a patch compares its base with the entry's own version,
answers at once and appends the result to the log; the others apply whichever record
arrives last. Experiments compare it with the configuration of this project, where
only the log's order decides which patch is accepted.
"""

import asyncio
import contextlib
import typing

from acaciaward import errors
from acaciaward.provider import interfaces as provider_interfaces

POLL_S = 0.5
RETRY_S = 0.2


class NaiveView(typing.NamedTuple):
    """A version, the patch that created it and the value that it set."""

    version: int
    patch_id: str
    value: float


class NaiveConfiguration:
    """
    A configuration value where the last writer wins.

    ``reverted`` counts the records that took the view to an older version.
    """

    def __init__(self, log: provider_interfaces.Log, stream: str):
        self._log = log
        self._stream = stream
        self._offset = 0
        self.view = NaiveView(0, "", 0.0)
        self.reverted = 0

    async def run(self) -> None:
        """Apply every record of the log until cancelled."""
        while True:
            try:
                page = await self._log.read(self._stream, self._offset, wait_s=POLL_S)
            except errors.PlatformError:
                await asyncio.sleep(RETRY_S)
                continue
            for record in page.records:
                self._offset = record.offset + 1
                self._apply(NaiveView(**record.data))

    def _apply(self, view: NaiveView) -> None:
        if view.version < self.view.version:
            self.reverted += 1
        self.view = view

    async def submit(self, base: int, patch_id: str, value: float) -> bool:
        """Apply a patch if its base is this entry's version; return whether it was."""
        if base != self.view.version:
            return False
        self._apply(NaiveView(base + 1, patch_id, value))
        with contextlib.suppress(errors.PlatformError):
            await self._log.append(self._stream, [self.view._asdict()])
        return True
