"""
Model requests: one answer put together over as many attempts as it takes.

An attempt ends in one of four ways: with the whole answer, with a move that the
evacuation began, with a failure, or because its reader went away or left the
stream to another entry.
"""

import asyncio
import contextlib
import typing
import uuid
from collections import abc

from acaciaward import errors, requests, verdicts
from acaciaward.admission import interfaces as admission_interfaces
from acaciaward.dispatch import assembler, attempts, work
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import interfaces as evacuation_interfaces

NO_TARGET_PAUSE_S = 0.1
MOVE_TIMEOUT_S = 8.0


class Opened(typing.NamedTuple):
    """A stream began, or went on, at an endpoint."""

    endpoint: str
    stream: str


StreamEvent = Opened | requests.TokenFrame | requests.Completion


class TakenUp(typing.NamedTuple):
    """
    A stream that another entry began, to be read on from its engine.

    Tokens up to ``last_index`` are with the caller already; ``delivered`` holds
    their texts if the caller could prove them, and is empty otherwise. The
    endpoint is None if the configuration no longer has it.
    """

    endpoint: requests.Endpoint | None
    stream: str
    last_index: int
    delivered: tuple[str, ...] = ()


class StreamControl:
    """
    Lets the reader of a stream leave it to another entry.

    Closing the events of a stream cancels it at its engine, unless
    ``is_handed_over`` was set before. ``opened`` is where the stream was opened
    last, and ``tokens`` what has been passed on.
    """

    def __init__(self):
        self.is_handed_over = False
        self.opened: Opened | None = None
        self.tokens = assembler.StreamAssembler()


class _Answer:
    """Everything that the attempts at one answer share."""

    def __init__(
        self,
        request: requests.Request,
        ticket: admission_interfaces.Ticket,
        control: StreamControl,
        taken_up: TakenUp | None,
    ):
        self.request = request
        self.ticket = ticket
        self.control = control
        self.last_index = taken_up.last_index if taken_up else -1
        self.tokens = assembler.StreamAssembler(taken_up.delivered if taken_up else ())
        self.work = work.WorkCount(request, has_begun=taken_up is not None)
        self.move = evacuation_interfaces.Move()
        self.cause = evacuation_interfaces.Cause.LOSS
        self.running: evacuation_interfaces.RunningStream | None = None
        self.is_whole = False
        control.tokens = self.tokens

    @property
    def can_go_on(self) -> bool:
        """Whether the texts of all tokens that the caller has are known here."""
        return self.tokens.count > self.last_index

    @property
    def is_moving(self) -> bool:
        """Whether the evacuation ended the last attempt."""
        return self.running is not None and self.running.moving is not None

    def take_move(self) -> evacuation_interfaces.Move:
        """Return where the next attempt goes; the one after is chosen anew."""
        move, self.move = self.move, evacuation_interfaces.Move()
        return move


class _Attempt(typing.NamedTuple):
    endpoint: requests.Endpoint
    frames: abc.AsyncIterator[endpoints_interfaces.EngineFrame]
    computes: bool = True
    is_import: bool = False


