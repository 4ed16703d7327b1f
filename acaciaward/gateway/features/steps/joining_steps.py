"""Steps for entries whose seeds are gone."""

import asyncio
import time
from unittest import mock

from behave import given, then, when

from acaciaward.gateway.features import joining
from acaciaward.membership import entrycount

# Callers ask for this long before and after what a scenario does.
STEADY_S = 12.0
REPLACE_INTERVAL_S = 5.0


def run(context, coroutine):
    return context.runner.run(coroutine)


@given(
    "{count:d} entries in {data_centres:d} data centres that remember silent peers"
    " for {memory_s:g} s"
)
def start_world(context, count, data_centres, memory_s):
    patched = mock.patch.object(entrycount, "PEER_MEMORY_S", memory_s)
    patched.start()
    context.add_cleanup(patched.stop)
    context.group = context.world = joining.ChangingWorld(
        data_centres, count // data_centres
    )
    context.joined_s = []
    run(context, context.world.start())


@given("callers ask for 3 times the quota of an organisation")
def begin_taking(context):
    async def begin():
        context.world.begin_taking()
        # The entries' first levels aren't what is looked at.
        await asyncio.sleep(joining.SETTLE_S)
        context.taking_since = time.monotonic()
        await asyncio.sleep(STEADY_S)

    run(context, begin())


async def time_until_whole(world, timeout_s):
    """Return the seconds until all entries are in one group, None if they aren't."""
    begun_at = time.monotonic()
    if not await world.wait_until(world.is_whole, timeout_s):
        return None
    return time.monotonic() - begun_at


@given("the machines of the seeds are replaced one by one")
def replace_seeds(context):
    replace_round(context, 1)


@when("the machines of the seeds are replaced one by one, {rounds:d} times around")
def replace_round(context, rounds):
    async def replace():
        world = context.world
        replaced = world.entries[: len(world.seeds)]
        for _ in range(rounds):
            for position, entry in enumerate(replaced):
                replaced[position] = await world.replace(entry)
                due = time.monotonic() + REPLACE_INTERVAL_S
                joined_s = await time_until_whole(world, REPLACE_INTERVAL_S)
                context.joined_s.append(joined_s)
                await asyncio.sleep(max(0.0, due - time.monotonic()))

    run(context, replace())


@when("{count:d} newcomers start at once in another data centre")
def start_newcomers(context, count):
    async def start():
        world = context.world
        entries = [world.add("dc-new") for _ in range(count)]
        await asyncio.gather(*(world.start_entry(entry) for entry in entries))

    run(context, start())


@when("a data centre is cut off from the others {where} for {seconds:g} s")
def cut_off(context, where, seconds):
    async def cut():
        world = context.world
        entries = [entry for entry in world.entries if entry.data_centre == "dc-2"]
        world.cut_peers(entries)
        if where == "and the store":
            world.turn_away(entries)
        await asyncio.sleep(seconds)
        sizes = set(world.group_sizes().values())
        assert sizes == {len(entries), len(world.entries) - len(entries)}, sizes
        world.reconnect()
        world.heal_peers()

    run(context, cut())


@then("all entries are in one group within {limit_s:g} s")
def check_whole(context, limit_s):
    joined_s = run(context, time_until_whole(context.world, limit_s))
    print("in one group after", joined_s)
    assert joined_s is not None, context.world.group_sizes()


@then("each newcomer was in one group with all others within {limit_s:g} s")
def check_joined(context, limit_s):
    print("in one group after", context.joined_s)
    late = [s for s in context.joined_s if s is None or s > limit_s]
    assert not late, (context.joined_s, context.world.group_sizes())


@then(
    "at least {low:g} of the rate, and at most {high:g} of rate and burst were taken in"
    " each 10 s"
)
def check_taken(context, low, high):
    run(context, asyncio.sleep(STEADY_S))
    windows = context.world.taken_by_window(context.taking_since)
    assert windows
    rate = joining.RATE * joining.WINDOW_S
    lowest, highest = min(windows) / rate, max(windows) / (rate + joining.BURST)
    print("taken at least, at most:", lowest, highest, max(windows) / rate)
    assert lowest >= low and highest <= high, (lowest, highest)
