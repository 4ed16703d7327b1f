"""Steps for reclaimed endpoints."""

import asyncio
import json
import time

from behave import given, then, when

from acaciaward import httpclient
from acaciaward.client import sse
from bench import cluster
from standins import tokens

TOKENS_BEFORE_NOTICE = 20


@given(
    "a cluster of {entries:d} entries and {engines:d} engines whose steps "
    "take {step_s:f} s"
)
def start_engines(context, entries, engines, step_s):
    context.cluster = cluster.Cluster(
        entry_count=entries,
        engine_count=engines,
        service_count=1,
        faults={"engine": {"step_s": step_s}},
        settings={"evacuation": {"assumed_notice_s": 2.0}},
    )
    deployment = context.cluster.document["deployments"][cluster.MODEL]
    deployment["weights"] = {"cost": 0.2, "recomputed_tokens": 0.8}
    context.runner.run(context.cluster.start())


@given("no engine imports a KV cache")
def refuse_imports(context):
    async def refuse():
        for name in context.cluster.engines:
            await context.cluster.set_faults(name, refuse_import=True)

    context.runner.run(refuse())


@given("cloud and instance list are unavailable")
def stop_platform(context):
    async def stop():
        await context.cluster.set_faults("cloud", outage=True)
        await context.cluster.set_faults("instances", outage=True)

    context.runner.run(stop())


class _StreamConsumer:
    """Reads one stream and keeps everything that it receives."""

    def __init__(self, running, number, count):
        self.prompt = f"story {number} of many pieces"
        self.count = count
        self.texts = []
        self.end = {}
        self.error = None
        self._running = running
        self._number = number

    async def read(self):
        running = self._running
        client = httpclient.HttpClient()
        body = {"model": cluster.MODEL, "prompt": self.prompt, "stream": True}
        body["max_tokens"] = self.count
        addresses = running.entry_addresses
        async with client.send(
            "POST",
            *addresses[self._number % len(addresses)],
            "/v1/completions",
            headers={"authorization": f"Bearer {running.keys['org-1']}"},
            body=json.dumps(body).encode(),
        ) as response:
            async for event in sse.events(response):
                self._record_event(event)
        await client.close()

    def _record_event(self, event):
        if "error" in event:
            self.error = event["error"]
        elif event["choices"] and "count" in event["acaciaward"]:
            self.end = event["acaciaward"] | event["usage"]
        elif event["choices"]:
            assert event["acaciaward"]["index"] == len(self.texts), event
            self.texts.append(event["choices"][0]["text"])


async def _run_streams(context, streams, count, disturb):
    running = context.cluster
    context.consumers = [_StreamConsumer(running, n, count) for n in range(streams)]
    tasks = [asyncio.create_task(consumer.read()) for consumer in context.consumers]
    while (
        min(len(consumer.texts) for consumer in context.consumers)
        < TOKENS_BEFORE_NOTICE
    ):
        for task in tasks:
            if task.done():
                task.result()
        await asyncio.sleep(0.01)
    await disturb(running)
    await asyncio.gather(*tasks)


async def _busiest_engine(running):
    counts = {name: (await running.stats(name))["running"] for name in running.engines}
    return max(counts, key=counts.get)


@when(
    "{streams:d} streams of {count:d} tokens run and "
    "one engine gets a notice of {notice_s:d} s"
)
def reclaim_one(context, streams, count, notice_s):
    async def disturb(running):
        context.leaving = await _busiest_engine(running)
        await running.reclaim([context.leaving], notice_s)
        await asyncio.sleep(2)
        prior_streams = (await running.stats(context.leaving))["streams"]
        addresses = running.entry_addresses
        sender = running.caller("org-2")
        for number in range(3 * len(addresses)):
            await sender.complete(cluster.MODEL, f"late {number}", max_tokens=2)
        context.new_work = (await running.stats(context.leaving))[
            "streams"
        ] - prior_streams

    context.runner.run(_run_streams(context, streams, count, disturb))


@when(
    "{streams:d} streams of {count:d} tokens run and "
    "one engine reports its own departure"
)
def leave_one(context, streams, count):
    async def disturb(running):
        context.leaving = await _busiest_engine(running)
        await running.control(context.leaving, "/control/leave")

    context.runner.run(_run_streams(context, streams, count, disturb))


