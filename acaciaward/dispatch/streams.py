"""
Runs model requests; the answer may be assembled from several attempts.

An attempt ends in one of four ways: with the complete answer, with a move that the
evacuation started, with a failure, or because its consumer stopped reading or handed
the stream over to another entry. A move transfers a stream to another endpoint.
"""

import asyncio
import contextlib
import typing
import uuid
from collections import abc

from acaciaward import errors, requests, verdicts
from acaciaward.admission import interfaces as admission_interfaces
from acaciaward.dispatch import assembler, attempts, recomputation
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import interfaces as evacuation_interfaces

NO_ENDPOINT_RETRY_S = 0.1
MOVE_TIMEOUT_S = 8.0


class StreamOpened(typing.NamedTuple):
    """A stream began or continued at an endpoint."""

    endpoint: str
    stream: str


StreamEvent = StreamOpened | requests.TokenFrame | requests.Completion


class ResumedStream(typing.NamedTuple):
    """
    A stream that another entry began, to be continued here from its engine.

    The caller already has the tokens up to ``last_index``. ``delivered`` holds their
    texts if the caller could prove them, and is empty otherwise. The endpoint is None
    if it is no longer in the configuration.
    """

    endpoint: requests.Endpoint | None
    stream: str
    last_index: int
    delivered: tuple[str, ...] = ()


class StreamControl:
    """
    Lets the consumer of a stream hand it over to another entry.

    Closing the events of a stream cancels it at its engine, unless
    ``is_handed_over`` was set before. ``last_opened`` is where the stream was opened
    last, and ``tokens`` what has been delivered.
    """

    def __init__(self):
        self.is_handed_over = False
        self.last_opened: StreamOpened | None = None
        self.tokens = assembler.StreamAssembler()


class _Answer:
    """The state that the attempts at one answer share."""

    def __init__(
        self,
        request: requests.Request,
        ticket: admission_interfaces.Ticket,
        control: StreamControl,
        resumed: ResumedStream | None,
    ):
        self.request = request
        self.ticket = ticket
        self.control = control
        self.last_index = resumed.last_index if resumed else -1
        self.tokens = assembler.StreamAssembler(resumed.delivered if resumed else ())
        self.work = recomputation.RecomputedWork(request, has_begun=resumed is not None)
        self.move = evacuation_interfaces.Move()
        self.recompute_cause = evacuation_interfaces.RecomputeCause.LOSS
        self.running: evacuation_interfaces.RunningStream | None = None
        self.is_complete = False
        control.tokens = self.tokens

    @property
    def has_delivered_texts(self) -> bool:
        """Whether the texts of all tokens that the caller has are known here."""
        return self.tokens.count > self.last_index

    @property
    def is_moving(self) -> bool:
        """Whether the evacuation ended the last attempt."""
        return self.running is not None and self.running.move_future is not None

    def pop_move(self) -> evacuation_interfaces.Move:
        """Return the move for the next attempt and reset it."""
        move, self.move = self.move, evacuation_interfaces.Move()
        return move


class _Attempt(typing.NamedTuple):
    """
    One attempt at an answer.

    ``computes`` is False if the attempt only reads a stream that its engine has already
    begun, and ``is_import`` is True if the engine imports the KV cache of a move.
    """

    endpoint: requests.Endpoint
    frames: abc.AsyncIterator[endpoints_interfaces.EngineFrame]
    computes: bool = True
    is_import: bool = False


