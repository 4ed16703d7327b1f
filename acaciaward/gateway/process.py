"""
Builds, starts and stops all components of one entry on the platform.

    gateway = Gateway(settings)
    await gateway.start()
    await gateway.stop()
"""

import asyncio
import logging
import time
import typing
from collections import abc

from acaciaward import httpclient, tasks
from acaciaward.catalogue import (
    endpoints,
    peerfetching,
    routehistory,
    routes,
    storeview,
)
from acaciaward.entry import peerservices
from acaciaward.gateway import (
    callers,
    callprogress,
    detours,
    duties,
    entryquarantine,
    entryquotas,
    fleetload,
    forwarding,
    guarding,
    housekeeping,
    interfaces,
    links,
    listeners,
    metrics,
    rollouts,
    selfreports,
    stateexchange,
    streamorigins,
)
from acaciaward.membership import (
    interfaces as membership_interfaces,
)
from acaciaward.observability import logs
from acaciaward.platform import (
    calls as platform_calls,
    detours as platform_detours,
    documents,
    headers,
    store,
    topics,
)
from acaciaward.relays import relaying
from acaciaward.rollouts import entryrollouts
from acaciaward.routing import demand, occupancy
from acaciaward.settings import loader
from acaciaward.usage import reporting

log = logging.getLogger(__name__)

State = membership_interfaces.PeerState
# Callers may use a discovery answer for three times its stated lifetime.
DISCOVERY_HOLD_FACTOR = 3.0
# Part of the stop limit that is reserved for ending the process.
EXIT_MARGIN_S = 0.8
# How long before its end a stop answers the calls that still run.
GIVE_UP_MARGIN_S = 0.3
# Longest time for which a connection to the platform's services may be idle between two
# calls; longer than the pause between two reads of the endpoints.
MAX_PLATFORM_IDLE_S = 1.0
POLL_INTERVAL_S = 0.05


