"""
What an entry that stops tells the requests that are open at it.

A stop goes through the phases in order. While LEAVING, answers ask for their
connection to be closed; HANDING_OVER sends model requests on to a peer; at
GIVING_UP every request that is still open ends with an answer.
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
    """How far the stop of an entry has come."""

    SERVING = 0
    LEAVING = 1
    HANDING_OVER = 2
    GIVING_UP = 3


class Drain:
    """
    Counts open requests and tells them of the phases of a stop.

        drain.enter(Phase.HANDING_OVER)
        await drain.wait_until_idle(5.0)  # True
    """

    def __init__(self, entries: discovery.Discovery, *, scheme: str = "http"):
        self._entries = entries
        self._scheme = scheme
        self._phase = Phase.SERVING
        self._open = 0
        self._cut = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._reached = {phase: asyncio.Event() for phase in Phase}

    @property
    def phase(self) -> Phase:
        """The phase of the stop."""
        return self._phase

    @property
    def cut_requests(self) -> int:
        """Number of requests that ended without their answer for the stop."""
        return self._cut

    @property
    def open_requests(self) -> int:
        """Number of requests whose answer isn't complete."""
        return self._open

    def enter(self, phase: Phase) -> None:
        """Go on to a phase; requests that wait for it are woken."""
        self._phase = max(self._phase, phase)
        for reached in Phase:
            if reached <= self._phase:
                self._reached[reached].set()

    async def reached(self, phase: Phase) -> None:
        """Wait until the stop has come to a phase."""
        await self._reached[phase].wait()

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

    def cut_error(self) -> errors.AttemptFailedError:
        """Count a request as cut and return the error that it ends with."""
        self._cut += 1
        return errors.AttemptFailedError(
            "the entry stopped before the answer was complete",
            retry_after_s=RETRY_AFTER_STOP_S,
        )

    @contextlib.contextmanager
    def counted(self) -> abc.Iterator[None]:
        """Count a request as open while the block runs."""
        self.add()
        try:
            yield
        finally:
            self.remove()

    async def wait_until_idle(self, timeout_s: float) -> bool:
        """Return whether no request was open before the time ran out."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_s)):
                await self._idle.wait()
        return self._idle.is_set()

    def choose_peer(self) -> discovery.EntryAddress | None:
        """Return an entry that callers can go to, or None."""
        entries = self._entries.answer()["entries"]
        return entries[0] if entries else None

    def location(self, peer: discovery.EntryAddress, path: str) -> str:
        """Return the URL of a path at a peer."""
        return f"{self._scheme}://{peer['address']}:{peer['port']}{path}"


async def finished(
    task: asyncio.Task,
    drain: Drain,
    phase: Phase,
    is_gone: abc.Callable[[], abc.Awaitable[bool]],
) -> bool:
    """
    Wait for a task and return whether it ended by itself.

    The wait ends early when the stop of the entry comes to ``phase``, or when
    ``is_gone`` says that the caller went away. The task then still runs.
    """
    stopping = asyncio.ensure_future(drain.reached(phase))
    try:
        while not task.done():
            await asyncio.wait(
                {task, stopping},
                timeout=DISCONNECT_POLL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not task.done() and (stopping.done() or await is_gone()):
                return False
        return True
    finally:
        stopping.cancel()
