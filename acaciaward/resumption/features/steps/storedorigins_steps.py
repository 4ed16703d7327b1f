"""Steps for what the store keeps of streams; the store is a stand-in in memory."""

import asyncio
import time
import typing

from behave import given, then, when

from acaciaward import errors
from acaciaward.catalogue import topicfollower
from acaciaward.membership import interfaces, rendezvous
from acaciaward.resumption import origins, servingversions, streamlog

SERVICE = "llm"
LIVE = interfaces.PeerState.LIVE


class Page(typing.NamedTuple):
    """Records from an offset on."""

    records: list[bytes]
    next_offset: int
    end_offset: int
    era: int


class Store:
    """The records of versions and the streams, in topics of their own."""

    def __init__(self):
        self.is_down = False
        self.fails_after_s = 0.0
        # How long the next calls take that fail, after some that are answered.
        self.failures_s = []
        self.answered_first = 0
        # How long the next listings take to arrive; those after them take no time.
        self.delays_s = []
        self.era = 1
        self.values = {}
        self.end = 0
        self.writes = 0
        self.listings = 0
        self.records = []
        self.first = 0
        # Called once after the next listing.
        self.after_listing = lambda: None

    def check(self):
        if self.is_down:
            raise errors.PlatformUnknownError("the store is down")

    async def fail_next(self):
        if self.answered_first:
            self.answered_first -= 1
        elif self.failures_s:
            await asyncio.sleep(self.failures_s.pop(0))
            raise errors.PlatformUnknownError("no answer")

    async def read_all(self):
        if self.fails_after_s:
            await asyncio.sleep(self.fails_after_s)
            raise errors.PlatformUnknownError("no answer")
        await self.fail_next()
        self.check()
        self.listings += 1
        listing = topicfollower.Listing(dict(self.values), self.end, self.era)
        self.after_listing()
        if self.delays_s:
            await asyncio.sleep(self.delays_s.pop(0))
        return listing

    async def set(self, key, value):
        self.check()
        self.put(key, value)

    def put(self, key, value):
        self.values[key] = value
        self.end += 1
        self.writes += 1

    async def remove(self, key, *, expected_end):
        self.check()
        if expected_end != self.end:
            raise errors.PlatformRefusedError("the topic doesn't end there")
        del self.values[key]
        self.end += 1

    async def read(self, start):
        await self.fail_next()
        self.check()
        if start < self.first:
            raise errors.RecordsExpiredError("expired", first_offset=self.first)
        end = len(self.records)
        return Page(self.records[start:], end, end, self.era)

    async def append_unconditionally(self, records):
        self.check()
        self.records += records

    @property
    def versions(self):
        records = servingversions._decode_all(
            topicfollower.Listing(self.values, self.end, self.era)
        )
        return {record.version for record in records.values()}


class Entry:
    """One entry's part; messages between entries arrive at once."""

    def __init__(self, fleet, name):
        self.name = name
        self.offset_s = 0.0
        self._fleet = fleet
        self._handlers = {}
        self._running = set()
        self.origins = origins.StreamOrigins(self)
        self.versions = servingversions.ServingVersions(
            fleet.store,
            self,
            listed=fleet.list_all,
            running=lambda: fleet.list_all() if fleet.has_watched else None,
            recorder=lambda: self.origins.recorder,
            shared=lambda: fleet.shared,
            era=lambda: fleet.store.era,
            process_run=f"{name}/{fleet.runs}",
            clock=lambda: time.monotonic() + self.offset_s,
        )
        self.origins.use_store(
            origins.Stored(self.versions, streamlog.StreamLog(fleet.store))
        )

    def peers(self):
        return [
            interfaces.Peer(name, "127.0.0.1", 1, 1, "dc", "region", 1, LIVE, 1)
            for name in self._fleet.entries
        ]

    def handle(self, kind, handler):
        self._handlers[kind] = handler

    def notify(self, peer, kind, body):
        if peer not in self._fleet.ended:
            handler = self._fleet.entries[peer]._handlers[kind]
            task = asyncio.ensure_future(handler(self.name, body))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def request(self, peer, kind, body, *, timeout_s):
        if peer in self._fleet.ended:
            raise errors.PeerUnreachableError(f"{peer}: no reply")
        return await self._fleet.entries[peer]._handlers[kind](self.name, body)


