"""Steps for callers of patient routes, over loopback connections."""

import asyncio
import time

from behave import given, then, when

from acaciaward.catalogue import routes
from acaciaward.gateway.features import scripted

PROMPT_LINES = ["Token-Usage: 6000, 10", "Prompt-Prefix: own:6000"]
DEADLINE_S = 10.0
SERVICE = "service"


@given("an entry with 4 endpoints whose service has an urgent and a patient route")
def start_front(context):
    front = scripted.Front(
        routes.RequestKind.STREAM, count=4, attempts=1, timeout_s=DEADLINE_S
    )
    catalogue = front.index.catalogue
    patient = catalogue.routes[0]._replace(target_s=2.5, rank=2)
    urgent = patient._replace(name="urgent", prefix="/u/", target_s=0.5, rank=0)
    service = routes.Service(SERVICE, 100, engine=routes.Engine(48, 600_000))
    front.index = routes.Index(
        catalogue._replace(routes=(patient, urgent), services={SERVICE: service})
    )
    front.occupancy.pools.patients.receive({f"{SERVICE} patient": (1.0, 1.0, 0.0)})
    context.front = front
    context.runner.run(front.start())
    front.always(scripted.stream(1, 3))


@when("the engines have {tokens:d} tokens each to read, for {seconds:g} s")
def load_engines(context, tokens, seconds):
    front = context.front
    front.occupancy.receive_load(dict.fromkeys(front.endpoints, (0, tokens)))

    async def unload_later():
        asyncio.get_running_loop().call_later(seconds, front.occupancy.receive_load, {})

    if seconds:
        context.runner.run(unload_later())


def ask(context, timeout_s=3.0):
    return scripted.ask(
        context.front,
        lines=PROMPT_LINES,
        caller_timeout_s=DEADLINE_S,
        timeout_s=timeout_s,
    )


@then("a patient call is answered with {status:d} after {low_s:g} to {high_s:g} s")
def check_answer(context, status, low_s, high_s):
    began_at = time.monotonic()
    data, _ = context.runner.run(ask(context))
    took_s = time.monotonic() - began_at
    assert scripted.status_of(data) == status, data
    assert low_s <= took_s <= high_s, took_s


@then("its prompt counts in what this entry reports")
def check_report(context):
    report = context.front.occupancy.pools.patients.report()
    patient_per_s, urgent_per_s, waiting_tokens = report[f"{SERVICE} patient"]
    assert patient_per_s > 0, report
    assert (urgent_per_s, waiting_tokens) == (0, 0), report


@then("no endpoint got it")
def check_unsent(context):
    assert not context.front.requests, context.front.requests


@then(
    "a patient call whose caller leaves after {seconds:g} s is soon not counted as"
    " waiting"
)
def check_left(context, seconds):
    """Guards against prompts of callers that left being counted for ever."""
    patients = context.front.occupancy.pools.patients

    async def leave():
        asking = asyncio.create_task(ask(context))
        await asyncio.sleep(seconds)
        waiting_tokens = patients.waiting_tokens(SERVICE)
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await asyncio.sleep(0.2)
        return waiting_tokens, patients.waiting_tokens(SERVICE)

    before, after = context.runner.run(leave())
    assert (before, after) == (6000, 0), (before, after)
