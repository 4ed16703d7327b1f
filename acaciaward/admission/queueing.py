"""
Admits requests by limits, fair shares and predicted lateness.

Each deployment has a queue for each organisation. A request starts when
``decisions.grant`` returns a grant for it. One that can't meet its deadline is
refused at once, and one that has waited past its latest start is refused then.
"""

import asyncio
import bisect
import itertools
import logging

from acaciaward import documents, errors, requests
from acaciaward.admission import (
    decisions,
    deploymentqueue,
    durations,
    interfaces,
    limits,
    retrybudget,
    shares,
    useledger,
)
from acaciaward.configuration import interfaces as configuration_interfaces

log = logging.getLogger(__name__)

# An urgent request beyond its organisation's allowance queues as a short one.
RANKS = {
    requests.ServiceClass.URGENT: 1,
    requests.ServiceClass.SHORT: 1,
    requests.ServiceClass.LONG: 2,
}
DEFAULT_SHARE = 1.0
MINIMUM_QUEUED = 4


class QueueingAdmission:
    """Implements ``interfaces.Admission``."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        capacity: interfaces.CapacityReport,
        ledger: useledger.UseLedger,
        *,
        max_queued: int,
        retries: retrybudget.RetryBudgets,
    ):
        self._configuration = configuration
        self._capacity = capacity
        self._ledger = ledger
        self._limits = limits.SystemLimits(ledger)
        self._allowance = shares.UrgentAllowance()
        self._max_queued = max_queued
        self._retries = retries
        self._queues: dict[str, deploymentqueue.DeploymentQueue] = {}
        self._deployment_of: dict[int, str] = {}
        self._numbers = itertools.count(1)
        self._durations = durations.Durations(self._now)

    async def admit(self, request: requests.Request) -> interfaces.Ticket:
        """Wait until the request may start and return its ticket."""
        organisation = request.organisation
        estimated_cost = shares.token_cost(request.prompt_tokens, request.max_tokens)
        self._limits.check(
            organisation,
            self._organisation(organisation).get("limits", {}),
            request.prompt_tokens + request.max_tokens,
        )
        queue = self._queues.setdefault(
            request.deployment, deploymentqueue.DeploymentQueue()
        )
        if organisation not in queue.active():
            queue.counters.activate(organisation, queue.active())
        capacity = self._capacity.capacity(request.deployment)
        is_urgent = self._is_urgent(queue, request, capacity, estimated_cost)
        service_s = self._durations.predict_s(request, capacity)
        number = next(self._numbers)
        latest_start_s = decisions.latest_start_s(
            service_s=service_s, left_s=request.deadline - self._now()
        )
        waiting = deploymentqueue.Waiting(
            0 if is_urgent else RANKS[request.service_class],
            self._now() + latest_start_s,
            number,
            service_s,
            request,
            asyncio.get_running_loop().create_future(),
        )
        _raise_if_late(max(0.0, -latest_start_s))
        load = self._load(queue, organisation, capacity)
        grant = self._grant_without_waiting(queue, load, waiting)
        if grant is None:
            self._refuse_if_late(queue, load, waiting)
            self._refuse_if_full(queue, organisation)
            grant = await self._wait(queue, waiting)
        queue.record_work(organisation, waiting.rank, work_s=service_s, now=self._now())
        return self._start(queue, request, grant, number, service_s, estimated_cost)

    def _grant_without_waiting(
        self,
        queue: deploymentqueue.DeploymentQueue,
        load: decisions.Load,
        waiting: deploymentqueue.Waiting,
    ) -> decisions.Grant | None:
        own_queue = queue.waiting.get(waiting.request.organisation, [])
        if own_queue and own_queue[0][:2] <= waiting[:2]:
            return None
        return decisions.grant(load, is_urgent=waiting.rank == 0)

    def _is_urgent(
        self,
        queue: deploymentqueue.DeploymentQueue,
        request: requests.Request,
        capacity: interfaces.Capacity,
        estimated_cost: float,
    ) -> bool:
        """Return whether a request counts as urgent, charging the allowance."""
        if request.service_class is not requests.ServiceClass.URGENT:
            return False
        share = self._share(queue, request.organisation)
        token_s = capacity.step_s
        if token_s <= 0:
            # Services have no tokens: a call counts as one of its usual duration.
            token_s, estimated_cost = self._durations.service_s(request.deployment), 1.0
        rate = share * capacity.slots / token_s
        is_allowed = self._allowance.consume(request.organisation, estimated_cost, rate)
        # Urgent requests that use few slots can't starve others.
        urgent_slots = queue.average_slots(None, self._now(), ranks=(0,))
        return (
            is_allowed
            or urgent_slots < shares.URGENT_UNMETERED_FRACTION * capacity.slots
        )

    def _refuse_if_late(
        self,
        queue: deploymentqueue.DeploymentQueue,
        load: decisions.Load,
        waiting: deploymentqueue.Waiting,
    ) -> None:
        """Refuse a request that would start too late or delay a queued one too long."""
        now = self._now()
        organisation = waiting.request.organisation
        if waiting.rank:
            organisation_queue = queue.waiting.get(organisation, ())
            competing = [
                candidate
                for candidate in [*organisation_queue, waiting]
                if 0 < candidate.rank <= waiting.rank
            ]
            running_s = queue.remaining_work_s(organisation, now)
            higher_rank_slots = queue.average_slots(
                organisation, now, ranks=range(1, waiting.rank)
            )
            parallel_slots = load.guaranteed_slots - higher_rank_slots
        else:
            competing = [
                candidate
                for organisation_queue in queue.waiting.values()
                for candidate in organisation_queue
            ]
            competing = [
                candidate for candidate in [*competing, waiting] if candidate.rank == 0
            ]
            running_s = queue.remaining_work_s(None, now)
            parallel_slots = load.slots
        competing.sort(key=lambda candidate: candidate[:3])
        queued = [
            decisions.QueuedWork(candidate.service_s, candidate.latest_start - now)
            for candidate in competing
        ]
        _raise_if_late(
            decisions.lateness_s(
                queued, running_s=running_s, parallel_slots=parallel_slots
            )
        )

    def _refuse_if_full(
        self, queue: deploymentqueue.DeploymentQueue, organisation: str
    ) -> None:
        share = self._share(queue, organisation)
        max_waiting = max(MINIMUM_QUEUED, share * self._max_queued)
        waiting = queue.waiting.get(organisation, [])
        if len(waiting) >= max_waiting:
            raise errors.OverloadedError(
                "too many requests of the organisation are waiting",
                retry_after_s=decisions.retry_after_s(waiting[-1].service_s),
            )

    async def _wait(
        self, queue: deploymentqueue.DeploymentQueue, waiting: deploymentqueue.Waiting
    ) -> decisions.Grant:
        own_queue = queue.waiting.setdefault(waiting.request.organisation, [])
        bisect.insort(own_queue, waiting, key=lambda queued: queued[:3])
        try:
            async with asyncio.timeout_at(waiting.latest_start):
                return await waiting.turn
        except TimeoutError as error:
            raise errors.OverloadedError(
                "no turn came in time to meet the deadline",
                retry_after_s=decisions.retry_after_s(waiting.service_s),
            ) from error
        finally:
            queue.remove_waiting(waiting)

    def _start(
        self,
        queue: deploymentqueue.DeploymentQueue,
        request: requests.Request,
        grant: decisions.Grant,
        number: int,
        service_s: float,
        estimated_cost: float,
    ) -> interfaces.Ticket:
        organisation = request.organisation
        modelled_s = service_s / self._durations.slowdown(request.deployment)
        queue.add_running(
            number,
            deploymentqueue.Running(
                request, grant, self._now(), service_s, estimated_cost, modelled_s
            ),
        )
        self._deployment_of[number] = request.deployment
        queue.counters.charge(organisation, estimated_cost, self._weight(organisation))
        self._retries.earn(organisation)
        self._ledger.record_request(organisation)
        self._ledger.record_running(organisation, 1)
        self._ledger.record_tokens(
            organisation, request.prompt_tokens + request.max_tokens
        )
        self._ledger.publish()
        priority = decisions.PRIORITIES[grant]
        return interfaces.Ticket(request.request_id, organisation, priority, number)

    def charge(
        self, ticket: interfaces.Ticket, *, input_tokens: int, output_tokens: int
    ) -> None:
        """Replace the estimated cost by that of the tokens served."""
        deployment = self._deployment_of.get(ticket.number)
        if deployment is None:
            return
        queue = self._queues[deployment]
        running = queue.running[ticket.number]
        served_cost = shares.token_cost(input_tokens, output_tokens)
        self._correct_charge(queue, running, served_cost, input_tokens + output_tokens)
        queue.running[ticket.number] = running._replace(
            charged_cost=served_cost, is_charged=True
        )

    def _correct_charge(
        self,
        queue: deploymentqueue.DeploymentQueue,
        running: deploymentqueue.Running,
        served_cost: float,
        tokens: float,
    ) -> None:
        request = running.request
        weight = self._weight(request.organisation)
        queue.counters.charge(
            request.organisation, served_cost - running.charged_cost, weight
        )
        correction = tokens - request.prompt_tokens - request.max_tokens
        self._limits.charge_tokens(request.organisation, correction)
        self._ledger.record_tokens(request.organisation, correction)

    def release(self, ticket: interfaces.Ticket) -> None:
        """Release the ticket and start the next waiting requests."""
        deployment = self._deployment_of.pop(ticket.number, None)
        if deployment is None:
            return
        queue = self._queues[deployment]
        running = queue.remove_running(ticket.number)
        self._ledger.record_running(ticket.organisation, -1)
        elapsed_s = self._now() - running.started_at
        if not running.is_charged:
            self._charge_interrupted(queue, running, elapsed_s)
        if running.request.kind is requests.DeploymentKind.SERVICE:
            self._durations.add_service_sample(deployment, elapsed_s)
        elif running.is_charged and running.grant is not decisions.Grant.BORROWED:
            self._durations.add_slowdown_sample(
                deployment, elapsed_s / max(0.001, running.modelled_s)
            )
        self._start_waiting(deployment, queue)

    def _charge_interrupted(
        self,
        queue: deploymentqueue.DeploymentQueue,
        running: deploymentqueue.Running,
        elapsed_s: float,
    ) -> None:
        # The tokens served before an abort are estimated from the time it ran.
        request = running.request
        fraction = min(1.0, elapsed_s / running.service_s) if running.service_s else 1.0
        output_tokens = fraction * request.max_tokens
        served_cost = shares.token_cost(request.prompt_tokens, output_tokens)
        self._correct_charge(
            queue, running, served_cost, request.prompt_tokens + output_tokens
        )

    def may_retry(self, organisation: str) -> bool:
        """Spend one retry of the organisation's budget, or return False."""
        return self._retries.spend(organisation)

    async def run(self) -> None:
        """Publish use and start waiting requests periodically until cancelled."""
        while True:
            await asyncio.sleep(useledger.PUBLISH_INTERVAL_S)
            self._ledger.publish()
            for deployment, queue in self._queues.items():
                self._start_waiting(deployment, queue)

    def _start_waiting(
        self, deployment: str, queue: deploymentqueue.DeploymentQueue
    ) -> None:
        if not queue.waiting:
            return
        capacity = self._capacity.capacity(deployment)
        granted: list[tuple[deploymentqueue.Waiting, decisions.Grant]] = []
        while True:
            chosen = decisions.choose_next(self._candidates(queue, capacity, granted))
            if chosen is None:
                return
            waiting = queue.waiting[chosen.organisation][0]
            queue.remove_waiting(waiting)
            if waiting.turn.done():
                continue
            waiting.turn.set_result(chosen.grant)
            granted.append((waiting, chosen.grant))

    def _candidates(
        self,
        queue: deploymentqueue.DeploymentQueue,
        capacity: interfaces.Capacity,
        granted: list[tuple[deploymentqueue.Waiting, decisions.Grant]],
    ) -> list[decisions.Candidate]:
        candidates = []
        for organisation, waiting in queue.waiting.items():
            load = self._load(queue, organisation, capacity)
            # Requests granted in this round aren't in the queue's running ones yet.
            load = _add_granted(load, organisation, granted)
            grant = decisions.grant(load, is_urgent=waiting[0].rank == 0)
            counter = queue.counters.value(organisation)
            candidates.append(decisions.Candidate(organisation, grant, counter))
        return candidates

    def _load(
        self,
        queue: deploymentqueue.DeploymentQueue,
        organisation: str,
        capacity: interfaces.Capacity,
    ) -> decisions.Load:
        now = self._now()
        return decisions.Load(
            slots=capacity.slots,
            running=len(queue.running),
            running_urgent=queue.running_urgent,
            running_own=queue.running_own.get(organisation, 0),
            share=self._share(queue, organisation),
            running_share=queue.running_share,
            urgent_average=queue.average_slots(None, now, ranks=(0,)),
            own_urgent_average=queue.average_slots(organisation, now, ranks=(0,)),
            own_average=queue.average_slots(organisation, now, ranks=(1, 2)),
        )

    def _share(
        self, queue: deploymentqueue.DeploymentQueue, organisation: str
    ) -> float:
        active = queue.active() | {organisation} | self._ledger.active_elsewhere()
        weights = {name: self._weight(name) for name in active}
        return decisions.share_of(organisation, weights)

    def _weight(self, organisation: str) -> float:
        return self._organisation(organisation).get("share", DEFAULT_SHARE)

    def _organisation(self, name: str) -> documents.Organisation:
        document = self._configuration.view.document
        return document.get("organisations", {}).get(name, {})

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _raise_if_late(lateness_s: float) -> None:
    if lateness_s > 0:
        raise errors.OverloadedError(
            "the work can't be done before its deadline",
            retry_after_s=decisions.retry_after_s(lateness_s),
        )


def _add_granted(
    load: decisions.Load,
    organisation: str,
    granted: list[tuple[deploymentqueue.Waiting, decisions.Grant]],
) -> decisions.Load:
    own = urgent = share = 0
    for waiting, grant in granted:
        is_share = grant in decisions.SHARE_GRANTS
        urgent += grant is decisions.Grant.URGENT
        share += is_share
        own += is_share and waiting.request.organisation == organisation
    return load._replace(
        running=load.running + len(granted),
        running_own=load.running_own + own,
        running_urgent=load.running_urgent + urgent,
        running_share=load.running_share + share,
    )
