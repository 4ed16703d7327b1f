"""
Which entry to try next, and when a request has failed for good.

An error carries the worst verdict of all tries: a "not run" from one entry says
nothing of a try at another that was left without an answer, so only tries that
all prove it leave NOT_RUN.
"""

import asyncio
import typing

from acaciaward import httpclient, verdicts
from acaciaward.client import entries, refusals, streaming

MAX_TRIES = 8
PAUSE_BETWEEN_TRIES_S = 0.1
RETRIED_STATUSES = frozenset({refusals.NO_STATUS, 429, 502, 503, 504})


class Tries:
    """The tries of one request; ``headers`` are those that it is sent with."""

    def __init__(
        self,
        known: entries.Entries,
        headers: dict[str, str],
        *,
        max_tries: int = MAX_TRIES,
    ):
        self._max_tries = max_tries
        self._known = known
        self._headers = headers
        self._count = 0
        self._may_have_run = False
        self._wanted: entries.Address | None = None

    async def next_entry(self) -> entries.Address:
        """Return the entry that was named, or the next one in turn."""
        wanted, self._wanted = self._wanted, None
        return wanted or await self._known.next()

    async def after_failure(
        self,
        entry: entries.Address,
        error: httpclient.HttpError | refusals.CallerError,
        *,
        is_final: bool = False,
    ) -> None:
        """Wait as the entry asked, or raise the request's final error."""
        if isinstance(error, streaming.MovedError):
            self._known.forget(entry)
            self._wanted = error.entry
            return
        self._count += 1
        pause_s = PAUSE_BETWEEN_TRIES_S
        if isinstance(error, httpclient.HttpError):
            self._known.forget(entry)
            pause_s *= self._count - 1
            error = refusals.from_transport(error)
        self._note_verdict(error)
        is_retried = error.status in RETRIED_STATUSES and self._count < self._max_tries
        if is_final or not is_retried:
            self._raise(error)
        await asyncio.sleep(error.retry_after_s or pause_s)

    def after_loss(self, error: refusals.CallerError) -> None:
        """Count a stream that can't be taken up, or raise after too many."""
        self._count += 1
        if self._count >= self._max_tries:
            self._raise(error)

    def _note_verdict(self, error: refusals.CallerError) -> None:
        self._may_have_run |= error.verdict is verdicts.Verdict.MAY_HAVE_RUN
        if self._may_have_run:
            self._headers["x-resend"] = "true"

    def _raise(self, error: refusals.CallerError) -> typing.NoReturn:
        if self._may_have_run and error.verdict is verdicts.Verdict.NOT_RUN:
            error.verdict = verdicts.Verdict.MAY_HAVE_RUN
        raise error