@when(
    "{streams:d} streams of {count:d} tokens run and "
    "every engine gets a notice of {notice_s:d} s"
)
def reclaim_all(context, streams, count, notice_s):
    async def disturb(running):
        context.reclaimed_at = time.monotonic()
        await running.reclaim(running.engines, notice_s)
        await _start_replacement(context, running)

    # The next step sets the replacement's delay and runs the streams.
    context.disturb = disturb
    context.streams, context.count = streams, count


async def _start_replacement(context, running):
    await asyncio.sleep(context.replacement_delay_s)
    name = "engine-9"
    running.engines.append(name)
    await running.start_endpoint(name)
    endpoints = {name: running.endpoint_configuration(name)}
    changes = {"deployments": {cluster.MODEL: {"endpoints": endpoints}}}
    await running.patch(changes)


@when("a replacement engine starts {after_s:f} s later under a new name")
def start_replacement(context, after_s):
    context.replacement_delay_s = after_s
    streams_run = _run_streams(context, context.streams, context.count, context.disturb)
    context.runner.run(streams_run)


@then("every answer is complete and correct")
def check_answers(context):
    for consumer in context.consumers:
        assert consumer.error is None, consumer.error
        assert consumer.end.get("count") == consumer.count, consumer.end
        expected = tokens.expected_text(consumer.prompt, consumer.count)
        assert "".join(consumer.texts) == expected


@then("tokens were moved and none was recomputed")
def check_moved_not_recomputed(context):
    imports = context.runner.run(_sum_stats(context, "imports"))
    recomputed = sum(
        consumer.end["recomputed_tokens"] for consumer in context.consumers
    )
    assert imports > 0, imports
    assert recomputed == 0, recomputed


@then("tokens were recomputed")
def check_recomputed(context):
    assert sum(consumer.end["recomputed_tokens"] for consumer in context.consumers) > 0


@then("the leaving engine got no new stream 2 s after the notice")
def check_no_new_work(context):
    assert context.new_work == 0, context.new_work


async def _sum_stats(context, field):
    running = context.cluster
    names = [name for name in running.engines if running.processes.is_running(name)]
    return sum([(await running.stats(name)).get(field, 0) for name in names])


@given("{count:d} services whose answers take {delay_s:f} s")
def slow_services(context, count, delay_s):
    async def start():
        running = context.cluster
        for number in range(len(running.services), count):
            name = f"service-{number + 1}"
            running.services.append(name)
            await running.start_endpoint(name)
            endpoints = {name: running.endpoint_configuration(name)}
            changes = {"deployments": {cluster.SERVICE: {"endpoints": endpoints}}}
            await running.patch(changes)
            instance = {"name": name, "port": running.address(name)[1]}
            await running.control(
                "cloud", "/control/instances", {"instances": [instance]}
            )
        for name in running.services:
            await running.set_faults(name, answer_delay_s=delay_s)

    context.runner.run(start())


@when("calls run at both services and one of them gets a notice of {notice_s:d} s")
def reclaim_service(context, notice_s):
    async def reclaim():
        running = context.cluster
        context.leaving = running.services[0]
        senders = [running.caller("org-1", data_centre=dc) for dc in ("dc-1", "dc-2")]
        early_calls = [asyncio.create_task(_call(senders[n % 2])) for n in range(8)]
        while not await _all_called(running):
            await asyncio.sleep(0.02)
        await running.reclaim([context.leaving], notice_s)
        await asyncio.sleep(1)
        prior_keys = (await running.stats(context.leaving))["keys"]
        late_calls = [asyncio.create_task(_call(senders[n % 2])) for n in range(8)]
        context.replies = await asyncio.gather(*early_calls, *late_calls)
        context.new_work = (await running.stats(context.leaving))["keys"] - prior_keys

    context.runner.run(reclaim())


async def _call(sender):
    return await sender.call(cluster.SERVICE, "check", b"{}", deadline_s=10)


async def _all_called(running):
    counts = [(await running.stats(name))["keys"] for name in running.services]
    return all(counts) and sum(counts) >= 8


@then("every call is answered, each having run once")
def check_calls(context):
    assert len(context.replies) == 16
    assert {json.loads(reply.body)["runs"] for reply in context.replies} == {1}


@then("the leaving service ran nothing that was sent 1 s after the notice")
def check_no_new_calls(context):
    assert context.new_work == 0, context.new_work
