"""
Faults drawn from a seed and carried out against a cluster, several at once.

Each kind is a coroutine that causes its fault, waits and repairs what an outside
platform would repair: a killed process is replaced, an outage ends.
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


class Planned(typing.NamedTuple):
    """One fault: its kind and the second of the run at which it begins."""

    at_s: float
    kind: str


# Processes that a fault is at work on; a second fault would repair the first.
_held: set[str] = set()


@contextlib.contextmanager
def _hold_one(running: cluster.Cluster, names: list[str], chooser: random.Random):
    """Hold one running process that no other fault holds, or None."""
    free = [
        name
        for name in names
        if running.processes.is_running(name) and name not in _held
    ]
    # At least one process of each role stays untouched.
    chosen = [chooser.choice(free)] if len(free) > 1 else []
    with _hold(chosen):
        yield chosen[0] if chosen else None


@contextlib.contextmanager
def _hold(names: list[str]):
    _held.update(names)
    try:
        yield names
    finally:
        _held.difference_update(names)


async def kill_entry(running: cluster.Cluster, chooser: random.Random) -> None:
    """Kill an entry without a word and start a replacement."""
    with _hold_one(running, running.entries, chooser) as name:
        if name is None:
            return
        await running.processes.kill(name)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        await running.start_entry(name)


async def freeze_entry(running: cluster.Cluster, chooser: random.Random) -> None:
    """Pause an entry for longer than any time-out between entries."""
    with _hold_one(running, running.entries, chooser) as name:
        if name is None:
            return
        running.processes.freeze(name)
        await asyncio.sleep(FREEZE_S)
        running.processes.thaw(name)


async def replace_entry(running: cluster.Cluster, chooser: random.Random) -> None:
    """Stop an entry gracefully and start a replacement."""
    with _hold_one(running, running.entries, chooser) as name:
        if name is None:
            return
        code = await running.processes.terminate(name)
        running.exit_codes.append(code)
        await running.start_entry(name)


async def kill_engine(running: cluster.Cluster, chooser: random.Random) -> None:
    """Kill an engine without notice and start it anew."""
    with _hold_one(running, running.engines, chooser) as name:
        if name is None:
            return
        await running.processes.kill(name)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        await running.start_endpoint(name)


async def reclaim_data_centre(running: cluster.Cluster, chooser: random.Random) -> None:
    """Reclaim every engine of a data centre with one notice."""
    data_centre = running.data_centre(chooser.choice(running.engines))
    victims = [
        name
        for name in running.engines
        if running.data_centre(name) == data_centre
        and running.processes.is_running(name)
        and name not in _held
    ]
    with _hold(victims):
        await running.reclaim(victims, NOTICE_S)
        for name in victims:
            await running.processes.wait(name)
        await asyncio.sleep(REPLACEMENT_DELAY_S)
        for name in victims:
            await running.start_endpoint(name)
        await running.announce_endpoints(victims)


async def log_outage(running: cluster.Cluster, chooser: random.Random) -> None:
    """Take the log away for a while."""
    await running.set_faults("log", outage=True)
    await asyncio.sleep(OUTAGE_S)
    await running.set_faults("log", outage=False)


async def log_slow(running: cluster.Cluster, chooser: random.Random) -> None:
    """Slow every call to the log down for a while."""
    await running.set_faults("log", slow_s=SLOW_S)
    await asyncio.sleep(OUTAGE_S)
    await running.set_faults("log", slow_s=0.0)


async def log_loses_answers(running: cluster.Cluster, chooser: random.Random) -> None:
    """Lose the answers to the next appends after their effect."""
    await running.set_faults("log", lose_answers=LOST_ANSWERS)


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


def plan(chooser: random.Random, count: int, duration_s: float) -> list[Planned]:
    """Return faults spread over a run; every kind comes before any comes twice."""
    kinds = list(KINDS)
    chooser.shuffle(kinds)
    times = sorted(FIRST_FAULT_S + chooser.random() * duration_s for _ in range(count))
    return [
        Planned(at_s, kinds[number % len(kinds)]) for number, at_s in enumerate(times)
    ]


async def carry_out(
    running: cluster.Cluster, planned: list[Planned], seed: int
) -> None:
    """Carry the faults out at their times; they may overlap."""
    begin = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        for number, fault in enumerate(planned):
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, begin + fault.at_s - now))
            chooser = random.Random(seed * 1000 + number)
            group.create_task(KINDS[fault.kind](running, chooser))
