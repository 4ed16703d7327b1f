"""
Runs waves of reclaims at both users' sizes and weights, and on the naive version.

Each user's system gets the same requests and the same waves, drawn from the seed,
three times: with a KV cache that can move, with engines that refuse every import,
and with the naive version (``baseline``) in front. The waves reclaim one engine, a
whole data centre, and an engine that streams have just moved to; an entry is killed
while it moves streams (the naive version has one entry, which is spared). Reclaimed
engines are replaced some time after their end, at new ports.

Recomputed tokens are counted at the engines: what they computed beyond one pass
over each prompt and answer, sampled every ``SAMPLE_S`` until they end.
"""

import asyncio
import collections
import json
import random
import time
import typing

from acaciaward import httpclient
from acaciaward.client import caller
from bench import cluster, options as bench_options, processes
from standins import ports, tokens

USERS = ("puzzle-agency", "stock-agents")
ENTRIES = 3
DURATION_S = 6.0
QUICK_DURATION_S = 3.5
REQUESTS_PER_S = 24.0
CALLS_PER_S = 10.0
NOTICE_S = 2.0
REPLACEMENT_DELAY_S = 1.0
FIRST_WAVE_S = 1.0
WAVE_GAP_S = 1.5
KILL_AFTER_NOTICE_S = 0.02
SAMPLE_S = 0.05
STEP_S = 0.008
URGENT_DEADLINE_S = 2.0
DEADLINE_S = 40.0


class Shape(typing.NamedTuple):
    """Requests of one class: their share, and bounds of prompt and answer length."""

    service_class: str
    share: float
    prompt_words: tuple[int, int]
    answer_tokens: tuple[int, int]
    deadline_s: float


SHAPES = (
    Shape("long", 0.35, (300, 900), (150, 350), DEADLINE_S),
    Shape("short", 0.4, (30, 120), (20, 80), DEADLINE_S),
    Shape("urgent", 0.25, (10, 30), (4, 10), URGENT_DEADLINE_S),
)


class PlannedRequest(typing.NamedTuple):
    """One completion: when it is sent, its class, prompt and length."""

    begin_s: float
    shape: Shape
    prompt: str
    length: int


class Wave(typing.NamedTuple):
    """Engines and services that get their reclaim notice at the same time."""

    begin_s: float
    names: list[str]


def draw_requests(rng: random.Random, duration_s: float) -> list[PlannedRequest]:
    """Return the completions of a run in the order of their send times."""
    requests = []
    begin_s = 0.0
    while (begin_s := begin_s + rng.expovariate(REQUESTS_PER_S)) < duration_s:
        shape = rng.choices(SHAPES, [shape.share for shape in SHAPES])[0]
        words = rng.choices(tokens.WORDS, k=rng.randint(*shape.prompt_words))
        prompt = f"request {len(requests)} " + " ".join(words)
        requests.append(
            PlannedRequest(begin_s, shape, prompt, rng.randint(*shape.answer_tokens))
        )
    return requests


