"""Steps for membership; entries are objects in one event loop."""

import asyncio
import time

from behave import given, then, when

from acaciaward.membership import interfaces
from acaciaward.membership.features import fakes

URGENT = (
    interfaces.HintKind.ENDPOINT_LEAVING,
    interfaces.HintKind.ENDPOINT_DEAD,
    interfaces.HintKind.QUARANTINED_REQUEST,
)


@given("{count:d} entries at {factor:d} times the pace")
def start_entries(context, count, factor):
    context.world = fakes.World(1.0 / factor)
    context.counts = []

    async def start():
        for number in range(count):
            context.world.start(f"entry-{number + 1}")
        await context.world.wait(context.world.all_live)

    context.runner.run(start())


@then("every entry knows the others as live")
def check_all_live(context):
    context.runner.run(context.world.wait(context.world.all_live))


@when("{name} is killed")
def kill(context, name):
    context.runner.run(context.world.kill(name))


@when("{name} starts anew")
def start_anew(context, name):
    async def start():
        context.world.start(name)

    context.runner.run(start())


@when("{name} leaves")
def leave(context, name):
    context.world.entries[name].set_leaving()


@then("every other entry holds {name} for {state}")
def check_state(context, name, state):
    wanted = interfaces.PeerState(state)

    def is_known():
        return set(context.world.states(name).values()) == {wanted}

    context.runner.run(context.world.wait(is_known))


@when("messages from {sender} to {receiver} are lost")
def cut_one_way(context, sender, receiver):
    context.world.network.cut.add((sender, receiver))


@then("for {seconds:g} s nobody holds {first} or {second} for dead")
def check_not_dead(context, seconds, first, second):
    async def check():
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name in (first, second):
                states = context.world.states(name)
                assert fakes.DEAD not in states.values(), states
            await asyncio.sleep(0.01)

    context.runner.run(check())


@when("{name} is frozen")
def freeze(context, name):
    async def run():
        context.world.network.frozen[name] = asyncio.Event()
        context.incarnation = context.world.entries[name].peers()[0].incarnation

    context.runner.run(run())


@when("{name} wakes")
def wake(context, name):
    async def run():
        context.blamed = set()
        context.watch = asyncio.create_task(_watch(context, name))
        context.world.network.frozen.pop(name).set()

    context.runner.run(run())


async def _watch(context, name):
    while True:
        for other in context.world.entries:
            if other != name and fakes.DEAD in context.world.states(other).values():
                context.blamed.add(other)
        await asyncio.sleep(0.005)


@then("{name} has raised its incarnation")
def check_incarnation(context, name):
    now = context.world.entries[name].peers()[0].incarnation
    assert now > context.incarnation


@then("no entry but {name} was ever held for dead")
def check_blame(context, name):
    async def end():
        await asyncio.sleep(0.5)
        context.watch.cancel()

    context.runner.run(end())
    assert not context.blamed, context.blamed


@when("{first}, {second} and {third} are cut off")
def cut_off(context, first, second, third):
    inside = {first, second, third}
    context.inside = inside
    for one in inside:
        for other in set(context.world.entries) - inside:
            context.world.network.cut |= {(one, other), (other, one)}


@then("both sides hold each other for dead")
def check_cut_off(context):
    def is_cut():
        for name in context.world.entries:
            for holder, state in context.world.states(name).items():
                is_across = (holder in context.inside) != (name in context.inside)
                if is_across != (state is fakes.DEAD):
                    return False
        return True

    context.runner.run(context.world.wait(is_cut))


@when("the cut is healed")
def heal(context):
    context.world.network.cut.clear()


@when("{name} publishes a hint of each urgent kind")
def publish(context, name):
    async def run():
        context.published = time.monotonic()
        for kind in URGENT:
            board = context.world.boards[name]
            board.publish(kind, "engine-1", {"by": 1.0}, lifetime_s=60.0)

    context.runner.run(run())


@when("every entry publishes {count:d} load hints")
def publish_load(context, count):
    async def run():
        kind = interfaces.HintKind.ENDPOINT_LOAD
        for board in context.world.boards.values():
            for number in range(count):
                subject = f"engine-{number}"
                board.publish(kind, subject, {"queued": 3}, lifetime_s=5.0)
        await asyncio.sleep(0.3)

    context.runner.run(run())


@then("every entry holds them in less than {seconds:g} s")
def check_spread(context, seconds):
    def is_spread():
        return all(
            board.get(kind, "engine-1")
            for board in context.world.boards.values()
            for kind in URGENT
        )

    context.runner.run(context.world.wait(is_spread, seconds))
    assert time.monotonic() - context.published < seconds


@when("the messages of {seconds:g} s are counted")
def count_messages(context, seconds):
    async def count():
        network = context.world.network
        # Joining costs more than standing still; it is not what is counted.
        await context.world.wait(context.world.all_live)
        await asyncio.sleep(2.0)
        network.messages.clear()
        network.bytes.clear()
        await asyncio.sleep(seconds)
        entries = len(context.world.entries)
        messages = sum(network.messages.values()) / entries
        context.counts.append((messages, sum(network.bytes.values()) / entries))

    context.runner.run(count())


@when("{count:d} more entries start")
def start_more(context, count):
    async def start():
        for number in range(count):
            context.world.start(f"entry-{100 + number}")

    context.runner.run(start())


@then("messages and bytes for each entry grew at most {factor:g} times")
def check_growth(context, factor):
    first, second = context.counts
    for before, after in zip(first, second, strict=True):
        assert 0 < after <= factor * before, context.counts
