"""
Non-idempotent requests under faults: how many ran twice, how many were denied.

Three parts: the cost of a claim on a quiet system at a steady rate, then the
requests under faults drawn from the seed, then the same requests and faults
against the naive version. A request that is sent by two callers at once counts
as one, with the worst verdict of both.
"""

import asyncio
import collections
import contextlib
import json
import random
import statistics
import time
import typing

from acaciaward import verdicts
from acaciaward.client import caller, retrystate
from bench import cluster, faultplan, options as bench_options, processes
from standins import ports

ENTRIES = 3
SERVICES = 3
REQUESTS = 2000
QUICK_REQUESTS = 300
REQUESTS_PER_S = 130.0
CLAIMS_PER_S = 500.0
COST_REQUESTS = 1500
QUICK_COST_REQUESTS = 400
DOUBLED_SHARE = 0.1
DEADLINE_S = 1.5
TRIES = (1, 2, retrystate.MAX_TRIES)
LOG_STREAM = "bench"
APPEND_SAMPLES = 20

Address = tuple[str, int]


class Ask(typing.NamedTuple):
    """
    One request: its key, when it is sent and whether by two callers.

    Some callers go by the first answer they get, others try on: ``tries``.
    """

    key: str
    begin_s: float
    is_doubled: bool
    tries: int = 1


class Result(typing.NamedTuple):
    """How one request ended for its callers; verdict is None if none was named."""

    key: str
    verdict: verdicts.Verdict | None


class Load:
    """Callers that send requests through a fixed set of entries."""

    def __init__(self, addresses: list[Address], key: str, seed: int):
        self._addresses = addresses
        self._key = key
        self._random = random.Random(seed)
        self._callers = {
            count: [self._make_caller(count) for _ in addresses] for count in TRIES
        }

    def _make_caller(self, max_tries: int) -> caller.Caller:
        # The addresses are fixed, since the naive version has no discovery and
        # both must meet the same entries.
        order = list(self._addresses)
        self._random.shuffle(order)
        made = caller.Caller(order, key=self._key, max_tries=max_tries)
        made.pin(order)
        return made

    async def close(self) -> None:
        """Close every connection."""
        for callers in self._callers.values():
            for one in callers:
                await one.close()

    async def ask(self, ask: Ask, *, idempotent: bool = False) -> Result:
        """Send one request, perhaps by two callers, and return how it ended."""
        await asyncio.sleep(ask.begin_s)
        count = 2 if ask.is_doubled else 1
        ends = await asyncio.gather(
            *(self._ask_once(ask, idempotent) for _ in range(count))
        )
        if None in ends:
            return Result(ask.key, None)
        order = list(verdicts.Verdict)
        return Result(ask.key, max(ends, key=order.index))

    async def _ask_once(self, ask: Ask, idempotent: bool) -> verdicts.Verdict | None:
        one = self._random.choice(self._callers[ask.tries])
        body = json.dumps({"key": ask.key}).encode()
        try:
            reply = await one.call(
                cluster.SERVICE,
                "confirm",
                body,
                idempotent=idempotent,
                key=ask.key,
                deadline_s=DEADLINE_S,
            )
        except caller.CallerError as error:
            return error.verdict if error.has_verdict else None
        return reply.verdict

    async def ask_all(self, asks: typing.Sequence[Ask]) -> list[Result]:
        """Send all requests at their times and return how they ended."""
        return await asyncio.gather(*(self.ask(ask) for ask in asks))

    async def measure(self, count: int, *, idempotent: bool) -> list[float]:
        """Return the seconds that each of many requests took at a steady rate."""

        async def timed(number: int) -> float:
            await asyncio.sleep(number / CLAIMS_PER_S)
            # The key's time must not lie ahead of the system's clock.
            ask = Ask(caller.new_key(), 0.0, False)
            begin = time.perf_counter()
            await self.ask(ask, idempotent=idempotent)
            return time.perf_counter() - begin

        return await asyncio.gather(*(timed(number) for number in range(count)))


def draw_asks(seed: int, count: int) -> list[Ask]:
    """Return the requests of a run."""
    chooser = random.Random(seed)
    return [
        Ask(
            caller.new_key(),
            number / REQUESTS_PER_S,
            chooser.random() < DOUBLED_SHARE,
            chooser.choice(TRIES),
        )
        for number in range(count)
    ]


def judge(results: list[Result], runs: collections.Counter) -> dict[str, int]:
    """Count the broken promises."""
    ends = collections.Counter(
        result.verdict.value if result.verdict else "none" for result in results
    )
    denied = [
        result.key
        for result in results
        if result.verdict is verdicts.Verdict.NOT_RUN and runs[result.key]
    ]
    unfounded = [
        result.key
        for result in results
        if result.verdict is verdicts.Verdict.RAN and not runs[result.key]
    ]
    return {
        "ran_twice": sum(1 for count in runs.values() if count > 1),
        "not_run_but_ran": len(denied),
        "ran_but_not_run": len(unfounded),
        "no_verdict": ends["none"],
        "ran": ends["ran"],
        "not_run": ends["not_run"],
        "may_have_run": ends["may_have_run"],
    }