class Fleet:
    """All entries with their store, and the versions that it lists."""

    def __init__(self, count, versions):
        self.store = Store()
        self.listed = {origins.Origin(SERVICE, version) for version in versions}
        self.shared = frozenset()
        self.names = [f"e-{number}" for number in range(1, count + 1)]
        self.runs = 0
        # Whether entries have known the endpoints for as long as streams run.
        self.has_watched = True
        self.tasks = []
        self.begun = []

    async def start(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.runs += 1
        self.ended = set()
        self.entries = {}
        for name in self.names:
            self.entries[name] = Entry(self, name)
        self.tasks = [
            asyncio.ensure_future(run())
            for entry in self.entries.values()
            for run in entry.origins.tasks
        ]

    def list_all(self):
        """Return all that needs a record."""
        shared = {origins.Origin(name, servingversions.SHARED) for name in self.shared}
        return frozenset(self.listed | shared)

    @property
    def recorder(self):
        return self.entries[self.entries["e-1"].origins.recorder]

    async def begin(self, name, stream, version):
        origin = origins.Origin(SERVICE, version)
        await self.entries[name].origins.record("org", stream, origin)
        self.begun.append(version in self.store.versions)


def start(context, count, versions):
    context.fleet = Fleet(count, versions)
    context.runner.run(context.fleet.start())


@given("{count:d} entries with a store that lists version {version}")
def start_one(context, count, version):
    start(context, count, [version])


@given("{count:d} entries with a store that lists versions {first} and {second}")
def start_two(context, count, first, second):
    start(context, count, [first, second])


@given("the service shares a route with another")
def share_route(context):
    context.fleet.shared = frozenset({SERVICE})


@when("the store answers each call with an error after {pause:g} s")
def fail_later(context, pause):
    context.fleet.store.fails_after_s = pause


@when("{answered:d} of its calls are answered, and the next fails after {pause:g} s")
def fail_next(context, answered, pause):
    context.fleet.store.answered_first = answered
    context.fleet.store.failures_s = [pause]


@when("{count:d} streams are looked for at entry {entry:d}, {pause:g} s apart")
def look_for(context, count, entry, pause):
    look_for_all(context, [f"s-{number}" for number in range(count)], entry, pause)


@when(
    'stream "{stream}" is looked for {count:d} times at entry {entry:d},'
    " {pause:g} s apart"
)
def look_for_one(context, stream, count, entry, pause):
    look_for_all(context, [stream] * count, entry, pause)


def look_for_all(context, streams, entry, pause):
    async def look(number, stream):
        await asyncio.sleep(number * pause)
        began_at = time.monotonic()
        one = context.fleet.entries[f"e-{entry}"]
        found = await one.origins.find_stored("org", stream, SERVICE)
        return found, time.monotonic() - began_at

    async def run():
        return await asyncio.gather(
            *(look(number, stream) for number, stream in enumerate(streams))
        )

    context.looked = context.runner.run(run())


@then("{version} was found each time within {limit_s:g} s")
def check_each_found(context, version, limit_s):
    missed = [found for found, _ in context.looked if found != (SERVICE, version)]
    assert not missed, (len(missed), len(context.looked))
    longest_s = max(took_s for _, took_s in context.looked)
    assert longest_s < limit_s, longest_s


@then("each was known not to be found within {limit_s:g} s")
def check_looked(context, limit_s):
    assert all(found is None for found, _ in context.looked)
    longest_s = max(took_s for _, took_s in context.looked)
    assert longest_s < limit_s, longest_s


@given("the store is down")
def take_down(context):
    context.fleet.store.is_down = True


@when("the store is back")
def bring_back(context):
    context.fleet.store.is_down = False


@when('stored stream "{stream}" begins at entry {entry:d}, at {version}')
def begin(context, stream, entry, version):
    began_at = time.monotonic()
    context.runner.run(context.fleet.begin(f"e-{entry}", stream, version))
    context.took_s = time.monotonic() - began_at


@when("the store takes {pause:g} s for its next answer, and less for the others")
def delay_next(context, pause):
    context.fleet.store.delays_s = [pause]


@when('stored streams "{first}" and "{second}" begin at once, at {one} and {other}')
def begin_both(context, first, second, one, other):
    async def run():
        name = context.fleet.recorder.name
        await asyncio.gather(
            context.fleet.begin(name, first, one),
            context.fleet.begin(name, second, other),
        )

    context.runner.run(run())


@when(
    'stored stream "{stream}" begins at {version}, not listed yet, while the'
    " recorder compares"
)
def begin_while_comparing(context, stream, version):
    async def run():
        fleet = context.fleet
        fleet.store.delays_s = [0.05]
        sweep = asyncio.create_task(fleet.recorder.versions.sweep(fleet.list_all()))
        await asyncio.sleep(0.01)
        await fleet.begin("e-1", stream, version)
        await sweep

    context.runner.run(run())


@when('stored stream "{stream}" begins at each entry, at {version}')
@when('stored stream "{stream}" begins at each other entry, at {version}')
def begin_everywhere(context, stream, version):
    async def run():
        names = [
            name for name in context.fleet.names if name not in context.fleet.ended
        ]
        await asyncio.gather(
            *(context.fleet.begin(name, f"{stream}-{name}", version) for name in names)
        )

    context.runner.run(run())


@when("the recorder ends")
def end_recorder(context):
    context.fleet.ended.add(context.fleet.recorder.name)


@when("the recorder ends and another one follows")
def replace_recorder(context):
    fleet = context.fleet
    name = fleet.recorder.name
    assert name not in ("e-1", "e-3"), name
    fleet.names.remove(name)
    del fleet.entries[name]
    for entry in fleet.entries.values():
        # The group is chosen anew.
        entry.offset_s += 1.0
        entry.origins._group_chosen_at = 0.0


@when(
    'stored stream "{stream}" begins at another entry, at {version}, and the recorder'
    " ends for it"
)
def replace_recorder_after(context, stream, version):
    fleet = context.fleet
    names = [name for name in fleet.names if name != fleet.recorder.name]
    (following,) = rendezvous.choose("stream recorder", names, 1)
    fleet.ended.add(fleet.recorder.name)
    context.runner.run(fleet.begin(following, stream, version))
    replace_recorder(context)
    assert fleet.recorder.name == following, (fleet.recorder.name, following)


@when("version {version} is listed, too")
def add_version(context, version):
    context.fleet.listed.add(origins.Origin(SERVICE, version))


@when("version {version} is listed no more")
def remove_version(context, version):
    context.fleet.listed.remove(origins.Origin(SERVICE, version))


@when("{seconds:g} s pass at the recorder")
def pass_at_recorder(context, seconds):
    context.fleet.recorder.offset_s += seconds


@when("{seconds:g} s pass by")
def wait(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@when("all entries start anew")
def restart(context):
    compare(context)
    restart_at_once(context)


@when("all entries start anew at once")
def restart_at_once(context):
    context.runner.run(context.fleet.start())
    context.fleet.has_watched = False


@when("the entries have known the endpoints for long")
def watch(context):
    context.fleet.has_watched = True


@when("the store loses all and has a new era")
def empty_store(context):
    store = context.fleet.store
    store.values.clear()
    store.records.clear()
    store.era += 1


@when("the recorder compares")
def compare(context):
    context.runner.run(context.fleet.recorder.versions.sweep(context.fleet.list_all()))


@when("{version} is written again while the recorder compares")
def write_while_comparing(context, version):
    store = context.fleet.store

    def write():
        store.after_listing = lambda: None
        key = servingversions._key(origins.Origin(SERVICE, version))
        store.put(key, store.values[key])

    store.after_listing = write
    try:
        compare(context)
    except errors.PlatformRefusedError:
        return
    raise AssertionError("the removal wasn't refused")


@when("the store loses {version} and has a new era")
def restore_store(context, version):
    store = context.fleet.store
    del store.values[servingversions._key(origins.Origin(SERVICE, version))]
    store.records.clear()
    store.era += 1


@when("an invalid record is in the store")
def put_invalid(context):
    context.fleet.store.put("x", b"{")


@when("the store drops the records of streams so far")
def expire(context):
    context.fleet.store.first = len(context.fleet.store.records)


@then('each entry finds {version} for "{stream}" in the store')
def check_found(context, version, stream):
    async def run():
        return {
            await entry.origins.find_stored("org", stream, SERVICE)
            for entry in context.fleet.entries.values()
        }

    expected = None if version == "nothing" else origins.Origin(SERVICE, version)
    found = context.runner.run(run())
    assert found == {expected}, found


@then("the store named {version} before any of them began")
def check_named_before(context, version):
    assert context.fleet.begun and all(context.fleet.begun), context.fleet.begun


@then("the store has got {count:d} records of versions")
def check_writes(context, count):
    assert context.fleet.store.writes == count, context.fleet.store.writes


@when("{count:d} streams are taken up at entry {entry:d} at once")
def take_up(context, count, entry):
    async def run():
        context.fleet.store.listings = 0
        one = context.fleet.entries[f"e-{entry}"]
        found = await asyncio.gather(
            *(
                one.origins.find_stored("org", f"s-{number}", SERVICE)
                for number in range(count)
            )
        )
        assert set(found) == {origins.Origin(SERVICE, "v1")}, found

    context.runner.run(run())


@then("the store has got {count:d} calls to list versions, or fewer")
def check_listings(context, count):
    assert context.fleet.store.listings <= count, context.fleet.store.listings


@then("it was begun within {limit_s:g} s")
def check_begun_in_time(context, limit_s):
    assert context.took_s < limit_s, context.took_s


@then("the store names {version}")
def check_named(context, version):
    assert version in context.fleet.store.versions, context.fleet.store.versions


@then("the store doesn't name {version}")
def check_not_named(context, version):
    assert version not in context.fleet.store.versions, context.fleet.store.versions


@then("the store has no stream")
def check_no_stream(context):
    assert not context.fleet.store.records, context.fleet.store.records
