"""Steps for contacts; entries and their store are in one event loop of virtual time."""

import asyncio
import json
import random
import time

from behave import given, then, when

from acaciaward import errors
from acaciaward.catalogue import topicfollower
from acaciaward.membership import contacts, entrycount
from acaciaward.membership.features import fakes

# Contacts wait for this long before their first look.
SETTLE_S = 3.0
UNIX_TIME = 1e9
OWN = {
    "name": "odd",
    "address": "127.0.0.1",
    "port": 1,
    "peer_address": "127.0.0.1",
    "peer_port": 2,
    "data_centre": "dc",
    "region": "region",
    "incarnation": 1,
    "state": "live",
    "configuration_version": 1,
    "public_key": None,
}
VALID = {"at": 0.0, "own": OWN, "heard": ["odd"]}
ODD_RECORDS = [
    b"\xff\x00",
    b"[" * 100_000,
    b"null",
    b'{"at": 1}',
    b'{"at": 1e999}',
    b'{"padding": "%s"}' % (b"x" * contacts.MAX_RECORD_BYTES),
    json.dumps(VALID | {"at": "soon"}).encode(),
    json.dumps(VALID | {"heard": {"odd": 1}}).encode(),
    json.dumps(VALID | {"heard": [1]}).encode(),
    json.dumps(VALID | {"heard": ["x" * 64]}).encode(),
    json.dumps(VALID | {"heard": ["x"] * 4001}).encode(),
    json.dumps(VALID | {"own": OWN | {"port": -1}}).encode(),
    json.dumps(VALID | {"own": OWN | {"peer_port": 65536}}).encode(),
    json.dumps(VALID | {"own": OWN | {"peer_address": "x" * 256}}).encode(),
    json.dumps(VALID | {"own": OWN | {"incarnation": 2**62}}).encode(),
    json.dumps(VALID | {"own": OWN | {"state": "gone"}}).encode(),
    json.dumps(VALID | {"own": OWN | {"name": "another"}}).encode(),
]


class Topic:
    """Implements ``contacts.Topic`` in memory, and counts the calls."""

    def __init__(self):
        self.values = {}
        self.era = 1
        self.is_down = False
        self.end = 0
        self.reads = self.writes = 0

    def _check_up(self):
        if self.is_down:
            raise errors.PlatformRefusedError("the store is down")

    async def read_all(self):
        self.reads += 1
        self._check_up()
        return topicfollower.Listing(dict(self.values), self.end, self.era)

    async def set(self, key, value):
        self.writes += 1
        self._check_up()
        self.end += 1
        self.values[key] = value

    async def remove(self, key, *, expected_end):
        self.writes += 1
        self._check_up()
        if expected_end != self.end:
            raise errors.PlatformRefusedError("the topic has another end")
        self.end += 1
        del self.values[key]


class ContactCluster(fakes.Cluster):
    """Entries whose contacts keep records."""

    def __init__(self, has_contacts=True):
        super().__init__()
        self.topic = Topic()
        self.contacts = {}
        self.known = {}
        self._has_contacts = has_contacts
        self._contact_tasks = {}

    def start(self, name, region="north"):
        super().start(name, region)
        if not self._has_contacts:
            return
        entry = self.entries[name]
        # The virtual clock replaces the function.
        known = entrycount.EntryCount(name, lambda: time.monotonic(), saved=lambda: 0)
        self.known[name] = known
        self.contacts[name] = contacts.Contacts(
            self.topic,
            entry,
            known,
            era=lambda: self.topic.era,
            now=lambda: UNIX_TIME + time.monotonic(),
            clock=lambda: time.monotonic(),
            rng=random.Random(name),
        )
        self._contact_tasks[name] = asyncio.create_task(self._run(name, entry, known))

    async def _run(self, name, entry, known):
        async with asyncio.TaskGroup() as group:
            group.create_task(self.contacts[name].run())
            while True:
                live = [peer for peer in entry.peers() if peer.state is fakes.LIVE]
                known.record_heard(
                    [peer.name for peer in live],
                    counted_by_peers=max(
                        peer.counted for peer in live if peer.name != name
                    )
                    if len(live) > 1
                    else 0,
                )
                entry.set_counted(known.counted)
                await asyncio.sleep(0.25)

    async def kill(self, name):
        task = self._contact_tasks.pop(name, None)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await super().kill(name)


def start_cluster(context, count, has_contacts=True):
    async def start():
        cluster = ContactCluster(has_contacts)
        for number in range(count):
            cluster.start(f"entry-{number + 1}")
        await cluster.wait_until(cluster.all_live)
        await asyncio.sleep(SETTLE_S)
        return cluster

    return context.runner.run(start())


@given("{count:d} entries with contacts in a store")
def start_entries(context, count):
    context.cluster = start_cluster(context, count)
    context.newcomers = []


def kill_entries(context, count):
    async def kill():
        for name in list(context.cluster.entries)[:count]:
            await context.cluster.kill(name)
        await asyncio.sleep(SETTLE_S)

    context.runner.run(kill())


@when("all entries are killed")
def kill_all(context):
    kill_entries(context, len(context.cluster.entries))


@when("{count:d} entries are killed")
def kill_some(context, count):
    kill_entries(context, count)


