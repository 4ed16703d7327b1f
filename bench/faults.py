"""
Draws faults from a seed and injects them into a cluster, several at once.

Each kind is a coroutine that causes its fault, waits, and repairs what the platform
would repair: a killed process is replaced, an outage ends.
"""

import asyncio
import contextlib
import random
import typing

from bench import cluster

FREEZE_S = 2.5
OUTAGE_S = 1.5
SLOW_S = 0.15
LOST_ANSWERS = 3
NOTICE_S = 1.5
REPLACEMENT_DELAY_S = 0.5
FIRST_FAULT_S = 0.5

Fault = typing.Callable[[cluster.Cluster, random.Random], typing.Awaitable[None]]


class PlannedFault(typing.NamedTuple):
    """One fault: its kind and when it begins, in seconds from the run's start."""

    at_s: float
    kind: str


# Processes that a fault affects now. The repair of a second fault on the same
# process would end the first one early.
_reserved: set[str] = set()


@contextlib.contextmanager
def _reserve_one(
    running_cluster: cluster.Cluster, names: list[str], rng: random.Random
):
    """Reserve a running process that no other fault affects; yield its name or None."""
    free = [
        name
        for name in names
        if running_cluster.processes.is_running(name) and name not in _reserved
    ]
    # At least one process of each role stays unaffected.
    chosen = [rng.choice(free)] if len(free) > 1 else []
    with _reserve(chosen):
        yield chosen[0] if chosen else None


@contextlib.contextmanager
def _reserve(names: list[str]):
    _reserved.update(names)
    try:
        yield names
    finally:
        _reserved.difference_update(names)


async def kill_entry(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    """Kill an entry without notice and start a replacement."""
    with _reserve_one(running_cluster, running_cluster.entries, rng) as name:
        if name is None:
            return
        await running_cluster.processes.kill(name)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        await running_cluster.start_entry(name)


async def freeze_entry(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    """Pause an entry for longer than any timeout between entries."""
    with _reserve_one(running_cluster, running_cluster.entries, rng) as name:
        if name is None:
            return
        running_cluster.processes.freeze(name)
        await asyncio.sleep(FREEZE_S)
        running_cluster.processes.thaw(name)


async def replace_entry(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    """Stop an entry gracefully and start a replacement."""
    with _reserve_one(running_cluster, running_cluster.entries, rng) as name:
        if name is None:
            return
        code = await running_cluster.processes.terminate(name)
        running_cluster.exit_codes.append(code)
        await running_cluster.start_entry(name)


async def kill_engine(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    """Kill an engine without notice and restart it."""
    with _reserve_one(running_cluster, running_cluster.engines, rng) as name:
        if name is None:
            return
        await running_cluster.processes.kill(name)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        await running_cluster.start_endpoint(name)


async def reclaim_data_centre(
    running_cluster: cluster.Cluster, rng: random.Random
) -> None:
    """Reclaim every engine of a data centre with one notice."""
    data_centre = running_cluster.data_centre(rng.choice(running_cluster.engines))
    reclaimed = [
        name
        for name in running_cluster.engines
        if running_cluster.data_centre(name) == data_centre
        and running_cluster.processes.is_running(name)
        and name not in _reserved
    ]
    with _reserve(reclaimed):
        await running_cluster.reclaim(reclaimed, NOTICE_S)
        for name in reclaimed:
            await running_cluster.processes.wait(name)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        for name in reclaimed:
            await running_cluster.start_endpoint(name)
        await running_cluster.register_endpoints(reclaimed)


async def log_outage(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    """Make the log unavailable for a while."""
    await running_cluster.set_faults("log", outage=True)
    await asyncio.sleep(OUTAGE_S)
    await running_cluster.set_faults("log", outage=False)


async def log_slow(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    """Slow every call to the log down for a while."""
    await running_cluster.set_faults("log", slow_s=SLOW_S)
    await asyncio.sleep(OUTAGE_S)
    await running_cluster.set_faults("log", slow_s=0.0)


async def log_loses_answers(
    running_cluster: cluster.Cluster, rng: random.Random
) -> None:
    """Apply the next appends to the log, but lose the answers to them."""
    await running_cluster.set_faults("log", lose_answers=LOST_ANSWERS)


KINDS: dict[str, Fault] = {
    "kill_entry": kill_entry,
    "freeze_entry": freeze_entry,
    "replace_entry": replace_entry,
    "kill_engine": kill_engine,
    "reclaim_data_centre": reclaim_data_centre,
    "log_outage": log_outage,
    "log_slow": log_slow,
    "log_loses_answers": log_loses_answers,
}


def draw_plan(rng: random.Random, count: int, duration_s: float) -> list[PlannedFault]:
    """Return faults spread over a run; each kind occurs before any kind repeats."""
    kinds = list(KINDS)
    rng.shuffle(kinds)
    times = sorted(FIRST_FAULT_S + rng.random() * duration_s for _ in range(count))
    return [
        PlannedFault(at_s, kinds[number % len(kinds)])
        for number, at_s in enumerate(times)
    ]


async def carry_out(
    running_cluster: cluster.Cluster, planned: list[PlannedFault], seed: int
) -> None:
    """Carry the faults out at their times; they may overlap."""
    begin = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for number, fault in enumerate(planned):
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, begin + fault.at_s - now))
            rng = random.Random(seed * 1000 + number)
            group.create_task(KINDS[fault.kind](running_cluster, rng))
