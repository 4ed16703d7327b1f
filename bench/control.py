"""
What an entry spends on control, and how it grows with entries and endpoints.

For each number of entries and endpoints a cluster of processes stands idle for a
while, and then under churn: patches, killed and restarted entries and hints, all
many times as often as the stated size would have them. Processor time and memory
are the operating system's, bytes and messages the entries' own counters. Least
squares give the slopes and the value at the stated size.
"""

import asyncio
import os
import pathlib
import random
import re
import time
import typing

from acaciaward import errors, httpclient
from acaciaward.entry import peerside
from acaciaward.membership import hints, interfaces, transport
from bench import cluster, options as bench_options, processes, regression
from standins import ports

ENTRIES = (3, 9, 27)
ENDPOINTS = (8, 200)
SETTLE_S = 8.0
WINDOW_S = 15.0
QUICK_WINDOW_S = 6.0
PATCH_EVERY_S = 2.0
KILL_EVERY_S = 5.0
CALM_S = 5.0
SPREAD_ROUNDS = 3
HINT_TIMEOUT_S = 20.0
HINT_POLL_S = 0.05
STATED_ENTRIES = 350
STATED_ENDPOINTS = 770
TARGETS = {"cpu_share": 0.043, "memory_mb": 128.0, "bytes_per_s": 20_000.0}
SPREAD_TARGET_S = 19.0
COUNTED = re.compile(
    r"^(acaciaward_(?:peer|platform)_(?:bytes|messages|calls)_total)(?:{(.*)})? (\S+)$",
    re.MULTILINE,
)
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
MEASURES = (
    "cpu_share",
    "memory_mb",
    "peer_bytes_per_s",
    "peer_messages_per_s",
    "platform_bytes_per_s",
    "bytes_per_s",
)


class Usage(typing.NamedTuple):
    """What one process has used up to a moment."""

    cpu_s: float
    memory_mb: float
    peer_bytes: float
    peer_messages: float
    platform_bytes: float


class Control:
    """Measures one cluster."""

    def __init__(self, running: cluster.Cluster, window_s: float, seed: int):
        self._cluster = running
        self._window_s = window_s
        self._random = random.Random(seed)
        self._client = httpclient.HttpClient()
        self._observer = transport.PeerTransport(
            processes.ADDRESS, ports.find_free_port(), peerside.MESSAGE_KINDS
        )
        self.patch_s: list[float] = []
        self.hint_s: list[float] = []

    async def close(self) -> None:
        """Close what was opened."""
        await self._client.close()
        await self._observer.stop()

    async def measure(self) -> dict[str, typing.Any]:
        """Return the idle and the churning window of one cluster."""
        await asyncio.sleep(SETTLE_S)
        idle = await self._window(())
        churning = await self._window((self._patch, self._kill_entries))
        await asyncio.sleep(CALM_S)
        for number in range(SPREAD_ROUNDS):
            self.hint_s.append(await self._spread_hint(number))
            self.patch_s.append(await self._patch_once())
        return {
            "idle": idle,
            "churn": churning,
            "patch_max_s": round(max(self.patch_s), 3),
            "hint_max_s": round(max(self.hint_s), 3),
        }

    async def _window(self, disturbances: tuple) -> dict[str, float]:
        log_before = await self._cluster.stats("log")
        before = await self._usages()
        began = time.monotonic()
        tasks = [asyncio.create_task(disturb()) for disturb in disturbances]
        await asyncio.sleep(self._window_s)
        took_s = time.monotonic() - began
        after = await self._usages()
        log_after = await self._cluster.stats("log")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        found = _rates(before, after, took_s)
        for name in ("reads", "appends"):
            found[f"log_{name}_per_s"] = (log_after[name] - log_before[name]) / took_s
        return {name: round(value, 5) for name, value in found.items()}

    async def _usages(self) -> dict[tuple[str, int], Usage]:
        names = [
            name
            for name in self._cluster.entries
            if self._cluster.processes.is_running(name)
        ]
        found = {}
        for name in names:
            number = self._cluster.processes.process_id(name)
            try:
                found[name, number] = await self._usage(name, number)
            except (httpclient.HttpError, OSError):
                continue
        return found

    async def _usage(self, name: str, number: int) -> Usage:
        address = (processes.ADDRESS, self._cluster.port(name))
        async with self._client.send("GET", *address, "/metrics") as response:
            text = (await response.read()).decode()
        counted: dict[str, float] = {}
        for kind, _, value in COUNTED.findall(text):
            counted[kind] = counted.get(kind, 0.0) + float(value)
        return Usage(
            _cpu_s(number),
            _memory_mb(number),
            counted.get("acaciaward_peer_bytes_total", 0.0),
            counted.get("acaciaward_peer_messages_total", 0.0),
            counted.get("acaciaward_platform_bytes_total", 0.0),
        )

    async def _patch(self) -> None:
        while True:
            await self._patch_once()
            await asyncio.sleep(PATCH_EVERY_S)

    async def _patch_once(self) -> float:
        began = time.monotonic()
        value = 60.0 + self._random.randrange(10**6)
        outcome = await self._cluster.patch({"quarantine_s": value}, wait=False)
        if outcome.get("status") != "accepted":
            raise errors.AcaciawardError(f"the patch was not accepted: {outcome}")
        return time.monotonic() - began

    async def _kill_entries(self) -> None:
        while True:
            # The first entry takes the patches.
            name = self._random.choice(self._cluster.entries[1:])
            await self._cluster.processes.kill(name)
            await self._cluster.start_entry(name)
            await asyncio.sleep(KILL_EVERY_S)

    async def _spread_hint(self, number: int) -> float:
        """Give one entry a hint and return when the last one holds it."""
        subject = f"endpoint-{number}"
        board = hints.HintTable("observer")
        kind = interfaces.HintKind.ENDPOINT_LEAVING
        board.publish(kind, subject, {}, lifetime_s=60.0)
        news = {"sender": "observer", "peers": [], "hints": board.non_bulk_fields()}
        places = [
            transport.PeerAddress(
                processes.ADDRESS, self._cluster.port(f"{name}-peers")
            )
            for name in self._cluster.entries
        ]
        began = time.monotonic()
        await self._observer.request(places[0], "probe", news, timeout_s=2.0)
        async with asyncio.timeout(HINT_TIMEOUT_S):
            await asyncio.gather(*(self._wait_hint(one, subject) for one in places))
        return time.monotonic() - began

    async def _wait_hint(self, place: transport.PeerAddress, subject: str) -> None:
        body = {
            "sender": "observer",
            "own": {
                "name": "",
                "address": "",
                "port": 0,
                "peer_address": "",
                "peer_port": 0,
                "data_centre": "",
                "region": "",
                "incarnation": 0,
                "state": "joining",
                "configuration_version": 0,
                "public_key": None,
            },
            "peers_digest": 0,
            "hints_digest": -1,
        }
        while True:
            try:
                answer = await self._observer.request(
                    place, "sync", body, timeout_s=2.0
                )
            except errors.PeerUnreachableError:
                continue
            if any(hint["subject"] == subject for hint in answer["hints"]):
                return
            await asyncio.sleep(HINT_POLL_S)


