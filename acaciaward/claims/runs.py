"""
Tracks the claims that this process made, their states and their outcomes.

A run is one claim by this process, identified by its nonce. It may be dispatched
once, and never after it was given up. Ended runs are kept for later queries, limited
by age, number and total size of their answers.
"""

import asyncio
import collections
import contextlib
import enum
import time

from acaciaward import requests
from acaciaward.claims import interfaces

MAX_ENDED_RUNS = 20_000
MAX_TOTAL_ANSWER_BYTES = 16 * 1024 * 1024


class RunState(enum.Enum):
    """The progress of a claim by this process."""

    CLAIMING = "claiming"
    OWNED = "owned"
    DISPATCHED = "dispatched"
    GIVEN_UP = "given_up"
    FINISHED = "finished"


ENDED_STATES = frozenset({RunState.GIVEN_UP, RunState.FINISHED})


class Run:
    """
    One claim by this process.

    ``evaluated_at`` and ``ended_at`` are in seconds of the monotonic clock,
    ``deadline`` is in those of the event loop's clock.
    """

    def __init__(self, request: requests.Request, nonce: str):
        self.organisation = request.organisation
        self.key = request.key
        self.deadline = request.deadline
        self.nonce = nonce
        self.state = RunState.CLAIMING
        self.evaluated_at = 0.0
        self.outcome: interfaces.Outcome | None = None
        self.ended = asyncio.Event()
        self.ended_at = 0.0

    @property
    def answer_bytes(self) -> int:
        """Size of the stored answer's body."""
        answer = self.outcome.answer if self.outcome else None
        return len(answer.body) if answer else 0


class RunRegistry:
    """All runs of this process by nonce."""

    def __init__(
        self,
        *,
        retention_s: float,
        max_ended_runs: int = MAX_ENDED_RUNS,
        max_total_answer_bytes: int = MAX_TOTAL_ANSWER_BYTES,
    ):
        self._retention_s = retention_s
        self._max_ended_runs = max_ended_runs
        self._max_total_answer_bytes = max_total_answer_bytes
        self._runs: dict[str, Run] = {}
        self._ended_runs: collections.deque[Run] = collections.deque()
        self._total_answer_bytes = 0

    def __len__(self) -> int:
        return len(self._runs)

    def add(self, request: requests.Request, nonce: str) -> Run:
        """Add a run."""
        run = self._runs[nonce] = Run(request, nonce)
        return run

    def get(self, nonce: str) -> Run | None:
        """Return the run with this nonce, or None if it is unknown or was evicted."""
        return self._runs.get(nonce)

    def end(
        self, run: Run, state: RunState, outcome: interfaces.Outcome | None = None
    ) -> None:
        """Record the end of a run and wake up the tasks that wait for it."""
        if run.state in ENDED_STATES:
            return
        run.state = state
        run.outcome = outcome
        run.ended_at = time.monotonic()
        run.ended.set()
        self._ended_runs.append(run)
        self._total_answer_bytes += run.answer_bytes
        self._evict()

    async def wait(self, run: Run, wait_s: float) -> None:
        """Wait up to ``wait_s`` for the end of a run."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await run.ended.wait()

    def _evict(self) -> None:
        min_ended_at = time.monotonic() - self._retention_s
        while self._ended_runs and (
            self._ended_runs[0].ended_at < min_ended_at
            or len(self._ended_runs) > self._max_ended_runs
            or self._total_answer_bytes > self._max_total_answer_bytes
        ):
            run = self._ended_runs.popleft()
            self._total_answer_bytes -= run.answer_bytes
            self._runs.pop(run.nonce, None)
