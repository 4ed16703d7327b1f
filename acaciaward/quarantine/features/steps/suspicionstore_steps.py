"""Steps for saved suspicions; the store is a dictionary that may be unavailable."""

import asyncio
import json
import logging

from behave import given, then, when

from acaciaward import errors
from acaciaward.catalogue import topicfollower
from acaciaward.quarantine import promptparts, suspects, suspicionstore

UNIX_OFFSET_S = 1_000_000
MANY = [f"s-{number}" for number in range(1000)]
ODD = {
    "a request of another type": ("requests", {"name": "odd"}),
    "a request with a long name": ("requests", ["n" * 300, 1.0, ["s-1"], []]),
    "a request at a negative time": ("requests", ["odd", -1.0, ["s-1"], []]),
    "a request at a huge time": ("requests", ["odd", 1e300, ["s-1"], []]),
    "a request with many endpoints": ("requests", ["odd", 1.0, MANY, []]),
    "a request with an odd endpoint": ("requests", ["odd", 1.0, [], ["s\n1"]]),
    "a part of another type": ("parts", 5),
    "a part without crashes": ("parts", ["odd", {}, ["odd"], None]),
    "a part with a long name": ("parts", ["n" * 300, {"s-1": 1.0}, [], None]),
    "a part at a negative time": ("parts", ["odd", {"s-1": -1.0}, [], None]),
    "a part with many common parts": ("parts", ["odd", {"s-1": 1.0}, MANY, None]),
    "a part served at a huge time": ("parts", ["odd", {"s-1": 1.0}, [], 1e300]),
}
VALUES = {
    "no JSON": b"\xff{",
    "of another type": b'{"requests": 5, "parts": []}',
    "deeply nested": b'{"requests": [' + b"[" * 30_000,
    "too large": b'{"requests": [], "parts": []}' + b" " * 100_000,
}


class Topic:
    """Implements ``suspicionstore.Topic``."""

    def __init__(self):
        self.values = {}
        self.writes = 0
        self.era = 0
        self.is_unavailable = False

    def raise_if_unavailable(self):
        if self.is_unavailable:
            raise errors.PlatformUnknownError("unavailable")

    async def read_all(self):
        self.raise_if_unavailable()
        return topicfollower.Listing(dict(self.values), 0, self.era)

    async def set(self, key, value):
        self.raise_if_unavailable()
        self.values[key] = value
        self.writes += 1


class Entry:
    """What one entry suspects, and its copy in the store."""

    def __init__(self, context):
        self.suspects = suspects.Suspects(lambda: context.now)
        self.parts = promptparts.PromptParts(lambda: context.now, "e-1", lambda: [])
        self.store = suspicionstore.SuspicionStore(
            context.topic,
            self.suspects,
            self.parts,
            is_writer=lambda: True,
            now=lambda: UNIX_OFFSET_S + context.now,
            era=lambda: context.topic.era,
        )

    def crash(self, request, part, endpoint):
        self.suspects.record_crash(request, endpoint)
        self.parts.record_crash([part], endpoint)


@given("a writer of suspicions")
def make_writer(context):
    context.now = 1000.0
    context.topic = Topic()
    context.entry = Entry(context)
    asyncio.run(context.entry.store.compare())
    context.records = []
    handler = logging.Handler()
    handler.emit = context.records.append
    suspicionstore.log.addHandler(handler)
    context.add_cleanup(suspicionstore.log.removeHandler, handler)


def save(context):
    asyncio.run(context.entry.store.save())


@when(
    'request "{request}" and part "{part}" have crashed {count:d} endpoints, and it'
    " saves"
)
def crash_and_save(context, request, part, count):
    for number in range(count):
        context.entry.crash(request, part, f"s-{number}")
    save(context)


@when('request "{request}" and part "{part}" crash another endpoint')
def crash_another(context, request, part):
    context.new_entry.crash(request, part, "s-another")


@when('request "{request}" and part "{part}" are served, and it saves')
def serve_and_save(context, request, part):
    context.entry.suspects.record_served(request)
    context.entry.parts.record_served([part])
    save(context)


