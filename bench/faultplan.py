"""
Faults drawn from a seed and carried out against a running system.

A plan is a list of faults with the second at which each begins and how long it
lasts. The same plan can be carried out against the system and the naive version.
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
APPEND_S = 0.003
LOG_FAULTS = ("lose_answers", "late_appends", "log_outage", "log_slow")


class Fault(typing.NamedTuple):
    """One fault: when it begins and how long it lasts, in seconds."""

    begin_s: float
    kind: str
    target: str
    duration_s: float


# Shortest and longest duration of each kind, in seconds. A freeze may outlast
# every time-out of callers and entries.
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


def draw(
    seed: int,
    length_s: float,
    *,
    entries: typing.Sequence[str],
    services: typing.Sequence[str],
) -> list[Fault]:
    """
    Return a plan with every kind of fault, one begun each half second or so.

    Only one entry is hurt at a time, and one service but for the answers that
    all services lose together, so that work goes on.
    """
    chooser = random.Random(seed)
    groups = (
        (ENTRY_FAULTS, entries),
        (SERVICE_FAULTS, services),
        (LOG_FAULTS, ("log",)),
    )
    plan = []
    for kinds, targets in groups:
        begin_s = chooser.uniform(0.2, 1.0)
        turn = 0
        while begin_s < length_s:
            kind = kinds[turn % len(kinds)]
            duration_s = chooser.uniform(*DURATIONS_S[kind])
            plan.append(Fault(begin_s, kind, chooser.choice(targets), duration_s))
            begin_s += duration_s + chooser.uniform(0.2, 0.8)
            turn += 1
    return sorted(plan)


class FaultRunner:
    """Carries out a plan; ``restart_entry`` starts a killed entry anew."""

    def __init__(
        self,
        running: cluster.Cluster,
        restart_entry: typing.Callable[[str], typing.Awaitable[None]],
        *,
        process_of: typing.Callable[[str], str] = str,
    ):
        self._cluster = running
        self._restart_entry = restart_entry
        self._process_of = process_of
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
        # An entry that is being started anew can't be killed or frozen before
        # it runs, since nobody could tell that from a failed start.
        lock = self._entry_locks[fault.target]
        async with lock if fault.kind in ENTRY_FAULTS else contextlib.nullcontext():
            async with _MAKERS[fault.kind](self, fault.target):
                await asyncio.sleep(fault.duration_s)

    @contextlib.asynccontextmanager
    async def _killed(self, target: str):
        await self._cluster.processes.kill(self._process_of(target))
        yield
        await self._restart_entry(target)

    @contextlib.asynccontextmanager
    async def _frozen(self, target: str):
        self._cluster.processes.freeze(self._process_of(target))
        yield
        self._cluster.processes.thaw(self._process_of(target))

    @contextlib.asynccontextmanager
    async def _proxied(self, target: str, mode: str, direction: str):
        await self._cluster.set_proxy_faults(target, mode=mode, direction=direction)
        yield
        await self._cluster.set_proxy_faults(target, mode="pass", direction="both")

    @contextlib.asynccontextmanager
    async def _all_cut(self):
        async with contextlib.AsyncExitStack() as stack:
            for name in self._cluster.services:
                await stack.enter_async_context(self._proxied(name, "cut", "answer"))
            yield

    @contextlib.asynccontextmanager
    async def _faulty(self, target: str, faults: dict, harmless: dict):
        await self._cluster.set_faults(target, **faults)
        yield
        await self._cluster.set_faults(target, **harmless)


_MAKERS: dict[str, typing.Callable] = {
    "kill": FaultRunner._killed,
    "freeze": FaultRunner._frozen,
    "cut_answer": lambda one, name: one._proxied(name, "cut", "answer"),
    "hold_answer": lambda one, name: one._proxied(name, "hold", "answer"),
    "cut_every_answer": lambda one, name: one._all_cut(),
    "refuse_connection": lambda one, name: one._proxied(name, "refuse", "both"),
    "refuse_request": lambda one, name: one._faulty(
        name, {"refuse": True}, {"refuse": False}
    ),
    "lose_answers": lambda one, name: one._faulty(
        name, {"lose_answers": 8}, {"lose_answers": 0}
    ),
    "late_appends": lambda one, name: one._faulty(
        name, {"late_s": 0.7}, {"late_s": 0.0}
    ),
    "log_outage": lambda one, name: one._faulty(
        name, {"outage": True}, {"outage": False}
    ),
    "log_slow": lambda one, name: one._faulty(
        name, {"slow_s": 0.25}, {"slow_s": APPEND_S}
    ),
}
