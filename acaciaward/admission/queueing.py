"""
Admission by limits, fair shares and predicted lateness.

Each deployment has a queue for each organisation. A request starts when
``decisions.grant`` finds a ground for it; one that can't be done by its deadline
is refused at once, and one whose last chance passes while it waits is refused
then.
"""

import asyncio
import bisect
import itertools
import logging

from acaciaward import documents, errors, requests
from acaciaward.admission import (
    decisions,
    deploymentqueue,
    estimates,
    interfaces,
    limits,
    retrybudget,
    shares,
    use,
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
MAX_SLOWDOWN = 2.0
FIRST_SERVICE_S = 0.02
MINIMUM_QUEUED = 4


class QueueingAdmission:
    """Implements ``interfaces.Admission``."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        capacity: interfaces.CapacityReport,
        ledger: use.UseLedger,
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
        self._service_s: dict[str, estimates.FadingEstimate] = {}
        self._slowdowns: dict[str, estimates.FadingEstimate] = {}

    async def admit(self, request: requests.Request) -> interfaces.Ticket:
        """Wait for a turn within bounds and return a ticket."""
        organisation = request.organisation
        estimate = shares.weigh(request.prompt_tokens, request.max_tokens)
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
        is_urgent = self._is_urgent(queue, request, capacity, estimate)
        service_s = self._predict_service_s(request, capacity)
        number = next(self._numbers)
        left_s = decisions.latest_start_s(
            service=service_s, left=request.deadline - self._now()
        )
        waiting = deploymentqueue.Waiting(
            0 if is_urgent else RANKS[request.service_class],
            self._now() + left_s,
            number,
            service_s,
            request,
            asyncio.get_running_loop().create_future(),
        )
        _raise_if_late(max(0.0, -left_s))
        load = self._load(queue, organisation, capacity)
        ground = self._ground_of_newcomer(queue, load, waiting)
        if ground is None:
            self._refuse_if_late(queue, load, waiting)
            self._refuse_if_full(queue, organisation)
            ground = await self._wait(queue, waiting)
        queue.note_work(organisation, waiting.rank, work_s=service_s, now=self._now())
        return self._start(queue, request, ground, number, service_s, estimate)

    def _ground_of_newcomer(
        self,
        queue: deploymentqueue.DeploymentQueue,
        load: decisions.Load,
        waiting: deploymentqueue.Waiting,
    ) -> decisions.Grant | None:
        ahead = queue.waiting.get(waiting.request.organisation, [])
        if ahead and ahead[0][:2] <= waiting[:2]:
            return None
        return decisions.grant(load, is_urgent=waiting.rank == 0)

    def _is_urgent(
        self,
        queue: deploymentqueue.DeploymentQueue,
        request: requests.Request,
        capacity: interfaces.Capacity,
        estimate: float,
    ) -> bool:
        """Take an urgent request from the organisation's allowance."""
        if request.service_class is not requests.ServiceClass.URGENT:
            return False
        share = self._share(queue, request.organisation)
        token_s = capacity.step_s
        if token_s <= 0:
            token_s, estimate = self._service_estimate(request.deployment), 1.0
        rate = share * capacity.slots / token_s
        is_allowed = self._allowance.take(request.organisation, estimate, rate)
        # While urgent requests take a small part of the slots nobody is starved.
        taken = queue.average(None, self._now(), ranks=(0,))
        return is_allowed or taken < shares.URGENT_FREE_PART * capacity.slots

    def _refuse_if_late(
        self,
        queue: deploymentqueue.DeploymentQueue,
        load: decisions.Load,
        waiting: deploymentqueue.Waiting,
    ) -> None:
        """Refuse a request that would come too late, or make another one late."""
        now = self._now()
        organisation = waiting.request.organisation
        if waiting.rank:
            own = queue.waiting.get(organisation, ())
            line = [one for one in [*own, waiting] if 0 < one.rank <= waiting.rank]
            running_s = queue.running_s(organisation, now)
            first = queue.average(organisation, now, ranks=range(1, waiting.rank))
            parallel = load.guaranteed - first
        else:
            line = [one for own in queue.waiting.values() for one in own]
            line = [one for one in [*line, waiting] if one.rank == 0]
            running_s = queue.running_s(None, now)
            parallel = load.slots
        line.sort(key=lambda one: one[:3])
        queued = [
            decisions.QueuedWork(one.service_s, one.latest_start - now) for one in line
        ]
        _raise_if_late(
            decisions.lateness_s(queued, running_s=running_s, parallel=parallel)
        )

    def _refuse_if_full(
        self, queue: deploymentqueue.DeploymentQueue, organisation: str
    ) -> None:
        share = self._share(queue, organisation)
        bound = max(MINIMUM_QUEUED, share * self._max_queued)
        waiting = queue.waiting.get(organisation, [])
        if len(waiting) >= bound:
            raise errors.OverloadedError(
                "too many requests of the organisation are waiting",
                retry_after_s=decisions.retry_after_s(waiting[-1].service_s),
            )

    async def _wait(
        self, queue: deploymentqueue.DeploymentQueue, waiting: deploymentqueue.Waiting
    ) -> decisions.Grant:
        own = queue.waiting.setdefault(waiting.request.organisation, [])
        bisect.insort(own, waiting, key=lambda one: one[:3])
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
        ground: decisions.Grant,
        number: int,
        service_s: float,
        estimate: float,
    ) -> interfaces.Ticket:
        organisation = request.organisation
        modelled_s = service_s / self._slowdown(request.deployment)
        queue.add_running(
            number,
            deploymentqueue.Running(
                request, ground, self._now(), service_s, estimate, modelled_s
            ),
        )
        self._deployment_of[number] = request.deployment
        queue.counters.charge(organisation, estimate, self._weight(organisation))
        self._retries.earn(organisation)
        self._ledger.note_request(organisation)
        self._ledger.note_running(organisation, 1)
        self._ledger.note_tokens(
            organisation, request.prompt_tokens + request.max_tokens
        )
        self._ledger.publish()
        priority = decisions.PRIORITIES[ground]
        return interfaces.Ticket(request.request_id, organisation, priority, number)

    def charge(
        self, ticket: interfaces.Ticket, *, input_tokens: int, output_tokens: int
    ) -> None:
        """Correct the estimate by the tokens that were served."""
        deployment = self._deployment_of.get(ticket.number)
        if deployment is None:
            return
        queue = self._queues[deployment]
        running = queue.running[ticket.number]
        served = shares.weigh(input_tokens, output_tokens)
        self._correct(queue, running, served, input_tokens + output_tokens)
        queue.running[ticket.number] = running._replace(
            estimate=served, is_charged=True
        )

    def _correct(
        self,
        queue: deploymentqueue.DeploymentQueue,
        running: deploymentqueue.Running,
        served: float,
        tokens: float,
    ) -> None:
        request = running.request
        weight = self._weight(request.organisation)
        queue.counters.charge(request.organisation, served - running.estimate, weight)
        correction = tokens - request.prompt_tokens - request.max_tokens
        self._limits.take_tokens(request.organisation, correction)
        self._ledger.note_tokens(request.organisation, correction)

    def release(self, ticket: interfaces.Ticket) -> None:
        """Give the ticket back and start whoever is next."""
        deployment = self._deployment_of.pop(ticket.number, None)
        if deployment is None:
            return
        queue = self._queues[deployment]
        running = queue.remove_running(ticket.number)
        self._ledger.note_running(ticket.organisation, -1)
        took_s = self._now() - running.started
        if not running.is_charged:
            self._charge_broken_off(queue, running, took_s)
        if running.request.kind is requests.DeploymentKind.SERVICE:
            self._learn_service_s(deployment, took_s)
        elif running.is_charged and running.grant is not decisions.Grant.BORROWED:
            self._learn_slowdown(deployment, took_s / max(0.001, running.modelled_s))
        self._pump(deployment, queue)

    def _charge_broken_off(
        self,
        queue: deploymentqueue.DeploymentQueue,
        running: deploymentqueue.Running,
        took_s: float,
    ) -> None:
        # What a stream that was broken off got is taken from the time it ran.
        request = running.request
        part = min(1.0, took_s / running.service_s) if running.service_s else 1.0
        output = part * request.max_tokens
        served = shares.weigh(request.prompt_tokens, output)
        self._correct(queue, running, served, request.prompt_tokens + output)

    def may_retry(self, organisation: str) -> bool:
        """Take one retry from the organisation's budget, or return False."""
        return self._retries.spend(organisation)

    async def run(self) -> None:
        """Publish use and look for free capacity until cancelled."""
        while True:
            await asyncio.sleep(use.PUBLISH_INTERVAL_S)
            self._ledger.publish()
            for deployment, queue in self._queues.items():
                self._pump(deployment, queue)

    def _pump(self, deployment: str, queue: deploymentqueue.DeploymentQueue) -> None:
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
            # Those granted in this round have not started yet.
            load = _with_granted(load, organisation, granted)
            ground = decisions.grant(load, is_urgent=waiting[0].rank == 0)
            counter = queue.counters.value(organisation)
            candidates.append(decisions.Candidate(organisation, ground, counter))
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
            urgent_average=queue.average(None, now, ranks=(0,)),
            own_urgent_average=queue.average(organisation, now, ranks=(0,)),
            own_average=queue.average(organisation, now, ranks=(1, 2)),
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

    def _predict_service_s(
        self, request: requests.Request, capacity: interfaces.Capacity
    ) -> float:
        if request.kind is requests.DeploymentKind.MODEL:
            slowdown = self._slowdown(request.deployment)
            return slowdown * decisions.service_s(request, capacity)
        return self._service_estimate(request.deployment)

    def _service_estimate(self, deployment: str) -> float:
        known = self._service_s.get(deployment)
        return known.value(self._now()) if known else FIRST_SERVICE_S

    def _slowdown(self, deployment: str) -> float:
        known = self._slowdowns.get(deployment)
        return known.value(self._now()) if known else 1.0

    def _learn_service_s(self, deployment: str, took_s: float) -> None:
        known = self._service_s.setdefault(
            deployment, estimates.FadingEstimate(FIRST_SERVICE_S)
        )
        known.learn(took_s, now=self._now())

    def _learn_slowdown(self, deployment: str, ratio: float) -> None:
        known = self._slowdowns.setdefault(deployment, estimates.FadingEstimate(1.0))
        known.learn(min(MAX_SLOWDOWN, max(1.0, ratio)), now=self._now())

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _raise_if_late(lateness: float) -> None:
    if lateness > 0:
        raise errors.OverloadedError(
            "the work can't be done before its deadline",
            retry_after_s=decisions.retry_after_s(lateness),
        )


def _with_granted(
    load: decisions.Load,
    organisation: str,
    granted: list[tuple[deploymentqueue.Waiting, decisions.Grant]],
) -> decisions.Load:
    own = urgent = share = 0
    for waiting, ground in granted:
        is_share = ground in decisions.ON_SHARE
        urgent += ground is decisions.Grant.URGENT
        share += is_share
        own += is_share and waiting.request.organisation == organisation
    return load._replace(
        running=load.running + len(granted),
        running_own=load.running_own + own,
        running_urgent=load.running_urgent + urgent,
        running_share=load.running_share + share,
    )
