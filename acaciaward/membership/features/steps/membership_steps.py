"""Steps for membership; all entries run in one event loop."""

import asyncio
import time

from behave import given, then, when

from acaciaward.membership import interfaces, peertable
from acaciaward.membership.features import fakes

URGENT = (
    interfaces.HintKind.ENDPOINT_LEAVING,
    interfaces.HintKind.ENDPOINT_DEAD,
    interfaces.HintKind.QUARANTINED_REQUEST,
)


@given("{count:d} entries at {factor:d} times normal speed")
def start_entries(context, count, factor):
    context.cluster = fakes.Cluster(1.0 / factor)
    context.counts = []

    async def start():
        for number in range(count):
            context.cluster.start(f"entry-{number + 1}")
        await context.cluster.wait_until(context.cluster.all_live)

    context.runner.run(start())


@then("every entry sees the others as live")
def check_all_live(context):
    context.runner.run(context.cluster.wait_until(context.cluster.all_live))


@when("{name} is killed")
def kill(context, name):
    context.runner.run(context.cluster.kill(name))


@when("{name} restarts")
def restart(context, name):
    async def start():
        context.cluster.start(name)

    context.runner.run(start())


@when("{name} leaves")
def leave(context, name):
    context.cluster.entries[name].set_leaving()


@then("every other entry sees {name} as {state}")
def check_state(context, name, state):
    expected = interfaces.PeerState(state)

    def is_known():
        return set(context.cluster.states(name).values()) == {expected}

    context.runner.run(context.cluster.wait_until(is_known))


@when("messages from {sender} to {receiver} are lost")
def block_one_way(context, sender, receiver):
    context.cluster.network.blocked.add((sender, receiver))


@then("for {seconds:g} s no entry sees {first} or {second} as dead")
def check_not_dead(context, seconds, first, second):
    async def check():
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name in (first, second):
                states = context.cluster.states(name)
                assert fakes.DEAD not in states.values(), states
            await asyncio.sleep(0.01)

    context.runner.run(check())


@when("{name} is frozen")
def freeze(context, name):
    async def run():
        context.cluster.network.frozen[name] = asyncio.Event()
        context.incarnation = context.cluster.entries[name].peers()[0].incarnation

    context.runner.run(run())


@when("{name} resumes")
def resume(context, name):
    async def run():
        context.considered_dead = set()
        context.watch_task = asyncio.create_task(_record_dead_peers(context, name))
        context.cluster.network.frozen.pop(name).set()

    context.runner.run(run())


async def _record_dead_peers(context, name):
    while True:
        for entry in context.cluster.entries:
            if entry != name and fakes.DEAD in context.cluster.states(entry).values():
                context.considered_dead.add(entry)
        await asyncio.sleep(0.005)


@then("{name} has raised its incarnation")
def check_incarnation(context, name):
    now = context.cluster.entries[name].peers()[0].incarnation
    assert now > context.incarnation


@then("no entry but {name} was ever seen as dead")
def check_no_other_dead(context, name):
    async def end():
        await asyncio.sleep(0.5)
        context.watch_task.cancel()

    context.runner.run(end())
    assert not context.considered_dead, context.considered_dead


@when("{first}, {second} and {third} are partitioned from the rest")
def partition(context, first, second, third):
    inside = {first, second, third}
    context.inside = inside
    for inner in inside:
        for outer in set(context.cluster.entries) - inside:
            context.cluster.network.blocked |= {(inner, outer), (outer, inner)}


@then("each side sees the other as dead")
def check_partitioned(context):
    def is_partitioned():
        for name in context.cluster.entries:
            for observer, state in context.cluster.states(name).items():
                is_across = (observer in context.inside) != (name in context.inside)
                if is_across != (state is fakes.DEAD):
                    return False
        return True

    context.runner.run(context.cluster.wait_until(is_partitioned))


@when("the partition heals")
def heal(context):
    context.cluster.network.blocked.clear()


@when("{name} publishes a hint of each urgent kind")
def publish(context, name):
    async def run():
        context.published_at = time.monotonic()
        for kind in URGENT:
            hint_table = context.cluster.hint_tables[name]
            hint_table.publish(kind, "engine-1", {"by": 1.0}, lifetime_s=60.0)

    context.runner.run(run())


@when("every entry publishes {count:d} load hints")
def publish_load(context, count):
    async def run():
        kind = interfaces.HintKind.ENDPOINT_LOAD
        for hint_table in context.cluster.hint_tables.values():
            for number in range(count):
                subject = f"engine-{number}"
                hint_table.publish(kind, subject, {"queued": 3}, lifetime_s=5.0)
        await asyncio.sleep(0.3)

    context.runner.run(run())


@then("every entry has received them in less than {seconds:g} s")
def check_hints_received(context, seconds):
    def is_received_by_all():
        return all(
            hint_table.get(kind, "engine-1")
            for hint_table in context.cluster.hint_tables.values()
            for kind in URGENT
        )

    context.runner.run(context.cluster.wait_until(is_received_by_all, seconds))
    assert time.monotonic() - context.published_at < seconds


@when("messages are counted for {seconds:g} s")
def count_messages(context, seconds):
    async def count():
        network = context.cluster.network
        # Joining costs more than running; those messages are not to be counted.
        await context.cluster.wait_until(context.cluster.all_live)
        await asyncio.sleep(2.0)
        network.messages.clear()
        network.bytes.clear()
        await asyncio.sleep(seconds)
        entries = len(context.cluster.entries)
        messages = sum(network.messages.values()) / entries
        context.counts.append((messages, sum(network.bytes.values()) / entries))

    context.runner.run(count())


@when("{count:d} more entries start")
def start_more(context, count):
    async def start():
        for number in range(count):
            context.cluster.start(f"entry-{100 + number}")

    context.runner.run(start())


@then("messages and bytes per entry grew by a factor of at most {factor:g}")
def check_growth(context, factor):
    first, second = context.counts
    for before, after in zip(first, second, strict=True):
        assert 0 < after <= factor * before, context.counts


@when("{name} is isolated from endpoints")
def isolate(context, name):
    context.cluster.entries[name].set_isolated(True)


@when("{name} reaches endpoints again")
def reach_again(context, name):
    context.cluster.entries[name].set_isolated(False)


def wait_until_isolated(context, name, is_isolated):
    def is_known():
        return all(
            peer.is_isolated is is_isolated
            for entry in context.cluster.entries.values()
            for peer in entry.peers()
            if peer.name == name
        )

    context.runner.run(context.cluster.wait_until(is_known))


@then("every other entry knows that {name} is isolated")
def check_isolated(context, name):
    wait_until_isolated(context, name, True)


@then("no other entry thinks that {name} is isolated")
def check_not_isolated(context, name):
    wait_until_isolated(context, name, False)


@given("the record of an entry of an older build")
def make_old_record(context):
    context.record = peertable.from_fields(
        {
            "name": "entry-1",
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
    )


@then("it has no port for detours and isn't isolated")
def check_old_record(context):
    peer = context.record.peer
    assert (peer.detour_port, peer.is_isolated) == (0, False), peer
