"""
Tracks the load reports and cache events of the endpoints in this entry's subset.

One task for each model endpoint polls it several times a second. Reports lag; each
is kept with the time at which it was measured.
"""

import asyncio
import logging
import statistics
import time
import typing

from acaciaward import errors, requests
from acaciaward.admission import interfaces as admission_interfaces
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import logs
from acaciaward.routing import prefix

log = logging.getLogger(__name__)

# Assumed for model endpoints without a load report.
DEFAULT_SLOTS = 8.0
DEFAULT_STEP_S = 0.003
# Assumed for plain services, which report no load.
SERVICE_SLOTS = 64.0
# For one prompt token.
PREFILL_S = 0.00002
# The free slots in an older report are not counted.
MAX_REPORT_AGE_S = 3.0
POLLS_PER_EVENT_READ = 2


class Report(typing.NamedTuple):
    """
    One engine's load report.

    ``measured_at`` is the monotonic time at which the engine measured it,
    ``own_in_flight`` this entry's attempts there when it was requested.
    """

    load: endpoints_interfaces.EngineLoad
    measured_at: float
    own_in_flight: int


class LoadTracker:
    """Holds the newest load report and the cached blocks of each polled endpoint."""

    def __init__(
        self, engine: endpoints_interfaces.ModelEngine, *, poll_interval_s: float
    ):
        self._engine = engine
        self._poll_interval_s = poll_interval_s
        self._reports: dict[str, Report] = {}
        self._blocks: dict[str, prefix.CachedBlocks] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self.in_flight: dict[str, int] = {}

    def report(self, endpoint: str) -> Report | None:
        """Return the newest report of an endpoint."""
        return self._reports.get(endpoint)

    def streams(self, endpoints: typing.Iterable[requests.Endpoint]) -> float:
        """
        Return how many requests run or wait at endpoints.

        Counts the larger of the reported number and this entry's own for each.
        """
        total = 0.0
        for endpoint in endpoints:
            report = self._reports.get(endpoint.name)
            own_in_flight = self.in_flight.get(endpoint.name, 0)
            reported = report.load.running + report.load.waiting if report else 0
            total += max(own_in_flight, reported)
        return total

    def blocks(self, endpoint: str) -> prefix.CachedBlocks:
        """Return the blocks that an endpoint is assumed to have cached."""
        return self._blocks.setdefault(endpoint, prefix.CachedBlocks())

    def follow(self, endpoints: typing.Iterable[requests.Endpoint]) -> None:
        """Poll exactly these endpoints from now on."""
        followed = {endpoint.name: endpoint for endpoint in endpoints}
        for name in [name for name in self._tasks if name not in followed]:
            self._tasks.pop(name).cancel()
            self._reports.pop(name, None)
            self._blocks.pop(name, None)
        for name, endpoint in followed.items():
            if name not in self._tasks:
                self._tasks[name] = asyncio.create_task(self._follow(endpoint))

    def stop(self) -> None:
        """Stop polling all endpoints."""
        self.follow(())

    async def _follow(self, endpoint: requests.Endpoint) -> None:
        poll_count = 0
        while True:
            try:
                await self._poll(
                    endpoint, with_events=poll_count % POLLS_PER_EVENT_READ == 0
                )
            except errors.EndpointError as error:
                log.debug(
                    "no load report",
                    extra=logs.fields(endpoint=endpoint.name, reason=error),
                )
            except (KeyError, TypeError, ValueError) as error:
                log.warning(
                    "malformed load report",
                    extra=logs.fields(endpoint=endpoint.name, reason=error),
                )
            poll_count += 1
            await asyncio.sleep(self._poll_interval_s)

    async def _poll(self, endpoint: requests.Endpoint, *, with_events: bool) -> None:
        own_in_flight = self.in_flight.get(endpoint.name, 0)
        load = await self._engine.load(endpoint)
        measured_at = time.monotonic() - load.age_s
        self._reports[endpoint.name] = Report(load, measured_at, own_in_flight)
        if with_events:
            blocks = self.blocks(endpoint.name)
            events = await self._engine.cache_events(endpoint, blocks.next_offset)
            blocks.record_events(events)


class CapacityShare:
    """Implements ``admission.interfaces.CapacityReport`` from the load reports."""

    def __init__(
        self,
        usable: typing.Callable[[str], list[requests.Endpoint]],
        load_tracker: LoadTracker,
        membership: membership_interfaces.Membership,
    ):
        self._usable = usable
        self._load_tracker = load_tracker
        self._membership = membership

    def capacity(self, deployment: str) -> admission_interfaces.Capacity:
        """Return this entry's share of the capacity of a deployment."""
        endpoints = self._usable(deployment)
        entries = self._live_entries()
        if not endpoints:
            return admission_interfaces.Capacity(1.0, DEFAULT_STEP_S, PREFILL_S)
        if endpoints[0].kind is requests.DeploymentKind.SERVICE:
            slots = SERVICE_SLOTS * len(endpoints) / entries
            return admission_interfaces.Capacity(max(1.0, slots))
        reports = [self._load_tracker.report(endpoint.name) for endpoint in endpoints]
        received = [report for report in reports if report is not None]
        return capacity_share(
            received, unreported=len(reports) - len(received), entries=entries
        )

    def _live_entries(self) -> int:
        live = (
            peer.state is membership_interfaces.PeerState.LIVE
            for peer in self._membership.peers()
        )
        return max(1, sum(live))


def capacity_share(
    reports: typing.Sequence[Report], *, unreported: int, entries: int
) -> admission_interfaces.Capacity:
    """
    Return one entry's capacity: an equal share of all slots plus one of the idle slots.

    Reports of idle slots are old and every entry sees the same ones, so an entry
    never counts on all of them. ``unreported`` counts endpoints without a report.
    """
    now = time.monotonic()
    slots = [report.load.running + report.load.free_slots for report in reports]
    mean_slots = statistics.mean(slots) if slots else DEFAULT_SLOTS
    total = sum(slots) + unreported * mean_slots
    idle = sum(
        max(0, report.load.free_slots - report.load.waiting)
        for report in reports
        if now - report.measured_at <= MAX_REPORT_AGE_S
    )
    steps = [report.load.step_s for report in reports]
    return admission_interfaces.Capacity(
        slots=max(1.0, min(total, (total + idle) / entries)),
        step_s=statistics.median(steps) if steps else DEFAULT_STEP_S,
        prefill_s=PREFILL_S,
    )
