"""
Lets patient calls wait at the entry while engines have enough prompts to read.

A prompt that waits here delays no urgent one, and is lost with no engine. The calls
that can still be on time are sent first, by the time left of their objective, then the
late ones. None waits for more than half of the time until its deadline: then it is sent
or refused. A call whose turn would come later is refused at once.

    await prefill_queue.wait(service, progress, responder)
    candidate = endpoint_choice.choose(service, progress)

``routing.urgency`` tells which calls are patient and names the load that this handles.
"""

import asyncio
import collections
import logging
import time
from collections import abc

from acaciaward.catalogue import routes
from acaciaward.gateway import callers, callprogress, interfaces, metrics, refusals
from acaciaward.observability import logs
from acaciaward.routing import pools, urgency

log = logging.getLogger(__name__)

# How often the next call looks for room, in seconds: several times between two reports.
POLL_S = 0.04
# How often the others look whether the entry has closed, in seconds.
CHECK_S = 0.25
# At most one line for each service is logged in this time, in seconds.
LOG_INTERVAL_S = 2.0


class _Waiting:
    """A call that waits; ``look`` is set when it is to look for room."""

    def __init__(self, progress: callprogress.Progress):
        self.progress = progress
        self.look = asyncio.Event()

    @property
    def turn(self) -> tuple[bool, float]:
        """The call's place, the lowest first."""
        progress = self.progress
        waited_s = time.monotonic() - progress.call.received_at
        return urgency.turn(progress.route.target_s - waited_s)


class _Tally:
    """What is to be logged of a service's calls that waited."""

    def __init__(self):
        self.waited = self.refused = 0
        self.logged_at = -LOG_INTERVAL_S

    def is_due(self, now: float) -> bool:
        """Return whether there is something to log, and the last line is old."""
        has_any = self.waited > 0 or self.refused > 0
        return has_any and now - self.logged_at >= LOG_INTERVAL_S

    def clear(self, now: float) -> None:
        """Begin to count for the next line."""
        self.waited = self.refused = 0
        self.logged_at = now


