"""
Measures what an entry adds: time to first token and per token, processor, memory.

Requests go to the same engines directly and through one entry, in the same run.
Then the entry is measured at the rate that the users' peak requires of one entry,
at the highest rate that it sustains, and with streams that stay open.
"""

import asyncio
import json
import os
import random
import statistics
import time
import typing
import uuid

from acaciaward import httpclient
from bench import cluster, load, options as bench_options, sender

ENGINE_COUNT = 3
ROUNDS = 60
ROUND_TOKENS = 32
PEAK_REQUESTS_PER_S = 15.0
PEAK_TOKENS_PER_S = 3500.0
PEAK_DURATION_S = 8.0
FULL_RATE_DURATION_S = 5.0
FULL_STREAMS = 64
OPEN_STREAMS = (0, 50, 100, 200)
OPEN_STREAMS_DURATION_S = 3.0
OPEN_STREAM_STEP_S = 0.5
ENGINE_STEP_S = 0.003
QUICK_FACTOR = 0.3
REQUEST_SHAPE = load.Shape("short", 1.0, 64, ROUND_TOKENS, 30.0)
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_s(process_id: int) -> float:
    """Return the processor seconds that a process has used."""
    with open(f"/proc/{process_id}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{process_id}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES / 1e6


def make_request(rng: random.Random, number: int, tokens: int) -> load.PlannedRequest:
    """Return one request for ``tokens`` tokens."""
    prompt = load.make_prompt(rng, REQUEST_SHAPE.prompt_tokens, number)
    return load.PlannedRequest(
        0.0, "org-1", cluster.MODEL, "short", prompt, tokens, REQUEST_SHAPE.deadline_s
    )


async def send_directly(
    client: httpclient.HttpClient, engine: tuple[str, int], planned: load.PlannedRequest
) -> load.Outcome:
    """Stream one answer straight from an engine."""
    body = {
        "request": uuid.uuid4().hex,
        "organisation": planned.organisation,
        "attempt": uuid.uuid4().hex,
        "prompt": planned.prompt,
        "max_tokens": planned.max_tokens,
        "cache_salt": "direct",
    }
    started = time.monotonic()
    first_token_s = None
    async with client.send(
        "POST", *engine, "/generate", body=json.dumps(body).encode()
    ) as response:
        async for line in response.lines():
            if first_token_s is None and json.loads(line)["type"] == "token":
                first_token_s = time.monotonic() - started
    took_s = time.monotonic() - started
    return load.Outcome(planned, took_s, planned.max_tokens, first_token_s)


def summarise(outcomes: list[load.Outcome]) -> dict[str, float]:
    """Return p50 and p99 of first token and per token, in milliseconds."""
    first_token_ms = [1000 * outcome.first_token_s for outcome in outcomes]
    per_token_ms = [
        1000 * (outcome.took_s - outcome.first_token_s) / (outcome.tokens - 1)
        for outcome in outcomes
    ]
    return {
        "first_token_p50_ms": round(statistics.median(first_token_ms), 3),
        "first_token_p99_ms": round(load.percentile(first_token_ms, 0.99), 3),
        "per_token_p50_ms": round(statistics.median(per_token_ms), 3),
        "per_token_p99_ms": round(load.percentile(per_token_ms, 0.99), 3),
    }


async def compare_with_direct(
    running_cluster: cluster.Cluster, entry_sender: sender.EntrySender, rounds: int
) -> dict[str, typing.Any]:
    """Send requests directly and through the entry, in turn."""
    client = httpclient.HttpClient()
    rng = random.Random(1)
    direct, through = [], []
    for number in range(rounds):
        planned = make_request(rng, number, ROUND_TOKENS)
        engine = running_cluster.address(running_cluster.engines[number % ENGINE_COUNT])
        direct.append(await send_directly(client, engine, planned))
        through.append(await entry_sender.send(planned))
    await client.close()
    result = {"direct": summarise(direct), "through_entry": summarise(through)}
    result["added"] = {
        name: round(value - result["direct"][name], 3)
        for name, value in result["through_entry"].items()
    }
    return result


async def measure_peak_rate(
    running_cluster: cluster.Cluster,
    entry_sender: sender.EntrySender,
    duration_s: float,
) -> dict[str, float]:
    """Send the users' peak rate for one entry; return answers and processor use."""
    tokens = round(PEAK_TOKENS_PER_S / PEAK_REQUESTS_PER_S)
    rng = random.Random(2)
    count = round(PEAK_REQUESTS_PER_S * duration_s)
    schedule = [
        make_request(rng, 1000 + n, tokens)._replace(at_s=n / PEAK_REQUESTS_PER_S)
        for n in range(count)
    ]
    process_id = running_cluster.processes.process_id(running_cluster.entries[0])
    used_before, began = processor_s(process_id), time.monotonic()
    outcomes = await load.run_schedule(schedule, entry_sender.send)
    took_s = time.monotonic() - began
    used_s = processor_s(process_id) - used_before
    served = sum(outcome.tokens for outcome in outcomes)
    return {
        "answered": sum(outcome.in_time for outcome in outcomes) / count,
        "requests_per_s": round(count / took_s, 1),
        "tokens_per_s": round(served / took_s, 1),
        "processor_share": round(used_s / took_s, 3),
        "processor_us_per_token": round(1e6 * used_s / max(1, served), 1),
        "processor_share_at_3500_tokens": round(
            used_s / max(1, served) * PEAK_TOKENS_PER_S, 3
        ),
    }


async def measure_full_rate(
    running_cluster: cluster.Cluster,
    entry_sender: sender.EntrySender,
    tokens: int,
    duration_s: float,
) -> dict[str, float]:
    """Keep ``FULL_STREAMS`` requests open; return throughput and processor use."""
    process_id = running_cluster.processes.process_id(running_cluster.entries[0])
    rng = random.Random(tokens)
    until = time.monotonic() + duration_s
    outcomes: list[load.Outcome] = []

    async def send_until_end(worker: int) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            request_number = 10_000 * (worker + 1) + number
            outcome = await entry_sender.send(make_request(rng, request_number, tokens))
            outcomes.append(outcome)
            if outcome.refused_s is not None:
                await asyncio.sleep(0.05)

    used_before, began = processor_s(process_id), time.monotonic()
    await asyncio.gather(*(send_until_end(worker) for worker in range(FULL_STREAMS)))
    took_s = time.monotonic() - began
    used_s = processor_s(process_id) - used_before
    answered = [outcome for outcome in outcomes if outcome.tokens]
    return {
        "requests_per_s": round(len(answered) / took_s, 1),
        "tokens_per_s": round(sum(answer.tokens for answer in answered) / took_s, 1),
        "refused": len(outcomes) - len(answered),
        "processor_share": round(used_s / took_s, 3),
        "requests_per_core_s": round(len(answered) / max(0.01, used_s), 1),
        "tokens_per_core_s": round(
            sum(answer.tokens for answer in answered) / max(0.01, used_s), 1
        ),
    }


async def measure_open_streams(
    running_cluster: cluster.Cluster,
    entry_sender: sender.EntrySender,
    duration_s: float,
) -> list[dict[str, float]]:
    """Return processor and memory use with open streams of two tokens a second."""
    process_id = running_cluster.processes.process_id(running_cluster.entries[0])
    for name in running_cluster.engines:
        await running_cluster.set_faults(name, step_s=OPEN_STREAM_STEP_S, max_batch=512)
    await asyncio.sleep(2.0)
    rng = random.Random(3)
    rows = []
    tasks: list[asyncio.Task] = []
    for target_count in OPEN_STREAMS:
        while len(tasks) < target_count:
            planned = make_request(rng, 900_000 + len(tasks), 40)
            long_request = planned._replace(deadline_s=300.0)
            tasks.append(asyncio.create_task(entry_sender.send(long_request)))
        await asyncio.sleep(1.0)
        used_before = processor_s(process_id)
        await asyncio.sleep(duration_s)
        used_s = processor_s(process_id) - used_before
        rows.append(
            {
                "open_streams": sum(not task.done() for task in tasks),
                "processor_share": round(used_s / duration_s, 4),
                "resident_mb": round(resident_mb(process_id), 1),
            }
        )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return rows


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Run all measurements on one entry."""
    factor = QUICK_FACTOR if options.quick else 1.0
    running_cluster = cluster.Cluster(
        entry_count=1,
        engine_count=ENGINE_COUNT,
        service_count=0,
        faults={"engine": {"step_s": ENGINE_STEP_S, "max_batch": 64}},
    )
    await running_cluster.start()
    entry_sender = sender.EntrySender(
        running_cluster.entry_addresses, running_cluster.keys
    )
    try:
        await asyncio.sleep(1.0)
        return {
            "added": await compare_with_direct(
                running_cluster, entry_sender, round(ROUNDS * factor)
            ),
            "peak_rate": await measure_peak_rate(
                running_cluster, entry_sender, PEAK_DURATION_S * factor
            ),
            "full_tokens": await measure_full_rate(
                running_cluster, entry_sender, 200, FULL_RATE_DURATION_S * factor
            ),
            "full_requests": await measure_full_rate(
                running_cluster, entry_sender, 1, FULL_RATE_DURATION_S * factor
            ),
            "open_streams": await measure_open_streams(
                running_cluster, entry_sender, OPEN_STREAMS_DURATION_S * factor
            ),
        }
    finally:
        await entry_sender.close()
        await running_cluster.stop()
