"""
One entry: builds every slice from the settings, starts and stops them.

    entry = EntryProcess(settings)
    await entry.start()
    await entry.stop()
"""

import asyncio
import logging
import time
import typing

from acaciaward import httpclient, httpserver
from acaciaward.administration import api as administration_api
from acaciaward.admission import queueing, retrybudget, use
from acaciaward.callers import api as callers_api, discovery
from acaciaward.claims import local
from acaciaward.configuration import follower
from acaciaward.dispatch import attempts, dispatcher
from acaciaward.endpoints import engine, service
from acaciaward.membership import (
    gossip,
    hints,
    interfaces as membership_interfaces,
    messages as membership_messages,
    transport,
)
from acaciaward.observability import logs
from acaciaward.platform import calls, log as platform_log
from acaciaward.quarantine import permissive
from acaciaward.routing import balanced, loads
from acaciaward.settings import loader

log = logging.getLogger(__name__)

START_WAIT_S = 10.0
DRAIN_POLL_S = 0.05


class EntryProcess:
    """All slices of one entry."""

    def __init__(self, settings: loader.Settings):
        self._settings = settings
        self._tasks: list[asyncio.Task] = []
        self._client = httpclient.HttpClient(
            connect_timeout_s=settings["dispatch"]["connect_timeout_s"]
        )
        self._build_membership()
        self._build_configuration()
        self._build_dispatch()
        self._build_server()

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._settings["instance"]["name"]

    @property
    def configuration(self) -> follower.LogConfiguration:
        """The configuration in force here."""
        return self._configuration

    @property
    def membership(self) -> gossip.GossipMembership:
        """The entries that this one knows."""
        return self._membership

    def _build_membership(self) -> None:
        instance = self._settings["instance"]
        callers = self._settings["callers"]
        peers = self._settings["peers"]
        self._hints = hints.HintBoard(instance["name"])
        self._transport = transport.PeerTransport(
            peers["address"], peers["port"], membership_messages.KINDS
        )
        own = membership_interfaces.Peer(
            name=instance["name"],
            address=callers["address"],
            port=callers["port"],
            peer_port=peers["port"],
            data_centre=instance["data_centre"],
            region=instance["region"],
            incarnation=int(time.time() * 1000),
            state=membership_interfaces.PeerState.LIVE,
            configuration_version=0,
        )
        location = transport.PeerAddress(peers["address"], peers["port"])
        seeds = [
            transport.PeerAddress(seed["address"], seed["port"])
            for seed in peers["seeds"]
        ]
        self._membership = gossip.GossipMembership(
            own,
            location,
            [seed for seed in seeds if seed != location],
            self._transport,
            self._hints,
            probe_interval_s=peers["probe_interval_s"],
            probe_timeout_s=peers["probe_timeout_s"],
            suspicion_s=peers["suspicion_s"],
        )

    def _build_configuration(self) -> None:
        settings = self._settings["configuration"]
        self._configuration = follower.LogConfiguration(
            platform_log.HttpLog(self._platform_service("log")),
            stream=settings["stream"],
            poll_wait_s=settings["poll_wait_s"],
            current_bound_s=settings["current_bound_s"],
        )
        self._configuration.subscribe(
            lambda view: self._membership.set_configuration_version(view.version)
        )

    def _platform_service(self, name: str) -> calls.PlatformService | None:
        platform = self._settings["platform"]
        place = platform[name]
        if place is None:
            return None
        return calls.PlatformService(
            self._client,
            place["address"],
            place["port"],
            timeout_s=platform["timeout_s"],
        )

    def _build_dispatch(self) -> None:
        settings = self._settings["dispatch"]
        self._claims = local.LocalClaimBook(self.name)
        model_engine = engine.HttpModelEngine(
            self._client, token_timeout_s=settings["token_timeout_s"]
        )
        self._build_routing(model_engine)
        self._build_admission()
        collaborators = attempts.Collaborators(
            router=self._router,
            admission=self._admission,
            claims=self._claims,
            quarantine=permissive.PermissiveQuarantine(),
            engine=model_engine,
            service=service.HttpPlainService(self._client),
        )
        limits = attempts.RetryLimits(
            settings["max_attempts"], settings["backoff_s"], settings["backoff_max_s"]
        )
        self._dispatcher = dispatcher.Dispatcher(collaborators, limits)

    def _build_routing(self, model_engine: engine.HttpModelEngine) -> None:
        settings = self._settings["routing"]
        self._loads = loads.LoadBoard(
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

    def _build_admission(self) -> None:
        settings = self._settings["admission"]
        self._admission = queueing.QueueingAdmission(
            self._configuration,
            loads.PartOfCapacity(self._router.usable, self._loads, self._membership),
            use.UseLedger(self._membership, self._hints),
            max_queued=settings["max_queued"],
            retries=retrybudget.RetryBudgets(
                ratio=settings["retry_budget_ratio"],
                minimum=settings["retry_budget_minimum"],
            ),
        )

    def _build_server(self) -> None:
        callers = self._settings["callers"]
        application = httpserver.make_application()
        callers_api.CallersApi(
            application,
            configuration=self._configuration,
            requests_dispatcher=self._dispatcher,
            claims=self._claims,
            entries=discovery.Discovery(
                self._membership, lifetime_s=callers["discovery_lifetime_s"]
            ),
            max_body_bytes=callers["max_body_bytes"],
        )
        administration_api.AdministrationApi(
            application,
            configuration=self._configuration,
            membership=self._membership,
            bootstrap_key_digest=self._settings["administration"][
                "bootstrap_key_digest"
            ],
        )
        self._server = httpserver.HttpServer(
            application,
            callers["address"],
            callers["port"],
            tls=callers["tls"],
            max_connections=callers["max_connections"],
        )

    async def start(self) -> None:
        """Start every slice; return when callers can connect."""
        await self._transport.start()
        self._start_task(self._configuration.run())
        if not await self._configuration.wait_until_current(START_WAIT_S):
            log.warning("started without a current configuration")
        await self._server.start()
        self._start_task(self._membership.run())
        self._start_task(self._admission.run())
        log.info("entry started", extra=logs.fields(port=self._server.port))

    async def stop(self) -> None:
        """Leave, serve callers with older answers, finish what runs, and end."""
        limit_s = self._settings["callers"]["stop_limit_s"]
        log.info("entry leaving", extra=logs.fields(limit_s=limit_s))
        self._membership.set_leaving()
        await self._membership.spread_now()
        deadline = time.monotonic() + limit_s
        await self._wait_for_older_answers(deadline)
        while self._dispatcher.in_flight.total() and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._server.stop()
        await self._end()
        log.info("entry stopped")

    async def kill(self) -> None:
        """End at once, as a crash would; for demonstrations and tests."""
        await self._server.kill()
        await self._end()

    async def _wait_for_older_answers(self, deadline: float) -> None:
        lifetime_s = self._settings["callers"]["discovery_lifetime_s"]
        left_s = max(0.0, deadline - time.monotonic())
        await asyncio.sleep(min(lifetime_s, left_s))

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._loads.stop()
        await self._transport.stop()
        await self._client.close()

    def _start_task(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    def _note_end(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.critical("a task of the entry failed", exc_info=task.exception())
