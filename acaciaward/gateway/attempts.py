"""
Makes one attempt of a call at one endpoint and forwards the answer to the caller.

A resumable stream continues at another endpoint within the same answer, after the
last complete event that was forwarded. Any other answer is forwarded once it has been
received completely.
"""

import contextlib
import functools
import time
import typing

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import (
    callers,
    callprogress,
    calls,
    decisions,
    errors,
    events,
    hedging,
    interfaces,
    refusals,
    responsiveness,
    upstreamconnections,
    upstreams,
)
from acaciaward.quarantine import crashreports
from acaciaward.resumption import origins

EVENT_STREAM = "text/event-stream"
FIRST_FAILURE = 300
SERVER_ERROR = 500

# Size limit of answers that aren't streams; these are buffered before forwarding.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# An endpoint that sends no data to an idempotent call for this many latency objectives
# is considered unresponsive.
NO_DATA_TIMEOUT_TARGETS = 1.5
# An endpoint whose answer has gone on for this long doesn't crash under its call.
SURVIVAL_S = 0.5
# Bytes of an event that is still incomplete count as data from this number on, as a
# stream that has stalled may send a byte now and then.
MIN_DATA_BYTES = 1024
# A call with less time than this until its deadline isn't sent.
MIN_TIME_LEFT_S = 0.005


class Work(typing.Protocol):
    """One call at one endpoint, or at the peer that stands in for endpoints."""

    endpoint: endpoints.Endpoint

    @property
    def answered_for_s(self) -> float:
        """How long ago the answer began, in seconds; 0 if it hasn't."""

    def record_first_byte(self) -> None:
        """Record that the answer has begun."""


