"""
Reads the frames of the attempts at one answer, of which there may be two at a time.

    async with races.Race() as race:
        first = race.start(endpoint, frames, counted)
        arrival = await race.next_arrival(silence_s)  # None: nothing came

Each attempt is read by a task of its own, so that waiting for a frame can end without
ending the attempt.
"""

import asyncio
import contextlib
import logging
import types
import typing
from collections import abc

from acaciaward import errors, requests, verdicts
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import interfaces as evacuation_interfaces
from acaciaward.observability import logs

log = logging.getLogger(__name__)


class Attempt(typing.NamedTuple):
    """
    One attempt at an answer.

    ``computes`` is False if the attempt only reads a stream that its engine has already
    begun, and ``is_import`` is True if the engine imports the KV cache of a move.
    """

    endpoint: requests.Endpoint
    frames: abc.AsyncIterator[endpoints_interfaces.EngineFrame]
    computes: bool = True
    is_import: bool = False


class Failure(typing.NamedTuple):
    """How the last attempt at an answer failed."""

    endpoint: requests.Endpoint
    error: errors.EndpointError


class Contender:
    """
    An attempt that is being read.

    ``started`` is its first frame and ``running`` what evacuation knows of it, each
    None before.
    """

    def __init__(self, attempt: Attempt, counted: contextlib.AbstractContextManager):
        self.attempt = attempt
        self.started: endpoints_interfaces.StreamStarted | None = None
        self.running: evacuation_interfaces.RunningStream | None = None
        self.is_over = False
        self.reading: asyncio.Task | None = None
        self._began_at = asyncio.get_running_loop().time()
        self._counted = counted
        self._counted.__enter__()

    @property
    def age_s(self) -> float:
        """How long ago the attempt began, in seconds."""
        return asyncio.get_running_loop().time() - self._began_at

    def end(self, reason: BaseException | None) -> None:
        """Stop reading; the attempt is answered if there is no ``reason``."""
        if self.is_over:
            return
        self.is_over = True
        self.reading.cancel()
        # The context manager raises nothing but the reason, and that it returns.
        self._counted.__exit__(type(reason) if reason else None, reason, None)


class Arrival(typing.NamedTuple):
    """A frame that came for an attempt, or the error that ended it."""

    contender: Contender
    result: endpoints_interfaces.EngineFrame | Exception


def silence() -> errors.EndpointError:
    """Return the failure of an attempt whose endpoint is silent."""
    return errors.EndpointError(
        "silent for too long", verdict=verdicts.Verdict.MAY_HAVE_RUN
    )


class Race:
    """The attempts at one answer that run."""

    def __init__(self):
        self._contenders: list[Contender] = []
        # Frames are read only as fast as the answer's caller takes them.
        self._arrivals: asyncio.Queue[Arrival] = asyncio.Queue(maxsize=1)

    @property
    def running(self) -> list[Contender]:
        """The attempts that haven't ended, the oldest first."""
        return [one for one in self._contenders if not one.is_over]

    async def __aenter__(self) -> "Race":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for contender in self.running:
            contender.end(asyncio.CancelledError())
        tasks = [contender.reading for contender in self._contenders]
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(
        self, attempt: Attempt, counted: contextlib.AbstractContextManager
    ) -> Contender:
        """Begin to read an attempt; ``counted`` is entered until it ends."""
        contender = Contender(attempt, counted)
        contender.reading = asyncio.create_task(self._read(contender))
        self._contenders.append(contender)
        return contender

    def rivals_of(self, contender: Contender) -> list[Contender]:
        """Return the other attempts that run."""
        return [one for one in self.running if one is not contender]

    async def next_arrival(self, timeout_s: float) -> Arrival | None:
        """Return what comes next, or None if nothing came for so long, in seconds."""
        while True:
            try:
                async with asyncio.timeout(timeout_s):
                    arrival = await self._arrivals.get()
            except TimeoutError:
                return None
            if not arrival.contender.is_over:
                return arrival

    async def _read(self, contender: Contender) -> None:
        result: Exception = errors.EndpointError(
            "stream ended without its final frame",
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )
        try:
            async with contextlib.aclosing(contender.attempt.frames) as frames:
                async for frame in frames:
                    await self._arrivals.put(Arrival(contender, frame))
        except Exception as error:
            # It is raised where the answer is put together.
            result = error
        if contender.is_over:
            # Nobody takes arrivals any more.
            log.info(
                "attempt that was left ended with an error",
                extra=logs.fields(
                    endpoint=contender.attempt.endpoint.name, reason=result
                ),
            )
            return
        await self._arrivals.put(Arrival(contender, result))
