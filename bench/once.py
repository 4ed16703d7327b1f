"""
Counts non-idempotent requests that ran twice or got a wrong verdict under faults.

Three parts: the cost of a claim on a system without faults at a steady rate, then
requests under faults drawn from the seed, then the same requests and faults
against the naive version (``baseline``). A request that two callers send at once
counts as one, with the worse verdict of the two.
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
COST_REQUESTS_PER_S = 500.0
COST_REQUESTS = 1500
QUICK_COST_REQUESTS = 400
DUPLICATE_SHARE = 0.1
DEADLINE_S = 1.5
TRIES = (1, 2, retrystate.MAX_TRIES)
LOG_STREAM = "bench"
APPEND_SAMPLES = 20

Address = tuple[str, int]


class PlannedCall(typing.NamedTuple):
    """
    One request: its key, when it is sent and whether two callers send it.

    ``tries`` is how often a caller tries: 1 accepts the first answer as final.
    """

    key: str
    begin_s: float
    is_duplicated: bool
    tries: int = 1


class Result(typing.NamedTuple):
    """The verdict on one request; None if a caller got an error without one."""

    key: str
    verdict: verdicts.Verdict | None


class CallerPool:
    """Callers that send requests through a fixed set of entries, some with retries."""

    def __init__(self, addresses: list[Address], key: str, seed: int):
        self._addresses = addresses
        self._key = key
        self._rng = random.Random(seed)
        self._callers = {
            count: [self._make_caller(count) for _ in addresses] for count in TRIES
        }

    def _make_caller(self, max_tries: int) -> caller.Caller:
        # Pinned: the naive version has no discovery, and with either version callers
        # must keep to the same entries.
        order = list(self._addresses)
        self._rng.shuffle(order)
        new_caller = caller.Caller(order, key=self._key, max_tries=max_tries)
        new_caller.pin(order)
        return new_caller

    async def close(self) -> None:
        """Close every connection."""
        for callers in self._callers.values():
            for pooled_caller in callers:
                await pooled_caller.close()

    async def send(self, planned: PlannedCall, *, idempotent: bool = False) -> Result:
        """Send one request, by two callers if duplicated, and return its verdict."""
        await asyncio.sleep(planned.begin_s)
        count = 2 if planned.is_duplicated else 1
        reported = await asyncio.gather(
            *(self._send_once(planned, idempotent) for _ in range(count))
        )
        if None in reported:
            return Result(planned.key, None)
        order = list(verdicts.Verdict)
        return Result(planned.key, max(reported, key=order.index))

    async def _send_once(
        self, planned: PlannedCall, idempotent: bool
    ) -> verdicts.Verdict | None:
        sender = self._rng.choice(self._callers[planned.tries])
        body = json.dumps({"key": planned.key}).encode()
        try:
            reply = await sender.call(
                cluster.SERVICE,
                "confirm",
                body,
                idempotent=idempotent,
                key=planned.key,
                deadline_s=DEADLINE_S,
            )
        except caller.CallerError as error:
            return error.verdict if error.has_verdict else None
        return reply.verdict

    async def send_all(
        self, planned_calls: typing.Sequence[PlannedCall]
    ) -> list[Result]:
        """Send all requests at their times and return their verdicts."""
        return await asyncio.gather(*(self.send(planned) for planned in planned_calls))

    async def measure(self, count: int, *, idempotent: bool) -> list[float]:
        """Return the seconds that each of many requests took at a steady rate."""

        async def timed(number: int) -> float:
            await asyncio.sleep(number / COST_REQUESTS_PER_S)
            # Made at sending time: the key's time must not be ahead of the system's
            # clock.
            planned = PlannedCall(caller.new_key(), 0.0, False)
            begin = time.perf_counter()
            await self.send(planned, idempotent=idempotent)
            return time.perf_counter() - begin

        return await asyncio.gather(*(timed(number) for number in range(count)))


def draw_calls(seed: int, count: int) -> list[PlannedCall]:
    """Return the requests of a run."""
    rng = random.Random(seed)
    return [
        PlannedCall(
            caller.new_key(),
            number / REQUESTS_PER_S,
            rng.random() < DUPLICATE_SHARE,
            rng.choice(TRIES),
        )
        for number in range(count)
    ]


def count_violations(
    results: list[Result], runs: collections.Counter
) -> dict[str, int]:
    """Count the verdicts, and those that the services' runs contradict."""
    verdict_counts = collections.Counter(
        result.verdict.value if result.verdict else "none" for result in results
    )
    wrongly_denied = [
        result.key
        for result in results
        if result.verdict is verdicts.Verdict.NOT_RUN and runs[result.key]
    ]
    wrongly_confirmed = [
        result.key
        for result in results
        if result.verdict is verdicts.Verdict.RAN and not runs[result.key]
    ]
    return {
        "ran_twice": sum(1 for count in runs.values() if count > 1),
        "not_run_but_ran": len(wrongly_denied),
        "ran_but_not_run": len(wrongly_confirmed),
        "no_verdict": verdict_counts["none"],
        "ran": verdict_counts["ran"],
        "not_run": verdict_counts["not_run"],
        "may_have_run": verdict_counts["may_have_run"],
    }


