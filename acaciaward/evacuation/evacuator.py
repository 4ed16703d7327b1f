"""
Moves the streams of this entry off endpoints that are leaving.

One task for each leaving endpoint moves its streams, urgent ones first, until the
endpoint's deadline. The evacuation ends a stream at its engine, by exporting its KV
cache or by a cancel; the task that reads the stream sees that end and awaits
``RunningStream.move_future`` to learn where to continue.
"""

import asyncio
import collections
import logging
import time
import typing
from collections import abc

import prometheus_client

from acaciaward import documents, errors, requests
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import budgets, departures, interfaces, plans
from acaciaward.observability import logs

log = logging.getLogger(__name__)

ROUND_INTERVAL_S = 0.05
MAX_CONCURRENT_MOVES = 4
MAX_BLOB_BYTES = 32 * 1024 * 1024
INITIAL_BYTES_PER_TOKEN = 1024.0
DEFAULT_STEP_S = 0.005

MOVES = prometheus_client.Counter(
    "acaciaward_moves_total", "Streams moved off leaving endpoints by way", ["way"]
)


class Limits(typing.NamedTuple):
    """Maximum rates of KV transfers, in bytes per second for each endpoint."""

    source_bytes_per_s: float
    target_bytes_per_s: float


class Evacuator:
    """Implements ``interfaces.Evacuation``."""

    def __init__(
        self,
        known_departures: departures.Departures,
        engine: endpoints_interfaces.ModelEngine,
        target_chooser: interfaces.TargetChooser,
        weights: abc.Callable[[str], documents.CostWeights],
        limits: Limits,
    ):
        self._departures = known_departures
        self._engine = engine
        self._target_chooser = target_chooser
        self._weights = weights
        self._source_budgets = budgets.ByteBudget(limits.source_bytes_per_s)
        self._target_budgets = budgets.ByteBudget(limits.target_bytes_per_s)
        self._streams: dict[str, set[interfaces.RunningStream]] = (
            collections.defaultdict(set)
        )
        self._bytes_per_token = INITIAL_BYTES_PER_TOKEN
        self._step_s: dict[str, float] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        known_departures.subscribe(self._start_evacuation)

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint is leaving or has just left."""
        return self._departures.is_leaving(endpoint)

    def add(self, running: interfaces.RunningStream) -> None:
        """Track a stream that has started, to move it if its endpoint leaves."""
        self._streams[running.endpoint.name].add(running)

    def remove(self, running: interfaces.RunningStream) -> None:
        """Stop tracking a stream that has ended at its engine."""
        name = running.endpoint.name
        self._streams[name].discard(running)
        if not self._streams[name]:
            del self._streams[name]

    def busy_endpoints(self) -> list[requests.Endpoint]:
        """Return the endpoints that run streams of this entry."""
        return [
            next(iter(streams)).endpoint
            for streams in self._streams.values()
            if streams
        ]

    async def stop(self) -> None:
        """Cancel all evacuations."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _start_evacuation(self, departure: departures.Departure) -> None:
        name = departure.instance
        if name in self._tasks:
            return
        self._tasks[name] = asyncio.ensure_future(self._evacuate(name))
        self._tasks[name].add_done_callback(lambda _: self._tasks.pop(name, None))

    async def _evacuate(self, name: str) -> None:
        # Streams that start while the hint still spreads are moved in a later round.
        while (
            deadline := self._departures.deadline_of(name) or 0.0
        ) > time.monotonic():
            waiting = [
                running
                for running in self._streams.get(name, ())
                if running.move_future is None
            ]
            waiting.sort(key=_urgency)
            if waiting:
                await self._fetch_step_time(waiting[0].endpoint)
            for start in range(0, len(waiting), MAX_CONCURRENT_MOVES):
                batch = waiting[start : start + MAX_CONCURRENT_MOVES]
                await asyncio.gather(
                    *(self._move(running, deadline) for running in batch)
                )
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def _fetch_step_time(self, endpoint: requests.Endpoint) -> None:
        if endpoint.name in self._step_s:
            return
        self._step_s[endpoint.name] = DEFAULT_STEP_S
        try:
            load = await self._engine.load(endpoint)
        except errors.EndpointError:
            return
        self._step_s[endpoint.name] = load.step_s

    async def _move(self, running: interfaces.RunningStream, deadline: float) -> None:
        try:
            target = self._target_chooser.choose(
                running.request, excluded={running.endpoint.name}
            )
        except errors.NoEndpointError:
            # Without a target, the stream stays where it still runs.
            return
        way = self._choose_way(running, target, deadline)
        # The stream may have ended while other streams were moved.
        has_ended = running not in self._streams.get(running.endpoint.name, ())
        if way is plans.Way.FINISH or has_ended or running.move_future is not None:
            return
        running.move_future = asyncio.get_running_loop().create_future()
        move = interfaces.Move()
        try:
            if way is plans.Way.MOVE_KV:
                move = await self._move_kv(running, target)
            if move.kv_handle is None:
                await self._engine.cancel(running.endpoint, running.stream_id)
        except errors.EndpointError as error:
            _log_failure(running, error)
        finally:
            if not running.move_future.done():
                running.move_future.set_result(move)
        completed_way = plans.Way.MOVE_KV if move.kv_handle else plans.Way.RECOMPUTE
        MOVES.labels(completed_way.value).inc()

    def _choose_way(
        self,
        running: interfaces.RunningStream,
        target: requests.Endpoint,
        deadline: float,
    ) -> plans.Way:
        request = running.request
        count = running.count_delivered()
        queued_s = max(
            self._source_budgets.wait_s(running.endpoint.name),
            self._target_budgets.wait_s(target.name),
        )
        snapshot = plans.Snapshot(
            left_s=deadline - time.monotonic() - queued_s,
            context_tokens=request.prompt_tokens + count,
            remaining_tokens=request.max_tokens - count,
            step_s=self._step_s.get(running.endpoint.name, DEFAULT_STEP_S),
            bytes_per_token=self._bytes_per_token,
            bytes_per_s=min(
                self._source_budgets.bytes_per_s, self._target_budgets.bytes_per_s
            ),
            max_bytes=MAX_BLOB_BYTES,
        )
        return plans.choose_way(snapshot, self._weights(request.deployment))

    async def _move_kv(
        self, running: interfaces.RunningStream, target: requests.Endpoint
    ) -> interfaces.Move:
        tokens = max(1, running.request.prompt_tokens + running.count_delivered())
        size_bytes = int(tokens * self._bytes_per_token)
        await self._source_budgets.reserve(running.endpoint.name, size_bytes)
        await self._target_budgets.reserve(target.name, size_bytes)
        try:
            blob = await self._engine.export_kv(running.endpoint, running.stream_id)
            self._bytes_per_token = len(blob) / tokens
            handle = await self._engine.import_kv(target, blob)
        except errors.EndpointError as error:
            _log_failure(running, error)
            return interfaces.Move()
        return interfaces.Move(target, handle)


def _urgency(running: interfaces.RunningStream) -> tuple[int, float, int]:
    request = running.request
    context = request.prompt_tokens + running.count_delivered()
    return plans.urgency(request.service_class, request.deadline, context)


def _log_failure(
    running: interfaces.RunningStream, error: errors.EndpointError
) -> None:
    log.warning(
        "move failed, recomputing",
        extra=logs.fields(
            request=running.request.request_id,
            endpoint=running.endpoint.name,
            reason=error,
        ),
    )
