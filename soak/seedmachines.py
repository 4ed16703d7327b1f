"""Replaces the machines of the entries' seeds, one by one, at other addresses."""

import asyncio
import time

from soak import callers, disturber, instances, world

# Time from the end of an entry until another one starts, and from when that is ready
# until the next one ends.
DOWNTIME_RANGE_S = (0.0, 1.0)
PAUSE_RANGE_S = (1.0, 2.0)
START_TIMEOUT_S = 10.0
# Callers that ask each entry for more than the whole quota.
CALLER_COUNT = 8
KIND = callers.RequestKind("idempotent", "/p/", "hot", 1.0, 1.0)


class SeedMachines(disturber.Disturber):
    """Ends the entries that are seeds for good; others start elsewhere instead."""

    def __init__(self, system: world.SystemUnderTest):
        super().__init__(system)
        # Those that run in place of the seeds.
        self._entries = list(system.entries[: world.SEED_COUNT])
        self._is_active = False

    async def replace_seeds(self) -> None:
        """Replace each of the machines, once around, unless there is only one."""
        if self._is_active or len(self._system.entries) == 1:
            return
        self._is_active = True
        own_callers = self._system.start_callers([KIND], CALLER_COUNT)
        for position, entry in enumerate(self._entries):
            if entry in self._running_entries():
                self._entries[position] = await self._replace(entry)
                await asyncio.sleep(self._random.uniform(*PAUSE_RANGE_S))
        for caller in own_callers:
            caller.is_stopping = True
        self._is_active = False

    async def _replace(self, entry: instances.Entry) -> instances.Entry:
        with self._disturbing(entry.name):
            await self._system.remove_entry(entry)
            await asyncio.sleep(self._random.uniform(*DOWNTIME_RANGE_S))
            new = await self._system.add_entry(entry.data_centre)
            with self._disturbing(new.name):
                deadline = time.monotonic() + START_TIMEOUT_S
                port = new.ports["Readiness"]
                while not await instances.is_ready(port):
                    if time.monotonic() > deadline:
                        self._system.record_event(f"{new.name} isn't ready")
                        break
                    await asyncio.sleep(world.POLL_INTERVAL_S)
        return new
