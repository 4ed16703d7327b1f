"""Steps for saved quotas; the store is a dictionary that may be unavailable."""

import asyncio

import msgspec
from behave import given, then, when

from acaciaward import errors
from acaciaward.admission import quotas, quotastore
from acaciaward.catalogue import topicfollower

RULE = quotas.Rule(1000.0, 9000.0)


class Topic:
    """Implements ``quotastore.Topic``."""

    def __init__(self):
        self.values = {}
        self.is_unavailable = False

    def raise_if_unavailable(self):
        if self.is_unavailable:
            raise errors.PlatformUnknownError("unavailable")

    async def read_all(self):
        self.raise_if_unavailable()
        return topicfollower.Listing(dict(self.values), 0)

    async def set(self, key, value):
        self.raise_if_unavailable()
        self.values[key] = value


class Entry:
    """One entry's quotas and their saver, by the context's simulated clock."""

    def __init__(self, context, *, has_rules=True):
        self.quotas = quotas.Quotas(lambda: context.now, lambda: 9)
        self.is_duty_holder = True
        self.saver = quotastore.Saver(
            context.topic,
            self.quotas,
            is_duty_holder=lambda: self.is_duty_holder,
            now=lambda: 1_000_000 + context.now,
            entry_count=lambda: 9,
        )
        if has_rules:
            self.set_rules()

    def set_rules(self):
        self.quotas.set_rules({"org": RULE})

    def run(self, seconds):
        """Run the saver for some seconds of real time."""

        async def limited():
            try:
                async with asyncio.timeout(seconds):
                    await self.saver.run()
            except TimeoutError:
                pass

        asyncio.run(limited())


@given('an entry whose level of "org" is {level:d} of 9000')
def make_entry(context, level):
    context.now = 100.0
    context.topic = Topic()
    context.entry = Entry(context)
    context.now += 20.0
    assert context.entry.quotas.admit("org", 9000.0 - level, 1.0) is None


@given("an entry that has just started")
def make_new_entry(context):
    context.now = 100.0
    context.topic = Topic()
    context.entry = Entry(context)


@when("it saves and {seconds:d} s later another one starts")
def save_and_start(context, seconds):
    asyncio.run(context.entry.saver.save())
    context.now += seconds
    start(context)


@when(
    "it saves and {seconds:d} s later another one starts before it has a configuration"
)
def save_and_start_bare(context, seconds):
    asyncio.run(context.entry.saver.save())
    context.now += seconds
    context.new_entry = Entry(context, has_rules=False)
    asyncio.run(context.new_entry.saver.restore())
    context.new_entry.set_rules()


def start(context):
    context.new_entry = Entry(context)
    asyncio.run(context.new_entry.saver.restore())


@when("the record is {record} and another one starts")
def replace_record_and_start(context, record):
    now = 1_000_000 + context.now
    values = {
        "missing": None,
        "no JSON": b"\xff{",
        "of another type": b'{"levels": 5}',
        "saved 11 s ago": encode(now - 11, {"org": 5000.0}),
        "saved 5 s in the future": encode(now + 5, {"org": 5000.0}),
        "of another organisation": encode(now, {"another": 5000.0}, entries=0),
    }
    if values[record] is not None:
        context.topic.values[quotastore.KEY] = values[record]
    start(context)


def encode(at, levels, entries=9):
    return msgspec.json.encode(quotastore.Record(at, entries, levels))


@when("the store is unavailable and another one starts")
def start_without_store(context):
    context.topic.is_unavailable = True
    context.new_entry = Entry(context)
    context.new_entry.run(0.05)


@when("it doesn't hold the duties for {seconds:d} s")
def idle(context, seconds):
    context.entry.is_duty_holder = False
    context.entry.run(seconds + 0.3)


@when("it holds the duties for {seconds:d} s")
def run_new_entry(context, seconds):
    context.entry.run(seconds + 0.3)


@then(
    'the new entry starts with {level:d} units of "org" and assumes {entries:d} entries'
)
def check_level(context, level, entries):
    # By itself the entry would use only its share; 1.0 admits the whole level.
    assert context.new_entry.quotas.admit("org", float(level), 1.0) is None
    assert context.new_entry.quotas.admit("org", 1.0, 1.0) is not None
    assert context.new_entry.saver.saved_entry_count == entries


@then("it saves when the store is available again")
def check_goes_on(context):
    context.topic.is_unavailable = False
    context.now += 10
    context.new_entry.run(1.3)
    assert quotastore.KEY in context.topic.values


@then("nothing was saved")
def check_nothing(context):
    assert not context.topic.values, context.topic.values
