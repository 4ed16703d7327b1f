"""What runs and waits at one deployment from this entry."""

import asyncio
import typing
from collections import abc

from acaciaward import requests
from acaciaward.admission import decisions, shares, use

ALL_RANKS = range(3)
WORK_AVERAGING_S = 4.0


class Waiting(typing.NamedTuple):
    """
    One queued request; the smaller sorts first.

    ``rank`` is 0 for urgent, 1 for short and 2 for long; within a rank it counts
    which must start first.
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

    ``estimate`` is what its organisation's counter was charged so far, and
    ``is_charged`` says that this is what was served, no estimate any more.
    """

    request: requests.Request
    grant: decisions.Grant
    started: float
    service_s: float
    estimate: float
    modelled_s: float = 0.0
    is_charged: bool = False


class DeploymentQueue:
    """What runs and waits at one deployment from this entry."""

    def __init__(self):
        self.counters = shares.VirtualCounters()
        self.waiting: dict[str, list[Waiting]] = {}
        self.running: dict[int, Running] = {}
        self.running_own: dict[str, int] = {}
        self.running_urgent = 0
        self.running_share = 0
        self._averages: dict[tuple[str, int], use.FadingRate] = {}

    def note_work(
        self, organisation: str, rank: int, *, work_s: float, now: float
    ) -> None:
        """Count the work of a started request in the averages."""
        rate = self._averages.setdefault(
            (organisation, rank), use.FadingRate(WORK_AVERAGING_S)
        )
        rate.add(work_s, now)

    def average(
        self,
        organisation: str | None,
        now: float,
        *,
        ranks: abc.Container[int] = ALL_RANKS,
    ) -> float:
        """Return the slots taken on average, by all organisations without a name."""
        return sum(
            rate.at(now)
            for (name, rank), rate in self._averages.items()
            if rank in ranks and organisation in (None, name)
        )

    def active(self) -> set[str]:
        """Return the organisations that run or wait."""
        running = {one.request.organisation for one in self.running.values()}
        return running | set(self.waiting)

    def add_running(self, number: int, running: Running) -> None:
        """Note that a request started."""
        self.running[number] = running
        self._count(running, 1)

    def remove_running(self, number: int) -> Running:
        """Note that a request ended."""
        running = self.running.pop(number)
        self._count(running, -1)
        return running

    def _count(self, running: Running, change: int) -> None:
        if running.grant is decisions.Grant.URGENT:
            self.running_urgent += change
            return
        if running.grant not in decisions.ON_SHARE:
            return
        self.running_share += change
        name = running.request.organisation
        self.running_own[name] = self.running_own.get(name, 0) + change

    def remove_waiting(self, waiting: Waiting) -> None:
        """Take a request out of its queue."""
        name = waiting.request.organisation
        queue = self.waiting.get(name, [])
        if waiting in queue:
            queue.remove(waiting)
        if not queue:
            self.waiting.pop(name, None)

    def running_s(self, organisation: str | None, now: float) -> float:
        """Return the seconds of work left that run, as urgent without a name."""
        return sum(
            max(0.0, one.started + one.service_s - now)
            for one in self.running.values()
            if _is_in_line(one, organisation)
        )


def _is_in_line(running: Running, organisation: str | None) -> bool:
    if organisation is None:
        return running.grant is decisions.Grant.URGENT
    is_share = running.grant in decisions.ON_SHARE
    return is_share and running.request.organisation == organisation
