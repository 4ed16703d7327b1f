"""
Operators race patches through entries while log and entries fail.

Eight operators submit 500 patches to nine entry processes, whose log stands
behind a fault proxy. Meanwhile entries freeze and are killed, and the log is
out, slow, loses answers and lets appends land late. Afterwards the log itself,
walked by a plain judge, says which patches were accepted, and every answer and
every entry is held against it. The naive version runs beside it, through the
same log and its faults.
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
FAULT_EVERY_S = 2.0
FREEZE_S = 7.0
LATE_S = 0.7
FAULT_S = 1.5
POLL_S = 0.05
REQUEST_TIMEOUT_S = 15.0
SETTLE_S = 60.0
THINK_S = (0.1, 1.4)
NAIVE_LATENCY_S = 0.005
NAIVE_STREAM = "naive"
STREAM = "configuration"


class Answer(typing.NamedTuple):
    """A settled patch: its status, version and how long the operator waited."""

    patch_id: str
    status: str
    version: int
    seconds: float


class Sighting(typing.NamedTuple):
    """An entry that took new work at a moment (Unix seconds) with a version."""

    time: float
    entry: str
    version: int


class Race:
    """The operators and the observer of one run."""

    def __init__(self, running: cluster.Cluster, seed: int, patches: int):
        self._cluster = running
        self._seed = seed
        self._left = patches
        self._client = httpclient.HttpClient(connect_timeout_s=0.5)
        self.answers: list[Answer] = []
        self.sightings: list[Sighting] = []
        self.asked_again = 0

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def operate(self, number: int) -> None:
        """Submit patches as one operator until all are used up."""
        chooser = random.Random(self._seed * 100 + number)
        while self._left > 0:
            self._left -= 1
            await self._submit_one(number, chooser)
            await asyncio.sleep(chooser.uniform(*THINK_S))

    async def _submit_one(self, number: int, chooser: random.Random) -> None:
        begin = time.monotonic()
        patch_id = str(uuid.UUID(int=chooser.getrandbits(128)))
        body = None
        while True:
            entry = chooser.choice(self._cluster.entry_addresses)
            try:
                if body is None:
                    view = await self._call("GET", entry, "/readyz")
                    body = self._make_patch(view["version"], patch_id, chooser)
                answer = await self._call(
                    "POST", entry, "/v1/admin/config/patches", body
                )
            except (httpclient.HttpError, ValueError, KeyError):
                answer = {}
            if answer.get("status") in ("accepted", "stale", "invalid"):
                break
            self.asked_again += 1
            await asyncio.sleep(chooser.uniform(0.05, 0.3))
        took_s = time.monotonic() - begin
        self.answers.append(
            Answer(patch_id, answer["status"], answer["version"], took_s)
        )

    def _make_patch(
        self, base: int, patch_id: str, chooser: random.Random
    ) -> dict[str, typing.Any]:
        changes = {"quarantine_s": 60.0 + chooser.randrange(10**6)}
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

    async def watch(self, name: str) -> None:
        """Note which version an entry has whenever it takes new work."""
        while True:
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    await self._look(name)
            except (httpclient.HttpError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(POLL_S)

    async def _look(self, name: str) -> None:
        address = (processes.ADDRESS, self._cluster.port(name))
        async with self._client.send("GET", *address, "/readyz") as response:
            body = json.loads(await response.read())
        if response.status == 200:
            self.sightings.append(Sighting(time.time(), name, body["version"]))

    async def histories(self) -> dict[str, list[tuple[int, str]]]:
        """Return versions and patch ids as each entry knows them."""
        found = {}
        for name in self._cluster.entries:
            address = (processes.ADDRESS, self._cluster.port(name))
            answer = await self._call("GET", address, "/v1/admin/config/history")
            found[name] = [
                (one["version"], one["patch_id"]) for one in answer["history"]
            ]
        return found


class Verdict(typing.NamedTuple):
    """A patch that the log accepted: its version and the log's time."""

    version: int
    time: float


def judge(records: list[typing.Any]) -> dict[str, Verdict]:
    """Walk the log from its first record and return the accepted patches."""
    accepted: dict[str, Verdict] = {}
    seen = set()
    for record in records:
        patch = record.data
        if patch["kind"] != "patch" or patch["id"] in seen:
            continue
        seen.add(patch["id"])
        if patch["base"] == len(accepted):
            accepted[patch["id"]] = Verdict(len(accepted) + 1, record.time)
    return accepted