class StreamDispatcher:
    """Runs model requests."""

    def __init__(
        self, dependencies: attempts.Dependencies, runner: attempts.AttemptRunner
    ):
        self._deps = dependencies
        self._runner = runner
        self._cancels: set[asyncio.Task] = set()

    async def stream(
        self,
        request: requests.Request,
        *,
        resumed: ResumedStream | None = None,
        control: StreamControl | None = None,
    ) -> abc.AsyncIterator[StreamEvent]:
        """
        Run a model request and yield its events.

        Each token is yielded once and in order, whatever happens to endpoints, and
        the last event is a ``Completion``. Raises ``StreamGoneError`` if a stream
        that another entry began can't be continued.
        """
        self._deps.quarantine.check(request)
        ticket = await self._deps.admission.admit(request)
        answer = _Answer(request, ticket, control or StreamControl(), resumed)
        progress = attempts.Progress(request)
        try:
            if resumed is not None:
                answer.recompute_cause = evacuation_interfaces.RecomputeCause.RESUME
            if resumed is not None and resumed.endpoint is not None:
                async with contextlib.aclosing(
                    self._resume_from_engine(answer, progress, resumed)
                ) as events:
                    async for event in events:
                        yield event
            if not answer.has_delivered_texts:
                raise errors.StreamGoneError("the stream can't be taken up any more")
            while not answer.is_complete:
                attempt = await self._next_attempt(answer, progress)
                async with contextlib.aclosing(
                    self._run(answer, progress, attempt)
                ) as events:
                    async for event in events:
                        yield event
        finally:
            self._deps.admission.release(ticket)

    async def _resume_from_engine(
        self, answer: _Answer, progress: attempts.Progress, resumed: ResumedStream
    ) -> abc.AsyncIterator[StreamEvent]:
        frames = self._deps.engine.resume(
            resumed.endpoint,
            stream=resumed.stream,
            request=answer.request,
            from_index=answer.tokens.count,
        )
        attempt = _Attempt(resumed.endpoint, frames, computes=False)
        try:
            async with contextlib.aclosing(self._read(answer, attempt)) as events:
                async for event in events:
                    yield event
        except errors.EndpointError as error:
            progress.record_failure(resumed.endpoint, error)
        await self._await_move(answer)

    async def _next_attempt(
        self, answer: _Answer, progress: attempts.Progress
    ) -> _Attempt:
        move = answer.pop_move()
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
        frames = self._deps.engine.generate(endpoint, order)
        return _Attempt(endpoint, frames, is_import=move.kv_handle is not None)

    async def _choose(
        self, answer: _Answer, progress: attempts.Progress
    ) -> requests.Endpoint:
        # A request that has begun was accepted, so while no endpoint is available it
        # waits for one until its deadline.
        while True:
            try:
                await self._runner.prepare(progress)
                return self._runner.choose(progress)
            except errors.NoEndpointError:
                if not answer.work.has_begun:
                    raise
                progress.attempts -= 1
                progress.excluded.clear()
            await asyncio.sleep(NO_ENDPOINT_RETRY_S)

    async def _run(
        self, answer: _Answer, progress: attempts.Progress, attempt: _Attempt
    ) -> abc.AsyncIterator[StreamEvent]:
        try:
            async with contextlib.aclosing(self._read(answer, attempt)) as events:
                async for event in events:
                    yield event
        except errors.EndpointError as error:
            is_reclaim = self._deps.evacuation.is_leaving(attempt.endpoint.name)
            answer.recompute_cause = (
                evacuation_interfaces.RecomputeCause.RECLAIM
                if is_reclaim
                else evacuation_interfaces.RecomputeCause.LOSS
            )
            if not answer.is_moving:
                await self._runner.after_failure(progress, attempt.endpoint, error)
        await self._await_move(answer)

    async def _await_move(self, answer: _Answer) -> None:
        if answer.is_complete or not answer.is_moving:
            return
        answer.recompute_cause = evacuation_interfaces.RecomputeCause.RECLAIM
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                answer.move = await asyncio.shield(answer.running.move_future)
        answer.running = None

    async def _read(
        self, answer: _Answer, attempt: _Attempt
    ) -> abc.AsyncIterator[StreamEvent]:
        answer.running = None
        with self._runner.counted(attempt.endpoint, answer.request):
            try:
                async with contextlib.aclosing(attempt.frames) as frames:
                    async for frame in frames:
                        for event in self._process_frame(answer, attempt, frame):
                            yield event
                        if isinstance(frame, requests.Completion):
                            return
                raise errors.EndpointError(
                    "stream ended without its final frame",
                    verdict=verdicts.Verdict.MAY_HAVE_RUN,
                )
            finally:
                self._end_attempt(answer)

    def _process_frame(
        self,
        answer: _Answer,
        attempt: _Attempt,
        frame: endpoints_interfaces.EngineFrame,
    ) -> list[StreamEvent]:
        """Process a frame and return the event for the caller, if there is one."""
        if isinstance(frame, endpoints_interfaces.StreamStarted):
            return [self._process_start(answer, attempt, frame)]
        if isinstance(frame, requests.TokenFrame):
            is_new = answer.tokens.accept(frame) and frame.index > answer.last_index
            return [frame] if is_new else []
        if answer.is_moving and frame.finish_reason not in assembler.COMPLETE_REASONS:
            return []
        return [self._process_completion(answer, frame)]

    def _process_start(
        self,
        answer: _Answer,
        attempt: _Attempt,
        started: endpoints_interfaces.StreamStarted,
    ) -> StreamOpened:
        if attempt.computes:
            answer.work.record_start(
                started,
                answer.tokens.count,
                answer.recompute_cause,
                is_import=attempt.is_import,
            )
        answer.running = evacuation_interfaces.RunningStream(
            answer.request,
            attempt.endpoint,
            started.stream,
            answer.ticket.priority,
            lambda: answer.tokens.count,
        )
        self._deps.evacuation.add(answer.running)
        answer.control.last_opened = StreamOpened(attempt.endpoint.name, started.stream)
        return answer.control.last_opened

    def _process_completion(
        self, answer: _Answer, frame: requests.Completion
    ) -> requests.Completion:
        if not answer.has_delivered_texts:
            raise errors.EndpointError(
                "stream ended before what its caller has",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        completion = answer.tokens.finish(frame)
        answer.is_complete = True
        self._deps.admission.charge(
            answer.ticket,
            input_tokens=completion.prompt_tokens,
            output_tokens=completion.count,
        )
        return completion._replace(recomputed_tokens=answer.work.recomputed_tokens)

    def _end_attempt(self, answer: _Answer) -> None:
        running = answer.running
        if running is None:
            return
        self._deps.evacuation.remove(running)
        if answer.is_complete or answer.is_moving or answer.control.is_handed_over:
            return
        # The cancel isn't awaited: an unreachable endpoint would delay the next
        # attempt.
        cancel = asyncio.ensure_future(
            self._cancel_quietly(running.endpoint, running.stream_id)
        )
        self._cancels.add(cancel)
        cancel.add_done_callback(self._cancels.discard)

    async def _cancel_quietly(self, endpoint: requests.Endpoint, stream: str) -> None:
        try:
            await self._deps.engine.cancel(endpoint, stream)
        except errors.EndpointError:
            # An unreachable endpoint has nothing left to cancel.
            pass
