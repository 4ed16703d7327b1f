"""
Draws faults from a seed and injects them into a running system.

A plan is a list of faults with the begin and duration of each. The same plan can
be carried out against the system and the naive version.
"""

import asyncio
import collections
import contextlib
import random
import typing

from bench import cluster

ENTRY_FAULTS = ("kill", "freeze")
SERVICE_FAULTS = (
    "cut_answer",
    "hold_answer",
    "cut_every_answer",
    "refuse_connection",
    "refuse_request",
)
NORMAL_LOG_DELAY_S = 0.003
LOG_FAULTS = ("lose_answers", "late_appends", "log_outage", "log_slow")


class Fault(typing.NamedTuple):
    """One fault: when it begins and how long it lasts, in seconds."""

    begin_s: float
    kind: str
    target: str
    duration_s: float


# Shortest and longest duration of each kind, in seconds. A freeze may outlast
# every timeout of callers and entries.
DURATIONS_S = {
    "kill": (0.3, 1.5),
    "freeze": (1.0, 4.5),
    "cut_answer": (0.2, 0.6),
    "hold_answer": (0.3, 2.5),
    "cut_every_answer": (0.2, 0.5),
    "refuse_connection": (0.2, 0.6),
    "refuse_request": (0.2, 0.6),
    "lose_answers": (0.2, 0.5),
    "late_appends": (0.2, 0.6),
    "log_outage": (0.3, 1.2),
    "log_slow": (0.3, 0.8),
}


def draw_plan(
    seed: int,
    length_s: float,
    *,
    entries: typing.Sequence[str],
    services: typing.Sequence[str],
) -> list[Fault]:
    """
    Return a plan with every kind of fault, a new one about every half second.

    At most one entry and one service are affected at a time, so that work
    continues; only ``cut_every_answer`` affects all services at once.
    """
    rng = random.Random(seed)
    groups = (
        (ENTRY_FAULTS, entries),
        (SERVICE_FAULTS, services),
        (LOG_FAULTS, ("log",)),
    )
    plan = []
    for kinds, targets in groups:
        begin_s = rng.uniform(0.2, 1.0)
        fault_index = 0
        while begin_s < length_s:
            kind = kinds[fault_index % len(kinds)]
            duration_s = rng.uniform(*DURATIONS_S[kind])
            plan.append(Fault(begin_s, kind, rng.choice(targets), duration_s))
            begin_s += duration_s + rng.uniform(0.2, 0.8)
            fault_index += 1
    return sorted(plan)


class FaultRunner:
    """Carries out a plan; ``restart_entry`` starts a killed entry again."""

    def __init__(
        self,
        running_cluster: cluster.Cluster,
        restart_entry: typing.Callable[[str], typing.Awaitable[None]],
        *,
        process_name_of: typing.Callable[[str], str] = str,
    ):
        self._cluster = running_cluster
        self._restart_entry = restart_entry
        self._process_name_of = process_name_of
        self._entry_locks: dict[str, asyncio.Lock] = collections.defaultdict(
            asyncio.Lock
        )

    async def run(self, plan: typing.Sequence[Fault]) -> None:
        """Carry out every fault and return when the last has ended."""
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                group.create_task(self._carry_out(fault))

    async def _carry_out(self, fault: Fault) -> None:
        await asyncio.sleep(fault.begin_s)
        # A restarting entry isn't killed or frozen before it runs, since that would
        # look like a failed start.
        lock = self._entry_locks[fault.target]
        async with lock if fault.kind in ENTRY_FAULTS else contextlib.nullcontext():
            async with _FAULT_CONTEXTS[fault.kind](self, fault.target):
                await asyncio.sleep(fault.duration_s)

    @contextlib.asynccontextmanager
    async def _killed_entry(self, target: str):
        await self._cluster.processes.kill(self._process_name_of(target))
        yield
        await self._restart_entry(target)

    @contextlib.asynccontextmanager
    async def _frozen_entry(self, target: str):
        self._cluster.processes.freeze(self._process_name_of(target))
        yield
        self._cluster.processes.thaw(self._process_name_of(target))

    @contextlib.asynccontextmanager
    async def _proxy_fault(self, target: str, mode: str, direction: str):
        await self._cluster.set_proxy_faults(target, mode=mode, direction=direction)
        yield
        await self._cluster.set_proxy_faults(target, mode="pass", direction="both")

    @contextlib.asynccontextmanager
    async def _all_answers_cut(self):
        async with contextlib.AsyncExitStack() as stack:
            for name in self._cluster.services:
                await stack.enter_async_context(
                    self._proxy_fault(name, "cut", "answer")
                )
            yield

    @contextlib.asynccontextmanager
    async def _standin_fault(self, target: str, faults: dict, normal: dict):
        await self._cluster.set_faults(target, **faults)
        yield
        await self._cluster.set_faults(target, **normal)


_FAULT_CONTEXTS: dict[str, typing.Callable] = {
    "kill": FaultRunner._killed_entry,
    "freeze": FaultRunner._frozen_entry,
    "cut_answer": lambda runner, name: runner._proxy_fault(name, "cut", "answer"),
    "hold_answer": lambda runner, name: runner._proxy_fault(name, "hold", "answer"),
    "cut_every_answer": lambda runner, name: runner._all_answers_cut(),
    "refuse_connection": lambda runner, name: runner._proxy_fault(
        name, "refuse", "both"
    ),
    "refuse_request": lambda runner, name: runner._standin_fault(
        name, {"refuse": True}, {"refuse": False}
    ),
    "lose_answers": lambda runner, name: runner._standin_fault(
        name, {"lose_answers": 8}, {"lose_answers": 0}
    ),
    "late_appends": lambda runner, name: runner._standin_fault(
        name, {"late_s": 0.7}, {"late_s": 0.0}
    ),
    "log_outage": lambda runner, name: runner._standin_fault(
        name, {"outage": True}, {"outage": False}
    ),
    "log_slow": lambda runner, name: runner._standin_fault(
        name, {"slow_s": 0.25}, {"slow_s": NORMAL_LOG_DELAY_S}
    ),
}