async def _read_log(running: cluster.Cluster, stream: str) -> list[typing.Any]:
    client = httpclient.HttpClient()
    service = calls.PlatformService(
        client, processes.ADDRESS, running.port("log"), timeout_s=5.0
    )
    found: list[typing.Any] = []
    while True:
        page = await platform_log.HttpLog(service).read(stream, len(found))
        found += page.records
        if len(found) >= page.next_offset:
            await client.close()
            return found


async def _cut_log(running: cluster.Cluster, chooser: random.Random) -> None:
    await running.set_proxy_faults("log", mode="cut", direction="answer")
    await asyncio.sleep(FAULT_S)
    await running.set_proxy_faults("log", mode="pass", direction="both")


async def _hold_log(running: cluster.Cluster, chooser: random.Random) -> None:
    await running.set_proxy_faults("log", mode="hold")
    await asyncio.sleep(FAULT_S)
    await running.set_proxy_faults("log", mode="pass")


async def _land_late(running: cluster.Cluster, chooser: random.Random) -> None:
    await running.set_faults("log", late_s=LATE_S)
    await asyncio.sleep(FAULT_S)
    await running.set_faults("log", late_s=0.0)


async def _limit_appends(running: cluster.Cluster, chooser: random.Random) -> None:
    await running.set_faults("log", appends_per_s=2.0)
    await asyncio.sleep(FAULT_S)
    await running.set_faults("log", appends_per_s=500.0)


async def _freeze_long(running: cluster.Cluster, chooser: random.Random) -> None:
    name = chooser.choice(running.entries)
    running.processes.freeze(name)
    await asyncio.sleep(FREEZE_S)
    running.processes.thaw(name)


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


async def _cause_faults(
    running: cluster.Cluster,
    kinds: tuple[faults.Fault, ...],
    seed: int,
    counts: collections.Counter,
) -> None:
    chooser = random.Random(seed)
    while True:
        for kind in chooser.sample(kinds, len(kinds)):
            await asyncio.sleep(FAULT_EVERY_S * chooser.uniform(0.5, 1.0))
            counts[kind.__name__.lstrip("_")] += 1
            # A fault that has begun is always repaired before the run ends.
            await asyncio.shield(asyncio.ensure_future(kind(running, chooser)))


async def _race(running: cluster.Cluster, seed: int, patches: int):
    race = Race(running, seed, patches)
    counts: collections.Counter = collections.Counter()
    disturbing = [
        asyncio.create_task(_cause_faults(running, kinds, seed + number, counts))
        for number, kinds in enumerate((LOG_FAULTS, ENTRY_FAULTS))
    ]
    watching = [asyncio.create_task(race.watch(name)) for name in running.entries]
    await asyncio.gather(*(race.operate(number) for number in range(OPERATORS)))
    for task in disturbing:
        task.cancel()
    await asyncio.gather(*disturbing, return_exceptions=True)
    # Shielded faults may still be at work for as long as the longest of them.
    await asyncio.sleep(FREEZE_S + FAULT_S)
    return race, watching, counts


async def _settle(running: cluster.Cluster, race: Race) -> list[typing.Any]:
    found = await _read_log(running, STREAM)
    version = len(judge(found))
    async with asyncio.timeout(SETTLE_S):
        await running.wait_in_force(version)
    return found


def _worst_lags(
    accepted: dict[str, Verdict], sightings: list[Sighting]
) -> tuple[list[float], int]:
    """
    Return for each version how long an entry still worked with an older one.

    The second value counts entries whose version fell while they ran.
    """
    accepted_at = {verdict.version: verdict.time for verdict in accepted.values()}
    last_older: dict[int, float] = {}
    reverted = 0
    newest: dict[str, int] = collections.defaultdict(int)
    for sighting in sightings:
        reverted += sighting.version < newest[sighting.entry]
        newest[sighting.entry] = max(newest[sighting.entry], sighting.version)
        following = sighting.version + 1
        if following in accepted_at:
            last_older[following] = sighting.time
    lags = [
        max(0.0, _latest_below(last_older, version) - accepted_at[version])
        for version in accepted_at
    ]
    return lags, reverted


