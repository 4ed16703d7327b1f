"""
Waves of reclaims at both users' sizes and weights, beside the naive version.

Each user's system meets the same requests and the same waves, drawn from the
seed, three times: with KV cache that can move, with engines that refuse every
import, and with the naive version in front. A wave takes one engine, a whole data
centre, and an engine that streams have just moved to; an entry is killed while it
drives moves (the naive version has one entry, which is spared). Reclaimed engines
come back, a while after their end, at new ports.

Tokens computed again are counted at the engines: what they computed beyond one
pass over each prompt and answer, sampled every ``SAMPLE_S`` until they die.
"""

import asyncio
import collections
import random
import time
import typing

from acaciaward import httpclient, schemas
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
REFUSED_S = 1.0
FIRST_WAVE_S = 1.0
WAVE_GAP_S = 1.5
KILL_AFTER_NOTICE_S = 0.02
SAMPLE_S = 0.05
STEP_S = 0.008
URGENT_DEADLINE_S = 2.0
DEADLINE_S = 40.0


class Shape(typing.NamedTuple):
    """Requests of one class: their share and bounds of prompt and answer."""

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


class Ask(typing.NamedTuple):
    """One completion: when it is sent, its class, prompt and length."""

    begin_s: float
    shape: Shape
    prompt: str
    length: int


class Wave(typing.NamedTuple):
    """Engines and services that get their notice at one moment."""

    begin_s: float
    names: list[str]


def draw_asks(chooser: random.Random, duration_s: float) -> list[Ask]:
    """Return the completions of a run in the order of their times."""
    asks = []
    begin_s = 0.0
    while (begin_s := begin_s + chooser.expovariate(REQUESTS_PER_S)) < duration_s:
        shape = chooser.choices(SHAPES, [shape.share for shape in SHAPES])[0]
        words = chooser.choices(tokens.WORDS, k=chooser.randint(*shape.prompt_words))
        prompt = f"request {len(asks)} " + " ".join(words)
        asks.append(Ask(begin_s, shape, prompt, chooser.randint(*shape.answer_tokens)))
    return asks


