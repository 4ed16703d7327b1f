"""Steps for cancelled reads."""

import asyncio

from behave import given, then, when

from acaciaward import httpclient

TURNS = range(6)
TIMEOUT_S = 5.0


async def _cancel_after(turns):
    """Return whether the read took the cancel, and whether it ended so."""
    reader = asyncio.StreamReader()
    connection = httpclient._Connection(reader, None)
    read = asyncio.create_task(connection._receive(TIMEOUT_S))
    await asyncio.sleep(0.01)
    reader.feed_data(b"x")
    for _ in range(turns):
        await asyncio.sleep(0)
    is_taken = read.cancel()
    await asyncio.wait({read})
    return is_taken, read.cancelled()


@given("connections on which data arrives while they are read")
def take_turns(context):
    context.turns = TURNS


@when("each read is cancelled some turns of the event loop after the data")
def cancel_reads(context):
    context.ends = [asyncio.run(_cancel_after(turns)) for turns in context.turns]


@then("every read that took the cancel ends cancelled")
def check_ends(context):
    assert all(is_taken == is_cancelled for is_taken, is_cancelled in context.ends), (
        context.ends
    )
