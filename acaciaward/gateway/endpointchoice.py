"""
Chooses the endpoint that a call is sent to, or refuses the call if none may get it.

    candidate = endpoint_choice.choose(service, progress)  # None: a peer may send it
"""

from acaciaward import verdicts
from acaciaward.catalogue import routes
from acaciaward.gateway import (
    callprogress,
    hedging,
    interfaces,
    prefillqueue,
    refusals,
)
from acaciaward.routing import placement, urgency


class EndpointChoice:
    """Chooses the endpoints of all calls."""

    def __init__(
        self,
        dependencies: interfaces.Dependencies,
        refuser: refusals.Refusals,
        prefill_queue: prefillqueue.PrefillQueue,
    ):
        self._deps = dependencies
        self._refusals = refuser
        self._prefill_queue = prefill_queue

    def choose(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> placement.Candidate | None:
        """Return where to send a call, None if it may go through a peer."""
        version = progress.endpoint_version
        unreachable = self._deps.occupancy.unreachable(service.name, version)
        is_unreached = self._deps.peers.is_unreached(service.name, version, unreachable)
        has_failed_connect = progress.failed_connects > 0
        # Where none was reached last, a peer is asked before one is tried again.
        may_ask_peer = (
            (has_failed_connect or bool(unreachable))
            and not is_unreached
            and self._deps.peers.is_any_usable(progress, service.name)
        )
        candidate = None
        if not is_unreached:
            candidate = self._find(
                service, progress, is_peer_due=has_failed_connect or may_ask_peer
            )
        if candidate is not None:
            self._refuse_if_hopeless(service, progress, candidate)
            return candidate
        backoff_s = self._deps.occupancy.backoff_left_s(service.name, version)
        # A peer would only get round what the endpoints have asked for.
        if may_ask_peer and not backoff_s:
            return None
        if progress.may_have_run:
            raise callprogress.RefusedError(
                refusals.BAD_GATEWAY,
                "no other endpoint",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
                cause=callprogress.Cause.NO_ENDPOINT,
            )
        at_version = f" at {version}" if isinstance(version, str) else ""
        if backoff_s:
            raise callprogress.RefusedError(
                refusals.UNAVAILABLE,
                f"all endpoints of {service.name}{at_version} asked to back off",
                retry_after_s=self._refusals.delay_after_backoff_s(progress, backoff_s),
                cause=callprogress.Cause.NO_ENDPOINT,
            )
        raise callprogress.RefusedError(
            refusals.UNAVAILABLE,
            f"no endpoint of {service.name}{at_version}",
            retry_after_s=self._refusals.retry_delay_s(progress),
            is_cut_off=is_unreached or has_failed_connect,
            cause=callprogress.Cause.NO_ENDPOINT,
        )

    def _find(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        *,
        is_peer_due: bool,
    ) -> placement.Candidate | None:
        return self._deps.occupancy.choose(
            service,
            progress.call,
            excluded=progress.tried,
            max_gap_s=progress.route.max_gap_s,
            version=progress.endpoint_version,
            has_failed_connect=is_peer_due,
            patience=self._prefill_queue.patience(service.name, progress.route),
        )

    def _refuse_if_hopeless(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        candidate: placement.Candidate,
    ) -> None:
        """Raise if the call would wait too long in a queue and has not run yet."""
        prompt, left_s = progress.call.prompt, progress.left_s
        if progress.may_have_run:
            return
        is_hopeless = placement.exceeds_wait_limit(candidate, prompt, left_s)
        if not (is_hopeless or self._is_too_late(service, progress, candidate)):
            return
        raise callprogress.RefusedError(
            refusals.UNAVAILABLE,
            f"all endpoints of {service.name} are full",
            retry_after_s=self._refusals.retry_delay_s(progress),
            cause=callprogress.Cause.NO_ENDPOINT,
        )

    def _is_too_late(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        candidate: placement.Candidate,
    ) -> bool:
        """Return whether an urgent call beside patient ones would begin too late."""
        patience = self._prefill_queue.patience(service.name, progress.route)
        if patience is None or patience.is_patient:
            return False
        prompt = progress.call.prompt
        # The objective of a stream that its caller takes up is met already.
        if prompt is None or progress.call.last_event_id is not None:
            return False
        return urgency.is_too_late(candidate, prompt, progress.route.target_s)

    def find_backup(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> placement.Candidate:
        """Return an endpoint that seems well and isn't full; raise without one."""
        version = progress.endpoint_version
        has_alternative = self._deps.occupancy.has_alternative(
            service.name, progress.tried, version
        )
        candidate = None
        if has_alternative:
            candidate = self._find(
                service, progress, is_peer_due=progress.failed_connects > 0
            )
        if candidate is None:
            raise hedging.NoBackupError("no other endpoint seems well")
        if placement.exceeds_wait_limit(
            candidate, progress.call.prompt, progress.left_s
        ):
            raise hedging.NoBackupError("the other endpoints are full")
        return candidate
