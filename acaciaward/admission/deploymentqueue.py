"""The running and the waiting requests of this entry at one deployment."""

import asyncio
import typing
from collections import abc

from acaciaward import requests
from acaciaward.admission import decisions, shares, useledger

ALL_RANKS = range(3)
WORK_AVERAGING_S = 4.0


class Waiting(typing.NamedTuple):
    """
    One queued request; tuples sort in starting order.

    ``rank`` is 0 for urgent, 1 for short and 2 for long; within a rank the earliest
    ``latest_start`` goes first, a time of the event loop's clock. ``turn`` resolves
    to the request's ``decisions.Grant``.
    """

    rank: int
    latest_start: float
    number: int
    service_s: float
    request: requests.Request
    turn: asyncio.Future


class Running(typing.NamedTuple):
    """
    One started request.

    ``charged_cost`` is the token cost charged to its organisation's counter so far:
    an estimate, or the cost of the tokens served if ``is_charged``. ``modelled_s`` is
    the run time predicted from the capacity of the endpoints, ``service_s`` the same
    corrected by the slowdown seen lately.
    """

    request: requests.Request
    grant: decisions.Grant
    started_at: float
    service_s: float
    charged_cost: float
    modelled_s: float = 0.0
    is_charged: bool = False


class DeploymentQueue:
    """Requests of this entry at one deployment; waiting ones by organisation."""

    def __init__(self):
        self.counters = shares.VirtualCounters()
        self.waiting: dict[str, list[Waiting]] = {}
        self.running: dict[int, Running] = {}
        self.running_own: dict[str, int] = {}
        self.running_urgent = 0
        self.running_share = 0
        self._averages: dict[tuple[str, int], useledger.DecayingRate] = {}

    def record_work(
        self, organisation: str, rank: int, *, work_s: float, now: float
    ) -> None:
        """Add the work of a started request, in seconds, to the averages."""
        rate = self._averages.setdefault(
            (organisation, rank), useledger.DecayingRate(WORK_AVERAGING_S)
        )
        rate.add(work_s, now)

    def average_slots(
        self,
        organisation: str | None,
        now: float,
        *,
        ranks: abc.Container[int] = ALL_RANKS,
    ) -> float:
        """Return the average slots in use, by all organisations if it is None."""
        return sum(
            rate.at(now)
            for (name, rank), rate in self._averages.items()
            if rank in ranks and organisation in (None, name)
        )

    def active(self) -> set[str]:
        """Return the organisations with running or waiting requests."""
        organisations = {
            running.request.organisation for running in self.running.values()
        }
        return organisations | set(self.waiting)

    def add_running(self, number: int, running: Running) -> None:
        """Record that a request started."""
        self.running[number] = running
        self._count(running, 1)

    def remove_running(self, number: int) -> Running:
        """Record that a request ended, and return it."""
        running = self.running.pop(number)
        self._count(running, -1)
        return running

    def _count(self, running: Running, change: int) -> None:
        if running.grant is decisions.Grant.URGENT:
            self.running_urgent += change
            return
        if running.grant not in decisions.SHARE_GRANTS:
            return
        self.running_share += change
        name = running.request.organisation
        self.running_own[name] = self.running_own.get(name, 0) + change

    def remove_waiting(self, waiting: Waiting) -> None:
        """Remove a request from its organisation's queue."""
        name = waiting.request.organisation
        queue = self.waiting.get(name, [])
        if waiting in queue:
            queue.remove(waiting)
        if not queue:
            self.waiting.pop(name, None)

    def remaining_work_s(self, organisation: str | None, now: float) -> float:
        """
        Return the remaining seconds of work of running requests.

        Counts an organisation's requests that run on its share, or all urgent
        ones if it is None.
        """
        return sum(
            max(0.0, running.started_at + running.service_s - now)
            for running in self.running.values()
            if _is_counted(running, organisation)
        )


def _is_counted(running: Running, organisation: str | None) -> bool:
    if organisation is None:
        return running.grant is decisions.Grant.URGENT
    is_share = running.grant in decisions.SHARE_GRANTS
    return is_share and running.request.organisation == organisation
