"""
Measures an entry's control overhead and its growth with entries and endpoints.

For each number of entries and endpoints a cluster of processes first idles and
then runs under churn: patches, killed and restarted entries and hints, all many
times as frequent as at the stated size. Processor time and memory come from the
operating system, bytes and messages from the entries' own counters. A
least-squares fit gives the slopes and the value at the stated size.
"""

import asyncio
import os
import pathlib
import random
import re
import time
import typing

from acaciaward import errors, httpclient
from acaciaward.entry import peerservices
from acaciaward.membership import hints, interfaces, transport
from bench import cluster, options as bench_options, processes, regression
from standins import ports

ENTRIES = (3, 9, 27)
ENDPOINTS = (8, 200)
SETTLE_S = 8.0
WINDOW_S = 15.0
QUICK_WINDOW_S = 6.0
PATCH_INTERVAL_S = 2.0
KILL_INTERVAL_S = 5.0
RECOVERY_S = 5.0
SPREAD_ROUNDS = 3
HINT_TIMEOUT_S = 20.0
HINT_POLL_S = 0.05
# The size that the requirements state.
STATED_ENTRIES = 350
STATED_ENDPOINTS = 770
TARGETS = {"cpu_share": 0.043, "memory_mb": 128.0, "bytes_per_s": 20_000.0}
SPREAD_TARGET_S = 19.0
COUNTER_PATTERN = re.compile(
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
    """Cumulative usage of one process, and its current memory."""

    cpu_s: float
    memory_mb: float
    peer_bytes: float
    peer_messages: float
    platform_bytes: float


class ControlMeasurement:
    """Measures one cluster."""

    def __init__(self, running_cluster: cluster.Cluster, window_s: float, seed: int):
        self._cluster = running_cluster
        self._window_s = window_s
        self._rng = random.Random(seed)
        self._client = httpclient.HttpClient()
        self._observer = transport.PeerTransport(
            processes.ADDRESS, ports.find_free_port(), peerservices.MESSAGE_TYPES
        )
        self.patch_durations_s: list[float] = []
        self.hint_spread_durations_s: list[float] = []

    async def close(self) -> None:
        """Close the client and the observer."""
        await self._client.close()
        await self._observer.stop()

    async def measure(self) -> dict[str, typing.Any]:
        """Return a cluster's usage when idle and under churn, and the spread times."""
        await asyncio.sleep(SETTLE_S)
        idle = await self._window(())
        churn = await self._window((self._patch_repeatedly, self._kill_entries))
        await asyncio.sleep(RECOVERY_S)
        for number in range(SPREAD_ROUNDS):
            self.hint_spread_durations_s.append(await self._spread_hint(number))
            self.patch_durations_s.append(await self._patch_once())
        return {
            "idle": idle,
            "churn": churn,
            "patch_max_s": round(max(self.patch_durations_s), 3),
            "hint_max_s": round(max(self.hint_spread_durations_s), 3),
        }

    async def _window(self, disturbances: tuple) -> dict[str, float]:
        log_before = await self._cluster.stats("log")
        before = await self._read_usages()
        began = time.monotonic()
        tasks = [asyncio.create_task(disturb()) for disturb in disturbances]
        await asyncio.sleep(self._window_s)
        took_s = time.monotonic() - began
        after = await self._read_usages()
        log_after = await self._cluster.stats("log")
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        rates = _rates(before, after, took_s)
        for name in ("reads", "appends"):
            rates[f"log_{name}_per_s"] = (log_after[name] - log_before[name]) / took_s
        return {name: round(value, 5) for name, value in rates.items()}

    async def _read_usages(self) -> dict[tuple[str, int], Usage]:
        names = [
            name
            for name in self._cluster.entries
            if self._cluster.processes.is_running(name)
        ]
        usages = {}
        for name in names:
            process_id = self._cluster.processes.process_id(name)
            try:
                usages[name, process_id] = await self._read_usage(name, process_id)
            except (httpclient.HttpError, OSError):
                continue
        return usages

    async def _read_usage(self, name: str, process_id: int) -> Usage:
        address = (processes.ADDRESS, self._cluster.port(name))
        headers = {"authorization": f"Bearer {self._cluster.operator_key}"}
        async with self._client.send(
            "GET", *address, "/metrics", headers=headers
        ) as response:
            text = (await response.read()).decode()
        if response.status != 200:
            raise errors.AcaciawardError(
                f"no counters of {name}: {response.status} {text}"
            )
        counters: dict[str, float] = {}
        for counter, _, value in COUNTER_PATTERN.findall(text):
            counters[counter] = counters.get(counter, 0.0) + float(value)
        return Usage(
            _cpu_s(process_id),
            _memory_mb(process_id),
            counters.get("acaciaward_peer_bytes_total", 0.0),
            counters.get("acaciaward_peer_messages_total", 0.0),
            counters.get("acaciaward_platform_bytes_total", 0.0),
        )

    async def _patch_repeatedly(self) -> None:
        while True:
            await self._patch_once()
            await asyncio.sleep(PATCH_INTERVAL_S)

    async def _patch_once(self) -> float:
        began = time.monotonic()
        value = 60.0 + self._rng.randrange(10**6)
        outcome = await self._cluster.patch({"quarantine_s": value}, wait=False)
        if outcome.get("status") != "accepted":
            raise errors.AcaciawardError(f"the patch was not accepted: {outcome}")
        return time.monotonic() - began

    async def _kill_entries(self) -> None:
        while True:
            # The first entry is spared: patches are submitted to it.
            name = self._rng.choice(self._cluster.entries[1:])
            await self._cluster.processes.kill(name)
            await self._cluster.start_entry(name)
            await asyncio.sleep(KILL_INTERVAL_S)

    async def _spread_hint(self, number: int) -> float:
        """Send one entry a hint; return the seconds until every entry has it."""
        subject = f"endpoint-{number}"
        hint_table = hints.HintTable("observer")
        kind = interfaces.HintKind.ENDPOINT_LEAVING
        hint_table.publish(kind, subject, {}, lifetime_s=60.0)
        update = {
            "sender": "observer",
            "peers": [],
            "hints": hint_table.non_bulk_fields(),
        }
        peer_addresses = [
            transport.PeerAddress(
                processes.ADDRESS, self._cluster.port(f"{name}-peers")
            )
            for name in self._cluster.entries
        ]
        began = time.monotonic()
        await self._observer.request(peer_addresses[0], "probe", update, timeout_s=2.0)
        async with asyncio.timeout(HINT_TIMEOUT_S):
            await asyncio.gather(
                *(
                    self._wait_for_hint(peer_address, subject)
                    for peer_address in peer_addresses
                )
            )
        return time.monotonic() - began

    async def _wait_for_hint(
        self, peer_address: transport.PeerAddress, subject: str
    ) -> None:
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
                    peer_address, "sync", body, timeout_s=2.0
                )
            except errors.PeerUnreachableError:
                continue
            if any(hint["subject"] == subject for hint in answer["hints"]):
                return
            await asyncio.sleep(HINT_POLL_S)


