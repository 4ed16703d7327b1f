"""
Sends a request that crashes every engine which runs it, several times.

Counts the engines that it kills, other organisations' requests that don't
complete, and requests that are quarantined without cause. Between two series of
the poison request every entry is killed and restarted. Afterwards an announced
reclaim and the loss of a whole data centre must quarantine nothing.
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
POISON_REQUESTS = 6
QUICK_POISON_REQUESTS = 3
STREAMS_AT_ONCE = 24
STREAM_TOKENS = 80
STEP_S = 0.01
DEADLINE_S = 25.0
POISON_DEADLINE_S = 10.0
NOTICE_S = 1.0
NAIVE_ENTRIES = 3

Address = tuple[str, int]


class OtherRequests:
    """Harmless requests of another organisation that run beside the poison."""

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
        sender = self._make_caller()
        try:
            answer = await sender.complete(
                cluster.MODEL, prompt, max_tokens=STREAM_TOKENS, deadline_s=DEADLINE_S
            )
        except caller.CallerError as error:
            self.failures.append(f"{error.status}: {error}")
            return
        finally:
            await sender.close()
        is_complete = answer.count == STREAM_TOKENS
        self.complete += is_complete
        if not is_complete:
            self.failures.append(f"{answer.count} tokens")


def make_cluster(entry_count: int) -> cluster.Cluster:
    """Return a cluster whose engines crash on the poison request."""
    return cluster.Cluster(
        entry_count=entry_count,
        engine_count=ENGINES,
        service_count=0,
        faults={"engine": {"poison": POISON, "step_s": STEP_S}},
    )


async def send_poison(
    addresses: list[Address], key: str, prompt: str, count: int
) -> list[int]:
    """Send the poison request through each entry in turn; return the statuses."""
    statuses = []
    for number in range(count):
        address = addresses[number % len(addresses)]
        sender = caller.Caller([address], key=key, max_tries=1)
        sender.pin([address])
        try:
            await sender.complete(
                cluster.MODEL, prompt, max_tokens=8, deadline_s=POISON_DEADLINE_S
            )
            statuses.append(200)
        except caller.CallerError as error:
            statuses.append(error.status)
        finally:
            await sender.close()
    return statuses


def dead_engines(running_cluster: cluster.Cluster) -> list[str]:
    """Return the engines that don't run."""
    return [
        name
        for name in running_cluster.engines
        if not running_cluster.processes.is_running(name)
    ]


async def replace_entries(running_cluster: cluster.Cluster) -> None:
    """Kill every entry and restart it, without its in-memory state."""
    await asyncio.gather(
        *(running_cluster.processes.kill(name) for name in running_cluster.entries)
    )
    await asyncio.gather(
        *(running_cluster.start_entry(name) for name in running_cluster.entries)
    )


async def quarantined_subjects(running_cluster: cluster.Cluster) -> set[str]:
    """Return all subjects that any entry lists as quarantined."""
    subjects = set()
    for entry in running_cluster.entry_addresses:
        listing = await running_cluster.administer(entry, "GET", "/v1/admin/quarantine")
        subjects |= {quarantined["subject"] for quarantined in listing["quarantined"]}
    return subjects


async def lose_engines(running_cluster: cluster.Cluster, others: OtherRequests) -> None:
    """Reclaim one engine with notice, then lose a data centre's engines at once."""
    for name in dead_engines(running_cluster):
        await running_cluster.start_endpoint(name)
    batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
    await asyncio.sleep(NOTICE_S / 4)
    await running_cluster.reclaim([running_cluster.engines[0]], NOTICE_S)
    await batch
    batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
    await asyncio.sleep(NOTICE_S / 4)
    lost_engines = [
        name
        for name in running_cluster.engines
        if running_cluster.data_centre(name) == "dc-2"
    ]
    await asyncio.gather(
        *(running_cluster.processes.kill(name) for name in lost_engines)
    )
    await batch


async def run_system(seed: int, poison_count: int) -> dict[str, typing.Any]:
    """Run the experiment against the system."""
    rng = random.Random(seed)
    prompt = f"{POISON} {rng.getrandbits(32)}"
    running_cluster = make_cluster(ENTRIES)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(running_cluster.stop)
        await running_cluster.start()
        others = OtherRequests(lambda: running_cluster.caller("org-2"))
        batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
        await asyncio.sleep(rng.uniform(0.1, 0.4))
        key = running_cluster.keys["org-1"]
        statuses = await send_poison(
            running_cluster.entry_addresses, key, prompt, poison_count
        )
        await batch
        await replace_entries(running_cluster)
        batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
        statuses += await send_poison(
            running_cluster.entry_addresses, key, prompt, poison_count
        )
        await batch
        killed = len(dead_engines(running_cluster))
        await lose_engines(running_cluster, others)
        subjects = await quarantined_subjects(running_cluster)
    return {
        "endpoints_killed": killed,
        "others_incomplete": len(others.failures),
        "quarantined_wrongly": sum(
            not subject.startswith("org-1/") for subject in subjects
        ),
        "quarantined": len(subjects),
        "others_complete": others.complete,
        "poison_statuses": statuses,
        "failures": others.failures[:5],
    }


async def run_naive(seed: int, poison_count: int) -> dict[str, typing.Any]:
    """Send the same poison request through naive entries (``baseline``)."""
    rng = random.Random(seed)
    prompt = f"{POISON} {rng.getrandbits(32)}"
    running_cluster = make_cluster(1)
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(running_cluster.stop)
        await running_cluster.start()
        named_addresses = [
            (name, *running_cluster.address(name)) for name in running_cluster.engines
        ]
        endpoints = ",".join(
            f"{name}={host}:{port}" for name, host, port in named_addresses
        )
        naive_ports = [ports.find_free_port() for _ in range(NAIVE_ENTRIES)]
        for number, port in enumerate(naive_ports):
            arguments = ["-m", "baseline", "--port", str(port)]
            arguments += ["--endpoints", endpoints]
            await running_cluster.processes.start(f"naive-{number}", arguments, port)
        addresses = [(processes.ADDRESS, port) for port in naive_ports]

        def make_caller() -> caller.Caller:
            order = rng.sample(addresses, len(addresses))
            new_caller = caller.Caller(order, key="none")
            new_caller.pin(order)
            return new_caller

        others = OtherRequests(make_caller)
        batch = asyncio.create_task(others.run_batch(STREAMS_AT_ONCE))
        await asyncio.sleep(rng.uniform(0.1, 0.4))
        await send_poison(addresses, "none", prompt, poison_count)
        await batch
        return {
            "endpoints_killed": len(dead_engines(running_cluster)),
            "others_incomplete": len(others.failures),
        }


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Run the experiment."""
    poison_count = QUICK_POISON_REQUESTS if options.quick else POISON_REQUESTS
    result = await run_system(options.seed, poison_count)
    result["naive"] = await run_naive(options.seed, poison_count)
    return result
