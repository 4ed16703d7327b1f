"""What the faults of a soak have in common: durations, records, entries and links."""

import asyncio
import contextlib
import signal
import time
from collections import abc

from soak import conditions, instances, world
from standins import faultproxy

# Range of a fault's duration; some faults outlast every timeout of an entry.
DURATION_RANGE_S = (0.3, 4.0)
PROXY_MODES = ("hold", "refuse", "cut", "delay")
PROXY_DELAY_S = 0.1


class Disturber:
    """Base of what injects faults into the system."""

    def __init__(self, system: world.SystemUnderTest):
        self._system = system
        self._random = system.random

    def _duration_s(self) -> float:
        return self._random.uniform(*DURATION_RANGE_S)

    @contextlib.contextmanager
    def _disturbing(
        self, *names: str, kind: conditions.Kind = conditions.Kind.FAULT
    ) -> abc.Iterator[float]:
        """Record a disturbance for the body's time; yield the moment when it began."""
        began = time.monotonic()
        for name in names:
            self._system.disturbances.begin(name, began, kind)
        try:
            yield began
        finally:
            for name in names:
                self._system.disturbances.end(name, time.monotonic(), kind)

    def _choose_entry(self) -> instances.Entry | None:
        running = self._running_entries()
        return self._random.choice(running) if running else None

    def _running_entries(self) -> list[instances.Entry]:
        return [
            entry
            for entry in self._system.entries
            if entry.is_expected_to_run and entry.process.poll() is None
        ]

    async def _kill_entry(self, entry: instances.Entry, downtime_s: float) -> None:
        with self._disturbing(entry.name):
            entry.is_expected_to_run = False
            entry.signal(signal.SIGKILL)
            await asyncio.to_thread(entry.process.wait)
            await asyncio.sleep(world.RESTART_DELAY_S + downtime_s)
            self._system.start_entry(entry)
            await asyncio.sleep(1.0)

    async def _kill_all_entries(self) -> None:
        downtime_s = self._random.uniform(0, 2)
        running = [entry for entry in self._system.entries if entry.is_expected_to_run]
        await asyncio.gather(
            *(self._kill_entry(entry, downtime_s) for entry in running)
        )

    async def _disturb_proxy(self, proxy: faultproxy.FaultProxy, name: str) -> None:
        if proxy.faults["mode"] != "pass" or proxy.faults["delay_s"]:
            return
        mode = self._random.choice(PROXY_MODES)
        with self._disturbing(name):
            if mode == "delay":
                proxy.faults["delay_s"] = PROXY_DELAY_S
            else:
                proxy.faults["direction"] = self._random.choice(
                    ("both", "request", "answer")
                )
                proxy.faults["cut_after_bytes"] = self._random.choice((0, 100, 2000))
                proxy.faults["mode"] = mode
            if mode == "cut" and self._random.random() < 0.5:
                proxy.cut_connections()
            await asyncio.sleep(self._duration_s())
            proxy.faults.update(mode="pass", delay_s=0.0)
            # Drops data that the proxy hasn't forwarded, together with its connections.
            proxy.cut_connections()
