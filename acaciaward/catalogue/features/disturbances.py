"""Disturbs entries and their store at random, round after round, and checks them."""

import asyncio
import random
import time

from acaciaward.catalogue.features import delivery

ENDPOINT_COUNT = 5
STORE_MODES = ("pass", "reset", "busy", "silent")


class Disturber:
    """Draws disturbances from a seed; ``run`` returns what it found wrong."""

    def __init__(self, world: delivery.World, seed: int):
        self._world = world
        self._rng = random.Random(seed)
        self._disturbances = (
            self._restore,
            self._restore,
            self._compact,
            self._silence,
            self._turn_away,
            self._break_store,
        )

    async def run(self, rounds: int) -> list[str]:
        """Disturb, and check until the contact time and after it."""
        found = []
        for number in range(rounds):
            disturb = self._rng.choice(self._disturbances)
            name = f"round {number}, {disturb.__name__.strip('_')}"
            await disturb()
            in_contact_at = time.monotonic() + delivery.CONTACT_S
            found += [f"{name}: {text}" for text in await self._check(in_contact_at)]
            await asyncio.sleep(max(0.0, in_contact_at - time.monotonic()))
            version = self._world.change()
            due = time.monotonic() + delivery.CONFIGURATION_S
            late = await self._world.late_entries(version, due)
            found += [f"{name}, then undisturbed: {late} late"] if late else []
        return found

    async def _check(self, in_contact_at: float) -> list[str]:
        world = self._world
        last_change_at = max(world.acknowledged_at.values())
        due = max(in_contact_at, last_change_at + delivery.CONFIGURATION_S)
        late = await world.late_entries(world.version, due)
        listed = world.endpoint_names()
        has_endpoints = await world.wait_until(
            lambda: all(entry.endpoint_names == listed for entry in world.entries),
            in_contact_at - time.monotonic(),
        )
        wrong = {
            f"{late} late": late,
            "endpoints differ from the store's": not has_endpoints,
            f"versions fell: {world.reverted_entries()}": world.reverted_entries(),
        }
        return [text for text, is_wrong in wrong.items() if is_wrong]

    def _some_entries(self, least: int = 0) -> list[delivery.Entry]:
        entries = self._world.entries
        return self._rng.sample(entries, self._rng.randint(least, len(entries)))

    def _write_endpoint(self) -> None:
        number = self._rng.randint(1, ENDPOINT_COUNT)
        record = self._world.endpoint_record(number)
        self._world.store.put(delivery.ENDPOINTS_TOPIC, f"s-{number}", record)

    async def _pause(self, longest_s: float) -> None:
        await asyncio.sleep(self._rng.uniform(0, longest_s))

    async def _restore(self) -> None:
        world, rng = self._world, self._rng
        for _ in range(rng.randint(0, 4)):
            world.change()
            self._write_endpoint()
            await self._pause(0.4)
        world.hold(self._some_entries())
        world.store.mode = rng.choice(STORE_MODES)
        await self._pause(1.0)
        world.store.mode = "pass"
        lost = world.store.restore(rng.uniform(0.1, 2.5))
        rng.shuffle(lost)
        for value in lost:
            world.store.write_again([value])
            await self._pause(rng.choice((0.0, 0.2)))
        for _ in range(rng.randint(0, ENDPOINT_COUNT)):
            self._write_endpoint()
        if rng.random() < 0.5:
            world.change()
        if rng.random() < 0.3:
            world.store.compact()
        await self._pause(1.5)
        world.reconnect()

    async def _compact(self) -> None:
        self._world.hold(self._some_entries())
        self._world.change()
        self._world.store.compact()
        await self._pause(0.6)
        self._world.reconnect()

    async def _silence(self) -> None:
        for entry in self._some_entries(1):
            entry.proxy.silence_connections()

    async def _turn_away(self) -> None:
        self._world.turn_away(self._some_entries(1)[:-1])
        await self._pause(3.0)
        self._world.change()
        await self._pause(3.0)
        self._world.reconnect()

    async def _break_store(self) -> None:
        self._world.store.mode = self._rng.choice((*STORE_MODES[1:], "slow"))
        await self._pause(2.0)
        self._world.change()
        self._world.store.mode = "pass"