def _cpu_s(number: int) -> float:
    fields = pathlib.Path(f"/proc/{number}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def _memory_mb(number: int) -> float:
    status = pathlib.Path(f"/proc/{number}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def _rates(
    before: dict[tuple[str, int], Usage],
    after: dict[tuple[str, int], Usage],
    took_s: float,
) -> dict[str, float]:
    # Entries that were replaced inside the window are left out.
    kept = [name for name in before if name in after]
    count = len(kept)

    def rate(field: str) -> float:
        grown = sum(
            getattr(after[name], field) - getattr(before[name], field) for name in kept
        )
        return grown / count / took_s

    found = {
        "cpu_share": rate("cpu_s"),
        "memory_mb": sum(after[name].memory_mb for name in kept) / count,
        "peer_bytes_per_s": rate("peer_bytes"),
        "peer_messages_per_s": rate("peer_messages"),
        "platform_bytes_per_s": rate("platform_bytes"),
    }
    found["bytes_per_s"] = found["peer_bytes_per_s"] + found["platform_bytes_per_s"]
    return found


def _document_of(count: int, running: cluster.Cluster) -> dict[str, typing.Any]:
    address, port = running.address("engine-1")
    endpoints = {
        f"endpoint-{number}": {
            "address": address,
            "port": port,
            "data_centre": cluster.DATA_CENTRES[number % 3],
        }
        for number in range(count)
    }
    deployment = {"kind": "model", "organisations": ["org-1"], "endpoints": endpoints}
    return {"deployments": {"many": deployment}}


async def _measure(
    entries: int, endpoints: int, options: bench_options.Options
) -> dict[str, typing.Any]:
    running = cluster.Cluster(
        entry_count=entries,
        engine_count=1,
        service_count=1,
        settings={"peers": {"probe_interval_s": 0.5}},
    )
    window_s = QUICK_WINDOW_S if options.quick else WINDOW_S
    control = Control(running, window_s, options.seed)
    try:
        await running.start()
        await running.patch(_document_of(endpoints, running))
        _, port = running.address("engine-1")
        listed = [
            {"name": f"endpoint-{n}", "port": port, "data_centre": "dc-1"}
            for n in range(endpoints)
        ]
        await running.control("cloud", "/control/instances", {"instances": listed})
        found = await control.measure()
    finally:
        await control.close()
        await running.stop()
    return {"entries": entries, "endpoints": endpoints, **found}


def _slopes(
    runs: list[dict[str, typing.Any]], window: str, measure: str
) -> dict[str, typing.Any]:
    rows = [(1.0, float(run["entries"]), float(run["endpoints"])) for run in runs]
    values = [run[window][measure] for run in runs]
    try:
        fit = regression.fit_line(rows, values)
    except ValueError as error:
        return {"unfitted": str(error)}
    at_size = fit.predict((1.0, float(STATED_ENTRIES), float(STATED_ENDPOINTS)))
    names = ("base", "per_entry", "per_endpoint")
    found: dict[str, typing.Any] = {
        name: [float(f"{value:.4g}"), float(f"{error:.2g}")]
        for name, value, error in zip(names, fit.coefficients, fit.errors, strict=True)
    }
    found["at_stated_size"] = [float(f"{part:.4g}") for part in at_size]
    if measure in TARGETS:
        found["target"] = TARGETS[measure]
    return found


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Measure every size and fit the slopes."""
    runs = []
    for endpoints in options.endpoints or ENDPOINTS:
        for entries in options.entries or ENTRIES:
            runs.append(await _measure(entries, endpoints, options))
    measures = (*MEASURES, "log_reads_per_s", "log_appends_per_s")
    return {
        "runs": runs,
        "slopes": {
            window: {measure: _slopes(runs, window, measure) for measure in measures}
            for window in ("idle", "churn")
        },
        "spread_target_s": SPREAD_TARGET_S,
    }