class _Version:
    """One version of the system under the load of one user."""

    def __init__(self, user: str, seed: int, duration_s: float, *, moves_kv: bool):
        patch = schemas.read_shipped(f"examples.{user}", "first-patch.json")
        self._deployments = patch["changes"]["deployments"]
        self._kv = moves_kv
        self._duration_s = duration_s
        self._random = random.Random(seed)
        self.cluster = self._make_cluster()
        self._asks = draw_asks(self._random, duration_s)
        self._waves = self._draw_waves()
        self._counts: collections.Counter[str] = collections.Counter()
        self._samples: dict[str, dict[str, typing.Any]] = {}
        self._noticed: dict[str, float] = {}
        self._last_new_work: dict[str, float] = {}
        self._tasks: list[asyncio.Task] = []

    def _of_kind(self, kind: str) -> dict[str, typing.Any]:
        entries = self._deployments.values()
        return next(entry for entry in entries if entry["kind"] == kind)

    def _make_cluster(self) -> cluster.Cluster:
        model, service = self._of_kind("model"), self._of_kind("service")
        places = list(
            dict.fromkeys(place["data_centre"] for place in model["endpoints"].values())
        )
        made = cluster.Cluster(
            entry_count=ENTRIES,
            engine_count=len(model["endpoints"]),
            service_count=len(service["endpoints"]),
            data_centres=places,
            faults={"engine": {"step_s": STEP_S, "refuse_import": not self._kv}},
        )
        made.document["deployments"][cluster.MODEL]["weights"] = model["weights"]
        return made

    def _draw_waves(self) -> list[Wave]:
        engines = list(self.cluster.engines)
        place = self._random.choice(
            sorted({self.cluster.data_centre(n) for n in engines})
        )
        whole = [n for n in engines if self.cluster.data_centre(n) == place]
        rest = [name for name in engines if name not in whole]
        self._random.shuffle(rest)
        service = self._random.choice(self.cluster.services)
        second_s = FIRST_WAVE_S + WAVE_GAP_S
        return [
            Wave(FIRST_WAVE_S, rest[:1]),
            Wave(second_s, [*whole, service]),
            Wave(second_s + NOTICE_S / 2, rest[1:2]),
        ]

    async def run(self) -> dict[str, typing.Any]:
        """Run load and waves and return what was seen."""
        try:
            await self.start()
            sampling = asyncio.create_task(self._sample_forever())
            async with asyncio.TaskGroup() as group:
                for ask in self._asks:
                    group.create_task(self._ask(ask))
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

    async def _ask(self, ask: Ask) -> None:
        await asyncio.sleep(ask.begin_s)
        started = time.monotonic()
        self._counts["accepted"] += 1
        is_urgent = ask.shape.service_class == "urgent"
        try:
            answer = await self.sender.complete(
                cluster.MODEL,
                ask.prompt,
                max_tokens=ask.length,
                service_class=ask.shape.service_class,
                deadline_s=ask.shape.deadline_s,
            )
        except caller.CallerError:
            self._counts["incomplete"] += 1
            self._counts["urgent_late"] += is_urgent
            return
        if answer.text != tokens.expected_text(ask.prompt, ask.length):
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
            self._noticed[name] = time.monotonic()
        await self.cluster.reclaim(wave.names, NOTICE_S)
        await asyncio.sleep(NOTICE_S + REFUSED_S)
        for name in wave.names:
            if name in self.cluster.engines:
                await self.replace(name)

    async def kill_entry(self) -> None:
        """Kill an entry in the middle of the second wave's moves."""
        await asyncio.sleep(FIRST_WAVE_S + WAVE_GAP_S + KILL_AFTER_NOTICE_S)
        await self.cluster.processes.kill(self.cluster.entries[-1])

    async def replace(self, name: str) -> None:
        """Start an engine in place of a reclaimed one and put it in force."""
        number = len(self.cluster.engines) + 1
        successor = f"engine-{number}"
        self.cluster.engines.append(successor)
        await self.cluster.start_endpoint(successor)
        place = self.cluster.endpoint_place(successor)
        place["data_centre"] = self.cluster.data_centre(name)
        changes = {"endpoints": {name: None, successor: place}}
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
        if name in self._noticed and stats.get("streams", 0) > before:
            self._last_new_work[name] = time.monotonic() - self._noticed[name]

    def _result(self) -> dict[str, typing.Any]:
        computed = sum(
            stats.get("computed_prefill", 0) + stats.get("computed_decode", 0)
            for stats in self._samples.values()
        )
        needed = sum(tokens.count_tokens(ask.prompt) + ask.length for ask in self._asks)
        # Prompts are unique, so only an imported KV cache spares computing.
        moved = sum(stats.get("cached", 0) for stats in self._samples.values())
        names = ("accepted", "incomplete", "wrong_tokens", "urgent_late")
        result: dict[str, typing.Any] = {name: self._counts[name] for name in names}
        return result | {
            "recomputed_tokens": max(0, computed - needed),
            "recomputed_told": self._counts["recomputed_told"],
            "moved_tokens": moved,
            "stop_new_work_s": round(max(self._last_new_work.values(), default=0.0), 2),
        }


class _Naive(_Version):
    """The naive entry; a reclaimed engine comes back at its own port."""

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
        # The new process counts from zero under the old name.
        self._samples[f"{name} before"] = self._samples.pop(name, {})
        self._noticed.pop(name)
        await self.cluster.start_endpoint(name)


async def _measure(user: str, options: bench_options.Options) -> dict[str, typing.Any]:
    duration_s = QUICK_DURATION_S if options.quick else DURATION_S
    seed = options.seed
    moving = _Version(user, seed, duration_s, moves_kv=True)
    naive = _Naive(user, seed, duration_s, moves_kv=True)
    result, beside = await asyncio.gather(moving.run(), naive.run())
    without = await _Version(user, seed, duration_s, moves_kv=False).run()
    base = max(1, beside["recomputed_tokens"])
    return result | {
        "ratio_recomputed_to_naive": round(result["recomputed_tokens"] / base, 3),
        "without_kv": without,
        "ratio_without_kv": round(without["recomputed_tokens"] / base, 3),
        "naive": beside,
    }


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Return the measurements of both users."""
    return {user: await _measure(user, options) for user in USERS}