def start_newcomers(context, count, is_cut):
    async def start():
        cluster = context.cluster
        names = [f"entry-{number}" for number in range(101, 101 + count)]
        if is_cut:
            for name in names:
                for other in cluster.entries:
                    cluster.network.blocked |= {(name, other), (other, name)}
        for name in names:
            cluster.start(name)
        context.newcomers = names

    context.runner.run(start())


@when("{count:d} more entries start whose seed has ended")
def start_more(context, count):
    start_newcomers(context, count, is_cut=False)


@when("{count:d} more entries start whose seed has ended, cut off from the others")
def start_cut_off(context, count):
    start_newcomers(context, count, is_cut=True)


@when("the cut ends")
def end_cut(context):
    context.cluster.network.blocked.clear()


def live_names(cluster, name):
    peers = cluster.entries[name].peers()
    return {peer.name for peer in peers if peer.state is fakes.LIVE}


@then("every entry sees the others as live within {limit_s:g} s")
def check_live(context, limit_s):
    cluster = context.cluster

    async def wait():
        began_at = time.monotonic()
        try:
            await cluster.wait_until(cluster.all_live, limit_s)
        except TimeoutError as error:
            sizes = {name: len(live_names(cluster, name)) for name in cluster.entries}
            raise AssertionError(sizes) from error
        return time.monotonic() - began_at

    print("joined after", context.runner.run(wait()))


@then("for {seconds:g} s they are a group of their own")
def check_own_group(context, seconds):
    async def check():
        await asyncio.sleep(5.0)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name in context.newcomers:
                found = live_names(context.cluster, name)
                assert found == set(context.newcomers), found
            await asyncio.sleep(0.5)

    context.runner.run(check())


@then("after {seconds:g} s each of them is alone")
def check_alone(context, seconds):
    context.runner.run(asyncio.sleep(seconds))
    for name in context.newcomers:
        assert live_names(context.cluster, name) == {name}


@then("{seconds:g} s later all entries count {count:d} entries")
def check_counted_later(context, seconds, count):
    context.runner.run(asyncio.sleep(seconds))
    check_counted(context, count)


@then("all entries count {count:d} entries")
def check_counted(context, count):
    cluster = context.cluster
    counted = {name: cluster.known[name].count() for name in cluster.entries}
    assert set(counted.values()) == {count}, counted


@when("the store is restored from an empty copy")
def restore(context):
    topic = context.cluster.topic
    topic.values.clear()
    topic.end = 0
    topic.era += 1


@when("the store is down")
def stop_store(context):
    context.cluster.topic.is_down = True


@when("the store is up again")
def start_store(context):
    context.cluster.topic.is_down = False


def count_invalid():
    return contacts.RECORDS.labels("invalid")._value.get()


@when("others write odd records")
def write_odd(context):
    topic = context.cluster.topic
    topic.values |= {f"odd-{number}": value for number, value in enumerate(ODD_RECORDS)}
    # A valid record, but at no address.
    nowhere = OWN | {"name": "nowhere", "peer_address": "no address"}
    record = VALID | {"own": nowhere, "at": UNIX_TIME}
    topic.values["nowhere"] = json.dumps(record).encode()
    topic.end += len(ODD_RECORDS)
    context.invalid = count_invalid()


@then("each of them counted each odd record once in {seconds:g} s")
def check_odd(context, seconds):
    context.runner.run(asyncio.sleep(seconds))
    readers = {
        name
        for name, one in context.cluster.contacts.items()
        if one._invalid and name in context.cluster.entries
    }
    assert set(context.newcomers) <= readers, readers
    counted = count_invalid() - context.invalid
    assert counted == len(readers) * len(ODD_RECORDS), (counted, readers)


@then("after {seconds:g} s the store has the records of {count:d} entries")
def check_removed(context, seconds, count):
    context.runner.run(asyncio.sleep(seconds))
    names = set(context.cluster.topic.values)
    assert names == set(context.cluster.entries), names
    assert len(names) == count


@then(
    "in {seconds:g} s they read the records at most {reads:g} times a second and write"
    " {writes:g} times"
)
def check_calls(context, seconds, reads, writes):
    cluster = context.cluster
    topic = cluster.topic
    topic.reads = topic.writes = 0
    context.seconds = seconds
    context.traffic = count_traffic(context, cluster, seconds)
    print("reads, writes a second:", topic.reads / seconds, topic.writes / seconds)
    assert topic.reads <= reads * seconds, topic.reads
    assert topic.writes <= writes * seconds, topic.writes


def count_traffic(context, cluster, seconds):
    """Return the messages and bytes that entries send each other meanwhile."""

    async def count():
        cluster.network.messages.clear()
        cluster.network.bytes.clear()
        await asyncio.sleep(seconds)
        network = cluster.network
        return sum(network.messages.values()), sum(network.bytes.values())

    return context.runner.run(count())


@then("they sent as many messages and bytes as entries without records")
def check_traffic(context):
    count = len(context.cluster.entries)
    context.runner.run(context.cluster.stop())
    context.cluster = start_cluster(context, count, has_contacts=False)
    without = count_traffic(context, context.cluster, context.seconds)
    per_entry = [
        tuple(figure / count / context.seconds for figure in traffic)
        for traffic in (context.traffic, without)
    ]
    print("messages and bytes an entry and second, with and without:", per_entry)
    for with_records, without_records in zip(context.traffic, without, strict=True):
        assert with_records <= 1.02 * without_records, per_entry
