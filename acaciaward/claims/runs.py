"""
The claims that this process made: what it may still do and what came of them.

A run is known by its nonce. It may be dispatched once; a run that was given up
never is. Finished runs are kept for later askers within bounds of time, number
and bytes.
"""

import asyncio
import collections
import contextlib
import enum
import time

from acaciaward import requests
from acaciaward.claims import interfaces

MAX_KEPT = 20_000
MAX_KEPT_BYTES = 16 * 1024 * 1024


class RunState(enum.Enum):
    """How far a claim of this process has come."""

    CLAIMING = "claiming"
    OWNED = "owned"
    DISPATCHED = "dispatched"
    GIVEN_UP = "given_up"
    FINISHED = "finished"


ENDED = frozenset({RunState.GIVEN_UP, RunState.FINISHED})


class Run:
    """One claim; ``judged_at`` is in seconds of the monotonic clock."""

    def __init__(self, request: requests.Request, nonce: str):
        self.organisation = request.organisation
        self.key = request.key
        self.deadline = request.deadline
        self.nonce = nonce
        self.state = RunState.CLAIMING
        self.judged_at = 0.0
        self.outcome: interfaces.Outcome | None = None
        self.ended = asyncio.Event()
        self.ended_at = 0.0

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answer that is kept."""
        answer = self.outcome.answer if self.outcome else None
        return len(answer.body) if answer else 0


class RunBook:
    """All runs of this process by nonce."""

    def __init__(
        self,
        *,
        kept_s: float,
        max_kept: int = MAX_KEPT,
        max_kept_bytes: int = MAX_KEPT_BYTES,
    ):
        self._kept_s = kept_s
        self._max_kept = max_kept
        self._max_kept_bytes = max_kept_bytes
        self._runs: dict[str, Run] = {}
        self._ended: collections.deque[Run] = collections.deque()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._runs)

    def begin(self, request: requests.Request, nonce: str) -> Run:
        """Add a run."""
        run = self._runs[nonce] = Run(request, nonce)
        return run

    def get(self, nonce: str) -> Run | None:
        """Return the run of a nonce, or None if it isn't known (any more)."""
        return self._runs.get(nonce)

    def end(
        self, run: Run, state: RunState, outcome: interfaces.Outcome | None = None
    ) -> None:
        """Note the end of a run and wake up who waits for it."""
        if run.state in ENDED:
            return
        run.state = state
        run.outcome = outcome
        run.ended_at = time.monotonic()
        run.ended.set()
        self._ended.append(run)
        self._bytes += run.kept_bytes
        self._forget()

    async def wait(self, run: Run, wait_s: float) -> None:
        """Wait a while for the end of a run."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await run.ended.wait()

    def _forget(self) -> None:
        oldest = time.monotonic() - self._kept_s
        while self._ended and (
            self._ended[0].ended_at < oldest
            or len(self._ended) > self._max_kept
            or self._bytes > self._max_kept_bytes
        ):
            run = self._ended.popleft()
            self._bytes -= run.kept_bytes
            self._runs.pop(run.nonce, None)
