"""
The only server of a service leaves silently, shortly after an outage of the store.

The store gives no answers for a while and is back. When it has been stable for
``ContactMs``, the server's entry is removed, and the server serves on for a while. The
operator has a new server ready some seconds later.
"""

import asyncio
import collections
import itertools
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit_2  # noqa: E402

from standins import edgestore, edgewire  # noqa: E402

ENTRIES = 3
ROUNDS = 5
OUTAGE_S = 2.5
# The store is stable, and machines are in touch, from then on after an outage.
CONTACT_S = kit_2.BOUNDS["ContactMs"] / 1000
DRAIN_S = kit_2.BOUNDS["DrainMs"] / 1000
# The entry is removed so long after that.
AFTER_CONTACT_S = 0.02
# The server goes on for so long after its entry is gone.
SERVES_ON_S = 6.0
REQUEST_PAUSE_S = 0.05
DEADLINE_S = 1.0


class Store(edgestore.EdgeStore):
    """The project's stand-in, which also tells when a call came in an outage."""

    def __init__(self, rng: random.Random):
        super().__init__(rng)
        self.unanswered = asyncio.Event()

    async def _handle(
        self, request: edgewire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        if self.mode == "silent" and "keyed.servers" in request.target:
            self.unanswered.set()
        return await super()._handle(request, writer)


class Case:
    """One run."""

    def __init__(self, deployment: kit_2.Deployment, record: kit_2.Record):
        self._deployment = deployment
        self._record = record
        self._numbers = itertools.count(1)
        self._is_ending = False
        # When the entries of servers were removed.
        self.removed_at: dict[str, float] = {}
        # When clients have sent their requests.
        self._sent_at: dict[str, float] = {}
        self.late: list[float] = []
        self.answers: collections.Counter[str] = collections.Counter()

    async def add_server(self) -> kit_2.Server:
        """Start a server."""
        server = await self._deployment.add_server("desk")
        server.on_arrival = lambda request: self._record_arrival(server, request)
        self._record.write("server", name=server.name)
        return server

    def _record_arrival(self, server: kit_2.Server, request: kit_2.Request) -> None:
        name = request.headers["attempt-id"]
        removed_at = self.removed_at.get(server.name)
        after_s = None if removed_at is None else time.monotonic() - removed_at
        self._record.write(
            "at server",
            attempt=name,
            server=server.name,
            after_removal=None if after_s is None else round(after_s, 3),
        )
        if after_s is not None and after_s > DRAIN_S:
            self.late.append(after_s)

    async def run(self) -> None:
        """Let servers leave in turn while clients send."""
        clients = [
            asyncio.create_task(self._send(entry)) for entry in self._deployment.entries
        ]
        await asyncio.sleep(CONTACT_S)
        server = await self.add_server()
        await asyncio.sleep(CONTACT_S)
        for _ in range(ROUNDS):
            if kit_2.has_trouble():
                await self._bring_outage()
            await asyncio.sleep(CONTACT_S + AFTER_CONTACT_S)
            server.leave_silently()
            self.removed_at[server.name] = time.monotonic()
            self._record.write("entry removed", server=server.name)
            await asyncio.sleep(SERVES_ON_S)
            await server.stop()
            server = await self.add_server()
            await asyncio.sleep(CONTACT_S)
        self._is_ending = True
        await asyncio.gather(*clients)

    async def _bring_outage(self) -> None:
        """Let the store give no answers, and return while a call waits for one."""
        store = self._deployment.store
        store.mode = "silent"
        self._record.write("store silent")
        await asyncio.sleep(OUTAGE_S)
        store.unanswered.clear()
        await store.unanswered.wait()
        store.mode = "pass"
        self._record.write("store back")

    async def _send(self, entry: kit_2.Entry) -> None:
        while not self._is_ending:
            await asyncio.sleep(REQUEST_PAUSE_S)
            name = f"{next(self._numbers):016x}"
            self._record.write("sent", attempt=name, entry=entry.name)
            result = await kit_2.send(entry, f"/u/{name}", name, DEADLINE_S)
            self.answers[result] += 1
            self._record.write("answered", attempt=name, result=result)


async def main() -> int:
    """Run the case and return its result."""
    record = kit_2.Record(FOLDER)
    async with kit_2.Deployment(ENTRIES, store=Store(random.Random(1))) as deployment:
        deployment.configure([kit_2.route("u", "non_idempotent", "desk")])
        await deployment.start()
        case = Case(deployment, record)
        await case.run()
    record.close()
    kit_2.report(
        broken=bool(case.late),
        requests_after_drain_time=len(case.late),
        latest_s=round(max(case.late, default=0.0), 2),
        answers=case.answers,
    )
    return kit_2.BROKEN if case.late else kit_2.HELD


kit_2.run(main)
