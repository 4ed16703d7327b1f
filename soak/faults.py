"""
Injects faults, drawn from a seed, into the system from outside; they may overlap.

Each fault is a coroutine that disturbs something, waits, and restores it.
Faults record what they disturb, since some promises bind only what is undisturbed.
"""

import asyncio
import itertools
import signal
import subprocess
import time
import typing
from collections import abc

from soak import (
    brittleservers,
    conditions,
    disturber,
    instances,
    judge,
    latecrashes,
    seedmachines,
    spokensignals,
    standstills,
    storefaults,
    world,
)
from standins import edgeserver

# Range of the time between the starts of two faults; short enough that they overlap.
INTERVAL_RANGE_S = (0.1, 1.2)
# Factors for these intervals, of which each soak draws one: promises that bind only
# what is undisturbed can be checked only if there is time between faults.
INTERVAL_FACTORS = (1.0, 1.0, 3.0, 6.0)
# Those beside a fault that is injected often; with more, little is undisturbed by then.
INTERVAL_FACTORS_BESIDE_FAVOURED = (3.0, 6.0)
# Range of the time between two starts of a fault that is to be injected often, beside
# those that are drawn. Entries that are lost more often don't get to know of any
# version how long it has served.
FAVOURED_INTERVAL_RANGE_S = (2.0, 4.0)
FAVOURED_INTERVAL_RANGES_S = {"kill_all_entries": (7.0, 9.0)}
# Minimum time between two configurations, so that the service that ran a request
# tells which of them was in force.
CONFIGURATION_INTERVAL_S = 3.0
# How much longer than its drain time a server that leaves keeps serving.
AFTER_DRAIN_RANGE_S = (0.5, 4.0)

MANY_DIGITS = 10**400

# How long a part of prompts crashes servers.
TAINTED_RANGE_S = (6.0, 15.0)

# Time from the start of a standstill fault until planned work that it comes with.
BEFORE_PLANNED_WORK_RANGE_S = (0.0, 1.5)

# Fields of records that no server writes.
ODD_FIELDS = (
    {"Slots": MANY_DIGITS},
    {"ColdRemainingMs": MANY_DIGITS},
    {"born": 2**64},
    {"born": -1},
    {"Address": "127.0.0.1:0"},
    {"Address": "127.0.0.1:" + "9" * 5000},
    {"Address": "nowhere:1234"},
    {"Zone": "z" * 2**20},
)

# How entries are cut off from all servers, and for how long.
CUT_MODES = ("hang", "reset", "refuse")
CUT_RANGE_S = (3.0, 12.0)

Fault = abc.Callable[[], abc.Coroutine]


