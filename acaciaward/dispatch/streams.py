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
from acaciaward.dispatch import assembler, attempts, races, recomputation
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import interfaces as evacuation_interfaces

NO_ENDPOINT_RETRY_S = 0.1
MOVE_TIMEOUT_S = 8.0
# How often another endpoint is looked for while one is silent.
BACKUP_RETRY_S = 0.1


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
        self.failure: races.Failure | None = None
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

    def pop_failure(self) -> races.Failure | None:
        """Return how the last attempt failed, if it did, and reset it."""
        failure, self.failure = self.failure, None
        return failure


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
        attempt = races.Attempt(resumed.endpoint, frames, computes=False)
        async with contextlib.aclosing(self._read(answer, progress, attempt)) as events:
            async for event in events:
                yield event
        failure = answer.pop_failure()
        if failure is not None:
            progress.record_failure(failure.endpoint, failure.error)
        await self._await_move(answer)

    async def _next_attempt(
        self, answer: _Answer, progress: attempts.Progress
    ) -> races.Attempt:
        move = answer.pop_move()
        endpoint = move.target or await self._choose(answer, progress)
        return self._make_attempt(answer, endpoint, kv_handle=move.kv_handle)

    def _make_attempt(
        self,
        answer: _Answer,
        endpoint: requests.Endpoint,
        *,
        kv_handle: str | None = None,
    ) -> races.Attempt:
        order = endpoints_interfaces.GenerateOrder(
            attempt=uuid.uuid4().hex,
            request=answer.request,
            delivered=tuple(answer.tokens.texts),
            priority=answer.ticket.priority,
            cache_salt=answer.request.organisation,
            deadline_s=self._runner.time_left(answer.request),
            kv_handle=kv_handle,
        )
        frames = self._deps.engine.generate(endpoint, order)
        return races.Attempt(endpoint, frames, is_import=kv_handle is not None)

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
        self, answer: _Answer, progress: attempts.Progress, attempt: races.Attempt
    ) -> abc.AsyncIterator[StreamEvent]:
        async with contextlib.aclosing(self._read(answer, progress, attempt)) as events:
            async for event in events:
                yield event
        failure = answer.pop_failure()
        if failure is not None:
            answer.recompute_cause = self._cause_of_loss(failure.endpoint)
            if not answer.is_moving:
                await self._runner.after_failure(
                    progress, failure.endpoint, failure.error
                )
        await self._await_move(answer)

    def _cause_of_loss(
        self, endpoint: requests.Endpoint
    ) -> evacuation_interfaces.RecomputeCause:
        if self._deps.evacuation.is_leaving(endpoint.name):
            return evacuation_interfaces.RecomputeCause.RECLAIM
        return evacuation_interfaces.RecomputeCause.LOSS

    async def _await_move(self, answer: _Answer) -> None:
        if answer.is_complete or not answer.is_moving:
            return
        answer.recompute_cause = evacuation_interfaces.RecomputeCause.RECLAIM
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                answer.move = await asyncio.shield(answer.running.move_future)
        answer.running = None

    async def _read(
        self, answer: _Answer, progress: attempts.Progress, attempt: races.Attempt
    ) -> abc.AsyncIterator[StreamEvent]:
        """
        Read an attempt, and another one beside it while its engine is silent.

        The one that brings the next token goes on alone. If all fail, the last failure
        is that of the answer.
        """
        answer.running = None
        async with races.Race() as race:
            race.start(attempt, self._runner.counted(attempt.endpoint, answer.request))
            wait_s = self._runner.silence_s
            try:
                while not answer.is_complete:
                    left_s = self._runner.time_left(answer.request)
                    arrival = await race.next_arrival(min(wait_s, left_s))
                    arrival = arrival or self._ask_another(answer, progress, race)
                    if arrival is None:
                        wait_s = BACKUP_RETRY_S
                        continue
                    wait_s = self._runner.silence_s
                    contender, result = arrival
                    try:
                        events = self._process(answer, progress, race, arrival)
                    except errors.EndpointError as error:
                        self._leave(answer, contender, error)
                        if self._may_go_on(answer, race, error):
                            answer.recompute_cause = self._cause_of_loss(
                                contender.attempt.endpoint
                            )
                            self._runner.record_failure(
                                progress, contender.attempt.endpoint, error
                            )
                            continue
                        answer.failure = races.Failure(
                            contender.attempt.endpoint, error
                        )
                        return
                    for event in events:
                        yield event
                    if isinstance(result, requests.Completion):
                        self._leave(answer, contender, None)
                        return
            finally:
                for contender in race.running:
                    self._leave(answer, contender, asyncio.CancelledError())

    def _ask_another(
        self, answer: _Answer, progress: attempts.Progress, race: races.Race
    ) -> races.Arrival | None:
        """
        Begin another attempt beside one that is silent, if that is allowed.

        Returns the failure of the oldest one if it isn't waited for any more.
        """
        running = race.running
        self._runner.check_deadline(progress)
        if answer.is_moving or not answer.has_delivered_texts:
            return races.Arrival(running[0], races.silence())
        if len(running) > 1 and running[-1].age_s < self._runner.silence_s:
            return None
        endpoint = self._runner.choose_beside(
            progress, [one.attempt.endpoint for one in running]
        )
        if endpoint is None:
            return None
        attempt = self._make_attempt(answer, endpoint)
        race.start(attempt, self._runner.counted(endpoint, answer.request))
        return races.Arrival(running[0], races.silence()) if len(running) > 1 else None

    @staticmethod
    def _may_go_on(
        answer: _Answer, race: races.Race, error: errors.EndpointError
    ) -> bool:
        """
        Return whether another attempt goes on after one has failed.

        A request that an endpoint may have died of goes on by the rules for suspects.
        """
        is_free = not answer.is_moving and not error.may_endpoint_have_died
        return is_free and bool(race.running)

    def _process(
        self,
        answer: _Answer,
        progress: attempts.Progress,
        race: races.Race,
        arrival: races.Arrival,
    ) -> list[StreamEvent]:
        """Process what came for an attempt and return the events for the caller."""
        contender, result = arrival
        if isinstance(result, Exception):
            raise result
        if isinstance(result, endpoints_interfaces.StreamStarted):
            contender.started = result
            # It isn't decided yet which of two attempts a caller could resume.
            return [] if race.rivals_of(contender) else self._open(answer, contender)
        if isinstance(result, requests.TokenFrame):
            if not answer.tokens.accept(result):
                return []
            self._claim(answer, progress, race, contender)
            is_new = result.index > answer.last_index
            return self._open(answer, contender) + ([result] if is_new else [])
        if answer.is_moving and result.finish_reason not in assembler.COMPLETE_REASONS:
            return []
        completion = self._process_completion(answer, result)
        self._claim(answer, progress, race, contender)
        return [*self._open(answer, contender), completion]

    def _claim(
        self,
        answer: _Answer,
        progress: attempts.Progress,
        race: races.Race,
        contender: races.Contender,
    ) -> None:
        """Let one attempt go on alone."""
        if contender.running is not answer.running:
            answer.running = None
        for rival in race.rivals_of(contender):
            if rival is race.running[0]:
                silence = races.silence()
                answer.recompute_cause = self._cause_of_loss(rival.attempt.endpoint)
                self._leave(answer, rival, silence)
                self._runner.record_failure(progress, rival.attempt.endpoint, silence)
            else:
                self._leave(answer, rival, asyncio.CancelledError())

    def _open(self, answer: _Answer, contender: races.Contender) -> list[StreamEvent]:
        """Tell where the stream runs, unless that is known."""
        started, attempt = contender.started, contender.attempt
        if started is None or contender.running is not None:
            return []
        if attempt.computes:
            answer.work.record_start(
                started,
                answer.tokens.count,
                answer.recompute_cause,
                is_import=attempt.is_import,
            )
        contender.running = answer.running = evacuation_interfaces.RunningStream(
            answer.request,
            attempt.endpoint,
            started.stream,
            answer.ticket.priority,
            lambda: answer.tokens.count,
        )
        self._deps.evacuation.add(answer.running)
        answer.control.last_opened = StreamOpened(attempt.endpoint.name, started.stream)
        return [answer.control.last_opened]

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

    def _leave(
        self, answer: _Answer, contender: races.Contender, reason: BaseException | None
    ) -> None:
        """End an attempt, and cancel its stream unless that goes on elsewhere."""
        contender.end(reason)
        if contender.running is not None:
            self._deps.evacuation.remove(contender.running)
        goes_on = (
            answer.is_complete or answer.is_moving or answer.control.is_handed_over
        )
        is_current = contender.running is not None and (
            contender.running is answer.running
        )
        if contender.started is None or (is_current and goes_on):
            return
        # The cancel isn't awaited: an unreachable endpoint would delay the next
        # attempt.
        cancel = asyncio.ensure_future(
            self._cancel_quietly(contender.attempt.endpoint, contender.started.stream)
        )
        self._cancels.add(cancel)
        cancel.add_done_callback(self._cancels.discard)

    async def _cancel_quietly(self, endpoint: requests.Endpoint, stream: str) -> None:
        try:
            await self._deps.engine.cancel(endpoint, stream)
        except errors.EndpointError:
            # An unreachable endpoint has nothing left to cancel.
            pass
