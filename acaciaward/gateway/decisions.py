"""
Logs each decision about a call with the inputs it was based on.

``observability.timeline`` parses these log lines.
"""

import logging
import math
import time
import typing
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.gateway import callprogress, calls, errors, interfaces, metrics
from acaciaward.observability import logs
from acaciaward.resumption import origins
from acaciaward.routing import activecalls

log = logging.getLogger(__name__)


class CutState(typing.NamedTuple):
    """What was so when an answer was cut; ``has_budget`` is of the retry budget."""

    has_budget: bool | None
    is_stopping: bool
    configuration_age_s: float


class Attempt(typing.Protocol):
    """A call at one endpoint or peer."""

    endpoint: endpoints.Endpoint


def record_sent(
    progress: callprogress.Progress,
    work: activecalls.ActiveCall,
    *,
    is_new_connection: bool,
) -> None:
    """Log the endpoint that a call is sent to and what was known about it."""
    candidate = work.candidate
    metrics.ATTEMPTS.labels("sent").inc()
    if progress.sends > 1:
        metrics.REREAD_TOKENS.inc(work.prefill_tokens)
        if progress.first_byte_s is not None:
            metrics.RESUMES.inc()
    log.info(
        "sent",
        extra=logs.fields(
            request=progress.call.attempt_id,
            endpoint=work.endpoint.name,
            route=progress.route.name,
            version=progress.version,
            left_ms=int(progress.left_s * 1000),
            send=progress.sends,
            running=candidate.running,
            tokens=work.prefill_tokens,
            backlog_tokens=candidate.backlog_tokens,
            held_tokens=candidate.cached_tokens,
            failed_share=round(candidate.failed_share, 2),
            told_age_ms=candidate.report_age_ms,
            fresh_link=is_new_connection,
            after_event=progress.last_delivered_id,
            endpoint_version=work.endpoint.version,
            resumes=progress.call.resumed_attempt_id,
            parts=",".join(progress.call.shared_parts),
        ),
    )


class TakeUp(typing.NamedTuple):
    """
    How an entry decided where a stream began that its caller takes up.

    ``known_by`` names what told it, ``nothing`` if the stream is refused.
    """

    known_by: str
    origin: origins.Origin | None
    search: origins.Search
    services: abc.Collection[str]
    listed: abc.Collection[str]
    read_at: interfaces.ReadTimes


def record_take_up(progress: callprogress.Progress, take_up: TakeUp) -> None:
    """Log how the version that began a stream was known, and from which inputs."""
    metrics.TAKEN_UP.labels(take_up.known_by).inc()
    now = time.monotonic()
    origin, read_at = take_up.origin, take_up.read_at
    log.info(
        "stream taken up",
        extra=logs.fields(
            request=progress.call.attempt_id,
            resumes=progress.call.resumed_attempt_id,
            known_by=take_up.known_by,
            service=origin.service if origin else None,
            endpoint_version=origin.version if origin else None,
            peers_asked=take_up.search.asked,
            peers_answered=take_up.search.answered,
            services=",".join(sorted(take_up.services)),
            listed_versions=",".join(sorted(take_up.listed)),
            endpoints_age_ms=_age_ms(now, read_at.endpoints),
            configuration_age_ms=_age_ms(now, read_at.configuration),
            version=progress.version,
            took_ms=int(1000 * (now - progress.call.received_at)),
        ),
    )


def _age_ms(now: float, read_at: float) -> int | None:
    return int(1000 * (now - read_at)) if math.isfinite(read_at) else None


def record_detour(
    progress: callprogress.Progress, work: Attempt, *, is_new_connection: bool
) -> None:
    """Log the peer that a call is sent through."""
    log.info(
        "sent through a peer",
        extra=logs.fields(
            request=progress.call.attempt_id,
            peer=work.endpoint.name,
            service=work.endpoint.service,
            route=progress.route.name,
            left_ms=int(progress.left_s * 1000),
            fresh_link=is_new_connection,
            after_event=progress.last_delivered_id,
            endpoint_version=progress.stream_version,
        ),
    )


def record_detour_end(
    progress: callprogress.Progress, work: Attempt, result: str, reason: object
) -> None:
    """Log how an attempt through a peer ended."""
    metrics.DETOURS.labels(result).inc()
    if result != "answered":
        failed = callprogress.FailedAttempt(work.endpoint.name, result)
        progress.failed_attempts.append(failed)
    log.info(
        "attempt through a peer ended",
        extra=logs.fields(
            request=progress.call.attempt_id,
            peer=work.endpoint.name,
            kind=result,
            reason=reason,
            delivered=progress.last_delivered_id,
        ),
    )