@when(
    'part "{part}" is served, and crashes {count:d} endpoints {pause:d} s later, and it'
    " saves"
)
def serve_and_crash(context, part, count, pause):
    context.entry.parts.record_served([part])
    context.now += pause
    for number in range(count):
        context.entry.parts.record_crash([part], f"s-{number}")
    save(context)


@when(
    "{requests:d} requests and parts have crashed {count:d} endpoints each, and it"
    " saves {times:d} times"
)
@when(
    "{requests:d} requests and parts have crashed {count:d} endpoint each, and it saves"
    " {times:d} times"
)
def crash_many(context, requests, count, times):
    for request in range(requests):
        for number in range(count):
            context.entry.crash(f"r-{request}", f"p-{request}", f"s-{number}")
    for _ in range(times):
        context.now += 1.0
        save(context)


@when("the store is restored from an empty copy, and it saves")
def restore_store(context):
    context.topic.values.clear()
    context.topic.era += 1
    save(context)


@when("another has added {what}")
def add_odd(context, what):
    kind, record = ODD[what]
    value = json.loads(context.topic.values[suspicionstore.KEY])
    value[kind].insert(0, record)
    context.topic.values[suspicionstore.KEY] = json.dumps(value).encode()


@when("all entries are lost, and one starts {seconds:d} s later")
def start_new(context, seconds):
    context.now += seconds
    context.new_entry = Entry(context)
    asyncio.run(context.new_entry.store.restore())


@when("the value is {value}, and an entry starts")
def start_with_value(context, value):
    if value in VALUES:
        context.topic.values[suspicionstore.KEY] = VALUES[value]
    start_new(context, 1)


@when(
    "all entries are lost, and one runs for {without:g} s without the store and"
    " {seconds:g} s with it"
)
def run_without_store(context, without, seconds):
    async def run():
        task = asyncio.create_task(context.new_entry.store.run())
        context.topic.is_unavailable = True
        await asyncio.sleep(without)
        context.topic.is_unavailable = False
        await asyncio.sleep(seconds)
        task.cancel()

    context.new_entry = Entry(context)
    asyncio.run(run())


@when("{seconds:d} s pass for it")
def pass_time(context, seconds):
    context.now += seconds


@then('the new entry refuses request "{request}" and part "{part}"')
def check_refused(context, request, part):
    assert context.new_entry.suspects.is_suspect(request)
    # The first call may be the one that tries the part.
    context.new_entry.parts.refuse_for_s([part])
    assert context.new_entry.parts.refuse_for_s([part]) > 0


@then('the new entry sends request "{request}"')
def check_request_sent(context, request):
    assert not context.new_entry.suspects.is_suspect(request)


@then('the new entry sends part "{part}"')
def check_part_sent(context, part):
    for _ in range(2):
        assert context.new_entry.parts.refuse_for_s([part]) == 0


@then("the new entry knows {requests:d} request and {parts:d} part")
@then("the new entry knows {requests:d} requests and {parts:d} parts")
def check_known(context, requests, parts):
    assert len(context.new_entry.suspects) == requests
    found = context.new_entry.parts.report()["crashes"]
    assert len(found) == parts, found


@then("it has written {count:d} time, less than {limit:d} bytes")
@then("it has written {count:d} times, less than {limit:d} bytes")
def check_writes(context, count, limit):
    assert context.topic.writes == count, context.topic.writes
    assert sum(map(len, context.topic.values.values())) < limit


@then('the store still has request "{request}" and part "{part}"')
def check_stored(context, request, part):
    found = suspicionstore.decode(context.topic.values[suspicionstore.KEY])
    assert [record.name for record in found.requests] == [request], found
    assert [record.name for record in found.parts] == [part], found


@then("one line says that {count:d} saved suspicion is invalid")
def check_invalid(context, count):
    (fields,) = [
        record.acaciaward_fields
        for record in context.records
        if record.getMessage() == "saved suspicions are invalid"
    ]
    assert fields == {"count": count}, fields
