"""
Six entries with endpoints that have little room and turn brittle, and callers.

An endpoint that falls over is back under its name some seconds later. Callers ask the
next entry if the one of their turn accepts no connection.
"""

import asyncio
import contextlib
import random
import time
import typing

from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import joining
from standins import edgeserver, rooms

ENDPOINTS = 4
SLOTS = 8
QUEUE = 16
RUN_S = 0.32
# Of requests that run for between half and twice that.
MEAN_RUN_S = 1.25 * RUN_S
# How many rejections a second brittle endpoints bear.
REJECTIONS = 2
DOWN_S = 3.0
DEADLINE_S = 2.0
OK = 200
NO_ANSWER = 0


class Answer(typing.NamedTuple):
    """What a caller got of an entry, ``took_s`` after it had sent its request."""

    entry: str
    sent_at: float
    took_s: float
    status: int
    has_retry_after: bool


class World(joining.ChangingWorld):
    """Entries, endpoints of one service, and callers that send ``rate`` a second."""

    def __init__(self, *, is_brittle: bool, slots: int = SLOTS):
        super().__init__(2, 3)
        self._route = {"MaxAttempts": 3}
        self._configuration = {}
        self.is_brittle = is_brittle
        self.slots = slots
        self.rate = 0.0
        # The entries that callers ask.
        self.asked = self.entries
        self.answers: list[Answer] = []
        self.fallen_at: list[float] = []
        self.rooms: list[rooms.Room] = []
        self.servers: dict[str, edgeserver.EdgeServer] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def capacity_per_s(self):
        """The requests that the endpoints run in a second."""
        return ENDPOINTS * self.slots / MEAN_RUN_S

    def rejections_since(self, at):
        """Return how many requests endpoints have turned away."""
        return sum(
            rejected_at >= at for room in self.rooms for rejected_at in room.rejected_at
        )

    def arrived(self, server, request):
        """Nothing is recorded."""

    ran = ended = arrived

    async def start(self):
        await super().start()
        for number in range(ENDPOINTS):
            await self._start_server(f"app-{number}")
        self.store.drop(delivery.ENDPOINTS_TOPIC, "s-0")
        await self.wait_until(
            lambda: all(
                entry.endpoint_names == set(self.servers) for entry in self.entries
            ),
            5.0,
        )
        self._start_task(self._send())

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self.servers.values():
            await server.stop()
        await super().stop()

    def make_brittle(self):
        """Let all endpoints say that they are brittle."""
        if self.is_brittle:
            self.announce(REJECTIONS)

    def announce(self, rejections):
        """Let all endpoints say how many rejections they bear, nothing if None."""
        for server in self.servers.values():
            server.room.rejections = rejections

    def knowing(self):
        """Return the names of the entries that know that all endpoints are brittle."""
        return {
            entry.name
            for entry in self.entries
            if entry.gateway is not None
            and all(
                entry.gateway._occupancy.brittle.announcements.find(endpoint)
                for endpoint in entry.gateway._directory.ready("app")
            )
        }

    def unaware(self):
        """Return the names of the entries that know of no brittle endpoint."""
        return {
            entry.name
            for entry in self.entries
            if not any(
                entry.gateway._occupancy.brittle.is_brittle(endpoint)
                for endpoint in entry.gateway._directory.ready("app")
            )
        }

    async def restart(self, entry, down_s):
        """End an entry without draining, and start it again later."""
        entry.gateway._is_leaving = True
        await self.end_entry(entry)
        await asyncio.sleep(down_s)
        await self.start_entry(entry)

    def answers_since(self, at):
        return [answer for answer in self.answers if answer.sent_at >= at]

    async def _start_server(self, name):
        server = edgeserver.EdgeServer(
            self.store,
            self,
            name=name,
            service="app",
            data_centre=f"dc-{len(self.servers) % 2}",
            rng=random.Random(name),
        )
        server.run_s = RUN_S
        server.room = rooms.Room(self.slots, QUEUE)
        self.rooms.append(server.room)
        server.record_fields = {"Slots": self.slots}
        server.on_crash = self._record_fall
        before = self.servers.get(name)
        if before is not None:
            server.room.rejections = before.room.rejections
        await server.start()
        server.register(server.port)
        self.servers[name] = server

    def _record_fall(self, server, request):
        self.fallen_at.append(time.monotonic())
        self._start_task(self._bring_back(server))

    async def _bring_back(self, server):
        await server.stop(lapses=True)
        await asyncio.sleep(DOWN_S)
        await self._start_server(server.name)

    def _start_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self):
        number = 0
        due = time.monotonic()
        while True:
            if self.rate:
                self._start_task(self._call(number))
                number += 1
            due = max(due + 1 / (self.rate or 100.0), time.monotonic() - 0.1)
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _connect(self, number):
        for turn in range(len(self.asked)):
            entry = self.asked[(number + turn) % len(self.asked)]
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", entry.ports["Frontend"]
                )
                return entry.name, reader, writer
        raise ConnectionError("no entry accepts connections")

    async def _call(self, number):
        entry, reader, writer = await self._connect(number)
        sent_at = time.monotonic()
        lines = ["GET /a/x HTTP/1.1", "Host: x.example", f"Attempt-Id: r-{number}"]
        lines += [f"Deadline-Ms: {int(1000 * DEADLINE_S)}", "Connection: close"]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except (OSError, asyncio.IncompleteReadError):
            head = f"HTTP/1.1 {NO_ANSWER}\r\n"
        self.answers.append(
            Answer(
                entry,
                sent_at,
                time.monotonic() - sent_at,
                int(head.split()[1]),
                "\r\nretry-after:" in head,
            )
        )
        writer.close()