def _cpu_s(process_id: int) -> float:
    fields = (
        pathlib.Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    )
    return (int(fields[11]) + int(fields[12])) * TICK_S


def _memory_mb(process_id: int) -> float:
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"VmRSS:\s+(\d+)", status).group(1)) / 1024


def _rates(
    before: dict[tuple[str, int], Usage],
    after: dict[tuple[str, int], Usage],
    took_s: float,
) -> dict[str, float]:
    # Entries that were replaced during the window are left out.
    surviving = [process for process in before if process in after]
    count = len(surviving)

    def rate(field: str) -> float:
        grown = sum(
            getattr(after[process], field) - getattr(before[process], field)
            for process in surviving
        )
        return grown / count / took_s

    rates = {
        "cpu_share": rate("cpu_s"),
        "memory_mb": sum(after[process].memory_mb for process in surviving) / count,
        "peer_bytes_per_s": rate("peer_bytes"),
        "peer_messages_per_s": rate("peer_messages"),
        "platform_bytes_per_s": rate("platform_bytes"),
    }
    rates["bytes_per_s"] = rates["peer_bytes_per_s"] + rates["platform_bytes_per_s"]
    return rates


def _make_document(
    count: int, running_cluster: cluster.Cluster
) -> dict[str, typing.Any]:
    address, port = running_cluster.address("engine-1")
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
    running_cluster = cluster.Cluster(
        entry_count=entries,
        engine_count=1,
        service_count=1,
        settings={"peers": {"probe_interval_s": 0.5}},
    )
    window_s = QUICK_WINDOW_S if options.quick else WINDOW_S
    measurement = ControlMeasurement(running_cluster, window_s, options.seed)
    try:
        await running_cluster.start()
        await running_cluster.patch(_make_document(endpoints, running_cluster))
        _, port = running_cluster.address("engine-1")
        instances = [
            {"name": f"endpoint-{n}", "port": port, "data_centre": "dc-1"}
            for n in range(endpoints)
        ]
        await running_cluster.control(
            "cloud", "/control/instances", {"instances": instances}
        )
        measured = await measurement.measure()
    finally:
        await measurement.close()
        await running_cluster.stop()
    return {"entries": entries, "endpoints": endpoints, **measured}


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
    summary: dict[str, typing.Any] = {
        name: [float(f"{value:.4g}"), float(f"{error:.2g}")]
        for name, value, error in zip(names, fit.coefficients, fit.errors, strict=True)
    }
    summary["at_stated_size"] = [float(f"{part:.4g}") for part in at_size]
    if measure in TARGETS:
        summary["target"] = TARGETS[measure]
    return summary


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
