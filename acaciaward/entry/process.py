"""
Builds the components of one entry from its settings, starts and stops them.

    entry = EntryProcess(settings)
    await entry.start()
    await entry.stop()
"""

import asyncio
import logging
import math
import time
import typing

import blacksheep

from acaciaward import httpclient, httplimits, httpserver, tasks
from acaciaward.administration import (
    api as administration_api,
)
from acaciaward.admission import queueing, retrybudget, useledger
from acaciaward.callers import api as callers_api, completions, discovery, drain
from acaciaward.claims import claimregistry
from acaciaward.configuration import (
    logconfiguration,
    peering,
    serving,
)
from acaciaward.dispatch import attempts, dispatcher, observed
from acaciaward.endpoints import engine, service
from acaciaward.entry import departurehandling, peerservices, stopping
from acaciaward.evacuation import departures
from acaciaward.fleet import fleetmanager
from acaciaward.leases import leasemanager
from acaciaward.membership import (
    gossip,
    interfaces as membership_interfaces,
    rendezvous,
)
from acaciaward.observability import logs, recorder
from acaciaward.platform import calls, cloud, log as platform_log
from acaciaward.quarantine import logquarantine
from acaciaward.routing import balanced, loads
from acaciaward.settings import loader

log = logging.getLogger(__name__)

START_WAIT_S = 10.0
NOTICE_MARGIN_S = 0.5
MIN_STOP_S = 0.5