class FaultInjector(disturber.Disturber):
    """Injects faults for a given time."""

    def __init__(self, system: world.SystemUnderTest, favoured: str = ""):
        """Inject the fault that is named ``favoured`` more often than others."""
        super().__init__(system)
        store_faults = storefaults.StoreFaults(system)
        spoken_signals = spokensignals.SpokenSignals(system)
        self.brittle_servers = brittleservers.BrittleServers(system)
        self._standstills = standstills.Standstills(system)
        # What is done beside standstills, in turn.
        self._planned_work: abc.Iterator[Fault | None]
        self._planned_work = itertools.cycle(
            (None, self._stop_entry, self._reload_entry, self._change_configuration)
        )
        self._tasks: set[asyncio.Task] = set()
        self._configured_at = time.monotonic()
        self.injected: list[str] = []
        self._interval_factor = self._random.choice(
            INTERVAL_FACTORS_BESIDE_FAVOURED if favoured else INTERVAL_FACTORS
        )
        self._weighted_faults: list[tuple[float, Fault]] = [
            (3, self._kill_random_entry),
            (2, self._stop_entry),
            (2, self._pause_entry),
            (1, self._reload_entry),
            (0.5, self._kill_all_entries),
            (3, self._disturb_store_connections),
            (2, self._disturb_caller_connections),
            (3, self._disturb_server_connections),
            (2, store_faults.disturb),
            (1, store_faults.compact),
            (0.5, store_faults.expire),
            (3, store_faults.restore),
            (1, self._cut_off_from_servers),
            (2, self._change_configuration),
            (1, self._write_invalid_registration),
            (3, self._crash_server),
            (2, self._drain_server),
            (8, self._make_server_misbehave),
            (1, self._reuse_address),
            (1, self._taint_part),
            (2, spoken_signals.let_server_say_leaving),
            (2, spoken_signals.ask_to_back_off),
            (2, spoken_signals.change_record),
            (2, spoken_signals.speak_while_record_changes),
            (2, self._stand_still),
            (1, latecrashes.LateCrashes(system).crash_late),
            (1, seedmachines.SeedMachines(system).replace_seeds),
            # Only if it is favoured, so that other soaks draw as before.
            (0, self.brittle_servers.be_brittle),
        ]
        faults = {
            fault.__name__.lstrip("_"): fault for _, fault in self._weighted_faults
        }
        if favoured and favoured not in faults:
            raise ValueError(f"no fault {favoured!r}; there are {', '.join(faults)}")
        self._favoured = faults.get(favoured)
        self._favoured_interval_range_s = FAVOURED_INTERVAL_RANGES_S.get(
            favoured, FAVOURED_INTERVAL_RANGE_S
        )

    async def run(self, seconds: float) -> None:
        """Start faults for so long, then wait until the last of them is over."""
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            group.create_task(self._start_drawn(end))
            if self._favoured is not None:
                group.create_task(self._start_favoured(self._favoured, end))
        while self._tasks:
            await asyncio.sleep(world.POLL_INTERVAL_S)

    async def _start_drawn(self, end: float) -> None:
        weights = [weight for weight, _ in self._weighted_faults]
        while time.monotonic() < end:
            ((_, fault),) = self._random.choices(self._weighted_faults, weights)
            self._start(fault)
            await asyncio.sleep(
                self._interval_factor * self._random.uniform(*INTERVAL_RANGE_S)
            )

    async def _start_favoured(self, fault: Fault, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self._random.uniform(*self._favoured_interval_range_s))
            self._start(fault)

    def _start(self, fault: Fault) -> None:
        self.injected.append(fault.__qualname__)
        self._system.record_event(fault.__qualname__)
        task = asyncio.create_task(fault())
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def _choose_server(
        self, service: str | None = None
    ) -> edgeserver.EdgeServer | None:
        candidates = [
            server
            for server in self._system.servers.values()
            if server.left_at is None
            and server.behaviour == "pass"
            and server.service in (service or ("app", "llm"))
        ]
        return self._random.choice(candidates) if candidates else None

    async def _kill_random_entry(self) -> None:
        entry = self._choose_entry()
        if entry is not None:
            await self._kill_entry(
                entry, self._random.choice((0.0, self._duration_s()))
            )

    async def _stop_entry(self) -> None:
        entry = self._choose_entry()
        if entry is None:
            return
        with self._disturbing(entry.name, kind=conditions.Kind.STOP) as began:
            entry.is_expected_to_run = False
            entry.signal(signal.SIGTERM)
            await self._wait_for_end(entry, began)
            self._system.orderly_stops.append(
                judge.OrderlyStop(entry.name, began, time.monotonic())
            )
            await asyncio.sleep(world.RESTART_DELAY_S)
            self._system.start_entry(entry)
            await asyncio.sleep(1.0)

    async def _wait_for_end(self, entry: instances.Entry, began: float) -> None:
        try:
            stop_limit_s = self._system.bounds.stop_limit_s
            await asyncio.to_thread(entry.process.wait, stop_limit_s)
        except subprocess.TimeoutExpired:
            # A process that another fault paused meanwhile can't end in time.
            is_undisturbed = self._system.disturbances.is_undisturbed
            if is_undisturbed(
                entry.name, began, time.monotonic(), except_begun_at=began
            ):
                self._system.recorder.record_violation(
                    "END", f"{entry.name} ignored SIGTERM"
                )
            with self._disturbing(entry.name, kind=conditions.Kind.END):
                entry.signal(signal.SIGKILL)
                await asyncio.to_thread(entry.process.wait)

    async def _pause_entry(self) -> None:
        entry = self._choose_entry()
        if entry is None:
            return
        with self._disturbing(entry.name):
            entry.signal(signal.SIGSTOP)
            await asyncio.sleep(self._duration_s())
            entry.signal(signal.SIGCONT)

    async def _reload_entry(self) -> None:
        entry = self._choose_entry()
        if entry is not None:
            self._system.record_event(f"{entry.name} gets SIGHUP")
            entry.signal(signal.SIGHUP)

    async def _disturb_store_connections(self) -> None:
        entry = self._choose_entry()
        if entry is not None:
            await self._disturb_proxy(entry.store_proxy, entry.name)

    async def _disturb_caller_connections(self) -> None:
        entry = self._choose_entry()
        if entry is not None:
            await self._disturb_proxy(entry.caller_proxy, entry.name)

    async def _disturb_server_connections(self) -> None:
        server = self._choose_server()
        if server is not None:
            proxy = self._system.server_proxies[server.name]
            await self._disturb_proxy(proxy, server.name)

    async def _cut_off_from_servers(self) -> None:
        """Cut one, several or all entries off from all servers."""
        cuts = self._system.entry_cuts
        if cuts:
            return
        known = self._system.entries
        count = self._random.choice((1, 2, len(known)))
        entries = self._random.sample(known, min(count, len(known)))
        mode = self._random.choice(CUT_MODES)
        names = [entry.name for entry in entries]
        self._system.record_event(f"{mode} between {', '.join(names)} and all servers")
        with self._disturbing(*names):
            cuts.update((entry.source_address, mode) for entry in entries)
            if mode == "reset":
                self._cut_server_connections(entries)
            await asyncio.sleep(self._random.uniform(*CUT_RANGE_S))
            cuts.clear()
            # What a hanging connection held up is either lost or arrives now.
            if mode == "hang" and self._random.random() < 0.5:
                self._cut_server_connections(entries)

    def _cut_server_connections(self, entries: abc.Iterable[instances.Entry]) -> None:
        for proxy in self._system.server_proxies.values():
            for entry in entries:
                proxy.cut_connections(entry.source_address)

    async def _change_configuration(self) -> None:
        if time.monotonic() - self._configured_at >= CONFIGURATION_INTERVAL_S:
            self._configured_at = time.monotonic()
            self._system.change_configuration()

    async def _write_invalid_registration(self) -> None:
        value: typing.Any = self._random.choice(
            (b"\xff\xfe", {}, {"State": "ready"}, {"Service": 5, "State": "odd"}, [])
            + (b"[" * 100_000, *map(self._odd_registration, ODD_FIELDS))
        )
        name = self._random.choice(("foreign-1", "foreign-2"))
        self._system.store.put(edgeserver.SERVERS, name, value)

    @staticmethod
    def _odd_registration(fields: abc.Mapping[str, typing.Any]) -> dict:
        """Return a record that is proper but for some fields."""
        record = {"Service": "app", "Address": "127.0.0.1:1234", "Zone": "north"}
        return record | {"State": "ready", "Slots": 4, "born": 1} | fields

    async def _crash_server(self) -> None:
        server = self._choose_server()
        if server is None:
            return
        # A server may start again under the name that it had.
        name = self._random.choice((None, server.name))
        with self._disturbing(server.name):
            await self._system.stop_server(server, lapses=self._random.random() < 0.5)
            await asyncio.sleep(self._random.uniform(0, 1))
            await self._system.add_server(server.service, "north", name=name)

    async def _drain_server(self) -> None:
        server = self._choose_server()
        if server is None:
            return
        await self._system.add_server(server.service, "south")
        server.leave(silently=self._random.random() < 0.3)
        drain_s = self._system.bounds.drain_s
        await asyncio.sleep(drain_s + self._random.uniform(*AFTER_DRAIN_RANGE_S))
        await self._system.stop_server(server)

    async def _make_server_misbehave(self) -> None:
        server = self._choose_server()
        if server is None:
            return
        with self._disturbing(server.name):
            server.share = self._random.choice((0.2, 0.6, 1.0))
            server.behaviour = self._random.choice(edgeserver.BEHAVIOURS[1:])
            await asyncio.sleep(self._duration_s())
            server.behaviour = "pass"

    async def _taint_part(self) -> None:
        """Let a new part of prompts crash the servers that begin to answer it."""
        if self._system.deadly_parts:
            return
        self._system.set_deadly_parts([f"deadly-{len(self.injected)}"])
        await asyncio.sleep(self._random.uniform(*TAINTED_RANGE_S))
        self._system.set_deadly_parts([])

    async def _stand_still(self) -> None:
        """Let servers stand still, and stop or reload an entry, or configure them."""
        planned_work = next(self._planned_work)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._standstills.stand_still())
            if planned_work is not None:
                await asyncio.sleep(self._random.uniform(*BEFORE_PLANNED_WORK_RANGE_S))
                group.create_task(planned_work())

    async def _reuse_address(self) -> None:
        """Start a server of another service at the address of one that has ended."""
        server = self._choose_server("app")
        if server is None:
            return
        port = self._system.server_proxies[server.name].port
        with self._disturbing(server.name):
            await self._system.stop_server(server)
            await asyncio.sleep(2.0)
            await self._system.add_server("llm", "south", port=port)
            await self._system.add_server("app", "south")
