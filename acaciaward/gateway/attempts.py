"""
One attempt of a call at one endpoint: sent, answered, passed on.

A stream that resumes goes on at another endpoint within the same answer, after the
last whole event that was passed on; any other answer is passed on once it is whole.
"""

import asyncio
import contextlib
import time

from acaciaward.catalogue import routes
from acaciaward.gateway import (
    callers,
    calls,
    decisions,
    errors,
    events,
    interfaces,
    life,
    links,
    silence,
)
from acaciaward.routing import occupancy

SERVER_ERROR = 500

# Answers that aren't streams are passed on whole up to this size, in bytes.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# An idempotent call is taken for hung after this many latency objectives.
HUNG_TARGETS = 1.5
# Not sent to an endpoint with less time than this left, in seconds.
LEAST_TIME_S = 0.005


class Attempts:
    """Makes the attempts of all calls."""

    def __init__(self, collaborators: interfaces.Collaborators):
        self._with = collaborators

    async def make(
        self,
        progress: life.Progress,
        work: occupancy.Work,
        responder: callers.Responder,
    ) -> bool:
        """Send the call to one endpoint; return whether its answer is a failure."""
        pool = self._with.pool
        link = await pool.take(work.endpoint, may_repeat=progress.route.may_repeat)
        try:
            left_s = progress.left_s
            if left_s < LEAST_TIME_S:
                raise TimeoutError
            forwarding = calls.Forwarding(
                work.endpoint.name,
                progress.organisation.name if progress.organisation else None,
                progress.rank,
                left_s,
                progress.delivered,
            )
            headers = self._with.codec.encode_forwarded(progress.call, forwarding)
            progress.sends += 1
            decisions.note_sent(progress, work, is_fresh=not link.exchanges)
            was_sent_before = progress.may_run
            progress.may_run = True
            with self._guard(progress, work, link):
                reply = await self._exchange(progress, link, headers)
                self._with.occupancy.note_heard(work.endpoint)
                head = reply.head
                if head.is_refusal:
                    progress.may_run = was_sent_before
                    await reply.read(MAX_BUFFERED_BYTES)
                elif head.is_signed:
                    await self._pass_on(progress, work, reply, responder)
                else:
                    raise errors.BrokenOffError(f"unsigned answer {head.status}")
        except errors.StaleLinkError:
            pool.note_stale(link)
            link.close()
            raise
        except BaseException:
            link.close()
            raise
        pool.give_back(link, head)
        if head.is_refusal:
            raise errors.NotRunError(
                f"refused with {head.status}",
                is_misdirected=head.is_misdirected,
                retry_after_s=head.retry_after_s,
            )
        return head.status >= SERVER_ERROR

    async def _exchange(
        self,
        progress: life.Progress,
        link: links.Link,
        headers: calls.Headers,
    ) -> links.Reply:
        call, route = progress.call, progress.route
        decode = self._with.codec.decode_reply
        is_idempotent = route.kind is routes.RequestKind.IDEMPOTENT
        if not is_idempotent or not self._can_go_on(progress, link.endpoint.service):
            return await link.exchange(call, headers, decode)
        hung_s = min(HUNG_TARGETS * route.target_s, progress.left_s / 2)
        try:
            async with asyncio.timeout(hung_s) as limit:
                return await link.exchange(call, headers, decode)
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise errors.SilentError(f"silent for {hung_s:.3f} s") from error

    async def _pass_on(
        self,
        progress: life.Progress,
        work: occupancy.Work,
        reply: links.Reply,
        responder: callers.Responder,
    ) -> None:
        is_stream = progress.route.kind is routes.RequestKind.STREAM
        if is_stream and reply.head.status < 300:
            await self._pass_stream(progress, work, reply, responder)
            return
        body = await reply.read(MAX_BUFFERED_BYTES)
        self._note_first_byte(progress, work)
        if responder.has_begun:
            # A resumed stream that is answered with an error can't go on.
            raise errors.BrokenOffError(f"resume answered {reply.head.status}")
        if self._deserves_repeat(progress, reply.head):
            raise errors.BrokenOffError(f"endpoint failed with {reply.head.status}")
        await responder.send(reply.head.status, reply.head.headers, body)

    def _deserves_repeat(self, progress: life.Progress, head: calls.ReplyHead) -> bool:
        route = progress.route
        return (
            head.status >= SERVER_ERROR
            and route.kind is routes.RequestKind.IDEMPOTENT
            and progress.sends < route.max_attempts
            and progress.left_s > route.target_s / 4
        )

    async def _pass_stream(
        self,
        progress: life.Progress,
        work: occupancy.Work,
        reply: links.Reply,
        responder: callers.Responder,
    ) -> None:
        splitter = events.EventSplitter()
        while (part := await reply.read_part()) is not None:
            self._with.occupancy.note_heard(work.endpoint)
            pieces = splitter.feed(part)
            fresh = [piece.data for piece in pieces if progress.take(piece)]
            if fresh:
                self._note_first_byte(progress, work)
                if not responder.has_begun:
                    await responder.start(reply.head.status, reply.head.headers)
                await responder.write(b"".join(fresh))
        if splitter.rest.strip():
            raise errors.BrokenOffError("stream ended inside an event")
        if not responder.has_begun:
            await responder.start(reply.head.status, reply.head.headers)
        await responder.finish()

    def _guard(
        self, progress: life.Progress, work: occupancy.Work, link: links.Link
    ) -> contextlib.AbstractContextManager:
        """Leave an endpoint that is silent if the answer can go on elsewhere."""
        if not progress.route.is_resumable:
            return contextlib.nullcontext()
        board = self._with.occupancy

        def is_left() -> bool:
            is_silent = board.is_silent(work.endpoint)
            return is_silent and self._can_go_on(progress, work.endpoint.service)

        return silence.Guard(link, is_left)

    def _can_go_on(self, progress: life.Progress, service: str) -> bool:
        """
        Return whether the call may be sent to another endpoint, and there is one.

        If not, a silent endpoint is waited for: it may still answer in time.
        """
        return (
            progress.sends < progress.route.max_attempts
            and self._with.repeats.has_room(service)
            and self._with.occupancy.has_other(service, progress.tried)
        )

    def _note_first_byte(self, progress: life.Progress, work: occupancy.Work) -> None:
        work.note_first_byte()
        if not progress.has_run:
            progress.has_run = True
            progress.first_byte_s = time.monotonic() - progress.call.received
            if progress.organisation is not None:
                self._with.note_run(progress.organisation.name)
