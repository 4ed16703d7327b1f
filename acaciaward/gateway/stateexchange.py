"""Collects what an entry reports to the others, and applies their sums here."""

import typing
from collections import abc

from acaciaward.admission import quotas
from acaciaward.quarantine import suspects
from acaciaward.relays import relaying
from acaciaward.routing import demand, occupancy
from acaciaward.usage import counting

# Usage windows in each report: the current one and the one before.
REPORTED_WINDOWS = 2


class Components(typing.NamedTuple):
    """The components whose state is shared among entries."""

    quotas: quotas.Quotas
    occupancy: occupancy.Occupancy
    demand: demand.Demand
    suspects: suspects.Suspects
    counter: counting.Counter
    clock: counting.TrueClock


class Sharing:
    """Implements ``relaying.Listener``: the entry's side of reports and relays."""

    def __init__(self, components: Components, hear_version: abc.Callable[[int], None]):
        self._components = components
        self._demand: abc.Mapping[str, demand.Wanted] = {}
        self.hear_version = hear_version

    def tell(self) -> relaying.Told:
        """Return this entry's report."""
        components = self._components
        return relaying.Told(
            now=components.clock.now(),
            use=components.quotas.totals(),
            load=components.occupancy.load(),
            demand=components.demand.wanted(),
            crashes=components.suspects.tell(),
            windows=components.counter.newest(REPORTED_WINDOWS),
            levels=components.quotas.levels(),
        )

    def hear(self, heard: relaying.Heard) -> None:
        """Apply the sums over all other entries."""
        sums = heard.sums
        self._components.quotas.hear(heard.source, sums.use, is_fresh=heard.is_fresh)
        self._components.quotas.adopt(heard.levels)
        self._components.occupancy.hear(sums.load)
        self._components.suspects.hear(sums.crashes)
        self._demand = {
            service: demand.Wanted(*service_demand)
            for service, service_demand in sums.demand.items()
        }
        self._components.occupancy.hear_long_shares(
            {
                service: service_demand.long_share
                for service, service_demand in self._demand.items()
            }
        )

    def hear_time(self, now: float) -> None:
        """Adjust the clock to the Unix time of the majority of entries."""
        self._components.clock.hear(now)

    def demand_of(self, service: str) -> tuple[float, float]:
        """Return a service's demand over all entries: tokens/s, concurrent requests."""
        service_demand = self._demand.get(
            service
        ) or self._components.demand.wanted().get(service)
        service_demand = service_demand or demand.Wanted()
        running = self._components.occupancy.running(service)[0]
        return service_demand.tokens_per_s, max(service_demand.at_once, running)
