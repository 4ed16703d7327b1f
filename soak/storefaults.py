"""Faults of the store: disturbed, restored from an older copy, records dropped."""

import asyncio
import signal
from collections import abc

from soak import disturber, instances, world
from standins import edgeserver, edgestore

# How the store is before it goes away, and while it is away.
BEFORE_MODES = ("pass", "pass", "late", "lost")
AWAY_MODES = ("silent", "reset", "busy")
BEFORE_RANGE_S = (0.3, 2.0)
AWAY_RANGE_S = (0.0, 1.0)
COPY_AGE_RANGE_S = (0.3, 6.0)
# Time after a restore in which the operator and the servers write what it lost.
WRITE_AGAIN_RANGE_S = (0.0, 1.5)
# How long after a restore entries stay paused or cut off.
AFTERWARDS_RANGE_S = (0.5, 6.0)
# Age of expired records; reports of usage are late well before.
EXPIRED_AGE_RANGE_S = (20.0, 40.0)


class StoreFaults(disturber.Disturber):
    """Injects faults into the store."""

    def __init__(self, system: world.SystemUnderTest):
        super().__init__(system)
        self._restores: tuple[abc.Callable[[], abc.Coroutine], ...] = (
            self._restore_once,
            self._restore_twice,
            self._restore_and_kill_entries,
            self._restore_and_kill_holder,
            self._restore_with_holder_paused,
            self._restore_with_entries_cut_off,
        )

    async def disturb(self) -> None:
        """Set a fault of the store for some time."""
        store = self._system.store
        if store.mode != "pass":
            return
        with self._disturbing("store"):
            store.mode = self._random.choice(edgestore.MODES[1:])
            await asyncio.sleep(self._duration_s())
            store.mode = "pass"

    async def compact(self) -> None:
        """Drop the history of the topics with keys."""
        with self._disturbing("store"):
            self._system.store.compact()

    async def expire(self) -> None:
        """Drop old records of the topics without keys."""
        with self._disturbing("store"):
            self._system.store.expire(self._random.uniform(*EXPIRED_AGE_RANGE_S))

    async def restore(self) -> None:
        """Bring the store back from an older copy, in a way drawn at random."""
        if self._system.store.mode == "pass":
            restore = self._random.choice(self._restores)
            self._system.record_event(restore.__qualname__)
            await restore()

    async def _restore_once(self) -> None:
        """
        Take the store away for a moment and bring it back from an older copy.

        The operator and the servers write their lost values again; before that, others
        may have got their offsets.
        """
        store = self._system.store
        with self._disturbing("store"):
            store.mode = self._random.choice(BEFORE_MODES)
            if store.mode != "pass":
                await asyncio.sleep(self._random.uniform(*BEFORE_RANGE_S))
            store.mode = self._random.choice(AWAY_MODES)
            await asyncio.sleep(self._random.uniform(*AWAY_RANGE_S))
            age_s = self._random.uniform(*COPY_AGE_RANGE_S)
            store.restore(age_s)
            self._system.record_event(f"store restored from a copy {age_s:.2f} s old")
            store.mode = "pass"
            for number in range(self._random.choice((0, 3))):
                store.put(edgeserver.SERVERS, f"foreign-{number}", {})
            await asyncio.sleep(self._random.uniform(*WRITE_AGAIN_RANGE_S))
            store.write_all_again()

    async def _restore_twice(self) -> None:
        async def restore_again():
            await asyncio.sleep(self._duration_s())
            await self._restore_once()

        await asyncio.gather(self._restore_once(), restore_again())

    async def _restore_and_kill_entries(self) -> None:
        await self._restore_once()
        await asyncio.sleep(self._random.choice((0.0, self._duration_s())))
        await self._kill_all_entries()

    async def _restore_and_kill_holder(self) -> None:
        await self._restore_once()
        holder = self._find_holder()
        if holder is not None:
            await self._kill_entry(holder, self._duration_s())

    async def _restore_with_holder_paused(self) -> None:
        holder = self._find_holder()
        if holder is None:
            return
        with self._disturbing(holder.name):
            holder.signal(signal.SIGSTOP)
            await self._restore_once()
            await asyncio.sleep(self._random.uniform(*AFTERWARDS_RANGE_S))
            holder.signal(signal.SIGCONT)

    async def _restore_with_entries_cut_off(self) -> None:
        """Cut some entries off from the store until others have got the offsets."""
        entries = self._system.entries
        count = self._random.randint(1, len(entries))
        async with asyncio.TaskGroup() as group:
            for entry in self._random.sample(entries, count):
                group.create_task(self._disturb_proxy(entry.store_proxy, entry.name))
            await self._restore_once()

    def _find_holder(self) -> instances.Entry | None:
        """Return the entry that reported usage last, if it runs."""
        reports = self._system.store.reports
        holder_name = reports[-1].holder if reports else ""
        for entry in self._running_entries():
            if entry.name == holder_name:
                return entry
        return None
