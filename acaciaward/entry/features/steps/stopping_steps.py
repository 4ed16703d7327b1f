"""Steps for the stop of one entry of a demonstration."""

import asyncio

from behave import given, then

from acaciaward.callers import drain
from acaciaward.demonstration import world


@given("a demonstration of two entries, one of which has just gone")
def start(context):
    async def run():
        await context.cluster.start()
        await context.cluster.entries.pop().kill()

    context.cluster = world.DemonstrationSystem("puzzle-agency", entry_count=2)
    context.runner.run(run())


@then(
    "the other asks callers within {timeout_s:g} s of its stop to close their"
    " connections"
)
def check_phase(context, timeout_s):
    entry = context.cluster.entries.pop()

    async def run():
        stopping = asyncio.create_task(entry.stop())
        await asyncio.sleep(timeout_s)
        phase = entry._drain.phase
        await stopping
        return phase

    phase = context.runner.run(run())
    assert phase is drain.Phase.LEAVING, phase