def record_failed_attempt(
    progress: callprogress.Progress,
    work: activecalls.ActiveCall,
    error: errors.ForwardingError,
) -> None:
    """Log how an attempt at one endpoint failed."""
    result = type(error).__name__
    failed = callprogress.FailedAttempt(work.endpoint.name, result)
    progress.failed_attempts.append(failed)
    metrics.ATTEMPTS.labels(result).inc()
    metrics.ATTEMPT_SECONDS.labels(result).observe(time.monotonic() - work.started_at)
    log.info(
        "attempt failed",
        extra=logs.fields(
            request=progress.call.attempt_id,
            endpoint=work.endpoint.name,
            kind=result,
            reason=error,
            delivered=progress.last_delivered_id,
        ),
    )


def record_suspected_crash(
    progress: callprogress.Progress,
    work: activecalls.ActiveCall,
    crashes: int,
    part_crashes: int,
) -> None:
    """
    Log that an endpoint's connection broke during a call, which may crash others.

    ``crashes`` are those of this call, ``part_crashes`` the most of a prompt's part.
    """
    log.info(
        "request may crash endpoints",
        extra=logs.fields(
            request=progress.call.attempt_id,
            digest=progress.digest,
            endpoint=work.endpoint.name,
            crashes=crashes,
            parts=",".join(progress.call.shared_parts),
            part_crashes=part_crashes,
        ),
    )


def record_cleared(progress: callprogress.Progress) -> None:
    """Log that a call suspected of crashing endpoints was served."""
    log.info(
        "request cleared",
        extra=logs.fields(request=progress.call.attempt_id, digest=progress.digest),
    )


def record_answered(progress: callprogress.Progress, status: int | None) -> None:
    """Log that a call was answered, with its times."""
    first_byte_s = progress.first_byte_s
    max_gap_s = progress.route.max_gap_s
    took_s = time.monotonic() - progress.call.received_at
    log.info(
        "answered",
        extra=logs.fields(
            request=progress.call.attempt_id,
            route=progress.route.name,
            status=status,
            first_byte_ms=None if first_byte_s is None else int(first_byte_s * 1000),
            took_ms=int(took_s * 1000),
            target_ms=int(progress.route.target_s * 1000),
            longest_gap_ms=int(progress.longest_gap_s * 1000),
            max_gap_ms=None if max_gap_s is None else int(max_gap_s * 1000),
            sends=progress.sends,
            last_event=progress.last_delivered_id,
        ),
    )


def record_caller_left(
    call: calls.Call, progress: callprogress.Progress | None
) -> None:
    """Log that a caller closed its connection before its answer was complete."""
    log.info(
        "caller left",
        extra=logs.fields(
            request=call.attempt_id,
            age_ms=int(1000 * (time.monotonic() - call.received_at)),
            sends=progress.sends if progress else 0,
            last_event=progress.last_delivered_id if progress else None,
        ),
    )


def record_refused(
    call: calls.Call,
    progress: callprogress.Progress | None,
    refusal: callprogress.RefusedError,
    has_begun: bool,
) -> None:
    """Log why the gateway itself answers a call, or aborts its answer."""
    metrics.REFUSALS.labels(refusal.status, has_begun).inc()
    retry_after_s = refusal.retry_after_s
    last_event_at = progress.last_event_at if progress else None
    now = time.monotonic()
    log.info(
        "refused",
        extra=logs.fields(
            request=call.attempt_id,
            status=refusal.status,
            route=progress.route.name if progress else None,
            version=progress.version if progress else None,
            reason=refusal.reason,
            verdict=refusal.verdict.value,
            begun=has_begun,
            sends=progress.sends if progress else 0,
            retry_after_s=None if retry_after_s is None else round(retry_after_s, 3),
            age_ms=int(1000 * (now - call.received_at)),
            last_event=progress.last_delivered_id if progress else None,
            since_event_ms=None
            if last_event_at is None
            else int(1000 * (now - last_event_at)),
        ),
    )


def record_cut(
    progress: callprogress.Progress, refusal: callprogress.RefusedError, state: CutState
) -> None:
    """Log why an answer that has begun isn't completed, with what led to it."""
    metrics.CUTS.labels(refusal.cause.value).inc()
    last_event_at = progress.last_event_at
    silent_ms = None
    if last_event_at is not None:
        silent_ms = int(1000 * (time.monotonic() - last_event_at))
    log.info(
        "answer cut",
        extra=logs.fields(
            request=progress.call.attempt_id,
            cause=refusal.cause.value,
            reason=refusal.reason,
            service=progress.service,
            failed=",".join(
                f"{failed.endpoint}:{failed.kind}"
                for failed in progress.failed_attempts
            ),
            silent_ms=silent_ms,
            last_event=progress.last_delivered_id,
            sends=progress.sends,
            max_attempts=progress.route.max_attempts,
            has_budget=state.has_budget,
            left_ms=int(1000 * progress.left_s),
            stopping=state.is_stopping,
            version=progress.version,
            configuration_age_ms=int(1000 * state.configuration_age_s),
        ),
    )
