"""
One entry on the platform: builds its slices, starts and stops them.

    gateway = Gateway(settings)
    await gateway.start()
    await gateway.stop()
"""

import asyncio
import logging
import time
import typing

import msgspec
import prometheus_client

from acaciaward import httpclient, tasks
from acaciaward.admission import quotas, repeats
from acaciaward.catalogue import endpoints, following, routes
from acaciaward.entry import peerside
from acaciaward.gateway import callers, calls, duties, forwarding, links, sharing
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import logs
from acaciaward.platform import (
    calls as platform_calls,
    documents,
    headers,
    store,
    topics,
)
from acaciaward.relays import relaying
from acaciaward.routing import demand, occupancy
from acaciaward.settings import loader
from acaciaward.usage import reporting

log = logging.getLogger(__name__)

State = membership_interfaces.PeerState
# How often lapsed endpoints and the known entries are looked through, in seconds.
TIDY_S = 0.25
# Peers that were known in this time count as entries that may serve, in seconds.
KNOWN_PEERS_S = 30.0
# Until gossip has settled after a start, others are supposed to be there, too.
SETTLED_S = 2.0
SUPPOSED_ENTRIES = 10
# Callers may hold a discovery answer three times as long as it says.
HELD_FACTOR = 3.0
# The end of the time to stop that is kept for ending the process, in seconds.
STOP_MARGIN_S = 0.8
STOP_POLL_S = 0.05
MAX_DISCOVERED = 64

READY_PATH = "/api/readyz"
RESOLVE_PATH = "/api/resolve"
METRICS_PATH = "/metrics"

REQUESTS = prometheus_client.Counter(
    "acaciaward_gateway_requests_total",
    "Requests by route and outcome",
    ["route", "outcome"],
)
FIRST_BYTE = prometheus_client.Histogram(
    "acaciaward_gateway_first_byte_seconds",
    "Time from a whole request to the first byte of its answer",
    ["route"],
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)


