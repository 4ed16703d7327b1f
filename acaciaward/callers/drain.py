"""
Counts the open requests of an entry and tracks the phases of its stop.

A stop goes through the phases in order. From LEAVING on, answers ask for their
connection to be closed; from HANDING_OVER on, model requests are redirected to a
peer; at ABORTING every request that is still open gets its final answer.
"""

import asyncio
import contextlib
import enum
from collections import abc

import prometheus_client

from acaciaward import errors
from acaciaward.callers import discovery

DISCONNECT_POLL_S = 0.2
RETRY_AFTER_STOP_S = 1.0

OPEN_REQUESTS = prometheus_client.Gauge(
    "acaciaward_open_requests", "Requests of callers that are open now"
)


class Phase(enum.IntEnum):
    """The phases of an entry's stop, in order."""

    SERVING = 0
    LEAVING = 1
    HANDING_OVER = 2
    ABORTING = 3


class Drain:
    """
    Counts open requests and lets their handlers wait for the phases of a stop.

        drain.enter(Phase.HANDING_OVER)
        await drain.wait_until_idle(5.0)  # True
    """

    def __init__(self, entries: discovery.Discovery, *, scheme: str = "http"):
        self._entries = entries
        self._scheme = scheme
        self._phase = Phase.SERVING
        self._open = 0
        self._aborted = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._phase_events = {phase: asyncio.Event() for phase in Phase}

    @property
    def phase(self) -> Phase:
        """The phase of the stop."""
        return self._phase

    @property
    def aborted_requests(self) -> int:
        """Number of requests that the stop ended without their answer."""
        return self._aborted

    @property
    def open_requests(self) -> int:
        """Number of requests whose answer isn't complete."""
        return self._open

    def enter(self, phase: Phase) -> None:
        """Enter a phase, unless a later one was entered, and wake its waiters."""
        self._phase = max(self._phase, phase)
        for reached_phase in Phase:
            if reached_phase <= self._phase:
                self._phase_events[reached_phase].set()

    async def wait_for_phase(self, phase: Phase) -> None:
        """Wait until the stop is in a phase or a later one."""
        await self._phase_events[phase].wait()

    def add(self) -> None:
        """Count a request as open."""
        self._open += 1
        OPEN_REQUESTS.inc()
        self._idle.clear()

    def remove(self) -> None:
        """Count a request as ended."""
        self._open -= 1
        OPEN_REQUESTS.dec()
        if not self._open:
            self._idle.set()

    def abort_request(self) -> errors.AttemptFailedError:
        """Count a request as aborted and return the error that it ends with."""
        self._aborted += 1
        return errors.AttemptFailedError(
            "the entry stopped before the answer was complete",
            retry_after_s=RETRY_AFTER_STOP_S,
        )

    @contextlib.contextmanager
    def track_request(self) -> abc.Iterator[None]:
        """Count a request as open while the block runs."""
        self.add()
        try:
            yield
        finally:
            self.remove()

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is open; return False if the time runs out first."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._idle.wait()
        return self._idle.is_set()

    def choose_peer(self) -> discovery.EntryAddress | None:
        """Return a live entry that callers can use instead, or None."""
        entries = self._entries.answer()["entries"]
        return entries[0] if entries else None

    def location(self, peer: discovery.EntryAddress, path: str) -> str:
        """Return the URL of a path at a peer."""
        return f"{self._scheme}://{peer['address']}:{peer['port']}{path}"


async def wait_until_done(
    task: asyncio.Task,
    drain: Drain,
    phase: Phase,
    is_caller_gone: abc.Callable[[], abc.Awaitable[bool]],
) -> bool:
    """
    Wait for a task and return whether it is done.

    The wait ends early when the stop of the entry reaches ``phase``, or when
    ``is_caller_gone`` says that the caller disconnected. The task then still runs.
    """
    phase_wait = asyncio.ensure_future(drain.wait_for_phase(phase))
    try:
        while not task.done():
            await asyncio.wait(
                {task, phase_wait},
                timeout=DISCONNECT_POLL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not task.done() and (phase_wait.done() or await is_caller_gone()):
                return False
        return True
    finally:
        phase_wait.cancel()
