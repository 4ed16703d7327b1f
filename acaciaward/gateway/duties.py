"""
Builds an entry's part in the duties: the lease, usage reports and fleet orders.

A duty is a task that only one entry performs at a time: the holder of the lease.
"""

import typing
import uuid
from collections import abc

from acaciaward import httpclient
from acaciaward.catalogue import endpoints, routes
from acaciaward.fleet import endpointscaling
from acaciaward.leases import conditionallease
from acaciaward.membership import interfaces as membership_interfaces, rendezvous
from acaciaward.platform import (
    calls as platform_calls,
    duties as platform_duties,
    store,
    topics,
)
from acaciaward.settings import loader
from acaciaward.usage import counting, reporting

State = membership_interfaces.PeerState

LEASE_TOPIC = "acaciaward.duties"
USAGE_TOPIC = "acaciaward.usage"
RUNNING_USAGE_TOPIC = "keyed.acaciaward.usage"
# Entries that compete for the lease; the others don't read its topic.
MAX_CANDIDATES = 3
# Length of a lease as a share of ``bounds.lease_s``, the time within which duties may
# not return to their last holder. From the start of a tenure to that of the same
# entry's next one pass at least two tenures, its own and another entry's, and two last
# longer than that time.
LEASE_SHARE = 0.7
# A call for a duty must end well before the lease expires.
CALL_TIMEOUT_S = 0.7


class EntryDuties:
    """Builds what the duties need; ``tasks`` returns the coroutines to run."""

    def __init__(
        self,
        settings: loader.Settings,
        client: httpclient.HttpClient,
        platform_store: store.Store,
        membership: membership_interfaces.Membership,
        directory: endpoints.Directory,
        *,
        services: abc.Callable[[], abc.Sequence[routes.Service]],
        load: abc.Callable[[str], endpointscaling.Load],
        usage_of_others: abc.Callable[[], reporting.ReportedCounts | None],
    ):
        self._name = settings["instance"]["name"]
        self._membership = membership
        bounds = settings["bounds"]
        self.process_run = f"{self._name}/{uuid.uuid4().hex[:8]}"
        self.clock = counting.CorrectedClock()
        self.counter = counting.UsageCounter(bounds["usage_window_s"], self.clock.now)
        # What was counted by a wrong clock is in the wrong windows.
        self.clock.on_first_step = self.counter.clear
        self._task_factories: list[abc.Callable[[], typing.Coroutine]] = []
        self._lease: conditionallease.ConditionalLease | None = None
        cloud_settings = settings["cloud"]
        names = settings["duties"]["names"]
        if cloud_settings is None:
            return
        lease = self._lease = conditionallease.ConditionalLease(
            topics.LogTopic(platform_store, LEASE_TOPIC),
            self.process_run,
            duration_s=LEASE_SHARE * bounds["lease_s"],
            is_candidate=self._is_candidate,
        )
        self._task_factories.append(lease.run)
        cloud = platform_duties.Duties(
            platform_calls.PlatformService(
                client,
                cloud_settings["address"],
                cloud_settings["port"],
                timeout_s=CALL_TIMEOUT_S,
                name="cloud",
            ),
            self._name,
        )
        if platform_duties.USAGE_DUTY in names:
            reporter = reporting.Reporter(
                topics.LogTopic(platform_store, USAGE_TOPIC),
                lease,
                self.counter,
                counting.Ledger(),
                process_run=self.process_run,
                report_deadline_s=bounds["usage_late_s"],
                live_names=self._live_names,
                peer_counts=usage_of_others,
                send=cloud.report_usage,
                running_topic=topics.KeyedTopic(platform_store, RUNNING_USAGE_TOPIC),
                is_clock_confirmed=lambda: self.clock.is_confirmed,
            )
            self._task_factories += reporter.tasks
        if platform_duties.SCALING_DUTY in names:
            scaler = endpointscaling.EndpointScaler(
                lease, directory, services, load, cloud.scale
            )
            self._task_factories.append(scaler.run)

    @property
    def lease(self) -> conditionallease.ConditionalLease | None:
        """The lease of the duties, None if this entry takes no part in them."""
        return self._lease

    @property
    def is_held(self) -> bool:
        """Whether this entry holds the duties."""
        return self._lease is not None and self._lease.held() is not None

    @property
    def tasks(self) -> list[abc.Callable[[], typing.Coroutine]]:
        """The coroutine functions to run as tasks."""
        return self._task_factories

    def _live_names(self) -> set[str]:
        # A suspect may still be alive.
        peers = self._membership.peers()
        return {peer.name for peer in peers if peer.state is not State.DEAD}

    def _is_candidate(self) -> bool:
        live = [
            peer.name for peer in self._membership.peers() if peer.state is State.LIVE
        ]
        return self._name in rendezvous.choose("duties", live, MAX_CANDIDATES)