def make_cluster(entry_count: int) -> cluster.Cluster:
    """Return a cluster whose services stand behind fault proxies."""
    return cluster.Cluster(
        entry_count=entry_count,
        engine_count=0,
        service_count=SERVICES,
        proxied=[f"service-{number + 1}" for number in range(SERVICES)],
        faults={"log": {"slow_s": faultplan.APPEND_S, "appends_per_s": 1000.0}},
    )


async def count_runs(running: cluster.Cluster) -> collections.Counter:
    """Return how often each key ran, over all services."""
    runs: collections.Counter = collections.Counter()
    for name in running.services:
        runs.update(await running.control(name, "/control/runs", method="GET"))
    return runs


async def measure_append_ms(running: cluster.Cluster) -> float:
    """Return the median time of one append to the log."""
    samples = []
    for _ in range(APPEND_SAMPLES):
        begin = time.perf_counter()
        path = f"/streams/{LOG_STREAM}/records"
        await running.control("log", path, {"records": [{}]})
        samples.append(time.perf_counter() - begin)
    return statistics.median(samples) * 1000


async def measure_cost(
    running: cluster.Cluster, load: Load, count: int
) -> dict[str, float]:
    """Return what claims add to a request on a quiet system."""
    plain = sorted(await load.measure(count, idempotent=True))
    before = await running.stats("log")
    begin = time.perf_counter()
    claimed = sorted(await load.measure(count, idempotent=False))
    took_s = time.perf_counter() - begin
    after = await running.stats("log")
    percentiles = {"p50": 0.5, "p99": 0.99}
    added = {
        f"{name}_added_ms": round(
            (claimed[int(share * count)] - plain[int(share * count)]) * 1000, 1
        )
        for name, share in percentiles.items()
    }
    appends = after["appends"] - before["appends"]
    return added | {
        "append_ms": round(await measure_append_ms(running), 1),
        "claims_per_s": round(count / took_s, 1),
        "appends_per_s": round(appends / took_s, 1),
    }


async def run_system(
    seed: int, count: int, cost_count: int, entry_count: int = ENTRIES
) -> dict[str, typing.Any]:
    """Run the requests against the system."""
    running = make_cluster(entry_count)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(running.stop)
        await running.start()
        key = running.keys[cluster.ORGANISATIONS[0]]
        load = Load(running.entry_addresses, key, seed)
        stack.push_async_callback(load.close)
        cost = await measure_cost(running, load, cost_count)
        before = await running.stats("log")
        asks = draw_asks(seed, count)
        plan = faultplan.draw(
            seed, asks[-1].begin_s, entries=running.entries, services=running.services
        )
        faults = faultplan.FaultRunner(running, running.start_entry)
        results, _ = await asyncio.gather(load.ask_all(asks), faults.run(plan))
        after = await running.stats("log")
        counts = judge(results, await count_runs(running))
    return {
        "requests": count,
        **counts,
        **cost,
        "appends": after["appends"] - before["appends"],
        "claims": after["records"] - before["records"],
        "faults": len(plan),
    }


async def run_naive(seed: int, count: int) -> dict[str, typing.Any]:
    """Run the same requests and faults against the naive version."""
    running = make_cluster(1)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(running.stop)
        await running.start()
        places = (
            f"{name}={_joined(running.address(name))}" for name in running.services
        )
        endpoints = ",".join(places)
        naive_ports = {f"naive-{n + 1}": ports.find_free_port() for n in range(ENTRIES)}

        async def start(name: str) -> None:
            arguments = ["-m", "baseline", "--port", str(naive_ports[name])]
            arguments += ["--endpoints", endpoints]
            await running.processes.start(name, arguments, naive_ports[name])

        await asyncio.gather(*(start(name) for name in naive_ports))
        addresses = [(processes.ADDRESS, port) for port in naive_ports.values()]
        load = Load(addresses, "none", seed)
        stack.push_async_callback(load.close)
        asks = draw_asks(seed, count)
        names = [f"entry-{number + 1}" for number in range(ENTRIES)]
        plan = faultplan.draw(
            seed, asks[-1].begin_s, entries=names, services=running.services
        )
        faults = faultplan.FaultRunner(
            running,
            lambda name: start(_naive_name(name)),
            process_of=_naive_name,
        )
        results, _ = await asyncio.gather(load.ask_all(asks), faults.run(plan))
        return judge(results, await count_runs(running))


def _naive_name(name: str) -> str:
    return name.replace("entry", "naive")


def _joined(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Run the experiment."""
    count = QUICK_REQUESTS if options.quick else REQUESTS
    cost_count = QUICK_COST_REQUESTS if options.quick else COST_REQUESTS
    entry_count = options.entries[0] if options.entries else ENTRIES
    result = await run_system(options.seed, count, cost_count, entry_count)
    result["naive"] = await run_naive(options.seed, count)
    return result