class StreamDispatcher:
    """Runs model requests."""

    def __init__(
        self, collaborators: attempts.Collaborators, runner: attempts.AttemptRunner
    ):
        self._with = collaborators
        self._runner = runner
        self._cancels: set[asyncio.Task] = set()

    async def stream(
        self,
        request: requests.Request,
        *,
        taken_up: TakenUp | None = None,
        control: StreamControl | None = None,
    ) -> abc.AsyncIterator[StreamEvent]:
        """
        Run a model request and yield its events.

        Tokens come once each and in order, whatever happens to endpoints, and
        the last event is a ``Completion``. Raises ``StreamGoneError`` when a
        stream that was begun elsewhere can't be taken up.
        """
        self._with.quarantine.check(request)
        ticket = await self._with.admission.admit(request)
        answer = _Answer(request, ticket, control or StreamControl(), taken_up)
        progress = attempts.Progress(request)
        try:
            if taken_up is not None:
                answer.cause = evacuation_interfaces.Cause.RESUME
            if taken_up is not None and taken_up.endpoint is not None:
                async with contextlib.aclosing(
                    self._take_up(answer, progress, taken_up)
                ) as events:
                    async for event in events:
                        yield event
            if not answer.can_go_on:
                raise errors.StreamGoneError("the stream can't be taken up any more")
            while not answer.is_whole:
                attempt = await self._next_attempt(answer, progress)
                async with contextlib.aclosing(
                    self._run(answer, progress, attempt)
                ) as events:
                    async for event in events:
                        yield event
        finally:
            self._with.admission.release(ticket)

    async def _take_up(
        self, answer: _Answer, progress: attempts.Progress, taken_up: TakenUp
    ) -> abc.AsyncIterator[StreamEvent]:
        frames = self._with.engine.resume(
            taken_up.endpoint,
            stream=taken_up.stream,
            request=answer.request,
            from_index=answer.tokens.count,
        )
        attempt = _Attempt(taken_up.endpoint, frames, computes=False)
        try:
            async with contextlib.aclosing(self._read(answer, attempt)) as events:
                async for event in events:
                    yield event
        except errors.EndpointError as error:
            progress.note_failure(taken_up.endpoint, error)
        await self._take_in_move(answer)

    async def _next_attempt(
        self, answer: _Answer, progress: attempts.Progress
    ) -> _Attempt:
        move = answer.take_move()
        endpoint = move.target or await self._choose(answer, progress)
        order = endpoints_interfaces.GenerateOrder(
            attempt=uuid.uuid4().hex,
            request=answer.request,
            delivered=tuple(answer.tokens.texts),
            priority=answer.ticket.priority,
            cache_salt=answer.request.organisation,
            deadline_s=self._runner.time_left(answer.request),
            kv_handle=move.kv_handle,
        )
        frames = self._with.engine.generate(endpoint, order)
        return _Attempt(endpoint, frames, is_import=move.kv_handle is not None)

    async def _choose(
        self, answer: _Answer, progress: attempts.Progress
    ) -> requests.Endpoint:
        # A request that has begun was accepted: while endpoints are full or
        # gone it waits for one until its deadline.
        while True:
            try:
                await self._runner.prepare(progress)
                return self._runner.choose(progress)
            except errors.NoEndpointError:
                if not answer.work.has_begun:
                    raise
                progress.attempts -= 1
                progress.excluded.clear()
            await asyncio.sleep(NO_TARGET_PAUSE_S)

    async def _run(
        self, answer: _Answer, progress: attempts.Progress, attempt: _Attempt
    ) -> abc.AsyncIterator[StreamEvent]:
        try:
            async with contextlib.aclosing(self._read(answer, attempt)) as events:
                async for event in events:
                    yield event
        except errors.EndpointError as error:
            is_reclaim = self._with.evacuation.is_leaving(attempt.endpoint.name)
            answer.cause = (
                evacuation_interfaces.Cause.RECLAIM
                if is_reclaim
                else evacuation_interfaces.Cause.LOSS
            )
            if not answer.is_moving:
                await self._runner.after_failure(progress, attempt.endpoint, error)
        await self._take_in_move(answer)

    async def _take_in_move(self, answer: _Answer) -> None:
        if answer.is_whole or not answer.is_moving:
            return
        answer.cause = evacuation_interfaces.Cause.RECLAIM
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                answer.move = await asyncio.shield(answer.running.moving)
        answer.running = None

    async def _read(
        self, answer: _Answer, attempt: _Attempt
    ) -> abc.AsyncIterator[StreamEvent]:
        answer.running = None
        with self._runner.counted(attempt.endpoint, answer.request):
            try:
                async with contextlib.aclosing(attempt.frames) as frames:
                    async for frame in frames:
                        for event in self._take_frame(answer, attempt, frame):
                            yield event
                        if isinstance(frame, requests.Completion):
                            return
                raise errors.EndpointError(
                    "stream ended without its final frame",
                    verdict=verdicts.Verdict.MAY_HAVE_RUN,
                )
            finally:
                self._end_attempt(answer)

    def _take_frame(
        self,
        answer: _Answer,
        attempt: _Attempt,
        frame: endpoints_interfaces.EngineFrame,
    ) -> list[StreamEvent]:
        """Take a frame in and return the event for the caller, if there is one."""
        if isinstance(frame, endpoints_interfaces.StreamStarted):
            return [self._take_start(answer, attempt, frame)]
        if isinstance(frame, requests.TokenFrame):
            is_new = answer.tokens.accept(frame) and frame.index > answer.last_index
            return [frame] if is_new else []
        if answer.is_moving and frame.finish_reason not in assembler.WHOLE_REASONS:
            return []
        return [self._take_end(answer, frame)]

    def _take_start(
        self,
        answer: _Answer,
        attempt: _Attempt,
        started: endpoints_interfaces.StreamStarted,
    ) -> Opened:
        if attempt.computes:
            answer.work.note_start(
                started,
                answer.tokens.count,
                answer.cause,
                is_import=attempt.is_import,
            )
        answer.running = evacuation_interfaces.RunningStream(
            answer.request,
            attempt.endpoint,
            started.stream,
            answer.ticket.priority,
            lambda: answer.tokens.count,
        )
        self._with.evacuation.add(answer.running)
        answer.control.opened = Opened(attempt.endpoint.name, started.stream)
        return answer.control.opened

    def _take_end(
        self, answer: _Answer, frame: requests.Completion
    ) -> requests.Completion:
        if not answer.can_go_on:
            raise errors.EndpointError(
                "stream ended before what its caller has",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        completion = answer.tokens.finish(frame)
        answer.is_whole = True
        self._with.admission.charge(
            answer.ticket,
            input_tokens=completion.prompt_tokens,
            output_tokens=completion.count,
        )
        return completion._replace(recomputed_tokens=answer.work.recomputed_tokens)

    def _end_attempt(self, answer: _Answer) -> None:
        running = answer.running
        if running is None:
            return
        self._with.evacuation.remove(running)
        if answer.is_whole or answer.is_moving or answer.control.is_handed_over:
            return
        # Nobody waits for a cancel: an endpoint that can't be reached would
        # hold up the next attempt.
        cancel = asyncio.ensure_future(
            self._cancel_quietly(running.endpoint, running.stream)
        )
        self._cancels.add(cancel)
        cancel.add_done_callback(self._cancels.discard)

    async def _cancel_quietly(self, endpoint: requests.Endpoint, stream: str) -> None:
        try:
            await self._with.engine.cancel(endpoint, stream)
        except errors.EndpointError:
            # An endpoint that can't be reached has nothing left to cancel.
            pass
