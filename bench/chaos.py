"""
Runs streams, calls, patches and faults of every kind at once, drawn from a seed.

Checks the system's guarantees from outside: streamed answers are compared with
the text that the engines must generate, runs are counted by key at the services,
and the configuration version of every entry is polled.
"""

import asyncio
import contextlib
import json
import random
import typing

import uuid6

from acaciaward import httpclient, verdicts
from acaciaward.client import caller
from bench import cluster, faults, options as bench_options
from standins import tokens

DURATION_S = 20.0
QUICK_DURATION_S = 8.0
FAULTS_PER_S = 0.8
STREAM_WORKERS = 12
CALL_WORKERS = 12
OPERATORS = 2
WATCH_POLL_S = 0.1
PATCH_PAUSE_S = 0.3
CALL_PAUSE_S = 0.04
DEADLINE_S = 30.0
MAX_STREAM_TOKENS = 150


class Tally(typing.TypedDict):
    """Counts observed from outside; those of the second block must be zero."""

    streams: int
    streams_answered: int
    streams_refused: int
    calls: int
    calls_answered: int
    calls_not_run: int
    calls_unknown: int
    patches_accepted: int
    faults: dict[str, int]
    exit_codes: list[int]

    streams_wrong: int
    ran_twice: int
    not_run_but_ran: int
    answered_but_not_run: int
    versions_reverted: int
    versions_lost: int


class _Run:
    def __init__(self, options: bench_options.Options):
        self._seed = options.seed
        self._duration_s = QUICK_DURATION_S if options.quick else DURATION_S
        self._rng = random.Random(options.seed)
        self._cluster = cluster.Cluster(
            entry_count=5, engine_count=6, service_count=3, proxied=["log"]
        )
        self._reported_verdicts: dict[str, verdicts.Verdict] = {}
        self._accepted: list[int] = []
        self._is_over = False
        self._counts: dict[str, int] = {}
        self._reverted = 0

    async def run(self) -> Tally:
        await self._cluster.start()
        try:
            planned = faults.draw_plan(
                self._rng, round(self._duration_s * FAULTS_PER_S), self._duration_s
            )
            await self._run_load(planned)
            return await self._tally(planned)
        finally:
            await self._cluster.stop()

    async def _run_load(self, planned: list[faults.PlannedFault]) -> None:
        workers = [self._stream_worker(number) for number in range(STREAM_WORKERS)]
        workers += [self._call_worker(number) for number in range(CALL_WORKERS)]
        workers += [self._operator(number) for number in range(OPERATORS)]
        workers += [self._watch_version(name) for name in list(self._cluster.entries)]
        async with asyncio.TaskGroup() as group:
            for worker in workers:
                group.create_task(worker)
            await faults.carry_out(self._cluster, planned, self._seed)
            self._is_over = True

    def _count(self, name: str) -> None:
        self._counts[name] = self._counts.get(name, 0) + 1

    async def _stream_worker(self, number: int) -> None:
        rng = random.Random(self._seed * 100 + number)
        organisation = cluster.ORGANISATIONS[number % len(cluster.ORGANISATIONS)]
        sender = self._cluster.caller(organisation)
        turn = 0
        while not self._is_over:
            turn += 1
            prompt = f"worker {number} turn {turn} of {organisation}"
            length = rng.randint(5, MAX_STREAM_TOKENS)
            self._count("streams")
            try:
                answer = await sender.complete(
                    cluster.MODEL, prompt, max_tokens=length, deadline_s=DEADLINE_S
                )
            except caller.CallerError:
                self._count("streams_refused")
                continue
            is_right = answer.text == tokens.expected_text(prompt, length)
            self._count("streams_answered" if is_right else "streams_wrong")

    async def _call_worker(self, number: int) -> None:
        organisation = cluster.ORGANISATIONS[number % len(cluster.ORGANISATIONS)]
        sender = self._cluster.caller(organisation)
        while not self._is_over:
            key = str(uuid6.uuid7())
            self._count("calls")
            body = json.dumps({"key": key}).encode()
            try:
                await sender.call(
                    cluster.SERVICE,
                    "confirm",
                    body,
                    idempotent=False,
                    key=key,
                    deadline_s=DEADLINE_S,
                )
                self._reported_verdicts[key] = verdicts.Verdict.RAN
            except caller.CallerError as error:
                self._reported_verdicts[key] = error.verdict
            await asyncio.sleep(CALL_PAUSE_S)

    async def _operator(self, number: int) -> None:
        rng = random.Random(self._seed * 10 + number)
        while not self._is_over:
            share = 1.0 + rng.random()
            changes = {"organisations": {"org-1": {"share": share}}}
            with contextlib.suppress(httpclient.HttpError, IndexError, KeyError):
                outcome = await self._cluster.patch(changes, wait=False)
                if outcome.get("status") == "accepted":
                    self._accepted.append(outcome["version"])
            await asyncio.sleep(PATCH_PAUSE_S)

    async def _watch_version(self, name: str) -> None:
        last_seen = (0, 0)  # process id, version
        address = self._cluster.address(name)
        client = httpclient.HttpClient()
        while not self._is_over:
            await asyncio.sleep(WATCH_POLL_S)
            process_id = self._cluster.processes.process_id(name)
            try:
                async with client.send(
                    "GET", *address, "/readyz", timeout_s=1.0, needs_new_connection=True
                ) as response:
                    version = json.loads(await response.read())["version"]
            except httpclient.HttpError:
                continue
            if process_id == last_seen[0] and version < last_seen[1]:
                self._reverted += 1
            last_seen = (process_id, version)
        await client.close()

    async def _tally(self, planned: list[faults.PlannedFault]) -> Tally:
        runs = await self._runs_by_key()
        last = max(self._accepted, default=0)
        await self._cluster.wait_in_force(last)
        reported = list(self._reported_verdicts.items())
        ran = verdicts.Verdict.RAN
        not_run = verdicts.Verdict.NOT_RUN
        unknown = verdicts.Verdict.MAY_HAVE_RUN
        kinds = [fault.kind for fault in planned]
        return {
            "streams": self._counts.get("streams", 0),
            "streams_answered": self._counts.get("streams_answered", 0),
            "streams_refused": self._counts.get("streams_refused", 0),
            "calls": self._counts.get("calls", 0),
            "calls_answered": sum(verdict is ran for _, verdict in reported),
            "calls_not_run": sum(verdict is not_run for _, verdict in reported),
            "calls_unknown": sum(verdict is unknown for _, verdict in reported),
            "patches_accepted": len(self._accepted),
            "faults": {kind: kinds.count(kind) for kind in sorted(set(kinds))},
            "exit_codes": self._cluster.exit_codes,
            "streams_wrong": self._counts.get("streams_wrong", 0),
            "ran_twice": sum(count > 1 for count in runs.values()),
            "not_run_but_ran": sum(
                verdict is not_run and key in runs for key, verdict in reported
            ),
            "answered_but_not_run": sum(
                verdict is ran and key not in runs for key, verdict in reported
            ),
            "versions_reverted": self._reverted,
            "versions_lost": len(self._accepted) - len(set(self._accepted)),
        }

    async def _runs_by_key(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for name in self._cluster.services:
            counted = await self._cluster.control(name, "/control/runs", method="GET")
            for key, count in counted.items():
                runs[key] = runs.get(key, 0) + count
        return runs


async def run(options: bench_options.Options) -> Tally:
    """Run the experiment and return its counts."""
    return await _Run(options).run()