class Gateway:
    """All slices of one entry."""

    def __init__(self, settings: loader.Settings):
        self._settings = settings
        self._tasks: list[asyncio.Task] = []
        self._index: routes.Index | None = None
        self._is_leaving = False
        self._seen: dict[str, float] = {}
        self._is_behind = False
        self._started = time.monotonic()
        self._client = httpclient.HttpClient(
            connect_timeout_s=settings["store"]["timeout_s"]
        )
        self._build_knowledge()
        self._build_forwarding()
        self._build_servers()

    @property
    def name(self) -> str:
        """The instance's name."""
        return self._settings["instance"]["name"]

    def _build_knowledge(self) -> None:
        side = peerside.build(self._settings)
        self._transport = side.transport
        self._membership = side.membership
        place = self._settings["store"]
        self._store = store.Store(
            platform_calls.PlatformService(
                self._client,
                place["address"],
                place["port"],
                timeout_s=place["timeout_s"],
                name="store",
            )
        )
        self._directory = endpoints.Directory(time.monotonic)
        self._configuration_follower = following.Follower(
            topics.KeyedTopic(self._store, store.CONFIGURATION_TOPIC),
            name="configuration",
            on_listing=self._take_configurations,
            on_change=lambda change: self._take_configurations(
                {change.key: change.value}
            ),
            wait_s=place["wait_s"],
            is_fed=lambda: self._relaying.is_fed and not self._is_behind,
        )
        self._endpoints_follower = following.Follower(
            topics.KeyedTopic(self._store, store.ENDPOINTS_TOPIC),
            name="endpoints",
            on_listing=self._take_endpoints,
            on_change=self._take_endpoint,
            on_outage=self._directory.note_outage,
            is_fed=lambda: self._relaying.is_fed,
            pause_s=place["endpoints_pause_s"],
        )

    def _build_forwarding(self) -> None:
        bounds = self._settings["bounds"]
        self._duties = duties.DutySide(
            self._settings,
            self._client,
            self._store,
            self._membership,
            self._directory,
            services=self._scaled_services,
            demand=lambda name: self._sharing.demand_of(name),
            others=self._counts_to_store,
        )
        self._pool = links.LinkPool()
        self._directory.subscribe(self._drop_links)
        self._occupancy = occupancy.Occupancy(
            self._directory,
            data_centre=self._settings["instance"]["data_centre"],
        )
        self._quotas = quotas.Quotas(time.monotonic, self._entries)
        self._tolerance = quotas.Tolerance(
            bounds["quota_window_s"], bounds["quota_overshoot"], bounds["quota_slack"]
        )
        self._demand = demand.Demand(time.monotonic, self._occupancy.service_s)
        budget = repeats.Budget(
            bounds["repeat_ratio"], bounds["repeat_burst"], bounds["repeat_window_s"]
        )
        self._forwarder = forwarding.Forwarder(
            forwarding.Collaborators(
                index=lambda: self._index,
                occupancy=self._occupancy,
                directory=self._directory,
                pool=self._pool,
                quotas=self._quotas,
                heard_part=self._heard_part,
                repeats=repeats.RepeatBudgets(budget, time.monotonic, self._entries),
                codec=headers,
                demand=self._demand,
                note_run=self._duties.counter.note,
                note_end=self._note_end,
            )
        )
        self._build_sharing()

    def _build_sharing(self) -> None:
        self._sharing = sharing.Sharing(
            sharing.Slices(
                self._quotas,
                self._occupancy,
                self._demand,
                self._duties.counter,
                self._duties.clock,
            ),
            self._hear_version,
        )
        self._relaying = relaying.Relaying(
            self._membership,
            self._directory,
            self._sharing,
            start=self._duties.start,
            data_centre=self._settings["instance"]["data_centre"],
            is_reading=lambda: not self._endpoints_follower.is_failing,
            version=lambda: self._index.catalogue.version if self._index else -1,
        )

    def _scaled_services(self) -> list[routes.Service]:
        # Before the endpoints are listed, none of them would seem to exist.
        if self._index is None or not self._endpoints_follower.is_listed.is_set():
            return []
        return self._index.scaled_services

    def _build_servers(self) -> None:
        self._callers = callers.CallerServer(
            self._forwarder.handle, headers.decode_call, self._limits
        )
        self._others = [
            (
                "readiness",
                callers.CallerServer(
                    self._answer_ready, headers.decode_call, routes.Limits
                ),
            ),
            (
                "discovery",
                callers.CallerServer(
                    self._answer_resolve, headers.decode_call, routes.Limits
                ),
            ),
        ]
        if self._settings["metrics"]:
            self._others.append(
                (
                    "metrics",
                    callers.CallerServer(
                        self._answer_metrics, headers.decode_call, routes.Limits
                    ),
                )
            )

    def _limits(self) -> routes.Limits:
        return self._index.catalogue.limits if self._index else routes.Limits()

    # -- what is believed

    def _take_configurations(self, values: typing.Mapping[str, bytes | None]) -> None:
        data = values.get(store.CONFIGURATION_KEY)
        if not data:
            return
        try:
            catalogue = documents.decode_catalogue(data)
        except documents.UnreadableError as error:
            log.error("configuration unreadable", extra=logs.fields(reason=error))
            return
        known = self._index.catalogue.version if self._index else -1
        if catalogue.version <= known:
            return
        self._index = routes.Index(catalogue)
        self._quotas.set_rules(
            {
                one.name: quotas.rule_of(
                    one.quota.rate, one.quota.burst, self._tolerance
                )
                for one in catalogue.organisations.values()
                if one.quota is not None
            }
        )
        self._is_behind = False
        self._membership.set_configuration_version(catalogue.version)
        log.info(
            "configuration in force",
            extra=logs.fields(
                version=catalogue.version,
                before=known,
                routes=len(catalogue.routes),
                organisations=len(catalogue.organisations),
            ),
        )

    def _take_endpoints(self, values: typing.Mapping[str, bytes]) -> None:
        found = []
        for name, data in values.items():
            endpoint = self._decode_endpoint(name, data)
            if endpoint is not None:
                found.append(endpoint)
        self._directory.replace_all(found)
        self._relaying.note_listed()

    def _take_endpoint(self, change: following.Change) -> None:
        if change.value is None:
            self._directory.remove(change.key, "its entry was removed")
            return
        endpoint = self._decode_endpoint(change.key, change.value)
        if endpoint is not None:
            self._directory.put(endpoint)

    def _decode_endpoint(self, name: str, data: bytes) -> endpoints.Endpoint | None:
        try:
            return documents.decode_endpoint(name, data)
        except documents.UnreadableError as error:
            log.warning(
                "endpoint unreadable", extra=logs.fields(endpoint=name, reason=error)
            )
            self._directory.remove_now(name, "unreadable entry")
            return None

    def _drop_links(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        if before is None:
            return
        if after is None or after.incarnation != before.incarnation:
            self._pool.drop(before.incarnation)

    def _entries(self) -> int:
        """Return how many entries there are, as far as this one knows."""
        is_new = time.monotonic() - self._started < SETTLED_S
        return max(SUPPOSED_ENTRIES if is_new else 1, len(self._seen))

    def _heard_part(self) -> float:
        return min(1.0, self._relaying.heard / self._entries())

    async def _tidy(self) -> None:
        while True:
            now = time.monotonic()
            live = [
                peer.name
                for peer in self._membership.peers()
                if peer.state in (State.LIVE, State.JOINING, State.LEAVING)
            ]
            self._seen |= dict.fromkeys(live, now)
            for name, at in list(self._seen.items()):
                if at < now - KNOWN_PEERS_S:
                    del self._seen[name]
            self._directory.expire()
            await asyncio.sleep(TIDY_S)

    def _hear_version(self, version: int) -> None:
        known = self._index.catalogue.version if self._index else -1
        self._is_behind = version > known

    def _counts_to_store(self) -> reporting.Told | None:
        if self._relaying.is_fed:
            return None
        reports = self._relaying.reports().values()
        return {report["start"]: report["windows"] for report in reports}

    def _note_end(self, progress: forwarding.Progress) -> None:
        REQUESTS.labels(progress.route.name, progress.outcome).inc()
        if progress.first_byte_s is not None:
            FIRST_BYTE.labels(progress.route.name).observe(progress.first_byte_s)

    # -- the platform's own questions

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            self._index is not None
            and self._endpoints_follower.is_listed.is_set()
            and not self._is_leaving
        )

    async def _answer_ready(
        self, call: calls.Call, responder: callers.Responder
    ) -> None:
        if call.path != READY_PATH:
            await responder.send(404, [], b"")
            return
        await responder.send(200 if self.is_ready else 503, [], b"")

    async def _answer_resolve(
        self, call: calls.Call, responder: callers.Responder
    ) -> None:
        if call.path != RESOLVE_PATH:
            await responder.send(404, [], b"")
            return
        addresses = self._addresses()
        if not addresses:
            await responder.send(503, [], b"")
            return
        body = msgspec.json.encode(
            {
                "Addresses": addresses[:MAX_DISCOVERED],
                "TtlS": self._settings["discovery"]["lifetime_s"],
            }
        )
        await responder.send(200, [(b"Content-Type", b"application/json")], body)

    def _addresses(self) -> list[str]:
        return [
            f"{peer.address}:{peer.port}"
            for peer in self._membership.peers()
            if peer.state is State.LIVE
        ]

    async def _answer_metrics(
        self, call: calls.Call, responder: callers.Responder
    ) -> None:
        body = prometheus_client.generate_latest()
        kind = prometheus_client.CONTENT_TYPE_LATEST.encode()
        await responder.send(200, [(b"Content-Type", kind)], body)

    # -- life

    async def start(self) -> None:
        """Start every slice; return when callers can connect."""
        settings = self._settings
        await self._transport.start()
        for work in (
            self._membership.run(),
            self._configuration_follower.run(),
            self._endpoints_follower.run(),
            self._tidy(),
            self._relaying.run(),
            self._list_when_ready(),
            *self._duties.work(),
        ):
            self._start_task(work)
        for name, server in self._others:
            await server.start(settings[name]["address"], settings[name]["port"])
        place = settings["callers"]
        port = await self._callers.start(place["address"], place["port"])
        log.info("entry started", extra=logs.fields(port=port))

    async def _list_when_ready(self) -> None:
        while not self.is_ready:
            await asyncio.sleep(STOP_POLL_S)
        self._membership.set_ready()
        log.info("entry ready")

    async def stop(self) -> int:
        """Leave, finish what runs, and end within the limit; return what was cut."""
        limit_s = self._settings["bounds"]["stop_limit_s"] - STOP_MARGIN_S
        deadline = time.monotonic() + limit_s
        self._is_leaving = True
        self._callers.is_leaving = True
        self._membership.set_leaving()
        await self._membership.spread_now()
        log.info("entry leaving", extra=logs.fields(limit_s=limit_s))
        lifetime_s = self._settings["discovery"]["lifetime_s"]
        await asyncio.sleep(min(HELD_FACTOR * lifetime_s, limit_s / 2))
        self._callers.stop_accepting()
        while self._callers.busy and time.monotonic() < deadline:
            await asyncio.sleep(STOP_POLL_S)
        cut = self._callers.busy
        await self._end()
        log.info("entry stopped", extra=logs.fields(cut=cut))
        return cut

    async def _end(self) -> None:
        self._callers.abort()
        await tasks.end_tasks(self._tasks)
        self._pool.close()
        await self._transport.stop()
        await self._client.close()

    def _start_task(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._note_task_end)
        self._tasks.append(task)

    @staticmethod
    def _note_task_end(task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            log.critical("a task of the entry failed", exc_info=task.exception())
