"""Steps for the origins of streams; messages between entries arrive at once."""

import asyncio
import time

from behave import given, then, when

from acaciaward import errors
from acaciaward.membership import interfaces
from acaciaward.resumption import origins

SERVICE = "llm"
LIVE = interfaces.PeerState.LIVE


class Network:
    """The entries' memberships, of which some have ended or hang."""

    def __init__(self, names):
        self.now = 100.0
        self.memberships = {name: Membership(self, name) for name in names}
        self.entries = {
            name: origins.StreamOrigins(membership, clock=lambda: self.now)
            for name, membership in self.memberships.items()
        }
        self.ended = set()
        self.hanging = set()


class Membership:
    """One entry's membership: it still lists entries that have ended."""

    def __init__(self, network, name):
        self.name = name
        self.told = []
        self._network = network
        self._handlers = {}

    def peers(self):
        return [
            interfaces.Peer(name, "127.0.0.1", 1, 1, "dc", "region", 1, LIVE, 1)
            for name in self._network.memberships
        ]

    def handle(self, kind, handler):
        self._handlers[kind] = handler

    def notify(self, peer, kind, body):
        self.told.append((peer, body["stream"]))
        if peer not in self._network.ended | self._network.hanging:
            handler = self._network.memberships[peer]._handlers[kind]
            # The handler doesn't wait for anything.
            coroutine = handler(self.name, body)
            try:
                coroutine.send(None)
            except StopIteration:
                pass

    async def request(self, peer, kind, body, *, timeout_s):
        if peer in self._network.hanging:
            await asyncio.sleep(timeout_s)
        if peer in self._network.hanging | self._network.ended:
            raise errors.PeerUnreachableError(f"{peer}: no reply")
        return await self._network.memberships[peer]._handlers[kind](self.name, body)


@given("{count:d} entries")
def make_entries(context, count):
    context.network = Network([f"e-{number}" for number in range(1, count + 1)])


@when('stream "{attempt}" of {organisation} begins at entry {entry:d}, at {version}')
def begin(context, attempt, organisation, entry, version):
    context.runner.run(
        context.network.entries[f"e-{entry}"].record(
            organisation, attempt, origins.Origin(SERVICE, version)
        )
    )


@when(
    'attempt "{attempt}" of {organisation} takes it up at entry {entry:d}, at {version}'
)
def take_up(context, attempt, organisation, entry, version):
    context.network.entries[f"e-{entry}"].record_taken_up(
        organisation, attempt, origins.Origin(SERVICE, version)
    )


@when("entries {first:d} and {second:d} end")
def end_two(context, first, second):
    context.network.ended |= {f"e-{first}", f"e-{second}"}


@when("{count:d} streams begin at entry {entry:d}")
def begin_many(context, count, entry):
    for number in range(count):
        begin(context, f"s-{number}", "org", entry, "v1")


@when("entry {entry:d} ends")
def end(context, entry):
    context.network.ended.add(f"e-{entry}")


def keepers(context, attempt, organisation):
    stream = origins._digest(organisation, attempt)
    return context.network.entries["e-1"]._ranked_entries(stream)[: origins.KEEPERS]


@when('two keepers of "{attempt}" of {organisation} end')
def end_keepers(context, attempt, organisation):
    context.network.ended |= set(keepers(context, attempt, organisation)[:2])


@when('two keepers of "{attempt}" of {organisation} hang')
def hang_keepers(context, attempt, organisation):
    context.network.hanging |= set(keepers(context, attempt, organisation)[:2])


@when("{seconds:g} s pass")
def wait(context, seconds):
    context.network.now += seconds


def find(context, name, attempt, organisation):
    found = context.runner.run(
        context.network.entries[name].find(organisation, attempt)
    )
    return found.version if found else None


def find_everywhere(context, attempt, organisation):
    network = context.network
    names = [
        name for name in network.entries if name not in network.ended | network.hanging
    ]
    return {name: find(context, name, attempt, organisation) for name in names}


@then('each entry finds {version} for "{attempt}" of {organisation}')
def check_everywhere(context, version, attempt, organisation):
    found = find_everywhere(context, attempt, organisation)
    assert set(found.values()) == {version}, found


@then(
    'within {limit_s:g} s each entry finds {version} for "{attempt}" of {organisation}'
)
def check_in_time(context, version, attempt, organisation, limit_s):
    expected = None if version == "nothing" else version
    for name in context.network.entries:
        if name in context.network.ended | context.network.hanging:
            continue
        began = time.monotonic()
        found = find(context, name, attempt, organisation)
        took_s = time.monotonic() - began
        assert found == expected and took_s < limit_s, (name, found, took_s)


@then('entry {entry:d} finds {version} for "{attempt}" of {organisation}')
def check_entry(context, entry, version, attempt, organisation):
    found = find(context, f"e-{entry}", attempt, organisation)
    assert found == version, found


@then(
    "entry {entry:d} has told keepers and recorder of each, and {most:d} different"
    " ones at most"
)
def check_told(context, entry, most):
    told = context.network.memberships[f"e-{entry}"].told
    streams = {stream for _, stream in told}
    one = context.network.entries[f"e-{entry}"]
    expected = [
        (name, stream)
        for stream in streams
        for name in {*one._ranked_entries(stream)[: origins.KEEPERS], one.recorder}
    ]
    assert sorted(told) == sorted(expected), len(told)
    assert len({peer for peer, _ in told}) <= most


@then("entry {entry:d} remembers {count:d} streams")
def check_count(context, entry, count):
    found = len(context.network.entries[f"e-{entry}"])
    assert found == count, found
