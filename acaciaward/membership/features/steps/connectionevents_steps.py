"""Steps for the log of connections to peers."""

import asyncio
import logging

from behave import then, when

from acaciaward.membership import connectionevents


@when("{first:d} messages to a peer are dropped, and {second:d} more after {s:g} s")
def drop_messages(context, first, second, s):
    async def run():
        events = connectionevents.ConnectionEvents()
        # Nothing was logged for a while before.
        events._logged_at -= 10.0
        for count, pause_s in ((first, s), (second, 1.5 - s)):
            for _ in range(count):
                events.count_unsent("tcp://127.0.0.1:1")
            await asyncio.sleep(pause_s)

    context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.lines.append(record.acaciaward_fields)
    connectionevents.log.addHandler(handler)
    try:
        context.runner.run(run())
    finally:
        connectionevents.log.removeHandler(handler)


@then("log lines tell of {count:d} within 1.5 s, in {lines:d} lines at most")
def check_lines(context, count, lines):
    assert sum(line["unsent"] for line in context.lines) == count
    assert len(context.lines) <= lines
