"""
Races operators' patches through entries while log and entries fail.

Eight operators submit 500 patches to nine entry processes, whose log is behind a
fault proxy. Meanwhile entries freeze and are killed, and the log is unavailable
or slow, loses answers and applies appends late. Afterwards an independent replay
of the log tells which patches were accepted; every answer and the history of
every entry are compared with it. The naive version (``baseline.configuration``)
runs at the same time, on the same log and under its faults.
"""

import asyncio
import collections
import json
import random
import time
import typing
import uuid

from acaciaward import errors, httpclient
from acaciaward.platform import calls, log as platform_log
from baseline import configuration as naive_configuration
from bench import cluster, faults, options as bench_options, processes

ENTRIES = 9
OPERATORS = 8
PATCHES = 500
QUICK_PATCHES = 80
FAULT_INTERVAL_S = 2.0
FREEZE_DURATION_S = 7.0
LATE_APPEND_DELAY_S = 0.7
FAULT_DURATION_S = 1.5
POLL_S = 0.05
REQUEST_TIMEOUT_S = 15.0
CONVERGENCE_TIMEOUT_S = 60.0
THINK_TIME_S = (0.1, 1.4)
NAIVE_LATENCY_S = 0.005
NAIVE_STREAM = "naive"
STREAM = "configuration"


class Answer(typing.NamedTuple):
    """The final answer to a patch, and the seconds that the operator waited for it."""

    patch_id: str
    status: str
    version: int
    answered_after_s: float


class Observation(typing.NamedTuple):
    """An entry accepted new work with this version at ``time`` (Unix seconds)."""

    time: float
    entry: str
    version: int


