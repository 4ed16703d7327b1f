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

from acaciaward import httpclient, tasks
from acaciaward.admission import quotas, repeats, saving
from acaciaward.catalogue import endpoints, knowledge, routes
from acaciaward.entry import peerside
from acaciaward.gateway import (
    callers,
    duties,
    forwarding,
    interfaces,
    life,
    links,
    metrics,
    questions,
    sharing,
)
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import logs
from acaciaward.platform import (
    calls as platform_calls,
    documents,
    headers,
    store,
    topics,
)
from acaciaward.quarantine import suspects
from acaciaward.relays import relaying
from acaciaward.routing import demand, occupancy
from acaciaward.settings import loader
from acaciaward.usage import reporting

log = logging.getLogger(__name__)

State = membership_interfaces.PeerState
QUOTAS_TOPIC = "keyed.acaciaward.quotas"
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


class Gateway:
    """All slices of one entry."""

    def __init__(self, settings: loader.Settings):
        self._settings = settings
        self._tasks: list[asyncio.Task] = []
        self._is_leaving = False
        self._seen: dict[str, float] = {}
        self._started = self._in_force_since = time.monotonic()
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
        self._knowledge = knowledge.Knowledge(
            self._directory,
            topics.KeyedTopic(self._store, store.CONFIGURATION_TOPIC),
            topics.KeyedTopic(self._store, store.ENDPOINTS_TOPIC),
            documents,
            wait_s=place["wait_s"],
            pause_s=place["endpoints_pause_s"],
            is_fed=lambda: self._relaying.is_fed,
        )
        self._knowledge.subscribe(self._use_catalogue)

    def _build_forwarding(self) -> None:
        bounds = self._settings["bounds"]
        self._duties = duties.DutySide(
            self._settings,
            self._client,
            self._store,
            self._membership,
            self._directory,
            services=lambda: self._knowledge.scaled_services,
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
        self._saver = saving.Saver(
            topics.KeyedTopic(self._store, QUOTAS_TOPIC),
            self._quotas,
            is_chosen=lambda: self._duties.is_held,
            now=self._duties.clock.now,
            entries=self._entries,
        )
        self._tolerance = quotas.Tolerance(
            bounds["quota_window_s"], bounds["quota_overshoot"], bounds["quota_slack"]
        )
        self._suspects = suspects.Suspects(time.monotonic)
        self._demand = demand.Demand(time.monotonic, self._occupancy.service_s)
        budget = repeats.Budget(
            bounds["repeat_ratio"], bounds["repeat_burst"], bounds["repeat_window_s"]
        )
        self._forwarder = forwarding.Forwarder(
            interfaces.Collaborators(
                index=lambda: self._knowledge.index,
                occupancy=self._occupancy,
                directory=self._directory,
                pool=self._pool,
                quotas=self._quotas,
                heard_part=self._heard_part,
                repeats=repeats.RepeatBudgets(budget, time.monotonic, self._entries),
                codec=headers,
                demand=self._demand,
                suspects=self._suspects,
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
                self._suspects,
                self._duties.counter,
                self._duties.clock,
            ),
            self._knowledge.hear_version,
        )
        self._relaying = relaying.Relaying(
            self._membership,
            self._directory,
            self._sharing,
            start=self._duties.start,
            data_centre=self._settings["instance"]["data_centre"],
            read_at=lambda: self._knowledge.endpoints_read_at,
            version=lambda: self._knowledge.catalogue.version,
        )
        self._knowledge.note_listed = self._relaying.note_listed

    def _build_servers(self) -> None:
        self._callers = callers.CallerServer(
            self._forwarder.handle,
            headers.decode_call,
            lambda: self._knowledge.catalogue.limits,
        )
        asked = questions.Questions(
            self._membership,
            is_ready=lambda: self.is_ready,
            lifetime_s=self._settings["discovery"]["lifetime_s"],
        )
        handlers = {"readiness": asked.answer, "discovery": asked.answer}
        if self._settings["metrics"]:
            handlers["metrics"] = asked.answer_metrics
        self._others = {
            name: callers.CallerServer(handler, headers.decode_call, routes.Limits)
            for name, handler in handlers.items()
        }

    def _use_catalogue(self, catalogue: routes.Catalogue) -> None:
        self._quotas.set_rules(
            {
                one.name: quotas.rule_of(
                    one.quota.rate, one.quota.burst, self._tolerance
                )
                for one in catalogue.organisations.values()
                if one.quota is not None
            }
        )
        self._membership.set_configuration_version(catalogue.version)
        metrics.VERSION.set(catalogue.version)
        self._in_force_since = time.monotonic()

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
        supposed = max(SUPPOSED_ENTRIES, self._saver.entries_before)
        return max(supposed if is_new else 1, len(self._seen))

    def _heard_part(self) -> float:
        return min(1.0, self._relaying.heard / self._entries())

    @property
    def _endpoints_read_at(self) -> float:
        return max(self._relaying.told_read_at, self._knowledge.endpoints_read_at)

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
            metrics.HEARD.set(self._relaying.heard)
            metrics.OPEN.set(self._callers.busy)
            metrics.SUSPECTS.set(len(self._suspects))
            metrics.ENDPOINTS_AGE.set(now - self._endpoints_read_at)
            metrics.CONFIGURATION_AGE.set(now - self._in_force_since)
            due = time.monotonic() + TIDY_S
            await asyncio.sleep(TIDY_S)
            metrics.LOOP_LAG.observe(max(0.0, time.monotonic() - due))

    def _counts_to_store(self) -> reporting.Told | None:
        if self._relaying.is_fed:
            return None
        reports = self._relaying.reports().values()
        return {report["start"]: report["windows"] for report in reports}

    def _note_end(self, progress: life.Progress) -> None:
        kind = progress.route.kind.value
        metrics.REQUESTS.labels(kind, progress.outcome).inc()
        took_s = time.monotonic() - progress.call.received
        metrics.DURATION.labels(kind).observe(took_s)
        if progress.first_byte_s is not None:
            metrics.FIRST_BYTE.labels(kind).observe(progress.first_byte_s)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self._knowledge.is_complete and not self._is_leaving

    async def start(self) -> None:
        """Start every slice; return when callers can connect."""
        settings = self._settings
        await self._transport.start()
        for work in (
            self._membership.run(),
            *self._knowledge.work(),
            self._tidy(),
            self._relaying.run(),
            self._saver.run(),
            self._list_when_ready(),
            *self._duties.work(),
        ):
            self._start_task(work)
        for name, server in self._others.items():
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
