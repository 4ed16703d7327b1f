"""Steps for records of endpoints that change while the endpoints run on."""

import asyncio
import time

from behave import when

from acaciaward.catalogue.features import delivery

# How often a record changes, and for how long it does.
RECORD_INTERVAL_S = 0.7
RECORD_CHANGE_S = 0.3
# Entries hear of an endpoint's start this long after it.
LATE_RECORD_S = 2.0


async def drop_record(world, server):
    world.store.drop(delivery.ENDPOINTS_TOPIC, server.name)
    await asyncio.sleep(RECORD_CHANGE_S)
    server.renew()


async def spoil_record(world, server):
    world.store.put(delivery.ENDPOINTS_TOPIC, server.name, b"\xff")
    await asyncio.sleep(RECORD_CHANGE_S)
    server.renew()


async def leave_start_out(world, server):
    server.record_fields = {"born": None}
    server.renew()
    await asyncio.sleep(RECORD_CHANGE_S)
    server.record_fields = {}
    server.renew()


async def fail_store(world, server):
    world.store.mode = "busy"
    await drop_record(world, server)
    world.store.mode = "pass"


async def restore_store(world, server):
    world.store.restore(1.0)
    await asyncio.sleep(RECORD_CHANGE_S)
    world.store.write_all_again()


async def drop_record_without_start(world, server):
    server.record_fields = {"born": None}
    await drop_record(world, server)


# What happens to the record of an endpoint, or to the store, again and again.
RECORD_CHANGES = {
    "goes and comes back": drop_record,
    "can't be read in between": spoil_record,
    "names no start in between": leave_start_out,
    "goes and comes back, and never names a start": drop_record_without_start,
    "goes while the store fails": fail_store,
    "is restored from an older copy": restore_store,
}


@when("the record of {name} {change} each 0.7 s")
def change_record(context, name, change):
    server = context.traffic.servers[name]
    # Its record is as in most of the time that follows.
    if RECORD_CHANGES[change] is drop_record_without_start:
        server.record_fields = {"born": None}
        server.renew()
        context.runner.run(asyncio.sleep(1.0))

    async def change_for_ever():
        while True:
            await RECORD_CHANGES[change](context.world, server)
            await asyncio.sleep(RECORD_INTERVAL_S - RECORD_CHANGE_S)

    context.traffic.start_task(change_for_ever())


@when("{name} has started anew, and the store lists its former start for 2 s more")
def list_start_late(context, name):
    server = context.traffic.servers[name]
    started_ms = int(time.time() * 1000) - 1000

    async def list_start():
        await asyncio.sleep(LATE_RECORD_S)
        server.record_fields = {"born": started_ms}
        server.renew()

    context.traffic.start_task(list_start())


@when("{name} starts anew and says nothing more")
def start_anew(context, name):
    server = context.traffic.servers[name]
    server.says_leaving = None
    server.record_fields = {"born": int(time.time() * 1000)}
    server.renew()
