"""What an entry tells the others and takes in from them, slice by slice."""

import typing
from collections import abc

from acaciaward.admission import quotas
from acaciaward.quarantine import suspects
from acaciaward.relays import relaying
from acaciaward.routing import demand, occupancy
from acaciaward.usage import windows

# Windows of usage that are told: the running one and the one before.
TOLD_WINDOWS = 2


class Slices(typing.NamedTuple):
    """The slices that share what they know."""

    quotas: quotas.Quotas
    occupancy: occupancy.Occupancy
    demand: demand.Demand
    suspects: suspects.Suspects
    counter: windows.Counter
    clock: windows.TrueClock


class Sharing:
    """Implements ``relaying.Listener``."""

    def __init__(self, slices: Slices, hear_version: abc.Callable[[int], None]):
        self._slices = slices
        self._demand: abc.Mapping[str, demand.Wanted] = {}
        self.hear_version = hear_version

    def tell(self) -> relaying.Told:
        """Return what this entry has to tell."""
        slices = self._slices
        return relaying.Told(
            now=slices.clock.now(),
            use=slices.quotas.totals(),
            load=slices.occupancy.load(),
            demand=slices.demand.wanted(),
            crashes=slices.suspects.tell(),
            windows=slices.counter.newest(TOLD_WINDOWS),
            levels=slices.quotas.levels(),
        )

    def hear(self, heard: relaying.Heard) -> None:
        """Take in the sums over all other entries."""
        sums = heard.sums
        self._slices.quotas.hear(heard.source, sums.use, is_fresh=heard.is_fresh)
        self._slices.quotas.adopt(heard.levels)
        self._slices.occupancy.hear(sums.load)
        self._slices.suspects.hear(sums.crashes)
        self._demand = {
            service: demand.Wanted(*asked) for service, asked in sums.demand.items()
        }
        self._slices.occupancy.hear_long_shares(
            {service: asked.long_share for service, asked in self._demand.items()}
        )

    def hear_time(self, now: float) -> None:
        """Take in the majority's Unix time."""
        self._slices.clock.hear(now)

    def demand_of(self, service: str) -> tuple[float, float]:
        """Return tokens a second and requests at once of a service, from all."""
        asked = self._demand.get(service) or self._slices.demand.wanted().get(service)
        asked = asked or demand.Wanted()
        running = self._slices.occupancy.running(service)[0]
        return asked.tokens_per_s, max(asked.at_once, running)
