"""
Runs a further attempt of a call beside one whose endpoint is silent.

A sound endpoint may be silent for a second, so its attempt isn't given up for a mere
alternative, which may refuse, or be silent, too. The first attempt that brings what the
caller doesn't have yet goes on with the answer, and the other one is cancelled. An
attempt that fails leaves the other one as it is.

    async with hedging.Hedge(progress) as hedge:
        is_answered = await hedge.run(run_attempt, prepare_backup)

The retry budget bounds how often that is done.
"""

import asyncio
import logging
import types
import typing
from collections import abc

from acaciaward.gateway import callprogress, errors, metrics
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Both endpoints work on a call for at most this long after the later one has begun to
# answer; more than 0.4 s would count as running it twice.
MAX_OVERLAP_S = 0.25

SUPERSEDED_REASON = "silent, and another endpoint goes on with the answer"


class Source(typing.Protocol):
    """The connection that an attempt waits on for bytes of its answer."""

    def interrupt(self, error: errors.BrokenOffError) -> None:
        """Raise an error in the call that waits for bytes, or will next."""


# Runs an attempt that is added to the hedge, and returns whether the call is answered.
RunAttempt = abc.Callable[["Contender"], abc.Awaitable[bool]]
# Returns what runs a further attempt; raises ``NoBackupError`` if there can be none.
PrepareBackup = abc.Callable[[], RunAttempt]


class NoBackupError(Exception):
    """A call can't be sent once more now; the message says why."""


class Contender:
    """One attempt of a call, of which there may be two at a time."""

    def __init__(self, hedge: "Hedge", prepare_backup: PrepareBackup):
        self._hedge = hedge
        self._prepare_backup = prepare_backup
        self.is_superseded = False
        self.has_head = self.has_event = False
        self._last_decision = ""
        self.source: Source | None = None
        self.task: asyncio.Task | None = None

    @property
    def has_rival(self) -> bool:
        """Whether another attempt of the call runs."""
        return self._hedge.has_rival(self)

    def start_backup(self) -> None:
        """Run a further attempt beside this one, if there is none and there can be."""
        if self.has_rival or self.is_superseded:
            return
        try:
            run_attempt = self._prepare_backup()
        except NoBackupError as error:
            self._record_silence(str(error))
            return
        self._record_silence("another endpoint is asked")
        self._hedge.start(run_attempt, self._prepare_backup)

    def _record_silence(self, decision: str) -> None:
        """Log what is done about a silent endpoint, unless that's as before."""
        if decision == self._last_decision:
            return
        self._last_decision = decision
        self._hedge.log_silence(decision)

    def claim(self) -> None:
        """
        Go on with the answer, and cancel the other attempt.

        Raises ``SilentError`` if the other one has done so before.
        """
        self.check()
        self._hedge.cancel_rivals(self)

    def check(self) -> None:
        """Raise ``SilentError`` if another attempt goes on with the answer."""
        if self.is_superseded:
            raise errors.SilentError(SUPERSEDED_REASON)

    def record_head(self, *, is_success: bool) -> None:
        """Record that the answer's head has come, and claim the answer if it's late."""
        self.has_head = True
        if is_success and self.has_rival:
            self._hedge.call_later(MAX_OVERLAP_S, self._claim_late)

    def _claim_late(self) -> None:
        if self._hedge.is_running(self) and not self.is_superseded:
            self._hedge.cancel_rivals(self)

    def supersede(self) -> None:
        """End the attempt, as another one goes on with the answer."""
        self.is_superseded = True
        if self.source is not None:
            self.source.interrupt(errors.SilentError(SUPERSEDED_REASON))
        elif self.task is not None:
            self.task.cancel()


class Hedge:
    """The attempts of one call that run, one or two."""

    def __init__(self, progress: callprogress.Progress):
        self._progress = progress
        self._running: list[Contender] = []
        self._tasks: list[asyncio.Task] = []
        self._timers: list[asyncio.TimerHandle] = []

    async def __aenter__(self) -> "Hedge":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for timer in self._timers:
            timer.cancel()
        if not self._tasks:
            return
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception) and result is not error:
                log.info(
                    "backup attempt ended with an error",
                    extra=logs.fields(
                        request=self._progress.call.attempt_id, reason=repr(result)
                    ),
                )

    async def run(self, run_attempt: RunAttempt, prepare_backup: PrepareBackup) -> bool:
        """
        Run an attempt and its backups; return whether the call is answered.

        If the attempt fails, one that still runs beside it may answer.
        """
        contender = Contender(self, prepare_backup)
        self._running.append(contender)
        refusal: callprogress.RefusedError | None = None
        try:
            if await run_attempt(contender):
                return True
        except callprogress.RefusedError as error:
            refusal = error
        finally:
            self._running.remove(contender)
        while pending := [task for task in self._tasks if not task.done()]:
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        # One that was superseded before it began is cancelled.
        answered = [not task.cancelled() and task.result() for task in self._tasks]
        if refusal is not None and not any(answered):
            raise refusal
        return any(answered)

    def is_running(self, contender: Contender) -> bool:
        """Return whether an attempt hasn't ended."""
        return contender in self._running

    def has_rival(self, contender: Contender) -> bool:
        """Return whether another attempt than this one runs."""
        return any(one is not contender for one in self._running)

    def start(self, run_attempt: RunAttempt, prepare_backup: PrepareBackup) -> None:
        """Run a further attempt as a task."""
        contender = Contender(self, prepare_backup)
        self._running.append(contender)
        contender.task = asyncio.get_running_loop().create_task(
            self._run_backup(contender, run_attempt)
        )
        contender.task.add_done_callback(lambda _: self._running.remove(contender))
        self._tasks.append(contender.task)

    async def _run_backup(self, contender: Contender, run_attempt: RunAttempt) -> bool:
        result = "failed"
        try:
            if await run_attempt(contender):
                result = "answered"
        except (callprogress.RefusedError, NoBackupError) as refusal:
            # Only this attempt ends; another one may go on.
            log.info(
                "backup attempt refused",
                extra=logs.fields(
                    request=self._progress.call.attempt_id, reason=refusal
                ),
            )
        except asyncio.CancelledError:
            result = "not needed"
            if not contender.is_superseded:
                raise
        finally:
            metrics.BACKUPS.labels(result).inc()
        return result == "answered"

    def log_silence(self, decision: str) -> None:
        """Log what is done about a silent endpoint of the call."""
        progress = self._progress
        log.info(
            "endpoint is silent",
            extra=logs.fields(
                request=progress.call.attempt_id,
                decision=decision,
                last_event=progress.last_delivered_id,
                sends=progress.sends,
            ),
        )

    def cancel_rivals(self, contender: Contender) -> None:
        """Let one attempt go on alone."""
        for rival in list(self._running):
            if rival is not contender:
                rival.supersede()

    def call_later(self, delay_s: float, callback: abc.Callable[[], None]) -> None:
        """Call back unless the call has ended by then."""
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(delay_s, callback))