class Gateway:
    """All components of one entry."""

    def __init__(self, settings: loader.Settings):
        self._settings = settings
        self._tasks: list[asyncio.Task] = []
        self._is_leaving = False
        self._in_force_since = time.monotonic()
        self._client = httpclient.HttpClient(
            connect_timeout_s=settings["store"]["timeout_s"],
            max_idle_s=MAX_PLATFORM_IDLE_S,
        )
        self._build_store_view()
        self._build_forwarding()
        self._build_servers()
        self._housekeeping = housekeeping.Housekeeping(
            housekeeping.Components(
                self._membership,
                self._entry_quotas.known_entries,
                self._directory,
                self._relaying,
                self._quarantine.suspects,
                self._quarantine.prompt_parts,
                self._occupancy.brittle,
            ),
            open_requests=lambda: self._busy_count,
            endpoints_read_at=lambda: self._endpoints_read_at,
            configuration_age_s=self._configuration_age_s,
        )

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._settings["instance"]["name"]

    def _build_store_view(self) -> None:
        peer_services = peerservices.build(self._settings)
        self._transport = peer_services.transport
        self._membership = peer_services.membership
        store_settings = self._settings["store"]
        self._store = store.Store(
            platform_calls.PlatformService(
                self._client,
                store_settings["address"],
                store_settings["port"],
                timeout_s=store_settings["timeout_s"],
                name="store",
            )
        )
        self._directory = endpoints.Directory(
            time.monotonic, unix_time=lambda: self._duties.clock.now()
        )
        self._rollouts = entryrollouts.EntryRollouts(self._directory)
        self._store_view = storeview.StoreView(
            self._directory,
            rollouts.build_order_reader(
                self._store, self._rollouts, lambda: self._duties.clock.now()
            ),
            topics.KeyedTopic(self._store, store.ENDPOINTS_TOPIC),
            documents,
            wait_s=store_settings["wait_s"],
            pause_s=store_settings["endpoints_pause_s"],
            is_relayed=lambda: self._relaying.is_relayed,
            is_configuration_relayed=lambda: self._relaying.is_configuration_relayed,
        )
        self._route_history = routehistory.RouteHistory()
        self._store_view.subscribe(self._route_history.record)
        self._store_view.subscribe(self._use_catalogue)
        self._peer_fetcher = peerfetching.PeerFetcher(
            self._membership,
            self._store_view,
            data_centre=self._settings["instance"]["data_centre"],
        )

    def _build_forwarding(self) -> None:
        self._duties = duties.EntryDuties(
            self._settings,
            self._client,
            self._store,
            self._membership,
            self._directory,
            services=lambda: self._store_view.scaled_services,
            load=lambda name: self._fleet_load.load_of(name),
            usage_of_others=self._reported_usage,
        )
        self._entry_quotas = entryquotas.EntryQuotas(
            self._store, self._membership, self._duties, self._settings["bounds"]
        )
        rollouts.add_duty(
            self._rollouts,
            self._duties,
            self._settings,
            self._store,
            self._membership,
            self._directory,
            self._store_view,
            known_entries=self._entry_quotas.known_entries,
            is_reading=lambda: not self._relaying.is_relayed,
        )
        self._occupancy = occupancy.Occupancy(
            self._directory,
            data_centre=self._settings["instance"]["data_centre"],
            entries=self._serving_entries,
            known_entries=self._entry_quotas.known_entries,
            unix_time=self._duties.clock.now,
        )
        self._links = links.Links(self._directory, self._occupancy, self._membership)
        self._quarantine = entryquarantine.EntryQuarantine(
            self.name,
            self._store,
            self._serving_entries,
            now=self._duties.clock.now,
        )
        self._streams = streamorigins.EntryStreams(
            self._store,
            self._membership,
            self._directory,
            self._store_view,
            self._route_history,
            process_run=self._duties.process_run,
        )
        self._fleet_load = fleetload.FleetLoad(
            lambda: self._store_view.index,
            demand_of=lambda name: self._state_exchange.demand_of(name),
            requests_of=lambda name: self._occupancy.service_load(name)[0],
            duration_s=self._occupancy.service_s,
            prefill_tokens_per_s=self._occupancy.rates.typical_prefill_tokens_per_s,
            clock=time.monotonic,
        )
        self._demand = demand.Demand(time.monotonic, self._fleet_load.duration_s)
        self._forwarder = forwarding.Forwarder(
            interfaces.Dependencies(
                index=lambda: self._store_view.index,
                occupancy=self._occupancy,
                self_reports=selfreports.SelfReports(self._directory, self._occupancy),
                directory=self._directory,
                pool=self._links.pool,
                reachability=self._links.reachability,
                peers=detours.PeerChoice(
                    self._membership,
                    data_centre=self._settings["instance"]["data_centre"],
                ),
                peer_pool=self._links.peer_pool,
                quotas=self._entry_quotas.quotas,
                reporting_share=self._reporting_share,
                repeats=self._entry_quotas.repeats,
                codec=headers,
                detour_codec=platform_detours,
                demand=self._demand,
                suspects=self._quarantine.suspects,
                prompt_parts=self._quarantine.prompt_parts,
                origins=self._streams.origins,
                read_at=self._read_times,
                route_history=self._route_history,
                list_versions=self._store_view.list_versions,
                record_run=self._duties.counter.record_request,
                record_end=self._record_end,
                rollouts=self._rollouts,
                configuration_age_s=self._configuration_age_s,
            )
        )
        self._build_state_exchange()

    def _build_state_exchange(self) -> None:
        self._state_exchange = stateexchange.GatewayStateExchange(
            stateexchange.Components(
                self._entry_quotas.quotas,
                self._directory,
                self._occupancy,
                self._demand,
                self._quarantine.suspects,
                self._quarantine.prompt_parts,
                self._duties.counter,
                self._duties.clock,
                self._rollouts,
            ),
            self._store_view.receive_version,
        )
        self._relaying = relaying.Relaying(
            self._membership,
            self._directory,
            self._state_exchange,
            process_run=self._duties.process_run,
            data_centre=self._settings["instance"]["data_centre"],
            store_read_at=lambda: self._store_view.endpoints_read_at,
            configuration_read_at=lambda: self._store_view.configuration_read_at,
            configuration_version=lambda: self._store_view.catalogue.version,
        )
        self._store_view.on_endpoints_read = self._relaying.record_store_read

    def _build_servers(self) -> None:
        guard = guarding.build(
            self._settings["limits"],
            largest_body=lambda: self._store_view.catalogue.limits.body_bytes,
        )
        self._callers = callers.CallerServer(
            self._forwarder.handle,
            headers.decode_call,
            lambda: self._store_view.catalogue.limits,
            guard=guard,
            policy=guarding.Policy(
                self._forwarder.refuse_early, headers.encode_early_refusal
            ),
        )
        self._detours = callers.CallerServer(
            self._forwarder.handle_from_peer,
            platform_detours.decode_call,
            lambda: listeners.detour_limits(self._store_view.catalogue.limits),
            guard=guard,
            policy=guarding.Policy(
                self._forwarder.refuse_early, platform_detours.encode_early_refusal
            ),
        )
        self._auxiliary_servers = listeners.build_auxiliary(
            self._settings, self._membership, lambda: self.is_ready, guard
        )

    def _use_catalogue(self, catalogue: routes.Catalogue) -> None:
        self._entry_quotas.use_catalogue(catalogue)
        self._membership.set_configuration_version(catalogue.version)
        metrics.CONFIGURATION_VERSION.set(catalogue.version)
        self._in_force_since = time.monotonic()

    def _serving_entries(self) -> list[str]:
        """Return the names of the entries that serve callers, as far as known."""
        return [
            peer.name
            for peer in self._membership.peers()
            if peer.state in (State.LIVE, State.LEAVING)
        ]

    def _reporting_share(self) -> float:
        """Return the share of known entries that the newest sums include."""
        return min(
            1.0, self._relaying.entry_count / self._entry_quotas.known_entries.count()
        )

    @property
    def _endpoints_read_at(self) -> float:
        return max(self._relaying.store_read_at, self._store_view.endpoints_read_at)

    def _read_times(self) -> interfaces.ReadTimes:
        """Return when this entry or its reader last read the store."""
        return interfaces.ReadTimes(
            self._endpoints_read_at,
            max(
                self._relaying.configuration_read_at,
                self._store_view.configuration_read_at,
            ),
        )

    def _configuration_age_s(self) -> float:
        return time.monotonic() - self._in_force_since

    def _reported_usage(self) -> reporting.ReportedCounts | None:
        """Return other entries' usage counts, or None if the reader stores them."""
        if self._relaying.is_relayed:
            return None
        reports = self._relaying.reports().values()
        return {report["start"]: report["windows"] for report in reports}

    @staticmethod
    def _record_end(progress: callprogress.Progress) -> None:
        kind = progress.route.kind.value
        metrics.REQUESTS.labels(kind, progress.outcome).inc()
        took_s = time.monotonic() - progress.call.received_at
        metrics.REQUEST_SECONDS.labels(kind).observe(took_s)
        if progress.first_byte_s is not None:
            metrics.FIRST_BYTE_SECONDS.labels(kind).observe(progress.first_byte_s)

    @property
    def _busy_count(self) -> int:
        return self._callers.busy_count + self._detours.busy_count

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self._store_view.is_complete and not self._is_leaving

    def set_seeds(self, peers: dict[str, typing.Any]) -> None:
        """Look for other entries at the seeds of changed ``peers`` settings."""
        self._membership.set_seeds(peerservices.read_seeds(peers))

    async def start(self) -> None:
        """Start every component; return when callers can connect."""
        settings = self._settings
        await self._transport.start()
        for run in (
            self._membership.run,
            self._entry_quotas.contacts.run,
            *self._store_view.tasks,
            self._peer_fetcher.run,
            self._peer_fetcher.run_relayed,
            self._housekeeping.run,
            self._relaying.run,
            self._entry_quotas.saver.run,
            self._quarantine.store.run,
            self._links.prober.run,
            *self._streams.origins.tasks,
            self._announce_when_ready,
            *self._duties.tasks,
        ):
            self._start_task(run)
        for name, server in self._auxiliary_servers.items():
            await server.start(settings[name]["address"], settings[name]["port"])
        listen = settings["callers"]
        detours_port = await self._detours.start(
            settings["detours"].get("address", listen["address"]),
            settings["detours"].get("port", 0),
        )
        self._membership.set_detour_port(detours_port)
        port = await self._callers.start(listen["address"], listen["port"])
        log.info(
            "entry started",
            extra=logs.fields(port=port, link_mbps=settings["instance"]["link_mbps"]),
        )

    async def _announce_when_ready(self) -> None:
        while not self.is_ready:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._membership.set_ready()
        log.info("entry ready")

    async def stop(self, requested_at: float | None = None) -> int:
        """
        Leave, drain running requests and end within the stop limit.

        The limit counts from ``requested_at``, a time of the steady clock, by default
        from now. Returns the number of requests that were aborted.
        """
        limit_s = self._settings["bounds"]["stop_limit_s"] - EXIT_MARGIN_S
        began_at = time.monotonic() if requested_at is None else requested_at
        deadline = began_at + limit_s
        lifetime_s = self._settings["discovery"]["lifetime_s"]
        closes_at = began_at + min(DISCOVERY_HOLD_FACTOR * lifetime_s, limit_s / 2)
        self._forwarder.shutdown.close_at(closes_at)
        self._is_leaving = self._forwarder.shutdown.is_stopping = True
        self._callers.is_leaving = self._detours.is_leaving = True
        self._membership.set_leaving()
        # Not awaited: a peer that has gone must not delay the close.
        self._start_task(self._membership.send_updates_now)
        log.info("entry leaving", extra=logs.fields(limit_s=limit_s))
        await asyncio.sleep(closes_at - time.monotonic())
        self._callers.stop_accepting()
        self._detours.stop_accepting()
        await self._wait_until_idle(deadline - GIVE_UP_MARGIN_S)
        self._forwarder.shutdown.give_up()
        await self._wait_until_idle(deadline)
        aborted = self._busy_count
        self._forwarder.end()
        await self._end()
        log.info("entry stopped", extra=logs.fields(cut=aborted))
        return aborted

    async def _wait_until_idle(self, deadline: float) -> None:
        while self._busy_count and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _end(self) -> None:
        self._callers.abort()
        self._detours.stop_accepting()
        self._detours.abort()
        await tasks.end_tasks(self._tasks)
        self._links.close()
        await self._transport.stop()
        await self._client.close()

    def _start_task(self, run: abc.Callable[[], typing.Coroutine]) -> None:
        def count_failure(name: str) -> None:
            metrics.TASK_FAILURES.labels(name).inc()

        coroutine = tasks.keep_running(run, on_failure=count_failure)
        self._tasks.append(asyncio.create_task(coroutine))
