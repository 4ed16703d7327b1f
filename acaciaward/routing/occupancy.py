"""
Tracks the requests running at each endpoint, from this entry and from all others.

This entry counts its own; relays bring the other entries' load reports, which are
some hundred milliseconds old. Only choices use them; no guarantee depends on them.
"""

import collections
import random
import time
from collections import abc

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import calls
from acaciaward.routing import (
    activecalls,
    backoffs,
    brittleness,
    cachedparts,
    endpointlimits,
    endpointrates,
    health,
    placement,
    pools,
    reportedload,
    versionchoice,
)

# An endpoint with work that sends no data for this long is considered failed, in
# seconds: an engine completes many batches a second, and the first token of a short
# prompt arrives within a quarter of that time.
UNRESPONSIVE_S = 0.4
# Prompts waiting for prefill may delay everything by this multiple of the time that
# their prefill takes.
PREFILL_DELAY_FACTOR = 1.5
# The largest age of load reports that is logged, in seconds.
MAX_REPORT_AGE_S = 1e6
# How long the health of an endpoint is kept after its record has gone, in seconds.
GONE_MEMORY_S = 60.0

Incarnation = tuple[str, int]


class Occupancy:
    """
    Counts the work at endpoints, tracks their health, and chooses by both.

    ``limits`` are those that endpoints name, ``brittle`` those that may fall over, and
    ``backoffs`` how long they want nothing from this entry. One that has reached its
    limit, has no room or asked to back off isn't chosen. ``entries`` returns the names
    of the entries that serve requests, ``known_entries`` are those that may.
    """

    def __init__(
        self,
        directory: endpoints.Directory,
        *,
        data_centre: str,
        known_entries: brittleness.Entries | None = None,
        entries: abc.Callable[[], abc.Collection[str]] = lambda: (),
        rng: random.Random | None = None,
        clock: abc.Callable[[], float] = time.monotonic,
        unix_time: abc.Callable[[], float] = time.time,
    ):
        self._clock = clock
        self._directory = directory
        self._data_centre = data_centre
        self._random = rng or random.Random()
        known_entries = known_entries or brittleness.Alone()
        self.limits = endpointlimits.EndpointLimits(
            known_entries.name, entries, clock=clock, unix_time=unix_time
        )
        self.brittle = brittleness.Brittleness(
            known_entries, rng=self._random, clock=clock, unix_time=unix_time
        )
        self.pools = pools.Pools(self._random, clock)
        self.backoffs = backoffs.EndpointBackoffs(clock=clock, unix_time=unix_time)
        self._running: collections.Counter[Incarnation] = collections.Counter()
        self._backlog: collections.Counter[Incarnation] = collections.Counter()
        self._health: dict[Incarnation, health.Health] = {}
        self._cached_parts = cachedparts.CachedParts(clock)
        self.rates = endpointrates.EndpointRates(self._members, clock=clock)
        self._no_data_since: dict[Incarnation, float] = {}
        self._reported = reportedload.ReportedLoad(clock)
        # When endpoints' records went.
        self._gone_at: dict[Incarnation, float] = {}
        directory.subscribe(self._follow)
        directory.subscribe(self.limits.announcements.follow)
        directory.subscribe(self.brittle.follow)

    def _follow(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        """Drop what is known of endpoints whose records have been gone for long."""
        now = self._clock()
        if before is not None:
            self._gone_at[before.incarnation] = now
        if after is not None:
            self._gone_at.pop(after.incarnation, None)
            if before is None or before.born != after.born:
                self._record_start(after.incarnation)
        for incarnation, gone_at in list(self._gone_at.items()):
            if now - gone_at >= GONE_MEMORY_S:
                del self._gone_at[incarnation]
                self._health.pop(incarnation, None)
                self._cached_parts.forget(incarnation)

    def _record_start(self, incarnation: Incarnation) -> None:
        """Drop what is known by name if another start had that name."""
        if any(
            reportedload.is_later_start(incarnation, gone) for gone in self._gone_at
        ):
            name, _ = incarnation
            self._reported.record_restart(name)
            self.limits.record_restart(name)
            self.brittle.record_restart(name)

    def _members(self, service: str) -> list[Incarnation]:
        return [
            endpoint.incarnation for endpoint in self._directory.of_service(service)
        ]

    def now(self) -> float:
        """Return the time of this object's clock, in seconds."""
        return self._clock()

    def choose(
        self,
        service: routes.Service,
        call: calls.Call,
        *,
        excluded: abc.Container[Incarnation] = (),
        max_gap_s: float | None = None,
        version: versionchoice.Choice = None,
        has_failed_connect: bool = False,
        patience: pools.Patience | None = None,
    ) -> placement.Candidate | None:
        """
        Return where to send a call, or None if no endpoint may get it.

        ``survey`` explains the arguments.
        """
        return self.survey(
            service,
            call,
            excluded=excluded,
            max_gap_s=max_gap_s,
            version=version,
            has_failed_connect=has_failed_connect,
            patience=patience,
        ).choose()

    def survey(
        self,
        service: routes.Service,
        call: calls.Call,
        *,
        excluded: abc.Container[Incarnation] = (),
        max_gap_s: float | None = None,
        version: versionchoice.Choice = None,
        has_failed_connect: bool = False,
        patience: pools.Patience | None = None,
    ) -> pools.Survey:
        """
        Return what is known of the endpoints that may get a call.

        ``max_gap_s`` is the longest allowed pause between the events of its answer,
        ``version`` the versions of the endpoints' software that may get it, and
        ``patience`` is that of its route, None if its service has no patient ones. One
        that wasn't reached and is paused gets calls only if no other is left, and none
        with ``has_failed_connect``: that have failed to reach one already, or that a
        peer is asked to serve first.
        """
        now = self._clock()
        ready = [
            endpoint
            for endpoint in self._usable(service.name, version)
            if endpoint.incarnation not in excluded and self._may_send(endpoint)
        ]
        healthy = [endpoint for endpoint in ready if self._seems_well(endpoint, now)]
        # When all are paused, the one whose pause ends first is the next probe.
        probes = [
            endpoint
            for endpoint in ready
            if not (has_failed_connect and self._health_of(endpoint).is_unreachable)
        ]
        if not healthy and probes:
            healthy = [
                min(probes, key=lambda endpoint: self._health_of(endpoint).paused_until)
            ]
        names = [endpoint.name for endpoint in healthy]
        pool = self.pools.find(
            service.name,
            call.prompt,
            names,
            is_long=self.is_long(call.prompt, max_gap_s),
            patience=patience,
        )
        preferred = placement.preferred_endpoints(call.prompt, pool.names)
        candidates = [
            self._candidate(service, endpoint, call, endpoint.name in preferred[:1])
            for endpoint in healthy
        ]
        return pools.Survey(candidates, pool, call.prompt, patience, self._random)

    def _usable(
        self, service: str, version: versionchoice.Choice
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that are ready, if there are none those that lapsed."""
        return _of_version(self._directory.ready(service), version) or _of_version(
            self._directory.lapsed(service), version
        )

    def _seems_well(self, endpoint: endpoints.Endpoint, now: float) -> bool:
        """
        Return whether an endpoint is neither paused nor silent.

        One that was silent is so until it sends something; after each pause a single
        call probes that.
        """
        record = self._health_of(endpoint)
        is_probed = record.is_silent and bool(self._running[endpoint.incarnation])
        return not (
            record.is_paused(now) or is_probed or self.is_unresponsive(endpoint)
        )

    def _may_send(self, endpoint: endpoints.Endpoint) -> bool:
        return self._is_open(endpoint) and self._has_room(endpoint)

    def _is_open(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint takes requests from this entry, given room."""
        return not self.backoffs.left_s(endpoint) and self.limits.may_send(endpoint)

    def _has_room(self, endpoint: endpoints.Endpoint) -> bool:
        if not self.brittle.is_brittle(endpoint):
            return True
        others, _ = self._reported.of(endpoint.name)
        # A record that loses its start for a moment frees no place.
        running = sum(
            count
            for incarnation, count in self._running.items()
            if incarnation[0] == endpoint.name and self._may_be_running(incarnation)
        )
        return self.brittle.has_room(endpoint, running, others)

    def _may_be_running(self, incarnation: Incarnation) -> bool:
        """Return whether no later start of an endpoint is listed."""
        listed = self._directory.get(incarnation[0])
        return listed is None or not reportedload.is_later_start(
            listed.incarnation, incarnation
        )

    def room(
        self,
        service: str,
        version: versionchoice.Choice,
        excluded: abc.Container[Incarnation] = (),
    ) -> brittleness.Room | None:
        """
        Return what brittle endpoints leave, None if a call needn't wait for it.

        Those in ``excluded`` and those that don't seem well aren't counted.
        """
        if not self.brittle.is_any:
            return None
        now = self._clock()
        well = [
            endpoint
            for endpoint in self._usable(service, version)
            if endpoint.incarnation not in excluded
            and self._is_open(endpoint)
            and self._seems_well(endpoint, now)
        ]
        return self.brittle.room(well, self._has_room)

    def backoff_left_s(self, service: str, version: versionchoice.Choice) -> float:
        """
        Return how long all endpoints that may get calls are still to be left alone.

        This is 0 if one of them may be asked, or if there is none.
        """
        return min(
            (
                self.backoffs.left_s(endpoint)
                for endpoint in self._usable(service, version)
            ),
            default=0.0,
        )

    def unreachable(
        self, service: str, version: versionchoice.Choice
    ) -> frozenset[Incarnation]:
        """
        Return the endpoints that may get calls if none of them was reached last.

        If any was reached, or wasn't tried, nothing is returned.
        """
        usable = self._usable(service, version)
        if not all(self._health_of(endpoint).is_unreachable for endpoint in usable):
            return frozenset()
        return frozenset(endpoint.incarnation for endpoint in usable)

    def has_alternative(
        self,
        service: str,
        tried: abc.Container[Incarnation],
        version: versionchoice.Choice = None,
    ) -> bool:
        """
        Return whether an untried endpoint that seems healthy could get a call.

        With a ``version`` of its software, others don't count.
        """
        now = self._clock()
        return any(
            endpoint.incarnation not in tried
            and self._seems_well(endpoint, now)
            and self._may_send(endpoint)
            for endpoint in _of_version(self._directory.ready(service), version)
        )

    def is_long(self, prompt: calls.Prompt | None, max_gap_s: float | None) -> bool:
        """Return whether a prompt's prefill delays other streams for too long."""
        return placement.is_long(prompt, self.rates.prefill_tokens_per_s, max_gap_s)

    def start(
        self, candidate: placement.Candidate, call: calls.Call
    ) -> activecalls.ActiveCall:
        """Count a call at an endpoint until it ends."""
        work = activecalls.ActiveCall(self, candidate, call)
        self.limits.spend(work.endpoint)
        incarnation = work.endpoint.incarnation
        self._running[incarnation] += 1
        self._no_data_since.setdefault(incarnation, self._clock())
        self._backlog[incarnation] += work.prefill_tokens
        return work

    def record_data(self, endpoint: endpoints.Endpoint) -> None:
        """Record that an endpoint sent data, whichever call it is for."""
        incarnation = endpoint.incarnation
        if self._running[incarnation]:
            self._no_data_since[incarnation] = self._clock()
        record = self._health.get(incarnation)
        if record is not None and record.is_silent:
            self._health[incarnation] = record.after_data()

    def is_unresponsive(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint has work but has sent no data for too long."""
        since = self._no_data_since.get(endpoint.incarnation)
        if since is None:
            return False
        reported = self._reported.of(endpoint.name)
        backlog_tokens = self._backlog[endpoint.incarnation] + reported[1]
        limit_s = (
            UNRESPONSIVE_S
            + PREFILL_DELAY_FACTOR * backlog_tokens / self.rates.prefill_tokens_per_s
        )
        return self._clock() - since > limit_s

    def service_load(self, service: str) -> tuple[float, float]:
        """Return requests and backlog tokens at a service, from all entries."""
        requests = tokens = 0.0
        for endpoint in self._directory.of_service(service):
            reported = self._reported.of(endpoint.name)
            requests += self._running[endpoint.incarnation] + reported[0]
            tokens += self._backlog[endpoint.incarnation] + reported[1]
        return requests, tokens

    def record_prefilled(
        self, work: activecalls.ActiveCall, tokens: float, took_s: float
    ) -> None:
        """
        Update the measured prefill rate and what the endpoint has cached.

        ``tokens`` were prefilled in ``took_s``: the call's own and those ahead of it.
        """
        self.remove_backlog(work)
        if work.call.prompt is not None:
            self.rates.record_first_byte(work, tokens, took_s)
            self._cached_parts.record(work.endpoint.incarnation, work.call.prompt)

    def remove_backlog(self, work: activecalls.ActiveCall) -> None:
        """Remove a call's prompt from the endpoint's backlog."""
        self._subtract(self._backlog, work.endpoint.incarnation, work.prefill_tokens)

    def record_end(
        self, work: activecalls.ActiveCall, took_s: float, outcome: health.Outcome
    ) -> None:
        """Remove a call from its endpoint and update the endpoint's health."""
        incarnation = work.endpoint.incarnation
        self._subtract(self._running, incarnation, 1)
        if incarnation not in self._running:
            self._no_data_since.pop(incarnation, None)
        service_s = self.service_s(work.endpoint.service)
        # What ends with its former start holds no place at an endpoint.
        if self._may_be_running(incarnation):
            self.brittle.record_end(work.endpoint, outcome, service_s)
        self._health[incarnation] = self._health_of(work.endpoint).after(
            outcome, self._clock()
        )
        self.rates.record_end(work, took_s, outcome)

    def service_s(self, service: str) -> float:
        """Return how long a request at a service takes, as measured here, or 0."""
        return self.rates.service_s(service)

    def load(self) -> dict[str, tuple[float, float]]:
        """Return this entry's number of requests and backlog tokens by endpoint."""
        load: dict[str, tuple[float, float]] = {}
        for incarnation, count in self._running.items():
            if count and self._may_be_running(incarnation):
                name, _ = incarnation
                requests, tokens = load.get(name, (0, 0))
                load[name] = (requests + count, tokens + self._backlog[incarnation])
        return load

    def receive_load(self, load: abc.Mapping[str, tuple[float, float]]) -> None:
        """Receive the sums of what all other entries return from ``load``."""
        self._reported.receive(load)

    @staticmethod
    def _subtract(counter: collections.Counter, key: Incarnation, amount: int) -> None:
        counter[key] -= amount
        if counter[key] <= 0:
            del counter[key]

    def _health_of(self, endpoint: endpoints.Endpoint) -> health.Health:
        return self._health.get(endpoint.incarnation, health.Health())

    def _candidate(
        self,
        service: routes.Service,
        endpoint: endpoints.Endpoint,
        call: calls.Call,
        is_most_preferred: bool,
    ) -> placement.Candidate:
        reported = self._reported.of(endpoint.name)
        incarnation = endpoint.incarnation
        time_factor = self.rates.time_factor(service.name, incarnation)
        return placement.Candidate(
            endpoint,
            running=self._running[incarnation] + reported[0],
            backlog_tokens=self._backlog[incarnation] + reported[1],
            cached_tokens=self._cached_tokens(endpoint, call.prompt, is_most_preferred),
            prefill_tokens_per_s=self.rates.prefill_tokens_per_s / time_factor,
            failed_share=self._health_of(endpoint).failed_share,
            service_s=self.rates.service_s(service.name) * time_factor,
            is_local=endpoint.data_centre == self._data_centre,
            report_age_ms=int(1000 * min(self._reported.age_s, MAX_REPORT_AGE_S)),
        )

    def _cached_tokens(
        self,
        endpoint: endpoints.Endpoint,
        prompt: calls.Prompt | None,
        is_most_preferred: bool,
    ) -> int:
        if prompt is None:
            return 0
        # Other entries also send calls with these parts there, so it is assumed to have
        # cached all of them.
        if is_most_preferred:
            return sum(size for _, size in prompt.shared)
        return self._cached_parts.tokens(endpoint.incarnation, prompt)


def _of_version(
    known: list[endpoints.Endpoint], version: versionchoice.Choice
) -> list[endpoints.Endpoint]:
    """Return the endpoints with a version of their software, all without one."""
    if version is None:
        return known
    return [
        endpoint
        for endpoint in known
        if versionchoice.allows(version, endpoint.version)
    ]
