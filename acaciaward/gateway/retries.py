"""
Decides whether a call may be sent again, and what its failures say of it.

A call under which endpoints crash is refused, as are those with a part of a prompt that
endpoints crash under.
"""

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import (
    attempts,
    callers,
    callprogress,
    decisions,
    errors,
    hedging,
    interfaces,
    metrics,
    refusals,
)
from acaciaward.quarantine import crashreports, suspects
from acaciaward.routing import activecalls

FIRST_ERROR_STATUS = 400
NO_CRASHES = (errors.SilentError, errors.UnstatedRefusalError)


class Retries:
    """Decides about the retries of all calls."""

    def __init__(
        self, dependencies: interfaces.Dependencies, refuser: refusals.Refusals
    ):
        self._deps = dependencies
        self._refusals = refuser

    def refuse_suspect(
        self, progress: callprogress.Progress, responder: callers.Responder
    ) -> None:
        """Raise if the call would probably crash one more endpoint."""
        if self._deps.suspects.is_suspect(progress.digest):
            self._refusals.refuse(
                progress,
                responder,
                "endpoints broke off under it",
                cause=callprogress.Cause.QUARANTINE,
                retry_after_s=suspects.SUSPICION_LIFETIME_S,
            )
        refuse_for_s = self._deps.prompt_parts.refuse_for_s(progress.call.shared_parts)
        if refuse_for_s > 0:
            self._refusals.refuse(
                progress,
                responder,
                "endpoints crashed under a part of its prompt",
                cause=callprogress.Cause.QUARANTINE,
                retry_after_s=refuse_for_s,
            )

    def check_backup(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> None:
        """Raise if a call may not be sent once more beside an attempt that runs."""
        if self._deps.suspects.is_suspect(progress.digest):
            raise hedging.NoBackupError("endpoints broke off under it")
        if self._deps.prompt_parts.refuse_for_s(progress.call.shared_parts) > 0:
            raise hedging.NoBackupError("endpoints crashed under a part of its prompt")
        if progress.has_used_attempts:
            raise hedging.NoBackupError("the peer's attempts used up")
        if progress.sends >= self._allowed_sends(progress):
            raise hedging.NoBackupError("attempts used up")
        has_spent = progress.sends == progress.allowed_after_sends
        if not (has_spent or self._deps.repeats.may_repeat(service.name)):
            raise hedging.NoBackupError("retry budget spent")

    def spend(self, service: routes.Service, progress: callprogress.Progress) -> bool:
        """Take a send of a call from the retry budget; return whether it allows it."""
        if progress.sends == progress.allowed_after_sends:
            return True
        is_allowed = self._deps.repeats.spend(service.name)
        metrics.REPEATS.labels(is_allowed).inc()
        if is_allowed:
            progress.allowed_after_sends = progress.sends
        return is_allowed

    def check(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
    ) -> None:
        """Raise unless the call may be sent again; ended endpoints don't count."""
        if progress.sends in (progress.sends_before, progress.allowed_after_sends):
            return
        if progress.has_used_attempts:
            self._refusals.refuse(
                progress,
                responder,
                "the peer's attempts used up",
                cause=callprogress.Cause.ATTEMPTS,
            )
        if progress.sends >= self._allowed_sends(progress):
            self._refusals.refuse(
                progress,
                responder,
                "attempts used up",
                cause=callprogress.Cause.ATTEMPTS,
            )
        if not self.spend(service, progress):
            self._refusals.refuse(
                progress,
                responder,
                "retry budget spent",
                cause=callprogress.Cause.BUDGET,
            )

    def _allowed_sends(self, progress: callprogress.Progress) -> int:
        ended = sum(self._has_ended(incarnation) for incarnation in progress.tried)
        return progress.route.max_attempts + ended

    def _has_ended(self, incarnation: tuple[str, int]) -> bool:
        known = self._deps.directory.get(incarnation[0])
        return known is None or known.incarnation != incarnation

    def record_crash(
        self,
        progress: callprogress.Progress,
        work: activecalls.ActiveCall,
        error: errors.BrokenOffError,
    ) -> None:
        """
        Suspect a call of a crash of the endpoint that was to answer it.

        An endpoint that was leaving or unresponsive ended for another reason, and one
        that answered with a status did not end. Once the answer had gone on for a
        while, only a lost connection is a crash.
        """
        known = self._deps.directory.get(work.endpoint.name)
        is_leaving = (
            known is not None and known.state is endpoints.EndpointState.LEAVING
        )
        is_early = work.answered_for_s < attempts.SURVIVAL_S
        is_lost = isinstance(error, errors.ConnectionLostError)
        is_other = isinstance(error, NO_CRASHES)
        if is_leaving or is_other or not (is_early or is_lost):
            return
        name, born = work.endpoint.incarnation
        crashes = self._deps.suspects.record_crash(
            progress.digest,
            crashreports.endpoint_key(name, born, work.endpoint.version),
            is_early=is_early,
        )
        part_crashes = 0
        if is_early and is_lost:
            part_crashes = self._deps.prompt_parts.record_crash(
                progress.call.shared_parts, crashreports.run_key(name, born)
            )
        decisions.record_suspected_crash(progress, work, crashes, part_crashes)

    def record_served(
        self,
        progress: callprogress.Progress,
        work: activecalls.ActiveCall,
        responder: callers.Responder,
    ) -> None:
        """Record that a call was answered, so that neither it nor its parts crash."""
        if responder.status < FIRST_ERROR_STATUS:
            self._deps.prompt_parts.record_served(
                progress.call.shared_parts,
                crashreports.run_key(*work.endpoint.incarnation),
                sent_at=work.started_at,
            )
        version = work.endpoint.version
        if self._deps.suspects.record_served(progress.digest, version):
            decisions.record_cleared(progress)