class PrefillQueue:
    """
    The patient calls that wait, by service.

    ``is_closed`` returns whether the entry takes no more calls since it stops.
    """

    def __init__(
        self,
        dependencies: interfaces.Dependencies,
        refuser: refusals.Refusals,
        *,
        is_closed: abc.Callable[[], bool] = lambda: False,
    ):
        self._deps = dependencies
        self._refusals = refuser
        self._is_closed = is_closed
        self._patient_routes = urgency.PatientRoutes()
        self._queues: dict[str, list[_Waiting]] = {}
        self._tallies: dict[str, _Tally] = collections.defaultdict(_Tally)

    def patience(self, service: str, route: routes.Route) -> pools.Patience | None:
        """Return how a route's calls may wait, None if the service has no patient."""
        is_patient = self._patient_routes.is_patient(
            self._deps.index(), service, route.name
        )
        if is_patient is None:
            return None
        return pools.Patience(is_patient, urgency.ENGINE_QUEUE_SHARE * route.target_s)

    def record_demand(self, service: str, progress: callprogress.Progress) -> None:
        """Count a call's prompt if its service has patient routes."""
        patience = self.patience(service, progress.route)
        prompt = progress.call.prompt
        if patience is not None and prompt is not None:
            self._deps.occupancy.pools.patients.record(
                service, prompt.fresh_tokens, is_patient=patience.is_patient
            )

    async def wait(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
    ) -> None:
        """
        Wait until a call may be sent; raise ``RefusedError`` if that takes too long.

        Calls that may have run, and streams that go on, don't wait.
        """
        patience = self.patience(service.name, progress.route)
        has_run = progress.may_have_run or responder.has_begun
        is_resumed = progress.call.last_event_id is not None
        prompt = progress.call.prompt
        if patience is None or not patience.is_patient or prompt is None:
            return
        if has_run or is_resumed:
            return
        patients = self._deps.occupancy.pools.patients
        queue = self._queues.setdefault(service.name, [])
        waiting = _Waiting(progress)
        queue.append(waiting)
        patients.add_waiting(service.name, prompt.fresh_tokens)
        began_at = time.monotonic()
        result = "left"
        try:
            self._check_expected_wait(service, progress, responder)
            result = await self._wait_for_turn(service, progress, responder, waiting)
        except callprogress.RefusedError:
            result = "refused"
            raise
        finally:
            patients.add_waiting(service.name, -prompt.fresh_tokens)
            queue.remove(waiting)
            if queue:
                self._next(queue).look.set()
            else:
                self._queues.pop(service.name, None)
            self._record(service, result, time.monotonic() - began_at)

    def _check_expected_wait(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
    ) -> None:
        """Raise if a call's turn is expected too late."""
        survey = self._survey(service, progress)
        # Most calls that wait aren't bound to the version that this one is bound to, so
        # its endpoints needn't read all that waits.
        is_bound = isinstance(progress.endpoint_version, str)
        if is_bound or not survey.pool.is_divided:
            return
        own, _ = survey.divided()
        patients = self._deps.occupancy.pools.patients
        expected_s = urgency.expected_wait_s(own, patients.waiting_tokens(service.name))
        limit_s = urgency.MAX_WAIT_SHARE * progress.left_s
        if expected_s > limit_s:
            self._refuse(service, progress, responder, expected_s - limit_s)

    async def _wait_for_turn(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
        waiting: _Waiting,
    ) -> str:
        """Wait for a call's turn, or until it has waited for long enough."""
        queue = self._queues[service.name]
        limit = time.monotonic() + urgency.MAX_WAIT_SHARE * progress.left_s
        while True:
            following = self._next(queue)
            if following is waiting and self._may_send(service, progress):
                return "sent"
            if self._is_closed():
                self._refusals.refuse(
                    progress,
                    responder,
                    refusals.CLOSED_REASON,
                    retry_after_s=refusals.CLOSED_RETRY_S,
                    cause=callprogress.Cause.STOP,
                )
            left_s = limit - time.monotonic()
            if left_s <= 0:
                return "due"
            # The next one has changed if it was on time before and is late now.
            if following is not waiting:
                following.look.set()
            interval_s = POLL_S if following is waiting else CHECK_S
            waiting.look.clear()
            await _wait_for(waiting.look, min(interval_s, left_s))

    @staticmethod
    def _next(queue: list[_Waiting]) -> _Waiting:
        return min(queue, key=lambda waiting: waiting.turn)

    def _may_send(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> bool:
        """Return whether an engine has room, or a call needn't wait any more."""
        survey = self._survey(service, progress)
        candidate = survey.choose()
        if candidate is None or not survey.pool.is_divided:
            return True
        patience = survey.patience
        if not patience.is_patient:
            return True
        if urgency.queue_s(candidate) > patience.max_queue_s:
            return False
        return self._deps.occupancy.pools.patients.may_send(
            service.name, progress.call.prompt.fresh_tokens, survey.room_tokens
        )

    def _survey(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> pools.Survey:
        return self._deps.occupancy.survey(
            service,
            progress.call,
            excluded=progress.tried,
            max_gap_s=progress.route.max_gap_s,
            version=progress.endpoint_version,
            patience=self.patience(service.name, progress.route),
        )

    def _refuse(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
        excess_s: float,
    ) -> None:
        """Refuse a call whose turn comes ``excess_s`` too late."""
        self._refusals.refuse(
            progress,
            responder,
            f"too many prompts wait for {service.name}",
            retry_after_s=self._refusals.delay_until_s(progress, excess_s),
            cause=callprogress.Cause.NO_ENDPOINT,
        )

    def _record(self, service: routes.Service, result: str, waited_s: float) -> None:
        metrics.PREFILL_WAIT_SECONDS.labels(result).observe(waited_s)
        metrics.PREFILL_WAITING.set(sum(map(len, self._queues.values())))
        tally = self._tallies[service.name]
        tally.refused += result == "refused"
        tally.waited += result != "refused" and waited_s >= POLL_S
        now = time.monotonic()
        if not tally.is_due(now):
            return
        patients = self._deps.occupancy.pools.patients
        log.info(
            "patient requests waited for engines",
            extra=logs.fields(
                service=service.name,
                waited=tally.waited,
                refused=tally.refused,
                waiting=len(self._queues.get(service.name, ())),
                waiting_tokens=int(patients.waiting_tokens(service.name)),
                share=round(patients.share(service.name), 2),
            ),
        )
        tally.clear(now)


async def _wait_for(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
