"""Steps for what entries know of brittle endpoints."""

import asyncio
import collections
import logging
import time

from behave import given, then, when

from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import brittle
from acaciaward.observability import metrics
from acaciaward.platform import headers

RATE = 20.0
BRITTLE = "acaciaward.routing.brittleness"


class _Log(logging.Handler):
    """Counts the events of a logger by entry and event."""

    def __init__(self):
        super().__init__()
        self.events = collections.Counter()

    def emit(self, record):
        self.events[delivery.entry_name.get(), record.getMessage()] += 1


def count_invalid():
    labels = {"header": "server-brittle"}
    return metrics.INVALID_SIGNALS.labels(**labels)._value.get()


@given("endpoints that answer one of six entries")
def begin(context):
    context.world = context.group = brittle.World(is_brittle=True)
    context.runner.run(context.world.start())
    context.world.asked = context.world.entries[:1]
    context.log = _Log()
    logger = logging.getLogger(BRITTLE)
    logger.setLevel(logging.INFO)
    logger.addHandler(context.log)
    context.add_cleanup(logger.removeHandler, context.log)
    context.world.rate = RATE
    context.invalid_before = count_invalid()
    context.steady = {entry.name for entry in context.world.entries}


@when("the endpoints say that they are brittle")
def make_brittle(context):
    context.world.make_brittle()


@when("the endpoints say it no longer")
def make_sound(context):
    context.world.announce(None)


@when('the endpoints say "{value}" of how brittle they are')
def announce(context, value):
    context.world.announce(value)


@when("the contact time passes")
def pass_contact_time(context):
    context.runner.run(asyncio.sleep(delivery.CONTACT_S))


def check_knowing(context, names, due):
    world = context.world
    context.runner.run(
        world.wait_until(lambda: names <= world.knowing(), due - time.monotonic())
    )
    assert names <= world.knowing(), names - world.knowing()


@then("all entries know it within the contact time")
def check_all(context):
    names = {entry.name for entry in context.world.entries}
    check_knowing(context, names, time.monotonic() + delivery.CONTACT_S)


def check_restarted(context, entry):
    context.runner.run(context.world.restart(entry, 0.5))
    context.steady.discard(entry.name)
    check_knowing(context, {entry.name}, time.monotonic() + delivery.CONTACT_S)


@then("an entry that is restarted knows it within the contact time")
def check_other_restarted(context):
    check_restarted(context, context.world.entries[4])


@then("the asked entry that is restarted knows it within the contact time")
def check_asked_restarted(context):
    context.world.rate = 0.0
    check_restarted(context, context.world.entries[0])
    context.world.rate = RATE


@then("an entry that is new knows it within the contact time")
def check_new(context):
    entry = context.world.add("dc-1")
    context.runner.run(context.world.start_entry(entry))
    check_knowing(context, {entry.name}, time.monotonic() + delivery.CONTACT_S)


@then("each entry that ran all the while logged it once for each endpoint")
def check_begin_logged(context):
    counts = {
        name: context.log.events[name, "endpoint is brittle"] for name in context.steady
    }
    assert set(counts.values()) == {brittle.ENDPOINTS}, counts


@then("no entry believes it after the contact time")
def check_forgotten(context):
    pass_contact_time(context)
    check_unaware(context)


@then("no entry believes it")
def check_unaware(context):
    names = {entry.name for entry in context.world.entries}
    unaware = context.world.unaware()
    assert unaware == names, names - unaware


@then("each entry logged the end once for each endpoint")
def check_end_logged(context):
    for event in ("endpoint is brittle", "endpoint is brittle no longer"):
        counts = {name: context.log.events[name, event] for name in context.steady}
        assert set(counts.values()) == {brittle.ENDPOINTS}, (event, counts)


@then("the invalid values were counted, and calls were served")
def check_invalid(context):
    assert count_invalid() > context.invalid_before
    answers = context.world.answers
    failed = [answer for answer in answers if answer.status != brittle.OK]
    assert answers and not failed, (len(answers), failed[:5])


def decode(*values):
    fields = [(b"Server-Brittle", value.encode("latin-1")) for value in values]
    return headers.decode_reply(200, fields).bears_rejections


@then('"<number>" as Server-Brittle reads as')
def check_decoded(context):
    for row in context.table:
        expected = None if row["read"] == "nothing" else int(row["read"])
        assert decode(row["number"]) == expected, row


@then("a repeated Server-Brittle reads as nothing")
def check_repeated(context):
    assert decode("2", "2") is None
