"""
What the endpoints of this entry's subset report: load and cache events.

One task for each model endpoint asks for its report some times a second. The
reports lag; each is kept with the moment at which it was true.
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

DEFAULT_SLOTS = 8.0
DEFAULT_STEP_S = 0.003
SERVICE_SLOTS = 64.0
PREFILL_S = 0.00002
# A report older than this says nothing of free slots any more.
MAX_REPORT_AGE_S = 3.0
EVENTS_EVERY = 2


class Report(typing.NamedTuple):
    """One engine's report and the moment (monotonic) at which it was true."""

    load: endpoints_interfaces.EngineLoad
    moment: float
    own: int


class LoadBoard:
    """The newest report and the held blocks of each endpoint followed."""

    def __init__(
        self, engine: endpoints_interfaces.ModelEngine, *, poll_interval_s: float
    ):
        self._engine = engine
        self._poll_interval_s = poll_interval_s
        self._reports: dict[str, Report] = {}
        self._blocks: dict[str, prefix.HeldBlocks] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self.in_flight: dict[str, int] = {}

    def report(self, endpoint: str) -> Report | None:
        """Return the newest report of an endpoint."""
        return self._reports.get(endpoint)

    def streams(self, endpoints: typing.Iterable[requests.Endpoint]) -> float:
        """Return how many requests run or wait at endpoints, by their reports."""
        total = 0.0
        for endpoint in endpoints:
            report = self._reports.get(endpoint.name)
            own = self.in_flight.get(endpoint.name, 0)
            told = report.load.running + report.load.waiting if report else 0
            total += max(own, told)
        return total

    def blocks(self, endpoint: str) -> prefix.HeldBlocks:
        """Return the blocks that an endpoint is believed to hold."""
        return self._blocks.setdefault(endpoint, prefix.HeldBlocks())

    def follow(self, endpoints: typing.Iterable[requests.Endpoint]) -> None:
        """Follow exactly these endpoints from now on."""
        wanted = {endpoint.name: endpoint for endpoint in endpoints}
        for name in [name for name in self._tasks if name not in wanted]:
            self._tasks.pop(name).cancel()
            self._reports.pop(name, None)
            self._blocks.pop(name, None)
        for name, endpoint in wanted.items():
            if name not in self._tasks:
                self._tasks[name] = asyncio.create_task(self._follow(endpoint))

    def stop(self) -> None:
        """Follow nothing any more."""
        self.follow(())

    async def _follow(self, endpoint: requests.Endpoint) -> None:
        turn = 0
        while True:
            try:
                await self._poll(endpoint, with_events=turn % EVENTS_EVERY == 0)
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
            turn += 1
            await asyncio.sleep(self._poll_interval_s)

    async def _poll(self, endpoint: requests.Endpoint, *, with_events: bool) -> None:
        own = self.in_flight.get(endpoint.name, 0)
        load = await self._engine.load(endpoint)
        moment = time.monotonic() - load.age_s
        self._reports[endpoint.name] = Report(load, moment, own)
        if with_events:
            blocks = self.blocks(endpoint.name)
            events = await self._engine.cache_events(endpoint, blocks.next_offset)
            blocks.note_events(events)


class PartOfCapacity:
    """Implements ``admission.interfaces.CapacityReport`` from the load board."""

    def __init__(
        self,
        usable: typing.Callable[[str], list[requests.Endpoint]],
        board: LoadBoard,
        membership: membership_interfaces.Membership,
    ):
        self._usable = usable
        self._board = board
        self._membership = membership

    def capacity(self, deployment: str) -> admission_interfaces.Capacity:
        """Return this entry's part of the capacity of a deployment."""
        endpoints = self._usable(deployment)
        entries = self._live_entries()
        if not endpoints:
            return admission_interfaces.Capacity(1.0, DEFAULT_STEP_S, PREFILL_S)
        if endpoints[0].kind is requests.DeploymentKind.SERVICE:
            slots = SERVICE_SLOTS * len(endpoints) / entries
            return admission_interfaces.Capacity(max(1.0, slots))
        reports = [self._board.report(endpoint.name) for endpoint in endpoints]
        known = [report for report in reports if report is not None]
        return part_of_capacity(
            known, silent=len(reports) - len(known), entries=entries
        )

    def _live_entries(self) -> int:
        live = (
            peer.state is membership_interfaces.PeerState.LIVE
            for peer in self._membership.peers()
        )
        return max(1, sum(live))


def part_of_capacity(
    reports: typing.Sequence[Report], *, silent: int, entries: int
) -> admission_interfaces.Capacity:
    """
    Return one entry's part: its equal part, and an equal part of the idle slots.

    Idle slots are told by old reports, so an entry never counts on all of them.
    ``silent`` counts endpoints without a report.
    """
    now = time.monotonic()
    slots = [report.load.running + report.load.free_slots for report in reports]
    usual = statistics.mean(slots) if slots else DEFAULT_SLOTS
    total = sum(slots) + silent * usual
    idle = sum(
        max(0, report.load.free_slots - report.load.waiting)
        for report in reports
        if now - report.moment <= MAX_REPORT_AGE_S
    )
    steps = [report.load.step_s for report in reports]
    return admission_interfaces.Capacity(
        slots=max(1.0, min(total, (total + idle) / entries)),
        step_s=statistics.median(steps) if steps else DEFAULT_STEP_S,
        prefill_s=PREFILL_S,
    )
