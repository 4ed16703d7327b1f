"""Steps that count the calls of gateways in this process to the store."""

import asyncio
import collections
import time
import zlib

from behave import given, then, when

from acaciaward.catalogue import topicfollower
from acaciaward.catalogue.features import delivery

# Longer than all entries take to learn that they have a reader.
SETTLE_S = 2.0


@when("the store takes {least:g} to {longest:g} s for a call")
def delay_calls(context, least, longest):
    async def delay_and_settle():
        context.world.store.delay_range_s = (least, longest)
        await asyncio.sleep(SETTLE_S)

    context.runner.run(delay_and_settle())


@when(
    "the store takes {least:g} to {longest:g} s for a call and nothing changes for "
    "{duration:g} s"
)
def count_calm_calls(context, least, longest, duration):
    delay_calls(context, least, longest)

    async def count():
        for entry in context.world.entries:
            entry.calls.clear()
        began_at = time.monotonic()
        await asyncio.sleep(duration)
        context.counted_s = time.monotonic() - began_at

    context.runner.run(count())


@when("{count:d} configurations are written, {interval_s:g} s apart")
def write_configurations(context, count, interval_s):
    world = context.world
    context.senders = count_records_sent(world.entries)

    async def write():
        for entry in world.entries:
            entry.calls.clear()
        context.versions = []
        for _ in range(count):
            context.versions.append(world.change())
            await asyncio.sleep(interval_s)
        await asyncio.sleep(delivery.CONFIGURATION_S - interval_s)

    context.runner.run(write())


def count_records_sent(entries):
    """Return a counter of the records that each entry sends, by name and version."""
    counter = collections.Counter()

    def count(entry):
        answer = entry.gateway._transport._handlers["configuration_record"]

        async def answer_and_count(sender, body):
            result = await answer(sender, body)
            if result["data"] is not None:
                counter[entry.name, result["version"]] += 1
            return result

        entry.gateway._transport.handle("configuration_record", answer_and_count)

    for entry in entries:
        count(entry)
    return counter


@then("each was in force everywhere within the bound")
def check_each_in_force(context):
    world = context.world
    late = {
        (entry.name, version): in_force_at - world.acknowledged_at[version]
        for entry in world.entries
        for version in context.versions
        # A version that a newer one overtook never comes into force.
        for in_force_at in [
            min(
                (at for v, at in entry.in_force_at.items() if v >= version),
                default=float("inf"),
            )
        ]
        if in_force_at - world.acknowledged_at[version] > delivery.CONFIGURATION_S
    }
    assert not late, late


@then("no entry sent a configuration to more than {most:d} others")
def check_senders(context, most):
    assert max(context.senders.values()) <= most, context.senders


def replace_answers(entries, answer):
    for entry in entries:
        entry.gateway._transport.handle("configuration_record", answer)


@when("no entry answers requests for the record")
def answer_nothing(context):
    async def answer(sender, body):
        return {"version": -1, "data": None}

    replace_answers(context.world.entries, answer)


@when("half of the entries are of an older build")
def use_older_build(context):
    for entry in context.world.entries[::2]:
        # Older builds answer at once, whatever version the sender has.
        async def answer(sender, body, view=entry.view):
            data = zlib.compress(view.configuration_data)
            return {"version": view.catalogue.version, "data": data}

        replace_answers([entry], answer)


@when("half of the entries hang as they are asked")
def hang(context):
    async def answer(sender, body):
        await asyncio.get_running_loop().create_future()

    replace_answers(context.world.entries[::2], answer)


@then('only one entry of each data centre has called for "{topic}"')
def check_callers(context, topic):
    callers = collections.defaultdict(dict)
    for entry in context.world.entries:
        if entry.calls_of(topic):
            callers[entry.data_centre][entry.name] = entry.calls_of(topic)
    assert all(len(calls) == 1 for calls in callers.values()), dict(callers)
    assert len(callers) == len(context.world.entries_by_data_centre()), dict(callers)


@then('none has called more than {most:g} times a second for "{topic}"')
def check_rate(context, most, topic):
    calls = {entry.name: entry.calls_of(topic) for entry in context.world.entries}
    assert max(calls.values()) <= most * context.counted_s, calls


@when("{what} in each data centre, {delay:g} s before the next configuration")
def disturb_readers(context, what, delay):
    def stand_still(entry):
        # Gossip goes on: until it stops, too, nobody chooses another reader.
        entry.gateway._relaying.tick = lambda: None
        context.world.hold([entry])

    disturb = {
        "the reader stands still": stand_still,
        "the reader is cut off from the store": lambda entry: context.world.hold(
            [entry]
        ),
        "the store turns the reader away": lambda entry: context.world.turn_away(
            [entry]
        ),
    }[what]

    async def disturb_and_change():
        world = context.world
        context.readers = world.readers()
        assert len(context.readers) == len(world.entries_by_data_centre())
        for reader in context.readers:
            disturb(reader)
        await asyncio.sleep(delay)
        context.version = world.change()

    context.runner.run(disturb_and_change())


@then("it is in force within the bound at all entries but the readers")
def check_others(context):
    world = context.world
    due = world.acknowledged_at[context.version] + delivery.CONFIGURATION_S
    late = context.runner.run(world.late_entries(context.version, due))
    reader_names = {entry.name for entry in context.readers}
    assert not set(late) - reader_names, late


class ScriptedSource:
    """A topic whose first long poll takes ``duration_s`` and returns ``page``."""

    def __init__(self, duration_s, page):
        self._duration_s = duration_s
        self._page = page
        self.polled_at = None
        self.wait_s = None
        self.answered = asyncio.Event()

    async def read_all(self):
        return topicfollower.Listing({}, 7)

    async def read_changes(self, start, *, wait_s):
        if self.polled_at is not None:
            self.answered.set()
            await asyncio.get_running_loop().create_future()
        self.polled_at = time.monotonic()
        self.wait_s = wait_s
        await asyncio.sleep(self._duration_s)
        return self._page


@given("a follower that waits {wait_s:g} s, and a store that {answers}")
def make_follower(context, wait_s, answers):
    change = topicfollower.Change("config", b"{}")
    context.source = ScriptedSource(
        *{
            "answers nothing new when the wait ends": (
                wait_s + 0.05,
                topicfollower.Page([], 7, 7),
            ),
            "answers nothing new before the wait ends": (
                wait_s / 2,
                topicfollower.Page([], 7, 7),
            ),
            "answers a change when the wait ends": (
                wait_s + 0.05,
                topicfollower.Page([change], 8, 8),
            ),
            "answers a record without a key": (
                wait_s + 0.05,
                topicfollower.Page([], 8, 8),
            ),
        }[answers]
    )
    context.follower = topicfollower.Follower(
        context.source,
        name="test",
        on_listing=lambda values: None,
        on_change=lambda change: None,
        wait_s=wait_s,
    )


@when("the first long poll has been answered")
def follow(context):
    async def follow_once():
        task = asyncio.create_task(context.follower.run())
        await context.source.answered.wait()
        task.cancel()

    context.runner.run(follow_once())


@then("what it read is as old as {event}")
def check_read_at(context, event):
    source = context.source
    expected_at = source.polled_at
    if event == "the end of the wait":
        expected_at += source.wait_s
    # The follower notes the time just before the source does.
    assert abs(context.follower.read_at - expected_at) < 0.03, (
        context.follower.read_at - source.polled_at
    )
