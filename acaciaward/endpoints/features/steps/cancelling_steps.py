"""Steps for cancelled reads."""

import asyncio

from behave import given, then, when

from acaciaward import httpclient

ITERATIONS = range(6)
TIMEOUT_S = 5.0


async def _cancel_after(iterations):
    """Return whether the read accepted the cancellation, and if it was cancelled."""
    reader = asyncio.StreamReader()
    connection = httpclient._Connection(reader, None)
    read = asyncio.create_task(connection._receive(TIMEOUT_S))
    await asyncio.sleep(0.01)
    reader.feed_data(b"x")
    for _ in range(iterations):
        await asyncio.sleep(0)
    is_accepted = read.cancel()
    await asyncio.wait({read})
    return is_accepted, read.cancelled()


@given("connections on which data arrives while they are read")
def set_iterations(context):
    context.iterations = ITERATIONS


@when("each read is cancelled some iterations of the event loop after the data")
def cancel_reads(context):
    context.ends = [
        asyncio.run(_cancel_after(iterations)) for iterations in context.iterations
    ]


@then("every read that accepted the cancellation ends cancelled")
def check_ends(context):
    assert all(
        is_accepted == is_cancelled for is_accepted, is_cancelled in context.ends
    ), context.ends
