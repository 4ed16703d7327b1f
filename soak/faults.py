"""
Faults drawn from a seed and carried out from outside, in series and overlapping.

Each fault is a coroutine that disturbs something, waits, and puts it right again; it
says what it disturbs, so that promises to the undisturbed are judged rightly.
"""

import asyncio
import contextlib
import signal
import subprocess
import time
import typing
from collections import abc

from soak import world
from standins import edgeserver, edgestore, faultproxy

# Pause between the beginnings of two faults, in seconds: they overlap often.
PAUSE_S = (0.1, 1.2)
# One of these lengthens the pauses of a soak: promises to what is undisturbed show
# only where there are calm stretches.
PACES = (1.0, 1.0, 3.0, 6.0)
# How long a fault lasts, in seconds: some outlast every time-out of an entry.
LASTING_S = (0.3, 4.0)
# Configurations follow one another at this distance at least, in seconds, so that
# what a server saw tells which of them was in force.
CHANGE_PAUSE_S = 3.0
# A server that leaves serves on for its bound and a little longer, in seconds.
LINGER_S = (0.5, 4.0)

PROXY_MODES = ("hold", "refuse", "cut", "delay")
DELAY_S = 0.1


class Faults:
    """Carries out faults until it is told to end."""

    def __init__(self, system: world.World):
        self._world = system
        self._random = system.random
        self._running: set[asyncio.Task] = set()
        self._changed_at = time.monotonic()
        self._pace = self._random.choice(PACES)
        self.done: list[str] = []
        self._kinds: list[tuple[float, abc.Callable[[], abc.Coroutine]]] = [
            (3, self._kill),
            (2, self._stop),
            (2, self._pause),
            (1, self._reload),
            (0.5, self._kill_all),
            (3, self._disturb_store_link),
            (2, self._disturb_caller_link),
            (3, self._disturb_server_link),
            (2, self._disturb_store),
            (1, self._compact),
            (2, self._change_configuration),
            (1, self._write_junk),
            (3, self._crash_server),
            (2, self._drain_server),
            (8, self._spoil_server),
            (1, self._reuse_address),
        ]

    async def run(self, seconds: float) -> None:
        """Begin faults for so long, then wait until all is put right."""
        end = time.monotonic() + seconds
        weights = [weight for weight, _ in self._kinds]
        while time.monotonic() < end:
            ((_, fault),) = self._random.choices(self._kinds, weights)
            self.done.append(fault.__name__.strip("_"))
            task = asyncio.create_task(fault())
            self._running.add(task)
            task.add_done_callback(self._end)
            await asyncio.sleep(self._pace * self._random.uniform(*PAUSE_S))
        while self._running:
            await asyncio.sleep(world.POLL_S)

    def _end(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def _lasting_s(self) -> float:
        return self._random.uniform(*LASTING_S)

    @contextlib.contextmanager
    def _disturbing(self, *names: str) -> abc.Iterator[float]:
        """Take down that things are disturbed; give the moment at which it began."""
        began = time.monotonic()
        for name in names:
            self._world.disturbances.begin(name, began)
        try:
            yield began
        finally:
            for name in names:
                self._world.disturbances.end(name, time.monotonic())

    def _entry(self) -> world.Entry | None:
        running = [
            one
            for one in self._world.entries
            if one.is_wanted and one.process.poll() is None
        ]
        return self._random.choice(running) if running else None

    def _server(self, service: str | None = None) -> edgeserver.EdgeServer | None:
        found = [
            one
            for one in self._world.servers.values()
            if one.left_at is None
            and one.behaviour == "pass"
            and one.service in (service or ("app", "llm"))
        ]
        return self._random.choice(found) if found else None

    async def _kill(self) -> None:
        entry = self._entry()
        if entry is not None:
            await self._kill_one(entry, self._random.choice((0.0, self._lasting_s())))

    async def _kill_one(self, entry: world.Entry, dark_s: float) -> None:
        with self._disturbing(entry.name):
            entry.is_wanted = False
            entry.signal(signal.SIGKILL)
            await asyncio.to_thread(entry.process.wait)
            await asyncio.sleep(world.RESTART_S + dark_s)
            self._world.start_entry(entry)
            await asyncio.sleep(1.0)

    async def _kill_all(self) -> None:
        dark_s = self._random.uniform(0, 2)
        running = [one for one in self._world.entries if one.is_wanted]
        await asyncio.gather(*(self._kill_one(one, dark_s) for one in running))

    async def _stop(self) -> None:
        entry = self._entry()
        if entry is None:
            return
        with self._disturbing(entry.name) as began:
            entry.is_wanted = False
            entry.signal(signal.SIGTERM)
            await self._wait_for_end(entry, began)
            self._world.stops.append((entry.name, began, time.monotonic()))
            await asyncio.sleep(world.RESTART_S)
            self._world.start_entry(entry)
            await asyncio.sleep(1.0)

    async def _wait_for_end(self, entry: world.Entry, began: float) -> None:
        try:
            limit_s = self._world.bounds.stop_limit_s
            await asyncio.to_thread(entry.process.wait, limit_s)
        except subprocess.TimeoutExpired:
            # A process that was paused meanwhile can't be in time.
            calm = self._world.disturbances.is_calm
            if calm(entry.name, began, time.monotonic(), but=began):
                self._world.book.violate("END", f"{entry.name} ignored SIGTERM")
            entry.signal(signal.SIGKILL)
            await asyncio.to_thread(entry.process.wait)

    async def _pause(self) -> None:
        entry = self._entry()
        if entry is None:
            return
        with self._disturbing(entry.name):
            entry.signal(signal.SIGSTOP)
            await asyncio.sleep(self._lasting_s())
            entry.signal(signal.SIGCONT)

    async def _reload(self) -> None:
        entry = self._entry()
        if entry is not None:
            entry.signal(signal.SIGHUP)

    async def _disturb_store_link(self) -> None:
        entry = self._entry()
        if entry is not None:
            await self._disturb_link(entry.store_proxy, entry.name)

    async def _disturb_caller_link(self) -> None:
        entry = self._entry()
        if entry is not None:
            await self._disturb_link(entry.caller_proxy, entry.name)

    async def _disturb_server_link(self) -> None:
        server = self._server()
        if server is not None:
            proxy = self._world.server_proxies[server.name]
            await self._disturb_link(proxy, server.name)

    async def _disturb_link(self, proxy: faultproxy.FaultProxy, name: str) -> None:
        if proxy.faults["mode"] != "pass" or proxy.faults["delay_s"]:
            return
        mode = self._random.choice(PROXY_MODES)
        with self._disturbing(name):
            if mode == "delay":
                proxy.faults["delay_s"] = DELAY_S
            else:
                proxy.faults["direction"] = self._random.choice(
                    ("both", "request", "answer")
                )
                proxy.faults["cut_after_bytes"] = self._random.choice((0, 100, 2000))
                proxy.faults["mode"] = mode
            if mode == "cut" and self._random.random() < 0.5:
                proxy.cut_connections()
            await asyncio.sleep(self._lasting_s())
            proxy.faults.update(mode="pass", delay_s=0.0)
            # What was held up on the way is lost with the connections.
            proxy.cut_connections()

    async def _disturb_store(self) -> None:
        store = self._world.store
        if store.mode != "pass":
            return
        with self._disturbing("store"):
            store.mode = self._random.choice(edgestore.MODES[1:])
            await asyncio.sleep(self._lasting_s())
            store.mode = "pass"

    async def _compact(self) -> None:
        with self._disturbing("store"):
            self._world.store.compact()

    async def _change_configuration(self) -> None:
        if time.monotonic() - self._changed_at >= CHANGE_PAUSE_S:
            self._changed_at = time.monotonic()
            self._world.change_configuration()

    async def _write_junk(self) -> None:
        junk: typing.Any = self._random.choice(
            (b"\xff\xfe", {}, {"State": "ready"}, {"Service": 5, "State": "odd"}, [])
        )
        name = self._random.choice(("foreign-1", "foreign-2"))
        self._world.store.put(edgeserver.SERVERS, name, junk)

    async def _crash_server(self) -> None:
        server = self._server()
        if server is None:
            return
        # A server may start again under the name that it had.
        name = self._random.choice((None, server.name))
        with self._disturbing(server.name):
            await self._world.end_server(server, lapses=self._random.random() < 0.5)
            await asyncio.sleep(self._random.uniform(0, 1))
            await self._world.add_server(server.service, "north", name=name)

    async def _drain_server(self) -> None:
        server = self._server()
        if server is None:
            return
        await self._world.add_server(server.service, "south")
        server.leave(silently=self._random.random() < 0.3)
        drain_s = self._world.bounds.drain_s
        await asyncio.sleep(drain_s + self._random.uniform(*LINGER_S))
        await self._world.end_server(server)

    async def _spoil_server(self) -> None:
        server = self._server()
        if server is None:
            return
        with self._disturbing(server.name):
            server.share = self._random.choice((0.2, 0.6, 1.0))
            server.behaviour = self._random.choice(edgeserver.BEHAVIOURS[1:])
            await asyncio.sleep(self._lasting_s())
            server.behaviour = "pass"

    async def _reuse_address(self) -> None:
        """A server of another service starts at the address of one that has ended."""
        server = self._server("app")
        if server is None:
            return
        port = self._world.server_proxies[server.name].port
        with self._disturbing(server.name):
            await self._world.end_server(server)
            await asyncio.sleep(2.0)
            await self._world.add_server("llm", "south", port=port)
            await self._world.add_server("app", "south")