class _SystemRun:
    """One run of the system under one user's load, with or without KV moves."""

    def __init__(self, user: str, seed: int, duration_s: float, *, moves_kv: bool):
        path = processes.ROOT / "examples" / user / "first-patch.json"
        patch = json.loads(path.read_text())
        self._deployments = patch["changes"]["deployments"]
        self._moves_kv = moves_kv
        self._duration_s = duration_s
        self._rng = random.Random(seed)
        self.cluster = self._make_cluster()
        self._planned = draw_requests(self._rng, duration_s)
        self._waves = self._draw_waves()
        self._counts: collections.Counter[str] = collections.Counter()
        self._samples: dict[str, dict[str, typing.Any]] = {}
        self._notice_sent_at: dict[str, float] = {}
        self._last_new_work_s: dict[str, float] = {}
        self._tasks: list[asyncio.Task] = []

    def _find_deployment(self, kind: str) -> dict[str, typing.Any]:
        deployments = self._deployments.values()
        return next(
            deployment for deployment in deployments if deployment["kind"] == kind
        )

    def _make_cluster(self) -> cluster.Cluster:
        model, service = (
            self._find_deployment("model"),
            self._find_deployment("service"),
        )
        data_centres = list(
            dict.fromkeys(
                endpoint["data_centre"] for endpoint in model["endpoints"].values()
            )
        )
        new_cluster = cluster.Cluster(
            entry_count=ENTRIES,
            engine_count=len(model["endpoints"]),
            service_count=len(service["endpoints"]),
            data_centres=data_centres,
            faults={"engine": {"step_s": STEP_S, "refuse_import": not self._moves_kv}},
        )
        new_cluster.document["deployments"][cluster.MODEL]["weights"] = model["weights"]
        return new_cluster

    def _draw_waves(self) -> list[Wave]:
        engines = list(self.cluster.engines)
        data_centre = self._rng.choice(
            sorted({self.cluster.data_centre(name) for name in engines})
        )
        reclaimed_engines = [
            name for name in engines if self.cluster.data_centre(name) == data_centre
        ]
        other_engines = [name for name in engines if name not in reclaimed_engines]
        self._rng.shuffle(other_engines)
        service = self._rng.choice(self.cluster.services)
        second_s = FIRST_WAVE_S + WAVE_GAP_S
        return [
            Wave(FIRST_WAVE_S, other_engines[:1]),
            Wave(second_s, [*reclaimed_engines, service]),
            Wave(second_s + NOTICE_S / 2, other_engines[1:2]),
        ]

    async def run(self) -> dict[str, typing.Any]:
        """Run load and waves and return the counts."""
        try:
            await self.start()
            sampling = asyncio.create_task(self._sample_forever())
            async with asyncio.TaskGroup() as group:
                for request in self._planned:
                    group.create_task(self._send(request))
                group.create_task(self._call_forever())
                group.create_task(self.kill_entry())
                for wave in self._waves:
                    group.create_task(self._carry_out(wave))
            sampling.cancel()
            await self._sample()
            return self._result()
        finally:
            await self.cluster.stop()

    async def start(self) -> None:
        """Start the system."""
        await self.cluster.start()
        organisation = cluster.ORGANISATIONS[0]
        self.sender = self.cluster.caller(organisation)

    async def _send(self, request: PlannedRequest) -> None:
        await asyncio.sleep(request.begin_s)
        started = time.monotonic()
        self._counts["accepted"] += 1
        is_urgent = request.shape.service_class == "urgent"
        try:
            answer = await self.sender.complete(
                cluster.MODEL,
                request.prompt,
                max_tokens=request.length,
                service_class=request.shape.service_class,
                deadline_s=request.shape.deadline_s,
            )
        except caller.CallerError:
            self._counts["incomplete"] += 1
            self._counts["urgent_late"] += is_urgent
            return
        if answer.text != tokens.expected_text(request.prompt, request.length):
            self._counts["wrong_tokens"] += 1
        is_late = time.monotonic() - started > URGENT_DEADLINE_S
        self._counts["urgent_late"] += is_urgent and is_late
        self._counts["recomputed_told"] += answer.usage.get("recomputed_tokens", 0)

    async def _call_forever(self) -> None:
        end = time.monotonic() + self._duration_s
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                group.create_task(self._call())
                await asyncio.sleep(1 / CALLS_PER_S)

    async def _call(self) -> None:
        started = time.monotonic()
        self._counts["accepted"] += 1
        try:
            await self.sender.call(
                cluster.SERVICE, "check", b"{}", deadline_s=URGENT_DEADLINE_S
            )
        except caller.CallerError:
            self._counts["incomplete"] += 1
            self._counts["urgent_late"] += 1
            return
        is_late = time.monotonic() - started > URGENT_DEADLINE_S
        self._counts["urgent_late"] += is_late

    async def _carry_out(self, wave: Wave) -> None:
        await asyncio.sleep(wave.begin_s)
        for name in wave.names:
            self._notice_sent_at[name] = time.monotonic()
        await self.cluster.reclaim(wave.names, NOTICE_S)
        await asyncio.sleep(NOTICE_S + REPLACEMENT_DELAY_S)
        for name in wave.names:
            if name in self.cluster.engines:
                await self.replace(name)

    async def kill_entry(self) -> None:
        """Kill an entry in the middle of the second wave's moves."""
        await asyncio.sleep(FIRST_WAVE_S + WAVE_GAP_S + KILL_AFTER_NOTICE_S)
        await self.cluster.processes.kill(self.cluster.entries[-1])

    async def replace(self, name: str) -> None:
        """Start an engine in place of a reclaimed one, and patch the document."""
        number = len(self.cluster.engines) + 1
        successor = f"engine-{number}"
        self.cluster.engines.append(successor)
        await self.cluster.start_endpoint(successor)
        endpoint = self.cluster.endpoint_configuration(successor)
        endpoint["data_centre"] = self.cluster.data_centre(name)
        changes = {"endpoints": {name: None, successor: endpoint}}
        await self.cluster.patch({"deployments": {cluster.MODEL: changes}})

    async def _sample_forever(self) -> None:
        while True:
            await self._sample()
            await asyncio.sleep(SAMPLE_S)

    async def _sample(self) -> None:
        await asyncio.gather(
            *(self._sample_one(name) for name in list(self.cluster.engines))
        )

    async def _sample_one(self, name: str) -> None:
        if not self.cluster.processes.is_running(name):
            return
        try:
            stats = await self.cluster.stats(name)
        except httpclient.HttpError:
            return
        before = self._samples.get(name, {}).get("streams", 0)
        self._samples[name] = stats
        if name in self._notice_sent_at and stats.get("streams", 0) > before:
            self._last_new_work_s[name] = time.monotonic() - self._notice_sent_at[name]

    def _result(self) -> dict[str, typing.Any]:
        computed = sum(
            stats.get("computed_prefill", 0) + stats.get("computed_decode", 0)
            for stats in self._samples.values()
        )
        needed = sum(
            tokens.count_tokens(request.prompt) + request.length
            for request in self._planned
        )
        # Prompts are unique, so only an imported KV cache saves computation.
        moved = sum(stats.get("cached", 0) for stats in self._samples.values())
        names = ("accepted", "incomplete", "wrong_tokens", "urgent_late")
        result: dict[str, typing.Any] = {name: self._counts[name] for name in names}
        return result | {
            "recomputed_tokens": max(0, computed - needed),
            "recomputed_told": self._counts["recomputed_told"],
            "moved_tokens": moved,
            "stop_new_work_s": round(
                max(self._last_new_work_s.values(), default=0.0), 2
            ),
        }