class Race:
    """The operators of one run, and the observers of the entries' versions."""

    def __init__(self, running_cluster: cluster.Cluster, seed: int, patches: int):
        self._cluster = running_cluster
        self._seed = seed
        self._patches_left = patches
        self._client = httpclient.HttpClient(connect_timeout_s=0.5)
        self.answers: list[Answer] = []
        self.observations: list[Observation] = []
        self.resubmissions = 0

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def run_operator(self, number: int) -> None:
        """Submit patches as one operator until none of the run's patches is left."""
        rng = random.Random(self._seed * 100 + number)
        while self._patches_left > 0:
            self._patches_left -= 1
            await self._submit_one(number, rng)
            await asyncio.sleep(rng.uniform(*THINK_TIME_S))

    async def _submit_one(self, number: int, rng: random.Random) -> None:
        begin = time.monotonic()
        patch_id = str(uuid.UUID(int=rng.getrandbits(128)))
        body = None
        while True:
            entry = rng.choice(self._cluster.entry_addresses)
            try:
                if body is None:
                    view = await self._call("GET", entry, "/readyz")
                    body = self._make_patch(view["version"], patch_id, rng)
                answer = await self._call(
                    "POST", entry, "/v1/admin/config/patches", body
                )
            except (httpclient.HttpError, ValueError, KeyError):
                answer = {}
            if answer.get("status") in ("accepted", "stale", "invalid"):
                break
            self.resubmissions += 1
            await asyncio.sleep(rng.uniform(0.05, 0.3))
        took_s = time.monotonic() - begin
        self.answers.append(
            Answer(patch_id, answer["status"], answer["version"], took_s)
        )

    def _make_patch(
        self, base: int, patch_id: str, rng: random.Random
    ) -> dict[str, typing.Any]:
        changes = {"quarantine_s": 60.0 + rng.randrange(10**6)}
        return {"base": base, "id": patch_id, "changes": changes}

    async def _call(
        self, method: str, entry: cluster.Address, path: str, body: typing.Any = None
    ) -> typing.Any:
        headers = {"authorization": f"Bearer {self._cluster.operator_key}"}
        payload = b"" if body is None else json.dumps(body).encode()
        async with self._client.send(
            method,
            *entry,
            path,
            headers=headers,
            body=payload,
            timeout_s=REQUEST_TIMEOUT_S,
        ) as response:
            return json.loads(await response.read())

    async def observe(self, name: str) -> None:
        """Poll an entry, and record its version whenever it is ready for new work."""
        while True:
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    await self._observe(name)
            except (httpclient.HttpError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(POLL_S)

    async def _observe(self, name: str) -> None:
        address = (processes.ADDRESS, self._cluster.port(name))
        async with self._client.send("GET", *address, "/readyz") as response:
            body = json.loads(await response.read())
        if response.status == 200:
            self.observations.append(Observation(time.time(), name, body["version"]))

    async def histories(self) -> dict[str, list[tuple[int, str]]]:
        """Return each entry's history: versions and patch ids."""
        found = {}
        for name in self._cluster.entries:
            address = (processes.ADDRESS, self._cluster.port(name))
            answer = await self._call("GET", address, "/v1/admin/config/history")
            found[name] = [
                (change["version"], change["patch_id"]) for change in answer["history"]
            ]
        return found


class AcceptedPatch(typing.NamedTuple):
    """An accepted patch: its version and the time of its log record."""

    version: int
    time: float


def find_accepted_patches(records: list[typing.Any]) -> dict[str, AcceptedPatch]:
    """Replay the log from its first record and return the accepted patches by id."""
    accepted: dict[str, AcceptedPatch] = {}
    seen = set()
    for record in records:
        patch = record.data
        if patch["kind"] != "patch" or patch["id"] in seen:
            continue
        seen.add(patch["id"])
        if patch["base"] == len(accepted):
            accepted[patch["id"]] = AcceptedPatch(len(accepted) + 1, record.time)
    return accepted


async def _read_log(running_cluster: cluster.Cluster, stream: str) -> list[typing.Any]:
    client = httpclient.HttpClient()
    service = calls.PlatformService(
        client, processes.ADDRESS, running_cluster.port("log"), timeout_s=5.0
    )
    found: list[typing.Any] = []
    while True:
        page = await platform_log.HttpLog(service).read(stream, len(found))
        found += page.records
        if len(found) >= page.next_offset:
            await client.close()
            return found


async def _cut_log(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    await running_cluster.set_proxy_faults("log", mode="cut", direction="answer")
    await asyncio.sleep(FAULT_DURATION_S)
    await running_cluster.set_proxy_faults("log", mode="pass", direction="both")


async def _hold_log(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    await running_cluster.set_proxy_faults("log", mode="hold")
    await asyncio.sleep(FAULT_DURATION_S)
    await running_cluster.set_proxy_faults("log", mode="pass")


async def _land_late(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    await running_cluster.set_faults("log", late_s=LATE_APPEND_DELAY_S)
    await asyncio.sleep(FAULT_DURATION_S)
    await running_cluster.set_faults("log", late_s=0.0)


async def _limit_appends(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    await running_cluster.set_faults("log", appends_per_s=2.0)
    await asyncio.sleep(FAULT_DURATION_S)
    await running_cluster.set_faults("log", appends_per_s=500.0)


async def _freeze_long(running_cluster: cluster.Cluster, rng: random.Random) -> None:
    name = rng.choice(running_cluster.entries)
    running_cluster.processes.freeze(name)
    await asyncio.sleep(FREEZE_DURATION_S)
    running_cluster.processes.thaw(name)


# The names of the fault functions are keys of the result's "faults".
LOG_FAULTS: tuple[faults.Fault, ...] = (
    faults.log_outage,
    faults.log_slow,
    faults.log_loses_answers,
    _cut_log,
    _hold_log,
    _land_late,
    _limit_appends,
)
ENTRY_FAULTS: tuple[faults.Fault, ...] = (
    faults.kill_entry,
    faults.freeze_entry,
    _freeze_long,
)


async def _inject_faults(
    running_cluster: cluster.Cluster,
    kinds: tuple[faults.Fault, ...],
    seed: int,
    counts: collections.Counter,
) -> None:
    rng = random.Random(seed)
    while True:
        for kind in rng.sample(kinds, len(kinds)):
            await asyncio.sleep(FAULT_INTERVAL_S * rng.uniform(0.5, 1.0))
            counts[kind.__name__.lstrip("_")] += 1
            # Shielded: a fault that has begun is repaired before the run ends.
            await asyncio.shield(asyncio.ensure_future(kind(running_cluster, rng)))


async def _race(running_cluster: cluster.Cluster, seed: int, patches: int):
    race = Race(running_cluster, seed, patches)
    counts: collections.Counter = collections.Counter()
    fault_tasks = [
        asyncio.create_task(
            _inject_faults(running_cluster, kinds, seed + number, counts)
        )
        for number, kinds in enumerate((LOG_FAULTS, ENTRY_FAULTS))
    ]
    observer_tasks = [
        asyncio.create_task(race.observe(name)) for name in running_cluster.entries
    ]
    await asyncio.gather(*(race.run_operator(number) for number in range(OPERATORS)))
    for task in fault_tasks:
        task.cancel()
    await asyncio.gather(*fault_tasks, return_exceptions=True)
    # Shielded faults may still be active: wait as long as the longest lasts.
    await asyncio.sleep(FREEZE_DURATION_S + FAULT_DURATION_S)
    return race, observer_tasks, counts


async def _wait_until_converged(
    running_cluster: cluster.Cluster, race: Race
) -> list[typing.Any]:
    found = await _read_log(running_cluster, STREAM)
    version = len(find_accepted_patches(found))
    async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
        await running_cluster.wait_in_force(version)
    return found


def _measure_lags(
    accepted: dict[str, AcceptedPatch], observations: list[Observation]
) -> tuple[list[float], int]:
    """
    Return the lag of each version: how long any entry still used an older one.

    The second value counts how often an entry's version decreased.
    """
    accepted_at = {
        accepted_patch.version: accepted_patch.time
        for accepted_patch in accepted.values()
    }
    last_outdated_at: dict[int, float] = {}
    reverted = 0
    newest: dict[str, int] = collections.defaultdict(int)
    for observation in observations:
        reverted += observation.version < newest[observation.entry]
        newest[observation.entry] = max(newest[observation.entry], observation.version)
        next_version = observation.version + 1
        if next_version in accepted_at:
            last_outdated_at[next_version] = observation.time
    lags = [
        max(0.0, _latest_outdated_at(last_outdated_at, version) - accepted_at[version])
        for version in accepted_at
    ]
    return lags, reverted


def _latest_outdated_at(last_outdated_at: dict[int, float], version: int) -> float:
    # An entry without an older version is also without this one.
    return max(
        (moment for newer, moment in last_outdated_at.items() if newer <= version),
        default=0.0,
    )


def _report(
    accepted: dict[str, AcceptedPatch],
    race: Race,
    histories: dict[str, list[tuple[int, str]]],
) -> dict[str, typing.Any]:
    answered = [answer for answer in race.answers if answer.status == "accepted"]
    expected_history = [
        (accepted_patch.version, patch_id)
        for patch_id, accepted_patch in accepted.items()
    ]
    lost = sum(
        accepted.get(answer.patch_id, AcceptedPatch(0, 0)).version != answer.version
        for answer in answered
    )
    refused = [answer for answer in race.answers if answer.status != "accepted"]
    denied = sum(answer.patch_id in accepted for answer in refused)
    by_version = collections.Counter(answer.version for answer in answered)
    lags, reverted = _measure_lags(accepted, race.observations)
    waits = sorted(answer.answered_after_s for answer in answered)
    return {
        "submitted": len(race.answers),
        "accepted": len(answered),
        "stale": sum(answer.status == "stale" for answer in refused),
        "asked_again": race.resubmissions,
        "lost": lost,
        "denied_but_applied": denied,
        "reverted": reverted,
        "two_winners": sum(count > 1 for count in by_version.values()),
        "entries_that_differ": sum(
            history != expected_history for history in histories.values()
        ),
        "in_force_p50_s": _quantile(lags, 0.5),
        "in_force_p99_s": _quantile(lags, 0.99),
        "in_force_max_s": round(max(lags), 3),
        "answer_p50_s": _quantile(waits, 0.5),
        "answer_p99_s": _quantile(waits, 0.99),
    }


def _quantile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


class _NaiveRace:
    """The same race on entries that accept patches by their local view."""

    def __init__(self, entries: list, seed: int, patches: int):
        self._entries = entries
        self._seed = seed
        self._patches_left = patches
        self.accepted: list[tuple[int, str]] = []

    async def run_operator(self, number: int) -> None:
        rng = random.Random(self._seed * 100 + number)
        while self._patches_left > 0:
            self._patches_left -= 1
            base = rng.choice(self._entries).view.version
            await asyncio.sleep(NAIVE_LATENCY_S)
            patch_id = f"{number}-{self._patches_left}"
            entry = rng.choice(self._entries)
            if await entry.submit(base, patch_id, rng.random()):
                self.accepted.append((base + 1, patch_id))
            await asyncio.sleep(rng.uniform(*THINK_TIME_S))


async def _run_naive(
    running_cluster: cluster.Cluster, seed: int, patches: int
) -> dict[str, typing.Any]:
    client = httpclient.HttpClient()
    service = calls.PlatformService(
        client, *running_cluster.address("log"), timeout_s=2.0
    )
    log = platform_log.HttpLog(service)
    entries = [
        naive_configuration.NaiveConfiguration(log, NAIVE_STREAM)
        for _ in range(ENTRIES)
    ]
    follower_tasks = [asyncio.create_task(entry.run()) for entry in entries]
    race = _NaiveRace(entries, seed, patches)
    await asyncio.gather(*(race.run_operator(number) for number in range(OPERATORS)))
    await asyncio.sleep(FREEZE_DURATION_S + FAULT_DURATION_S)
    records = await _read_log(running_cluster, NAIVE_STREAM)
    for task in follower_tasks:
        task.cancel()
    await asyncio.gather(*follower_tasks, return_exceptions=True)
    await client.close()
    logged_ids = {record.data["patch_id"] for record in records}
    by_version = collections.Counter(version for version, _ in race.accepted)
    return {
        "accepted": len(race.accepted),
        "lost": sum(patch_id not in logged_ids for _, patch_id in race.accepted),
        "reverted": sum(entry.reverted for entry in entries),
        "two_winners": sum(count > 1 for count in by_version.values()),
        "views_at_the_end": len({entry.view for entry in entries}),
    }


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Run the race on the system and on the naive version, and check the results."""
    patches = QUICK_PATCHES if options.quick else PATCHES
    running_cluster = cluster.Cluster(
        entry_count=ENTRIES, engine_count=1, service_count=1, proxied=("log",)
    )
    try:
        await running_cluster.start()
        naive = asyncio.create_task(_run_naive(running_cluster, options.seed, patches))
        race, observer_tasks, counts = await _race(
            running_cluster, options.seed, patches
        )
        records = await _wait_until_converged(running_cluster, race)
        histories = await race.histories()
        for task in observer_tasks:
            task.cancel()
        await asyncio.gather(*observer_tasks, return_exceptions=True)
        await race.close()
        accepted = find_accepted_patches(records)
        result = _report(accepted, race, histories)
        result["faults"] = dict(counts)
        result["naive"] = await naive
    except errors.AcaciawardError as error:
        result = {"failed": str(error)}
    finally:
        await running_cluster.stop()
    return result
