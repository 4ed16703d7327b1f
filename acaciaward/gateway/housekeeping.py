"""
Removes what has lapsed, counts entries and sets the gauges, all periodically.

An entry that does this late was held up itself, which the loop's lag shows.
"""

import asyncio
import time
import typing
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.gateway import metrics
from acaciaward.membership import entrycount, interfaces
from acaciaward.quarantine import promptparts, suspects
from acaciaward.relays import relaying
from acaciaward.routing import brittleness

INTERVAL_S = 0.25
State = interfaces.PeerState
COUNTED_STATES = (State.LIVE, State.JOINING, State.LEAVING)


class Components(typing.NamedTuple):
    """The parts of an entry that are kept up."""

    membership: interfaces.Membership
    known_entries: entrycount.EntryCount
    directory: endpoints.Directory
    relaying: relaying.Relaying
    suspects: suspects.Suspects
    prompt_parts: promptparts.PromptParts
    brittle: brittleness.Brittleness


class Housekeeping:
    """
    The periodic upkeep of one entry.

    ``open_requests`` returns how many requests run, ``endpoints_read_at`` when the
    endpoints were last read, in seconds of the steady clock, and
    ``configuration_age_s`` how long the configuration has been in force.
    """

    def __init__(
        self,
        components: Components,
        *,
        open_requests: abc.Callable[[], int],
        endpoints_read_at: abc.Callable[[], float],
        configuration_age_s: abc.Callable[[], float],
    ):
        self._components = components
        self._open_requests = open_requests
        self._endpoints_read_at = endpoints_read_at
        self._configuration_age_s = configuration_age_s

    async def run(self) -> None:
        """Keep up the entry until cancelled."""
        while True:
            self._count_entries()
            self._components.directory.remove_due()
            self._set_gauges()
            due = time.monotonic() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            metrics.LOOP_LAG_SECONDS.observe(max(0.0, time.monotonic() - due))

    def _set_gauges(self) -> None:
        components = self._components
        endpoints_age_s = time.monotonic() - self._endpoints_read_at()
        metrics.ENTRIES_IN_SUMS.set(components.relaying.entry_count)
        metrics.OPEN_REQUESTS.set(self._open_requests())
        metrics.SUSPECTS.set(len(components.suspects))
        metrics.BLAMED_PARTS.set(len(components.prompt_parts.blamed))
        metrics.BRITTLE_ENDPOINTS.set(components.brittle.update())
        metrics.ENDPOINTS_AGE_SECONDS.set(endpoints_age_s)
        metrics.CONFIGURATION_AGE_SECONDS.set(self._configuration_age_s())

    def _count_entries(self) -> None:
        membership = self._components.membership
        known_entries = self._components.known_entries
        counted = [peer for peer in membership.peers() if peer.state in COUNTED_STATES]
        known_entries.record_heard(
            [peer.name for peer in counted],
            counted_by_peers=max(
                (peer.counted for peer in counted if peer.name != membership.name),
                default=0,
            ),
        )
        membership.set_counted(known_entries.counted)
        metrics.COUNTED_ENTRIES.set(known_entries.count())
