"""
A request that crashes each engine which runs it, sent again and again.

Counted are the engines that it kills, the requests of others that don't
complete, and the requests that are quarantined without cause. Between its
sendings every entry is replaced. Afterwards an announced reclaim and the loss
of a whole data centre must put nobody in quarantine.
"""

import asyncio
import contextlib
import random
import typing

from acaciaward.client import caller
from bench import cluster, options as bench_options, processes
from standins import ports

ENTRIES = 3
ENGINES = 6
POISON = "a piece that is cursed"
SENDINGS = 6
QUICK_SENDINGS = 3
STREAMS_AT_ONCE = 24
STREAM_TOKENS = 80
STEP_S = 0.01
DEADLINE_S = 25.0
POISON_DEADLINE_S = 10.0
NOTICE_S = 1.0
NAIVE_ENTRIES = 3

Address = tuple[str, int]


class Others:
    """Requests of another organisation that run all the time."""

    def __init__(self, make_caller: typing.Callable[[], caller.Caller]):
        self._make_caller = make_caller
        self._sent = 0
        self.failures: list[str] = []
        self.complete = 0

    async def run_batch(self, count: int) -> None:
        """Run many streams at once and count those that don't complete."""
        await asyncio.gather(*(self._run_one() for _ in range(count)))

    async def _run_one(self) -> None:
        self._sent += 1
        prompt = f"a harmless request with number {self._sent}"
        one = self._make_caller()
        try:
            answer = await one.complete(
                cluster.MODEL, prompt, max_tokens=STREAM_TOKENS, deadline_s=DEADLINE_S
            )
        except caller.CallerError as error:
            self.failures.append(f"{error.status}: {error}")
            return
        finally:
            await one.close()
        is_whole = answer.count == STREAM_TOKENS
        self.complete += is_whole
        if not is_whole:
            self.failures.append(f"{answer.count} tokens")


def make_cluster(entry_count: int) -> cluster.Cluster:
    """Return a cluster whose engines die of the poison."""
    return cluster.Cluster(
        entry_count=entry_count,
        engine_count=ENGINES,
        service_count=0,
        faults={"engine": {"poison": POISON, "step_s": STEP_S}},
    )


async def send_poison(
    addresses: list[Address], key: str, prompt: str, count: int
) -> list[int]:
    """Send the poison through entry after entry; return the statuses."""
    statuses = []
    for number in range(count):
        address = addresses[number % len(addresses)]
        one = caller.Caller([address], key=key, max_tries=1)
        one.pin([address])
        try:
            await one.complete(
                cluster.MODEL, prompt, max_tokens=8, deadline_s=POISON_DEADLINE_S
            )
            statuses.append(200)
        except caller.CallerError as error:
            statuses.append(error.status)
        finally:
            await one.close()
    return statuses


def dead_engines(running: cluster.Cluster) -> list[str]:
    """Return the engines that don't run."""
    return [name for name in running.engines if not running.processes.is_running(name)]


async def replace_entries(running: cluster.Cluster) -> None:
    """Kill every entry and start it anew, with nothing remembered."""
    await asyncio.gather(*(running.processes.kill(name) for name in running.entries))
    await asyncio.gather(*(running.start_entry(name) for name in running.entries))


async def quarantined_subjects(running: cluster.Cluster) -> set[str]:
    """Return all subjects that any entry lists as quarantined."""
    subjects = set()
    for entry in running.entry_addresses:
        listing = await running.administer(entry, "GET", "/v1/admin/quarantine")
        subjects |= {one["subject"] for one in listing["quarantined"]}
    return subjects


async def lose_engines(running: cluster.Cluster, others: Others) -> None:
    """Reclaim one engine as announced, then lose a whole data centre at once."""
    for name in dead_engines(running):
        await running.start_endpoint(name)
    batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
    await asyncio.sleep(NOTICE_S / 4)
    await running.reclaim([running.engines[0]], NOTICE_S)
    await batch
    batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
    await asyncio.sleep(NOTICE_S / 4)
    lost = [name for name in running.engines if running.data_centre(name) == "dc-2"]
    await asyncio.gather(*(running.processes.kill(name) for name in lost))
    await batch


async def run_system(seed: int, sendings: int) -> dict[str, typing.Any]:
    """Run the experiment against the system."""
    chooser = random.Random(seed)
    prompt = f"{POISON} {chooser.getrandbits(32)}"
    running = make_cluster(ENTRIES)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(running.stop)
        await running.start()
        others = Others(lambda: running.caller("org-2"))
        batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
        await asyncio.sleep(chooser.uniform(0.1, 0.4))
        key = running.keys["org-1"]
        statuses = await send_poison(running.entry_addresses, key, prompt, sendings)
        await batch
        await replace_entries(running)
        batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
        statuses += await send_poison(running.entry_addresses, key, prompt, sendings)
        await batch
        killed = len(dead_engines(running))
        await lose_engines(running, others)
        subjects = await quarantined_subjects(running)
    return {
        "endpoints_killed": killed,
        "others_incomplete": len(others.failures),
        "quarantined_wrongly": sum(not one.startswith("org-1/") for one in subjects),
        "quarantined": len(subjects),
        "others_complete": others.complete,
        "poison_statuses": statuses,
        "failures": others.failures[:5],
    }


async def run_naive(seed: int, sendings: int) -> dict[str, typing.Any]:
    """Send the same poison through naive entries."""
    chooser = random.Random(seed)
    prompt = f"{POISON} {chooser.getrandbits(32)}"
    running = make_cluster(1)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(running.stop)
        await running.start()
        places = [(name, *running.address(name)) for name in running.engines]
        endpoints = ",".join(f"{name}={place}:{port}" for name, place, port in places)
        free = [ports.find_free_port() for _ in range(NAIVE_ENTRIES)]
        for number, port in enumerate(free):
            arguments = ["-m", "baseline", "--port", str(port)]
            arguments += ["--endpoints", endpoints]
            await running.processes.start(f"naive-{number}", arguments, port)
        addresses = [(processes.ADDRESS, port) for port in free]

        def make_caller() -> caller.Caller:
            order = chooser.sample(addresses, len(addresses))
            made = caller.Caller(order, key="none")
            made.pin(order)
            return made

        others = Others(make_caller)
        batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
        await asyncio.sleep(chooser.uniform(0.1, 0.4))
        await send_poison(addresses, "none", prompt, sendings)
        await batch
        return {
            "endpoints_killed": len(dead_engines(running)),
            "others_incomplete": len(others.failures),
        }


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Run the experiment."""
    sendings = QUICK_SENDINGS if options.quick else SENDINGS
    result = await run_system(options.seed, sendings)
    result["naive"] = await run_naive(options.seed, sendings)
    return result
