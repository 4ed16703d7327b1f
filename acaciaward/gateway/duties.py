"""
The duties' side of an entry: the lease, the usage counts and the fleet's orders.
"""

import typing
import uuid
from collections import abc

from acaciaward import httpclient
from acaciaward.catalogue import endpoints, routes
from acaciaward.fleet import ordering
from acaciaward.leases import conditional
from acaciaward.membership import interfaces as membership_interfaces, rendezvous
from acaciaward.platform import (
    calls as platform_calls,
    duties as platform_duties,
    store,
    topics,
)
from acaciaward.routing import demand
from acaciaward.settings import loader
from acaciaward.usage import reporting, windows

State = membership_interfaces.PeerState
COUNTS = membership_interfaces.HintKind.USAGE_COUNTS
DEMAND = membership_interfaces.HintKind.SERVICE_DEMAND

LEASE_TOPIC = "acaciaward.duties"
USAGE_TOPIC = "acaciaward.usage"
# Entries that try to hold the lease; the others don't read it.
CANDIDATES = 3
# Two tenures in a row, the least between two of one entry, outlast the bound in
# which duties may not come back to their last holder.
LEASE_PART = 0.7
# Counts are told for this long after they last changed, in seconds.
COUNTS_LIFETIME_S = 12.0
TOLD_WINDOWS = 2
# A call for a duty must be over well before the lease is, in seconds.
CALL_TIMEOUT_S = 0.7


class DutySide:
    """Builds what the duties need; ``work`` are its tasks."""

    def __init__(
        self,
        settings: loader.Settings,
        client: httpclient.HttpClient,
        platform_store: store.Store,
        membership: membership_interfaces.Membership,
        hints: membership_interfaces.Hints,
        directory: endpoints.Directory,
        *,
        services: abc.Callable[[], abc.Sequence[routes.Service]],
        streams: abc.Callable[[str], float],
    ):
        self._name = settings["instance"]["name"]
        self._membership = membership
        self._hints = hints
        self._streams = streams
        bounds = settings["bounds"]
        self._start = f"{self._name}/{uuid.uuid4().hex[:8]}"
        self._starts = {self._name: self._start}
        self._clock = windows.TrueClock()
        self.counter = windows.Counter(bounds["usage_window_s"], self._clock.now)
        self._ledger = windows.Ledger()
        hints.subscribe(COUNTS, self._hear)
        self._work: list[abc.Callable[[], typing.Coroutine]] = []
        place = settings["cloud"]
        names = settings["duties"]["names"]
        if place is None:
            return
        lease = conditional.ConditionalLease(
            topics.LogTopic(platform_store, LEASE_TOPIC),
            self._start,
            duration_s=LEASE_PART * bounds["lease_s"],
            is_candidate=self._is_candidate,
        )
        self._work.append(lease.run)
        cloud = platform_duties.Duties(
            platform_calls.PlatformService(
                client,
                place["address"],
                place["port"],
                timeout_s=CALL_TIMEOUT_S,
                name="cloud",
            ),
            self._name,
        )
        if platform_duties.USAGE in names:
            reporter = reporting.Reporter(
                topics.LogTopic(platform_store, USAGE_TOPIC),
                lease,
                self.counter,
                self._ledger,
                start=self._start,
                late_s=bounds["usage_late_s"],
                live_starts=self._live_starts,
                send=cloud.report_usage,
            )
            self._work.append(reporter.run)
        if platform_duties.SCALING in names:
            orders = ordering.Ordering(
                lease, directory, services, self._demand, cloud.order
            )
            self._work.append(orders.run)

    def work(self) -> list[typing.Coroutine]:
        """Return the tasks to run."""
        return [start() for start in self._work]

    def publish(self) -> None:
        """Tell the others what was counted in the last windows."""
        current = self.counter.window()
        told = {
            str(window): self.counter.of(window)
            for window in range(current - TOLD_WINDOWS + 1, current + 1)
        }
        value = {"start": self._start, "now": self._clock.now(), "windows": told}
        self._hints.publish(COUNTS, self._name, value, lifetime_s=COUNTS_LIFETIME_S)

    def _hear(self, hint: membership_interfaces.Hint) -> None:
        start, told = hint.value.get("start"), hint.value.get("windows")
        if not isinstance(start, str) or not isinstance(told, dict):
            return
        self._starts[hint.origin] = start
        now = hint.value.get("now")
        if hint.origin != self._name and isinstance(now, float):
            self._clock.hear(hint.origin, now)
        for window, counts in told.items():
            if window.isdecimal():
                self._ledger.hear(start, int(window), counts, is_whole=False)

    def _live_starts(self) -> set[str]:
        # A suspect may well live, and one that has told nothing yet is waited for.
        return {
            self._starts.get(peer.name, peer.name)
            for peer in self._membership.peers()
            if peer.state is not State.DEAD
        }

    def _is_candidate(self) -> bool:
        live = [
            peer.name for peer in self._membership.peers() if peer.state is State.LIVE
        ]
        return self._name in rendezvous.choose("duties", live, CANDIDATES)

    def _demand(self, service: str) -> tuple[float, float]:
        told = [hint.value for hint in self._hints.all(DEMAND)]
        return demand.total(told, service), self._streams(service)