class _NaiveRun(_SystemRun):
    """The naive entry; a reclaimed engine restarts at its old port."""

    async def start(self) -> None:
        await self.cluster.start()
        endpoints = ",".join(
            f"{name}={processes.ADDRESS}:{self.cluster.address(name)[1]}"
            for name in [*self.cluster.engines, *self.cluster.services]
        )
        port = ports.find_free_port()
        arguments = ["-m", "baseline", "--port", str(port), "--endpoints", endpoints]
        await self.cluster.processes.start("naive", arguments, port)
        key = next(iter(self.cluster.keys.values()))
        self.sender = caller.Caller([(processes.ADDRESS, port)], key=key)

    async def kill_entry(self) -> None:
        pass

    async def replace(self, name: str) -> None:
        # The restarted engine has the old name, and its counters start at zero.
        self._samples[f"{name} before"] = self._samples.pop(name, {})
        self._notice_sent_at.pop(name)
        await self.cluster.start_endpoint(name)


async def _measure_user(
    user: str, options: bench_options.Options
) -> dict[str, typing.Any]:
    duration_s = QUICK_DURATION_S if options.quick else DURATION_S
    seed = options.seed
    moving = _SystemRun(user, seed, duration_s, moves_kv=True)
    naive = _NaiveRun(user, seed, duration_s, moves_kv=True)
    result, naive_result = await asyncio.gather(moving.run(), naive.run())
    result_without_kv = await _SystemRun(user, seed, duration_s, moves_kv=False).run()
    naive_recomputed = max(1, naive_result["recomputed_tokens"])
    return result | {
        "ratio_recomputed_to_naive": round(
            result["recomputed_tokens"] / naive_recomputed, 3
        ),
        "without_kv": result_without_kv,
        "ratio_without_kv": round(
            result_without_kv["recomputed_tokens"] / naive_recomputed, 3
        ),
        "naive": naive_result,
    }


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Return the measurements of both users."""
    return {user: await _measure_user(user, options) for user in USERS}