class Attempts:
    """
    Makes the attempts of all calls at endpoints.

    The methods whose names don't begin with ``make`` are what differs for an attempt
    through a peer.
    """

    def __init__(self, dependencies: interfaces.Dependencies):
        self._deps = dependencies

    @property
    def _pool(self) -> upstreams.UpstreamPool:
        return self._deps.pool

    async def make(
        self,
        progress: callprogress.Progress,
        work: Work,
        responder: callers.Responder,
        contender: hedging.Contender,
    ) -> bool:
        """Send the call to one endpoint; return whether its answer is a failure."""
        pool = self._pool
        upstream = await pool.acquire(
            work.endpoint, may_repeat=progress.route.may_repeat
        )
        try:
            left_s = progress.left_s
            if left_s < MIN_TIME_LEFT_S:
                raise TimeoutError
            self._check_wanted(work)
            headers = self._encode(progress, work, left_s)
            self._record_sent(progress, work, is_new_connection=not upstream.exchanges)
            progress.record_written()
            contender.source = upstream
            with self._guard(progress, work, upstream, contender):
                reply = await upstream.exchange(
                    progress.call,
                    headers,
                    self._decode,
                    on_other=functools.partial(self._record_other, work),
                )
                head = reply.head
                self._record_head(progress, work, head)
                if head.is_refusal:
                    await reply.read(MAX_BUFFERED_BYTES)
                    progress.record_refused()
                elif head.is_signed:
                    contender.record_head(is_success=head.status < FIRST_FAILURE)
                    await self._forward_answer(
                        progress, work, reply, responder, contender
                    )
                else:
                    raise errors.BrokenOffError(f"unsigned answer {head.status}")
        except errors.StaleLinkError:
            pool.record_stale(upstream)
            upstream.close()
            raise
        except BaseException:
            upstream.close()
            raise
        pool.release(upstream, head)
        if head.is_refusal:
            raise self._refusal_error(head)
        return head.status >= SERVER_ERROR

    def _encode(
        self, progress: callprogress.Progress, work: Work, left_s: float
    ) -> calls.Headers:
        forwarding = calls.Forwarding(
            work.endpoint.name,
            progress.organisation.name if progress.organisation else None,
            progress.rank,
            left_s,
            progress.last_delivered_id,
        )
        return self._deps.codec.encode_forwarded(progress.call, forwarding)

    def _decode(self, status: int, headers: calls.Headers) -> calls.ReplyHead:
        return self._deps.codec.decode_reply(status, headers)

    def _record_sent(
        self, progress: callprogress.Progress, work: Work, *, is_new_connection: bool
    ) -> None:
        progress.sends += 1
        decisions.record_sent(progress, work, is_new_connection=is_new_connection)

    def _record_head(
        self, progress: callprogress.Progress, work: Work, head: calls.ReplyHead
    ) -> None:
        self._record_data(work)
        self._deps.self_reports.record(work.endpoint, head, work.started_at)

    def _record_other(self, work: Work, head: calls.ReplyHead) -> None:
        self._deps.self_reports.record_other(work.endpoint, head)

    def _record_data(self, work: Work) -> None:
        self._deps.occupancy.record_data(work.endpoint)
        self._deps.reachability.record_data(work.endpoint.service)

    def _check_wanted(self, work: Work) -> None:
        """Raise if the endpoint wants no calls any more since it was chosen."""
        if self._deps.directory.is_leaving(work.endpoint.incarnation):
            raise errors.WithdrawnError("leaving")
        if self._deps.occupancy.backoffs.left_s(work.endpoint):
            raise errors.WithdrawnError("backing off")

    @staticmethod
    def _refusal_error(head: calls.ReplyHead) -> errors.NotRunError:
        return errors.NotRunError(
            f"refused with {head.status}",
            is_misdirected=head.is_misdirected,
            retry_after_s=head.retry_after_s,
        )

    async def _forward_answer(
        self,
        progress: callprogress.Progress,
        work: Work,
        reply: upstreamconnections.Reply,
        responder: callers.Responder,
        contender: hedging.Contender,
    ) -> None:
        is_stream = progress.route.kind is routes.RequestKind.STREAM
        if is_stream and reply.head.status < FIRST_FAILURE:
            is_continued = responder.has_begun or progress.last_delivered_id is not None
            if is_continued and reply.head.media_type not in (None, EVENT_STREAM):
                raise errors.BrokenOffError(f"resume answered {reply.head.media_type}")
            await self._forward_stream(progress, work, reply, responder, contender)
            return
        body = await reply.read(MAX_BUFFERED_BYTES)
        self._record_first_byte(progress, work)
        if responder.has_begun:
            # A stream that has begun can't continue with an error response.
            raise errors.BrokenOffError(f"resume answered {reply.head.status}")
        if not (body or reply.is_framed) and reply.head.status < FIRST_FAILURE:
            # Where the connection was lost just after the head, it looks the same.
            raise errors.ConnectionLostError("answer ended before its body")
        has_failed = reply.head.status >= SERVER_ERROR
        if self._is_retryable_failure(progress, reply.head) or (
            has_failed and contender.has_rival
        ):
            raise errors.BrokenOffError(f"endpoint failed with {reply.head.status}")
        if reply.head.status in refusals.PROMISES and not progress.route.may_repeat:
            raise errors.UnstatedRefusalError(
                f"endpoint answered {reply.head.status} and may have run it"
            )
        contender.claim()
        await responder.send(
            reply.head.status,
            reply.head.headers + self._detour_headers(progress, work, reply.head),
            body,
        )

    def _is_retryable_failure(
        self, progress: callprogress.Progress, head: calls.ReplyHead
    ) -> bool:
        route = progress.route
        return (
            head.status >= SERVER_ERROR
            and route.kind is routes.RequestKind.IDEMPOTENT
            and progress.sends < route.max_attempts
            and progress.left_s > route.target_s / 4
        )

    async def _forward_stream(
        self,
        progress: callprogress.Progress,
        work: Work,
        reply: upstreamconnections.Reply,
        responder: callers.Responder,
        contender: hedging.Contender,
    ) -> None:
        splitter = events.EventSplitter()
        answer_check = events.AnswerCheck(
            is_continued=responder.has_begun or progress.last_delivered_id is not None
        )
        has_event = has_survived = False
        uncounted_bytes = 0
        while (part := await reply.read_part()) is not None:
            contender.check()
            new_events = answer_check.check(splitter.feed(part))
            uncounted_bytes += len(part)
            if new_events or uncounted_bytes >= MIN_DATA_BYTES:
                self._record_data(work)
                uncounted_bytes = 0
            has_event = has_event or bool(new_events)
            if not has_survived and work.answered_for_s >= SURVIVAL_S:
                has_survived = True
                self._record_survived(progress, work)
            new_data = self._accept(progress, new_events, contender)
            if new_data:
                self._record_first_byte(progress, work)
                if progress.stream_version is None:
                    await self._bind_to_version(progress, work, reply.head)
                if not responder.has_begun:
                    await self._start_answer(progress, work, reply, responder)
                await responder.write(new_data)
        if splitter.rest.strip():
            raise errors.ConnectionLostError("stream ended inside an event")
        if not reply.is_framed and not has_event:
            raise errors.ConnectionLostError("stream ended before its first event")
        contender.claim()
        if not responder.has_begun:
            await self._start_answer(progress, work, reply, responder)
        await responder.finish()

    @staticmethod
    def _accept(
        progress: callprogress.Progress,
        new_events: list[events.Event],
        contender: hedging.Contender,
    ) -> bytes:
        """Return the events that the caller doesn't have; raise if some are missing."""
        accepted = []
        for event in filter(progress.is_new, new_events):
            progress.check_order(event, begins_run=not contender.has_event)
            contender.claim()
            if not contender.has_event:
                progress.begin_run()
                contender.has_event = True
            progress.record_event(event)
            accepted.append(event.data)
        return b"".join(accepted)

    async def _start_answer(
        self,
        progress: callprogress.Progress,
        work: Work,
        reply: upstreamconnections.Reply,
        responder: callers.Responder,
    ) -> None:
        detour_headers = self._detour_headers(progress, work, reply.head)
        await responder.start(reply.head.status, reply.head.headers + detour_headers)

    def _detour_headers(
        self, progress: callprogress.Progress, work: Work, head: calls.ReplyHead
    ) -> calls.Headers:
        """Return what the peer gets to know that sent the call through this entry."""
        if progress.call.detour is None:
            return []
        return self._deps.detour_codec.encode_reply(
            calls.DetourReply(
                progress.sends,
                progress.stream_version,
                leaving=work.endpoint.incarnation if head.says_leaving else None,
            )
        )

    def _record_survived(self, progress: callprogress.Progress, work: Work) -> None:
        self._deps.prompt_parts.record_served(
            progress.call.shared_parts,
            crashreports.run_key(*work.endpoint.incarnation),
            sent_at=work.started_at,
        )

    async def _bind_to_version(
        self, progress: callprogress.Progress, work: Work, head: calls.ReplyHead
    ) -> None:
        """Let a stream go on only at the version of software that begins it."""
        endpoint, attempt_id = work.endpoint, progress.call.attempt_id
        progress.stream_version = endpoint.version
        if progress.route.is_resumable and attempt_id is not None:
            await self._deps.origins.record(
                progress.organisation_name,
                attempt_id,
                origins.Origin(endpoint.service, endpoint.version),
            )

    def _guard(
        self,
        progress: callprogress.Progress,
        work: Work,
        upstream: upstreamconnections.UpstreamConnection,
        contender: hedging.Contender,
    ) -> contextlib.AbstractContextManager:
        """Start a backup of a call that may be repeated if its endpoint is silent."""
        route = progress.route
        if route.is_resumable:
            return responsiveness.Guard(
                upstream,
                functools.partial(self._is_unresponsive, progress, work),
                contender.start_backup,
            )
        if route.kind is not routes.RequestKind.IDEMPOTENT:
            return contextlib.nullcontext()
        return responsiveness.Guard(
            upstream,
            lambda: not contender.has_head,
            contender.start_backup,
            first_check_s=min(
                NO_DATA_TIMEOUT_TARGETS * route.target_s, progress.left_s / 2
            ),
        )

    def _is_unresponsive(self, progress: callprogress.Progress, work: Work) -> bool:
        return self._deps.occupancy.is_unresponsive(work.endpoint)

    def _record_first_byte(self, progress: callprogress.Progress, work: Work) -> None:
        work.record_first_byte()
        if not progress.has_run:
            progress.has_run = True
            progress.first_byte_s = time.monotonic() - progress.call.received_at
            # The entry that took the call from its caller counts it.
            if progress.organisation is not None and progress.call.detour is None:
                self._deps.record_run(progress.organisation.name)