def _latest_below(last_older: dict[int, float], version: int) -> float:
    # An entry that lacks an older version lacks this one as well.
    return max(
        (moment for following, moment in last_older.items() if following <= version),
        default=0.0,
    )


def _report(
    accepted: dict[str, Verdict],
    race: Race,
    histories: dict[str, list[tuple[int, str]]],
) -> dict[str, typing.Any]:
    answered = [answer for answer in race.answers if answer.status == "accepted"]
    truth = [(verdict.version, name) for name, verdict in accepted.items()]
    lost = sum(
        accepted.get(one.patch_id, Verdict(0, 0)).version != one.version
        for one in answered
    )
    refused = [one for one in race.answers if one.status != "accepted"]
    denied = sum(one.patch_id in accepted for one in refused)
    by_version = collections.Counter(one.version for one in answered)
    lags, reverted = _worst_lags(accepted, race.sightings)
    waits = sorted(one.seconds for one in answered)
    return {
        "submitted": len(race.answers),
        "accepted": len(answered),
        "stale": sum(one.status == "stale" for one in refused),
        "asked_again": race.asked_again,
        "lost": lost,
        "denied_but_applied": denied,
        "reverted": reverted,
        "two_winners": sum(count > 1 for count in by_version.values()),
        "entries_that_differ": sum(one != truth for one in histories.values()),
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
    """The same race against entries that trust their own view."""

    def __init__(self, entries: list, seed: int, patches: int):
        self._entries = entries
        self._seed = seed
        self._left = patches
        self.accepted: list[tuple[int, str]] = []

    async def operate(self, number: int) -> None:
        chooser = random.Random(self._seed * 100 + number)
        while self._left > 0:
            self._left -= 1
            base = chooser.choice(self._entries).view.version
            await asyncio.sleep(NAIVE_LATENCY_S)
            patch_id = f"{number}-{self._left}"
            entry = chooser.choice(self._entries)
            if await entry.submit(base, patch_id, chooser.random()):
                self.accepted.append((base + 1, patch_id))
            await asyncio.sleep(chooser.uniform(*THINK_S))


async def _run_naive(
    running: cluster.Cluster, seed: int, patches: int
) -> dict[str, typing.Any]:
    client = httpclient.HttpClient()
    service = calls.PlatformService(client, *running.address("log"), timeout_s=2.0)
    log = platform_log.HttpLog(service)
    entries = [
        naive_configuration.NaiveConfiguration(log, NAIVE_STREAM)
        for _ in range(ENTRIES)
    ]
    following = [asyncio.create_task(entry.run()) for entry in entries]
    race = _NaiveRace(entries, seed, patches)
    await asyncio.gather(*(race.operate(number) for number in range(OPERATORS)))
    await asyncio.sleep(FREEZE_S + FAULT_S)
    records = await _read_log(running, NAIVE_STREAM)
    for task in following:
        task.cancel()
    await asyncio.gather(*following, return_exceptions=True)
    await client.close()
    kept = {record.data["patch_id"] for record in records}
    by_version = collections.Counter(version for version, _ in race.accepted)
    return {
        "accepted": len(race.accepted),
        "lost": sum(patch_id not in kept for _, patch_id in race.accepted),
        "reverted": sum(entry.reverted for entry in entries),
        "two_winners": sum(count > 1 for count in by_version.values()),
        "views_at_the_end": len({entry.view for entry in entries}),
    }


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Race, settle, judge, and race the naive version."""
    patches = QUICK_PATCHES if options.quick else PATCHES
    running = cluster.Cluster(
        entry_count=ENTRIES, engine_count=1, service_count=1, proxied=("log",)
    )
    try:
        await running.start()
        naive = asyncio.create_task(_run_naive(running, options.seed, patches))
        race, watching, counts = await _race(running, options.seed, patches)
        records = await _settle(running, race)
        histories = await race.histories()
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
        await race.close()
        accepted = judge(records)
        result = _report(accepted, race, histories)
        result["faults"] = dict(counts)
        result["naive"] = await naive
    except errors.AcaciawardError as error:
        result = {"failed": str(error)}
    finally:
        await running.stop()
    return result
