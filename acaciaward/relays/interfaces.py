"""Interfaces between relaying and the components whose state entries share."""

import typing
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.quarantine import crashreports, partreports
from acaciaward.relays import aggregation, raterelays
from acaciaward.rollouts import messages as rollout_messages
from acaciaward.routing import announcements, prefillrates, ratesums


class LocalState(typing.NamedTuple):
    """
    The state that this entry reports; the reader also relays its ``levels``.

    ``messages.Figures`` explains the fields.
    """

    now: float
    use: dict[str, float]
    load: dict[str, tuple[float, float]]
    demand: dict[str, tuple[float, ...]]
    crashes: crashreports.CrashReport
    windows: dict[int, dict[str, int]]
    levels: dict[str, float]
    limits: announcements.Report = {}
    parts: partreports.Report = partreports.empty_report()
    leaving: abc.Sequence[endpoints.Incarnation] = ()
    brittle: announcements.Report = {}
    rates: ratesums.Report = {}
    prefill_rates: prefillrates.Report = {}
    rollouts: rollout_messages.News | None = None


class RelayedState(typing.NamedTuple):
    """
    The content of a relay: the sums for this entry, and the reader's quota levels.

    ``source`` identifies the reader's current run; ``is_recent_start`` is true if it
    began less than ``aggregation.RECENT_START_S`` ago. ``speeds`` are those of
    endpoints, None in most relays.
    """

    source: str
    is_recent_start: bool
    sums: aggregation.Sums
    levels: dict[str, float]
    speeds: raterelays.Speeds | None = None


class StateExchange(typing.Protocol):
    """Provides the state that this entry reports, and receives what relays contain."""

    def collect_state(self) -> LocalState:
        """Return the state to report."""

    def summarize_rates(self, others: raterelays.RateFigures) -> raterelays.Speeds:
        """Return what follows from the sums of all others and this entry's own."""

    def receive_state(self, state: RelayedState) -> None:
        """Receive the sums and quota levels of a relay."""

    def receive_time(self, now: float) -> None:
        """Receive the median Unix time of the entries' clocks."""

    def receive_version(self, version: int) -> None:
        """Receive the configuration version in force at the reader."""