class EntryProcess:
    """All components of one entry; ``stop_requested`` is set when it is drained."""

    def __init__(self, settings: loader.Settings):
        self._settings = settings
        self._tasks: list[asyncio.Task] = []
        self.stop_requested = asyncio.Event()
        self._client = httpclient.HttpClient(
            connect_timeout_s=settings["dispatch"]["connect_timeout_s"]
        )
        self._build_membership()
        self._build_configuration()
        self._build_leases()
        self._build_evacuation()
        self._build_dispatch()
        self._build_fleet()
        self._build_server()

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._settings["instance"]["name"]

    @property
    def application(self) -> blacksheep.Application:
        """The HTTP application with the routes of callers and operators."""
        return self._server.application

    @property
    def configuration(self) -> logconfiguration.LogConfiguration:
        """The configuration in force here."""
        return self._configuration

    @property
    def leases(self) -> leasemanager.LogLeases:
        """The leases that this entry holds on duties."""
        return self._leases

    @property
    def membership(self) -> gossip.GossipMembership:
        """The entries that this one knows."""
        return self._membership

    def _build_membership(self) -> None:
        peer_services = peerservices.build(self._settings)
        self._transport = peer_services.transport
        self._hints = peer_services.hints
        self._membership = peer_services.membership

    def _build_configuration(self) -> None:
        settings = self._settings["configuration"]
        self._configuration = logconfiguration.LogConfiguration(
            platform_log.HttpLog(self._platform_service("log")),
            stream=settings["stream"],
            poll_wait_s=settings["poll_wait_s"],
            current_bound_s=settings["current_bound_s"],
            in_force_wait_s=settings["in_force_wait_s"],
            outcome_wait_s=settings["outcome_wait_s"],
            retention_s=settings["retention_s"],
            peers=peering.ConfigurationPeers(
                self._membership,
                data_centre=self._settings["instance"]["data_centre"],
                readers_per_data_centre=settings["readers_per_data_centre"],
            ),
        )
        serving.PeerRequestHandlers(self._configuration, self._membership)
        self._configuration.subscribe(
            lambda view: self._membership.set_configuration_version(view.version)
        )

    def _build_leases(self) -> None:
        settings = self._settings["leases"]
        self._leases = leasemanager.LogLeases(
            platform_log.HttpLog(self._platform_service("log")),
            self.name,
            stream=settings["stream"],
            duration_s=settings["duration_s"],
            order_timeout_s=settings["order_timeout_s"],
            is_candidate=self._is_candidate,
        )

    def _is_candidate(self, duty: str) -> bool:
        live = [
            peer.name
            for peer in self._membership.peers()
            if peer.state is membership_interfaces.PeerState.LIVE
        ]
        count = self._settings["leases"]["candidates"]
        return self.name in rendezvous.choose(duty, live, count)

    def _platform_service(self, name: str) -> calls.PlatformService | None:
        platform = self._settings["platform"]
        address = platform[name]
        if address is None:
            return None
        return calls.PlatformService(
            self._client,
            address["address"],
            address["port"],
            timeout_s=platform["timeout_s"],
            name=name,
        )

    def _build_evacuation(self) -> None:
        self._engine = engine.HttpModelEngine(self._client)
        self._build_routing(self._engine)
        self._departure_handling = departurehandling.DepartureHandling(
            self._settings["evacuation"],
            self._configuration,
            self._hints,
            self._engine,
            self._router,
            publish_hints=self._membership.send_updates_now,
        )
        # The deadline of the departure of this entry's own instance, if announced.
        self._own_deadline = math.inf
        self._departure_handling.departures.subscribe(self._on_departure)

    def _start_watchers(self) -> None:
        cloud_service = self._platform_service("cloud")
        list_service = self._platform_service("instances")
        for watcher in self._departure_handling.watchers(cloud_service, list_service):
            self._start_task(watcher)

    def _build_claims(self) -> None:
        self._claims = claimregistry.LogClaimRegistry(
            self.name,
            platform_log.HttpLog(self._platform_service("log")),
            self._membership,
            self._membership,
            self._settings["claims"],
        )

    def _build_quarantine(self) -> None:
        self._quarantine = logquarantine.LogQuarantine(
            platform_log.HttpLog(self._platform_service("log")),
            self._configuration,
            self._hints,
            self._settings["quarantine"],
        )

    def _build_dispatch(self) -> None:
        settings = self._settings["dispatch"]
        self._build_claims()
        self._build_admission()
        self._build_quarantine()
        dependencies = attempts.Dependencies(
            router=self._router,
            admission=self._admission,
            claims=self._claims,
            quarantine=self._quarantine,
            engine=self._engine,
            service=service.HttpPlainService(self._client),
            evacuation=self._departure_handling.evacuator,
        )
        limits = attempts.RetryLimits(
            settings["max_attempts"],
            settings["backoff_s"],
            settings["backoff_max_s"],
            silence_s=settings["token_timeout_s"],
        )
        self._recorder = recorder.Recorder(self.name)
        self._configuration.subscribe(
            lambda view: self._recorder.apply_document(view.document)
        )
        self._dispatcher = observed.ObservedDispatcher(
            dispatcher.Dispatcher(dependencies, limits), self._recorder
        )

    def _build_routing(self, model_engine: engine.HttpModelEngine) -> None:
        settings = self._settings["routing"]
        self._loads = loads.LoadTracker(
            model_engine, poll_interval_s=settings["load_poll_s"]
        )
        self._router = balanced.BalancedRouter(
            self._configuration,
            self._hints,
            self._loads,
            entry=self.name,
            data_centre=self._settings["instance"]["data_centre"],
            subset_size=settings["subset_size"],
        )

    def _build_fleet(self) -> None:
        settings = self._settings["fleet"]
        names = ("cloud", "instances", "weights")
        services = [self._platform_service(name) for name in names]
        self._fleet = None
        if None in services:
            return
        cloud_service, list_service, weights_service = services
        self._fleet = fleetmanager.FleetManager(
            self._configuration,
            self._leases,
            fleetmanager.FleetPlatform(
                cloud.HttpCloud(cloud_service),
                cloud.HttpInstanceList(list_service),
                cloud.HttpWeightStore(weights_service),
            ),
            self._engine,
            lambda deployment: self._loads.streams(self._router.usable(deployment)),
            name=self.name,
            interval_s=settings["interval_s"],
            hold_s=settings["hold_s"],
            drain_s=settings["drain_s"],
        )

    def _build_admission(self) -> None:
        settings = self._settings["admission"]
        self._admission = queueing.QueueingAdmission(
            self._configuration,
            loads.CapacityShare(self._router.usable, self._loads, self._membership),
            useledger.UseLedger(self._membership, self._hints),
            max_queued=settings["max_queued"],
            retries=retrybudget.RetryBudgets(
                ratio=settings["retry_budget_ratio"],
                minimum=settings["retry_budget_minimum"],
            ),
        )

    def _build_server(self) -> None:
        callers = self._settings["callers"]
        application = httpserver.make_application()
        connections = httplimits.ConnectionLimiter(
            max_per_organisation=callers["max_connections_per_organisation"]
        )
        entry_discovery = discovery.Discovery(
            self._membership, lifetime_s=callers["discovery_lifetime_s"]
        )
        self._drain = drain.Drain(
            entry_discovery, scheme="https" if callers["tls"] else "http"
        )
        dispatch = self._settings["dispatch"]
        callers_api.CallersApi(
            application,
            configuration=self._configuration,
            requests_dispatcher=self._dispatcher,
            claims=self._claims,
            entries=entry_discovery,
            request_drain=self._drain,
            max_body_bytes=callers["max_body_bytes"],
            connections=connections,
            request_recorder=self._recorder,
            stream_limits=completions.StreamLimits(
                dispatch["stream_buffer_tokens"], dispatch["resume_token_lifetime_s"]
            ),
        )
        self._build_administration(application)
        self._server = httpserver.HttpServer(
            application,
            callers["address"],
            callers["port"],
            tls=callers["tls"],
            max_connections=callers["max_connections"],
            limits=httplimits.Limits(
                callers["max_header_bytes"], callers["header_timeout_s"]
            ),
            connection_limiter=connections,
        )

    def _on_departure(self, departure: departures.Departure) -> None:
        if departure.instance == self.name:
            self._own_deadline = departure.deadline
            self.stop_requested.set()

    def _build_administration(self, application: blacksheep.Application) -> None:
        dependencies = administration_api.Dependencies(
            configuration=self._configuration,
            membership=self._membership,
            hints=self._hints,
            claims=self._claims,
            request_recorder=self._recorder,
            drain=self.stop_requested.set,
            fleet=self._fleet,
        )
        administration_api.add_api(
            application,
            dependencies,
            bootstrap_key_digest=self._settings["administration"][
                "bootstrap_key_digest"
            ],
        )

    async def start(self) -> None:
        """Start every component; return when callers can connect."""
        await self._transport.start()
        self._start_task(self._membership.run())
        self._start_task(self._configuration.run())
        self._start_task(self._leases.run())
        self._start_task(self._set_ready_when_current())
        if not await self._configuration.wait_until_current(START_WAIT_S):
            log.warning("started without a current configuration")
        self._start_task(self._claims.run())
        self._start_task(self._quarantine.run())
        await self._quarantine.wait_until_replayed(START_WAIT_S)
        if not await self._claims.wait_until_replayed(START_WAIT_S):
            log.warning("started without having replayed the claims")
        await self._server.start()
        self._start_task(self._admission.run())
        self._start_watchers()
        if self._fleet is not None and self._settings["fleet"]["enabled"]:
            self._start_task(self._fleet.run())
        log.info("entry started", extra=logs.fields(port=self._server.port))

    async def _set_ready_when_current(self) -> None:
        while not await self._configuration.wait_until_current(START_WAIT_S):
            pass
        self._membership.set_ready()

    async def stop(self) -> int:
        """
        Leave, finish or hand over open requests, and end within the limit.

        The limit is that of the settings, or what is left of the reclaim notice of
        this entry's own instance. Returns the number of requests aborted.
        """
        settings = self._settings["callers"]
        notice_s = self._own_deadline - time.monotonic() - NOTICE_MARGIN_S
        limits = stopping.StopLimits(
            max(MIN_STOP_S, min(settings["stop_limit_s"], notice_s)),
            settings["discovery_lifetime_s"],
            settings["finish_s"],
        )
        log.info("entry leaving", extra=logs.fields(limit_s=limits.limit_s))
        self._membership.set_leaving()
        # Not awaited: a peer that has gone must not delay the stop.
        self._start_task(self._membership.send_updates_now())
        left_s, _ = await asyncio.gather(
            stopping.drain_requests(self._drain, limits),
            self._leases.release_all(self._settings["leases"]["order_timeout_s"]),
        )
        aborted = await stopping.stop_server(self._server, self._drain, left_s)
        await self._end()
        log.info("entry stopped", extra=logs.fields(cut=aborted))
        return aborted

    async def kill(self) -> None:
        """End at once, as a crash would; for demonstrations and tests."""
        await self._server.kill()
        await self._end()

    async def _end(self) -> None:
        await tasks.end_tasks(self._tasks)
        await self._departure_handling.evacuator.stop()
        self._loads.stop()
        await self._transport.stop()
        await self._client.close()

    def _start_task(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._log_failure)
        self._tasks.append(task)

    def _log_failure(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.critical("a task of the entry failed", exc_info=task.exception())
