"""
Runs entries with stand-ins of the servers of one service, and callers of every entry.

Request ``number`` goes to the entry ``number`` modulo their count.
"""

import asyncio
import collections
import random
import time
import typing

from acaciaward.catalogue.features import delivery
from standins import edgeserver

OK = 200
UNAVAILABLE = 503
# Recorded for a connection that ended without an answer.
NO_ANSWER = 0


class Answer(typing.NamedTuple):
    """What a caller got, ``took_s`` after it had sent its request."""

    sent_at: float
    took_s: float
    status: int
    retry_after_s: float | None


class Request(typing.NamedTuple):
    """A request at a server, when its caller sent it, and the entry's number."""

    at: float
    sent_at: float
    entry: int


class Announcement(typing.NamedTuple):
    """The headers of an answer that tell of its server, and when it was written."""

    at: float
    headers: dict[str, str]


class Traffic:
    """Servers of one service, and callers of every entry."""

    def __init__(self, world: delivery.World):
        self._world = world
        self._task = self._loop = None
        self._calls = set()
        self.servers = {}
        self.arrivals = {}
        # The same arrivals with the entry that sent them and the caller's send time.
        self.requests = collections.defaultdict(list)
        self.answers = []
        # What answers told of their servers, by server and entry.
        self.announced = collections.defaultdict(list)
        self._sent_at = {}

    def entry_of(self, request):
        """Return the number of the entry that a caller has sent a request to."""
        number = int(request.headers["attempt-id"].removeprefix("r-"))
        return number % len(self._world.entries)

    def arrived(self, server, request):
        self.arrivals[server.name].append(time.monotonic())
        sent_at = self._sent_at[request.headers["attempt-id"]]
        self.requests[server.name].append(
            Request(time.monotonic(), sent_at, self.entry_of(request))
        )

    def answered(self, server, request, headers):
        self.announced[server.name, self.entry_of(request)].append(
            Announcement(time.monotonic(), headers)
        )

    def ran(self, server, request):
        pass

    def ended(self, server, request):
        pass

    async def start(self, names, rate):
        await self._world.start()
        for number, name in enumerate(names):
            server = edgeserver.EdgeServer(
                self._world.store,
                self,
                name=name,
                service="app",
                data_centre=f"dc-{number % 2}",
                rng=random.Random(number),
            )
            server.on_answer = self.answered
            self.servers[name] = server
            self.arrivals[name] = []
            await server.start()
            server.register(server.port)
        self._world.store.drop(delivery.ENDPOINTS_TOPIC, "s-0")
        await self._world.wait_until(
            lambda: all(
                entry.endpoint_names == set(names) for entry in self._world.entries
            ),
            5.0,
        )
        self._loop = asyncio.get_running_loop()
        self._task = asyncio.create_task(self._send(rate))

    def start_task(self, coroutine):
        """Run a coroutine, as long as the traffic lasts."""
        task = self._loop.create_task(coroutine)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def stop(self):
        for task in [self._task, *self._calls]:
            task.cancel()
        await asyncio.gather(self._task, *self._calls, return_exceptions=True)
        for server in self.servers.values():
            await server.stop()

    async def _send(self, rate):
        number = 0
        while True:
            entry = self._world.entries[number % len(self._world.entries)]
            call = asyncio.create_task(self._call(entry, number))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            number += 1
            await asyncio.sleep(1 / rate)

    async def _call(self, entry, number):
        sent_at = self._sent_at[f"r-{number}"] = time.monotonic()
        port = entry.ports["Frontend"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        lines = ["GET /a/x HTTP/1.1", "Host: x.example", f"Attempt-Id: r-{number}"]
        lines += ["Deadline-Ms: 1000", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode())
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (OSError, asyncio.IncompleteReadError):
            head = f"HTTP/1.1 {NO_ANSWER}\r\n\r\n"
        headers = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        retry_after = headers.get("retry-after")
        self.answers.append(
            Answer(
                sent_at,
                time.monotonic() - sent_at,
                int(head.split()[1]),
                None if retry_after is None else float(retry_after),
            )
        )
        writer.close()

    def answers_since(self, at):
        return [answer for answer in self.answers if answer.sent_at >= at]
