"""Steps for odd records among those of endpoints."""

import asyncio

from behave import then, when

from acaciaward.catalogue import endpoints
from acaciaward.catalogue.features import delivery
from acaciaward.gateway import process

MANY_DIGITS = 10**400
# Fields of records by group; bytes are written as they are.
ODD_RECORDS = {
    "numbers that are too large": [
        {"Slots": MANY_DIGITS},
        {"ColdRemainingMs": MANY_DIGITS},
        {"leaves_ms": MANY_DIGITS},
        {"Slots": 2**64},
        {"Slots": 1e300},
        {"born": 2**64},
        {"born": MANY_DIGITS},
        {"born": -5},
        {"Version": MANY_DIGITS},
        {"Sequence": MANY_DIGITS, "State": "odd"},
    ],
    "addresses that can't be used": [
        {"Address": "127.0.0.1:0"},
        {"Address": "127.0.0.1:65536"},
        {"Address": "127.0.0.1:" + "1" * 5000},
        {"Address": "127.0.0.1:\u0661\u0662\u0663\u0664"},
        {"Address": "127.0.0.1:\u00b2"},
        {"Address": "localhost:1234"},
        {"Address": "127.0.0.1\x00:1234"},
        {"Address": "127.0.0.1\r\n:1234"},
        {"Address": "127.0.0.1.5:1234"},
    ],
    "records that are too large or nested": [
        {"Zone": "z" * 2**20},
        {"Service": "s" * 2**20},
        {"Version": "v" * 2**20},
        {"Zone": "dc-0\r\n"},
        b'{"State":' + b"[" * 100_000,
        b"[" * 100_000,
        b'{"a":' * 100_000,
        b"\xff\xfe",
        b"\x00",
    ],
    "names that can't be sent": [{}, {}, {}],
}
ODD_NAMES = ("odd\r\nX: 1", "odd\x00", "odd\x7f")


def is_odd(name):
    return name.startswith("odd")


@when("another writer adds {records}")
def write_odd(context, records):
    world = context.world
    for number, odd in enumerate(ODD_RECORDS[records]):
        is_name = records == "names that can't be sent"
        name = ODD_NAMES[number] if is_name else f"odd-{number}"
        value = odd if isinstance(odd, bytes) else world.endpoint_record(9) | odd
        world.store.put(delivery.ENDPOINTS_TOPIC, name, value)


@when("every entry's peers pass on an endpoint whose start is out of range")
def relay_odd(context):
    ready = endpoints.EndpointState.READY
    odd = endpoints.Endpoint("odd-1", 2**64, "app", "127.0.0.1", 1234, "dc-0", 4, ready)
    for entry in context.world.entries:
        fields = odd._asdict() | {"state": "ready"}
        relay = {"endpoints": [fields], "removed": [], "lapsed": [], "digest": 0}
        context.runner.run(pass_on(entry.gateway, relay))


async def pass_on(gateway, relay):
    gateway._relaying._apply_endpoint_changes(relay)


@when("the task that relays fails once at every entry")
def fail_relaying(context):
    for entry in context.world.entries:
        relaying = entry.gateway._relaying
        relaying.tick = make_failing(relaying)
    context.runner.run(asyncio.sleep(0.5))


def make_failing(relaying):
    def fail():
        del relaying.tick
        raise OverflowError("int too big to convert")

    return fail


@when("an endpoint registers")
@when('an endpoint registers in a data centre named "{data_centre}"')
def register(context, data_centre="dc-0"):
    context.new_name = "s-new"
    record = context.world.endpoint_record(5) | {"Zone": data_centre}
    context.world.store.put(delivery.ENDPOINTS_TOPIC, context.new_name, record)


@then(
    "every entry lists that endpoint within the contact time, and none of the odd ones"
)
def check_listed(context):
    entries = context.world.entries

    def find_without():
        return [
            entry.name
            for entry in entries
            if context.new_name not in entry.endpoint_names
        ]

    context.runner.run(
        context.world.wait_until(lambda: not find_without(), delivery.CONTACT_S)
    )
    odd = {entry.name: list(filter(is_odd, entry.endpoint_names)) for entry in entries}
    assert not find_without() and not any(odd.values()), (find_without(), odd)


@then("an entry that starts anew is ready within the contact time")
def check_start(context):
    entry = context.world.entries[-1]
    context.runner.run(restart(context.world, entry))
    is_ready = context.runner.run(
        context.world.wait_until(lambda: entry.gateway.is_ready, delivery.CONTACT_S)
    )
    assert is_ready


async def restart(world, entry):
    old = entry.gateway
    await old._end()
    for server in (old._callers, *old._auxiliary_servers.values()):
        server.stop_accepting()
        server.abort()
    entry.gateway = process.Gateway(world._settings(entry))
    await entry.gateway.start()


@then("no task of an entry has ended")
def check_tasks(context):
    ended = {
        entry.name: [task for task in entry.gateway._tasks if has_failed(task)]
        for entry in context.world.entries
    }
    assert not any(ended.values()), ended


def has_failed(task):
    return task.done() and not task.cancelled() and task.exception() is not None