def make_cluster(entry_count: int) -> cluster.Cluster:
    """Return a cluster whose services are behind fault proxies."""
    return cluster.Cluster(
        entry_count=entry_count,
        engine_count=0,
        service_count=SERVICES,
        proxied=[f"service-{number + 1}" for number in range(SERVICES)],
        faults={
            "log": {"slow_s": faultplan.NORMAL_LOG_DELAY_S, "appends_per_s": 1000.0}
        },
    )


async def count_runs(running_cluster: cluster.Cluster) -> collections.Counter:
    """Return how often each key ran, over all services."""
    runs: collections.Counter = collections.Counter()
    for name in running_cluster.services:
        runs.update(await running_cluster.control(name, "/control/runs", method="GET"))
    return runs


async def measure_append_ms(running_cluster: cluster.Cluster) -> float:
    """Return the median time of one append to the log."""
    samples = []
    for _ in range(APPEND_SAMPLES):
        begin = time.perf_counter()
        path = f"/streams/{LOG_STREAM}/records"
        await running_cluster.control("log", path, {"records": [{}]})
        samples.append(time.perf_counter() - begin)
    return statistics.median(samples) * 1000


async def measure_cost(
    running_cluster: cluster.Cluster, caller_pool: CallerPool, count: int
) -> dict[str, float]:
    """Return the latency and appends that claims add on a system without faults."""
    plain = sorted(await caller_pool.measure(count, idempotent=True))
    before = await running_cluster.stats("log")
    begin = time.perf_counter()
    claimed = sorted(await caller_pool.measure(count, idempotent=False))
    took_s = time.perf_counter() - begin
    after = await running_cluster.stats("log")
    percentiles = {"p50": 0.5, "p99": 0.99}
    added = {
        f"{name}_added_ms": round(
            (claimed[int(share * count)] - plain[int(share * count)]) * 1000, 1
        )
        for name, share in percentiles.items()
    }
    appends = after["appends"] - before["appends"]
    return added | {
        "append_ms": round(await measure_append_ms(running_cluster), 1),
        "claims_per_s": round(count / took_s, 1),
        "appends_per_s": round(appends / took_s, 1),
    }


async def run_system(
    seed: int, count: int, cost_count: int, entry_count: int = ENTRIES
) -> dict[str, typing.Any]:
    """Run the requests against the system."""
    running_cluster = make_cluster(entry_count)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(running_cluster.stop)
        await running_cluster.start()
        key = running_cluster.keys[cluster.ORGANISATIONS[0]]
        caller_pool = CallerPool(running_cluster.entry_addresses, key, seed)
        stack.push_async_callback(caller_pool.close)
        cost = await measure_cost(running_cluster, caller_pool, cost_count)
        before = await running_cluster.stats("log")
        planned_calls = draw_calls(seed, count)
        plan = faultplan.draw_plan(
            seed,
            planned_calls[-1].begin_s,
            entries=running_cluster.entries,
            services=running_cluster.services,
        )
        faults = faultplan.FaultRunner(running_cluster, running_cluster.start_entry)
        results, _ = await asyncio.gather(
            caller_pool.send_all(planned_calls), faults.run(plan)
        )
        after = await running_cluster.stats("log")
        counts = count_violations(results, await count_runs(running_cluster))
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
    running_cluster = make_cluster(1)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(running_cluster.stop)
        await running_cluster.start()
        named_addresses = (
            f"{name}={_format_address(running_cluster.address(name))}"
            for name in running_cluster.services
        )
        endpoints = ",".join(named_addresses)
        naive_ports = {f"naive-{n + 1}": ports.find_free_port() for n in range(ENTRIES)}

        async def start(name: str) -> None:
            arguments = ["-m", "baseline", "--port", str(naive_ports[name])]
            arguments += ["--endpoints", endpoints]
            await running_cluster.processes.start(name, arguments, naive_ports[name])

        await asyncio.gather(*(start(name) for name in naive_ports))
        addresses = [(processes.ADDRESS, port) for port in naive_ports.values()]
        caller_pool = CallerPool(addresses, "none", seed)
        stack.push_async_callback(caller_pool.close)
        planned_calls = draw_calls(seed, count)
        names = [f"entry-{number + 1}" for number in range(ENTRIES)]
        plan = faultplan.draw_plan(
            seed,
            planned_calls[-1].begin_s,
            entries=names,
            services=running_cluster.services,
        )
        faults = faultplan.FaultRunner(
            running_cluster,
            lambda name: start(_naive_name(name)),
            process_name_of=_naive_name,
        )
        results, _ = await asyncio.gather(
            caller_pool.send_all(planned_calls), faults.run(plan)
        )
        return count_violations(results, await count_runs(running_cluster))


def _naive_name(name: str) -> str:
    return name.replace("entry", "naive")


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Run the experiment."""
    count = QUICK_REQUESTS if options.quick else REQUESTS
    cost_count = QUICK_COST_REQUESTS if options.quick else COST_REQUESTS
    entry_count = options.entries[0] if options.entries else ENTRIES
    result = await run_system(options.seed, count, cost_count, entry_count)
    result["naive"] = await run_naive(options.seed, count)
    return result
