"""
Decides which entry to try next, and when a request has finally failed.

The final error carries the worst verdict of all tries. A "not run" from one entry
says nothing about a try at another entry that got no answer, so the verdict is
NOT_RUN only if every try proves it.
"""

import asyncio
import typing

from acaciaward import httpclient, verdicts
from acaciaward.client import callererrors, entries, streaming

MAX_TRIES = 8
RETRY_DELAY_S = 0.1
RETRYABLE_STATUSES = frozenset({callererrors.NO_STATUS, 429, 502, 503, 504})


class RetryState:
    """
    The retry state of one request.

    ``headers`` are those that the request is sent with; ``x-resend`` is added once
    a try may have run.
    """

    def __init__(
        self,
        known_entries: entries.Entries,
        headers: dict[str, str],
        *,
        max_tries: int = MAX_TRIES,
    ):
        self._max_tries = max_tries
        self._entries = known_entries
        self._headers = headers
        self._failure_count = 0
        self._may_have_run = False
        self._moved_to: entries.Address | None = None

    async def next_entry(self) -> entries.Address:
        """Return the entry that the stream moved to, or the next one in rotation."""
        moved_to, self._moved_to = self._moved_to, None
        return moved_to or await self._entries.next()

    async def after_failure(
        self,
        entry: entries.Address,
        error: httpclient.HttpError | callererrors.CallerError,
        *,
        is_final: bool = False,
    ) -> None:
        """
        Wait for the retry delay, or raise the request's final error.

        A moved stream continues at once and doesn't count as a failure.
        """
        if isinstance(error, streaming.MovedError):
            self._entries.forget(entry)
            self._moved_to = error.entry
            return
        self._failure_count += 1
        retry_delay_s = RETRY_DELAY_S
        if isinstance(error, httpclient.HttpError):
            self._entries.forget(entry)
            # The first failure is retried at once, usually at another entry.
            retry_delay_s *= self._failure_count - 1
            error = callererrors.from_transport(error)
        self._record_verdict(error)
        is_retryable = (
            error.status in RETRYABLE_STATUSES and self._failure_count < self._max_tries
        )
        if is_final or not is_retryable:
            self._raise(error)
        await asyncio.sleep(error.retry_after_s or retry_delay_s)

    def after_stream_loss(self, error: callererrors.CallerError) -> None:
        """Count a stream that can't be resumed; raise after ``max_tries`` failures."""
        self._failure_count += 1
        if self._failure_count >= self._max_tries:
            self._raise(error)

    def _record_verdict(self, error: callererrors.CallerError) -> None:
        self._may_have_run |= error.verdict is verdicts.Verdict.MAY_HAVE_RUN
        if self._may_have_run:
            self._headers["x-resend"] = "true"

    def _raise(self, error: callererrors.CallerError) -> typing.NoReturn:
        if self._may_have_run and error.verdict is verdicts.Verdict.NOT_RUN:
            error.verdict = verdicts.Verdict.MAY_HAVE_RUN
        raise error
