"""
Replaces nine entries one after another, then three at once, under load.

Meanwhile callers stream completions and call a service. A request counts as cut
if its caller doesn't receive the complete answer, and as doubled if a service ran
its key twice.
"""

import asyncio
import json
import random
import signal
import typing

from acaciaward.client import caller
from bench import cluster, options as bench_options
from standins import tokens

ENTRIES = 9
QUICK_ENTRIES = 3
AT_ONCE = 3
ENGINES = 3
SERVICES = 2
STREAM_WORKERS = 12
CALL_WORKERS = 6
MAX_TOKENS = 300
CALL_PAUSE_S = 0.05
DEADLINE_S = 30.0
SETTINGS = {
    "callers": {"discovery_lifetime_s": 0.5, "finish_s": 0.5, "stop_limit_s": 15.0}
}


class Result(typing.TypedDict):
    """Counts observed from outside; ``cut`` and ``doubled`` must be zero."""

    requests: int
    cut: int
    wrong: int
    doubled: int
    moved: int
    recomputed_tokens: int
    exit_codes: list[int]
    reasons: list[str]


class _Run:
    def __init__(self, options: bench_options.Options):
        self._options = options
        self._cluster = cluster.Cluster(
            entry_count=QUICK_ENTRIES if options.quick else ENTRIES,
            engine_count=ENGINES,
            service_count=SERVICES,
            settings=SETTINGS,
            faults={"engine": {"step_s": 0.01}},
        )
        self._is_over = False
        self._result: Result = {
            "requests": 0,
            "cut": 0,
            "wrong": 0,
            "doubled": 0,
            "moved": 0,
            "recomputed_tokens": 0,
            "exit_codes": [],
            "reasons": [],
        }

    async def run(self) -> Result:
        try:
            await self._cluster.start()
            async with asyncio.TaskGroup() as group:
                for number in range(STREAM_WORKERS):
                    group.create_task(self._stream_worker(number))
                for number in range(CALL_WORKERS):
                    group.create_task(self._call_worker(number))
                await self._replace_all()
                self._is_over = True
            await self._count_doubled()
            return self._result
        finally:
            await self._cluster.stop()

    async def _replace_all(self) -> None:
        initial_entries = list(self._cluster.entries)
        for name in initial_entries:
            await self._replace([name])
        await self._replace(list(self._cluster.entries[-AT_ONCE:]))

    async def _replace(self, names: list[str]) -> None:
        """Start successors, wait until they serve, and stop these entries."""
        count = len(self._cluster.entries)
        successors = [f"entry-{count + n + 1}" for n in range(len(names))]
        await asyncio.gather(
            *(self._cluster.start_entry(successor) for successor in successors)
        )
        for name in names:
            self._cluster.processes.send_signal(name, signal.SIGTERM)
        codes = [await self._cluster.processes.wait(name) for name in names]
        self._result["exit_codes"] += codes

    async def _stream_worker(self, number: int) -> None:
        rng = random.Random(self._options.seed * 100 + number)
        organisation = cluster.ORGANISATIONS[number % len(cluster.ORGANISATIONS)]
        sender = self._cluster.caller(organisation)
        turn = 0
        while not self._is_over:
            turn += 1
            prompt = f"worker {number} turn {turn} of {organisation}"
            length = rng.randint(10, MAX_TOKENS)
            self._result["requests"] += 1
            try:
                answer = await sender.complete(
                    cluster.MODEL, prompt, max_tokens=length, deadline_s=DEADLINE_S
                )
            except caller.CallerError as error:
                self._record_failure(error)
                continue
            self._result["moved"] += answer.moves
            self._result["recomputed_tokens"] += answer.usage["recomputed_tokens"]
            if answer.text != tokens.expected_text(prompt, length):
                self._result["wrong"] += 1

    async def _call_worker(self, number: int) -> None:
        organisation = cluster.ORGANISATIONS[number % len(cluster.ORGANISATIONS)]
        sender = self._cluster.caller(organisation)
        while not self._is_over:
            self._result["requests"] += 1
            try:
                reply = await sender.call(
                    cluster.SERVICE,
                    "confirm",
                    b"{}",
                    idempotent=False,
                    deadline_s=DEADLINE_S,
                )
                self._result["wrong"] += json.loads(reply.body)["runs"] != 1
            except caller.CallerError as error:
                self._record_failure(error)
            await asyncio.sleep(CALL_PAUSE_S)

    def _record_failure(self, error: caller.CallerError) -> None:
        self._result["cut"] += 1
        self._result["reasons"].append(str(error))

    async def _count_doubled(self) -> None:
        for name in self._cluster.services:
            stats = await self._cluster.stats(name)
            self._result["doubled"] += stats["ran_twice"]


async def run(options: bench_options.Options) -> Result:
    """Replace every entry under load and return what callers received."""
    return await _Run(options).run()
