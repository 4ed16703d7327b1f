"""Collects an entry's reports, and applies the sums of the other entries' reports."""

import typing
from collections import abc

from acaciaward.admission import quotas
from acaciaward.catalogue import endpoints
from acaciaward.quarantine import promptparts, suspects
from acaciaward.relays import interfaces, raterelays
from acaciaward.rollouts import entryrollouts
from acaciaward.routing import demand, occupancy
from acaciaward.usage import counting

# Usage windows in each report: the current one and the one before.
REPORTED_WINDOWS = 2


class Components(typing.NamedTuple):
    """The components whose state is shared among entries."""

    quotas: quotas.Quotas
    directory: endpoints.Directory
    occupancy: occupancy.Occupancy
    demand: demand.Demand
    suspects: suspects.Suspects
    prompt_parts: promptparts.PromptParts
    counter: counting.UsageCounter
    clock: counting.CorrectedClock
    rollouts: entryrollouts.EntryRollouts


class GatewayStateExchange:
    """Implements ``interfaces.StateExchange``: this entry's side of the relays."""

    def __init__(
        self, components: Components, receive_version: abc.Callable[[int], None]
    ):
        self._components = components
        self._demand: abc.Mapping[str, demand.ServiceDemand] = {}
        self.receive_version = receive_version

    def collect_state(self) -> interfaces.LocalState:
        """Return this entry's report."""
        components = self._components
        return interfaces.LocalState(
            now=components.clock.now(),
            use=components.quotas.admitted_totals(),
            load=components.occupancy.load(),
            demand={
                **components.demand.by_service(),
                **components.occupancy.pools.patients.report(),
            },
            crashes=components.suspects.report(),
            windows=components.counter.latest_counts(REPORTED_WINDOWS),
            levels=components.quotas.levels(),
            limits=components.occupancy.limits.announcements.report(),
            brittle=components.occupancy.brittle.announcements.report(),
            parts=components.prompt_parts.report(),
            leaving=components.directory.announced_departures,
            rates=components.occupancy.rates.report(),
            prefill_rates=components.occupancy.rates.prefill_rates.report(),
            rollouts=components.rollouts.report(),
        )

    def summarize_rates(self, others: raterelays.RateFigures) -> raterelays.Speeds:
        """Return how fast endpoints are, from all entries' samples."""
        rates = self._components.occupancy.rates
        rates.receive(others["rates"], others["prefill_rates"])
        services = {endpoint.service for endpoint in self._components.directory.all()}
        return raterelays.Speeds(*rates.summarize(services))

    def receive_state(self, state: interfaces.RelayedState) -> None:
        """Apply the sums over all other entries."""
        sums = state.sums
        self._components.quotas.receive_totals(
            state.source, sums.use, is_recent_start=state.is_recent_start
        )
        self._components.quotas.adopt(state.levels)
        self._components.occupancy.receive_load(sums.load)
        self._components.suspects.receive(sums.crashes)
        self._components.prompt_parts.receive(sums.parts)
        self._components.occupancy.limits.announcements.receive(sums.limits)
        self._components.occupancy.brittle.announcements.receive(sums.brittle)
        if state.speeds is not None:
            self._components.occupancy.rates.adopt(*state.speeds)
        for name, born in sums.leaving:
            self._components.directory.record_leaving((name, born), by_peer=True)
        self._components.rollouts.receive(sums.rollouts)
        pools = self._components.occupancy.pools
        self._demand = {
            service: demand.ServiceDemand(*service_demand)
            for service, service_demand in pools.patients.receive(sums.demand).items()
        }
        pools.receive_long_shares(
            {
                service: service_demand.long_share
                for service, service_demand in self._demand.items()
            }
        )

    def receive_time(self, now: float) -> None:
        """Adjust the clock to the Unix time of the majority of entries."""
        self._components.clock.correct(now)

    def demand_of(self, service: str) -> demand.ServiceDemand:
        """Return a service's demand over all entries."""
        service_demand = self._demand.get(
            service
        ) or self._components.demand.by_service().get(service)
        return service_demand or demand.ServiceDemand()
