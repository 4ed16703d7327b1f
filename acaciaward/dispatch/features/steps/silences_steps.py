"""Steps for engines that stand still and go on, with real processes."""

import asyncio
import contextlib
import json
import time

from behave import given, then, when

from acaciaward import httpclient
from acaciaward.client import sse
from bench import cluster
from standins import tokens

PROMPT = "a swap dossier about many boxes of puzzles"
COUNT = 120
# The engine stands still once the caller has so many tokens.
SEEN = 10
STEP_S = 0.02
SILENCE_S = 0.5
DEADLINE_S = 10
CANCEL_S = STATS_S = 2.0
FAULTS = {"refuse": {"refuse": True}, "stall": {"stall": True}}


@given("an entry and {count:d} engines")
@given("an entry and {count:d} engines, and {attempts:d} attempt at each request")
def start(context, count, attempts=4):
    context.cluster = cluster.Cluster(
        entry_count=1,
        engine_count=count,
        service_count=1,
        faults={"engine": {"step_s": STEP_S}},
        settings={"dispatch": {"token_timeout_s": SILENCE_S, "max_attempts": attempts}},
    )
    context.runner.run(context.cluster.start())


async def find_busy(running):
    """Return the engine that has the only stream."""
    async with asyncio.timeout(STATS_S):
        while True:
            for name in running.engines:
                if (await running.stats(name)).get("running"):
                    return name
            await asyncio.sleep(STEP_S)


async def sum_stats(running, field):
    return sum([(await running.stats(name)).get(field, 0) for name in running.engines])


async def stream(running, on_seen):
    """Return the texts that a caller got, who doesn't resume a stream that is cut."""
    headers = {
        "authorization": f"Bearer {running.keys['org-1']}",
        "x-deadline-s": str(DEADLINE_S),
    }
    body = {
        "model": cluster.MODEL,
        "prompt": PROMPT,
        "max_tokens": COUNT,
        "stream": True,
    }
    texts = []
    async with httpclient.HttpClient().send(
        "POST",
        *running.entry_addresses[0],
        "/v1/completions",
        headers=headers,
        body=json.dumps(body).encode(),
    ) as response:
        assert response.status == httpclient.OK, await response.read()
        async for event in sse.events(response):
            assert "error" not in event, (len(texts), event)
            new = [choice["text"] for choice in event["choices"] if choice["text"]]
            texts += new
            # An event without text says where the stream can be resumed.
            if new and len(texts) == SEEN:
                await on_seen()
    return texts


@when("a stream's engine stands still for {seconds:g} s, and the others {behaviour}")
def stand_still(context, seconds, behaviour):
    running = context.cluster
    thawing = []

    async def freeze():
        busy = await find_busy(running)
        others = [name for name in running.engines if name != busy]
        frozen = [busy]
        for name in others:
            await running.set_faults(name, **FAULTS.get(behaviour, {}))
        if behaviour == "do, too":
            frozen += others
        for name in frozen:
            running.processes.freeze(name)
        thawing.append(asyncio.create_task(thaw(frozen)))

    async def thaw(names):
        await asyncio.sleep(seconds)
        context.went_on_at = time.monotonic()
        for name in names:
            running.processes.thaw(name)

    async def run():
        context.streams_before = await sum_stats(running, "streams")
        try:
            context.texts = await stream(running, freeze)
            context.ended_at = time.monotonic()
        finally:
            for task in thawing:
                await task

    context.runner.run(run())


@when(
    "a stream's engine stands still for {seconds:g} s, and the first of the others"
    " stalls"
)
def stand_still_twice(context, seconds):
    running = context.cluster
    tasks = []

    async def freeze():
        busy = await find_busy(running)
        others = [name for name in running.engines if name != busy]
        for name in others:
            await running.set_faults(name, stall=True)
        running.processes.freeze(busy)
        tasks.append(asyncio.create_task(release_idle(others)))
        tasks.append(asyncio.create_task(thaw(busy)))

    async def release_idle(others):
        """Let all but the engine that got the stream work, before another is asked."""
        await asyncio.sleep(SILENCE_S + 0.3)
        for name in others:
            if not (await running.stats(name)).get("running"):
                await running.set_faults(name, stall=False)

    async def thaw(name):
        await asyncio.sleep(seconds)
        context.went_on_at = time.monotonic()
        running.processes.thaw(name)

    async def run():
        try:
            context.texts = await stream(running, freeze)
            context.ended_at = time.monotonic()
        finally:
            await asyncio.gather(*tasks)

    context.runner.run(run())


@then("the stream is complete, each token once")
def check_complete(context):
    assert context.texts == tokens.expected_tokens(PROMPT, COUNT), context.texts


@then("{count:d} streams were started")
def check_started(context, count):
    total = context.runner.run(sum_stats(context.cluster, "streams"))
    assert total - context.streams_before == count, (total, context.streams_before)


@then("it was complete before the silence ended")
def check_early(context):
    assert context.ended_at < context.went_on_at


@then("no engine works on it any more")
def check_idle(context):
    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CANCEL_S):
                while await sum_stats(context.cluster, "running"):
                    await asyncio.sleep(0.05)
        return await sum_stats(context.cluster, "running")

    assert not context.runner.run(run())
