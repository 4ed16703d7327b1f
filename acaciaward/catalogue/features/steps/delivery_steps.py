"""Steps for the delivery of configurations to gateways that run in this process."""

import asyncio
import time

from behave import given, then, when

from acaciaward.catalogue.features import delivery, disturbances
from acaciaward.platform import calls as platform_calls

RESTORED_AGE_S = 0.6


@given("{data_centres:d} data centres of {count:d} entries that follow the store")
def start_world(context, data_centres, count):
    context.world = delivery.World(data_centres, count)
    context.runner.run(context.world.start())


@when("the store comes back from an older copy while no entry reaches it")
def restore(context):
    async def restore_unreachable():
        world = context.world
        await asyncio.sleep(RESTORED_AGE_S)
        world.change()
        world.store.put(delivery.ENDPOINTS_TOPIC, "s-1", world.endpoint_record(1))
        # The entries read both before the store loses them.
        await asyncio.sleep(RESTORED_AGE_S / 2)
        world.hold(world.entries)
        context.lost = world.store.restore(RESTORED_AGE_S)

    context.runner.run(restore_unreachable())
    assert {lost.key for lost in context.lost} == {"config", "s-1"}, context.lost


@when("its offsets are given out again before any entry reads on")
def give_offsets_again(context):
    async def write():
        world = context.world
        # The newest configuration and s-2 get offsets that the entries have read.
        context.version = world.change()
        world.store.put(delivery.ENDPOINTS_TOPIC, "s-2", world.endpoint_record(2))
        world.store.write_again([lost for lost in context.lost if lost.key != "config"])
        world.store.put(delivery.ENDPOINTS_TOPIC, "s-0", world.endpoint_record(0))
        world.reconnect()
        context.in_contact_at = time.monotonic() + delivery.CONTACT_S

    context.runner.run(write())


@when(
    'the store answers every read with status {status:d} and the body "{body}" for 1 s'
)
@when('the store answers every read with status {status:d} and the body "" for 1 s')
def answer_reads(context, status, body=""):
    async def answer_for_1s():
        store = context.world.store
        handlers = dict(store._handlers)

        async def answer(request):
            return store._encode(status, body.encode())

        for path in ("/api/log-read", "/api/log-newest"):
            store._handlers[path] = answer
        store._listener.reset_all()
        await asyncio.sleep(1.0)
        store._handlers.update(handlers)
        context.in_contact_at = time.monotonic() + delivery.CONTACT_S

    context.runner.run(answer_for_1s())


@when("every reader has begun a long poll whose answer will be lost")
def lose_long_polls(context):
    async def wait_for_polls():
        world = context.world
        read = world.store._handlers["/api/log-read"]
        poll_count = 0

        async def read_or_lose(request):
            nonlocal poll_count
            is_configuration = request.query["Topic"] == delivery.CONFIGURATION_TOPIC
            if not is_configuration or not int(request.query.get("WaitMs", 0)):
                return await read(request)
            poll_count += 1
            await asyncio.get_running_loop().create_future()

        world.store._handlers["/api/log-read"] = read_or_lose
        reader_count = len(world.entries_by_data_centre())
        assert await world.wait_until(lambda: poll_count >= reader_count, 5.0)

    context.runner.run(wait_for_polls())


@when("every entry has read the store itself over several connections")
def read_over_several(context):
    async def read():
        views = [entry.view for entry in context.world.entries]
        sources = [
            follower._source
            for view in views
            for follower in (view._configuration_follower, view._endpoint_follower)
        ]
        await asyncio.gather(*(source.read_all() for source in sources * 3))

    context.runner.run(read())


@when("all open connections to the store go silent and the contact time passes")
def silence(context):
    async def silence_and_wait():
        for entry in context.world.entries:
            entry.proxy.silence_connections()
        await asyncio.sleep(delivery.CONTACT_S)
        context.lost_before = count_lost_calls()

    context.runner.run(silence_and_wait())


def count_lost_calls():
    """Return how many calls to the store had no answer, over all entries."""
    samples = platform_calls.PLATFORM_SECONDS.collect()[0].samples
    return sum(
        sample.value
        for sample in samples
        if sample.name.endswith("_count")
        and sample.labels["service"] == "store"
        and sample.labels["outcome"] == platform_calls.LOST
    )


@then("no read of the store timed out since the contact time")
def check_no_lost_call(context):
    lost_count = count_lost_calls() - context.lost_before
    assert not lost_count, lost_count


@when("the store turns away {who} of a data centre")
def turn_away(context, who):
    async def choose():
        world = context.world
        members = world.entries_by_data_centre()["dc-0"]
        readers = [entry for entry in members if entry in world.readers()]
        others = [entry for entry in members if entry not in readers]
        chosen = {
            "the reader": readers[:1],
            "an entry": others[:1],
            "all but one entry": [*readers[:1], *others[1:]],
        }
        world.turn_away(chosen[who])

    context.runner.run(choose())


@when("the next configuration is written")
@when("the next configuration is written {delay_s:g} s later")
def change(context, delay_s=0.0):
    async def change_later():
        await asyncio.sleep(delay_s)
        context.version = context.world.change()
        context.acknowledged_at = time.monotonic()

    context.runner.run(change_later())


def check_in_force(context, due):
    late = context.runner.run(context.world.late_entries(context.version, due))
    assert not late, (late, context.version)


@then("the newest configuration is in force everywhere when the entries are in contact")
def check_in_contact(context):
    check_in_force(context, context.in_contact_at)


@then("it is in force everywhere within the bound after the contact time")
def check_after_contact(context):
    check_in_force(context, context.in_contact_at + delivery.CONFIGURATION_S)


@then("it is in force everywhere within the bound")
def check_within_bound(context):
    check_in_force(context, context.acknowledged_at + delivery.CONFIGURATION_S)


@then("it is in force everywhere within the bound for an unstable store")
def check_within_unstable_bound(context):
    bound_s = delivery.CONFIGURATION_S + delivery.PARTITION_S
    check_in_force(context, context.acknowledged_at + bound_s)


@then("every entry knows the endpoints that the store lists")
def check_endpoints(context):
    async def find_missing():
        world = context.world
        listed = world.endpoint_names()
        await world.wait_until(
            lambda: all(entry.endpoint_names == listed for entry in world.entries),
            max(0.0, context.in_contact_at - time.monotonic()),
        )
        return {
            entry.name: entry.endpoint_names ^ listed
            for entry in world.entries
            if entry.endpoint_names != listed
        }

    wrong = context.runner.run(find_missing())
    assert not wrong, wrong


@then("no entry ever went back to an older configuration")
def check_reverts(context):
    assert not context.world.reverted_entries(), context.world.reverted_entries()


@when("they are disturbed in {rounds:d} rounds, drawn from the seed {seed:d}")
def disturb(context, rounds, seed):
    # -D seed=N and -D rounds=N play other ones by hand.
    options = context.config.userdata
    seed = options.getint("seed", seed)
    disturber = disturbances.Disturber(context.world, seed)
    rounds = options.getint("rounds", rounds)
    context.found = context.runner.run(disturber.run(rounds))


@then("no round found a late, lost or older configuration")
def check_found(context):
    assert not context.found, context.found
