"""Steps for entries that stop and callers that disconnect."""

import asyncio
import contextlib
import json
import signal
import time

from behave import given, then, when

from acaciaward import httpclient
from acaciaward.client import caller, sse
from bench import cluster
from standins import ports, tokens

PROMPT = "a swap dossier about many boxes of puzzles"
# Long enough for 2000 tokens at 0.02 s each.
DEADLINE_S = 120


@given("{entries:d} entries and {engines:d} engines whose steps take {step_s:f} s")
def start_system(context, entries, engines, step_s, **caller_settings):
    context.cluster = cluster.Cluster(
        entry_count=entries,
        engine_count=engines,
        service_count=1,
        faults={"engine": {"step_s": step_s}},
        settings={
            "callers": {"discovery_lifetime_s": 0.5, "finish_s": 0.5} | caller_settings
        },
    )
    context.runner.run(context.cluster.start())


@given("a single entry whose stops take at most {limit_s:d} s")
def start_single(context, limit_s):
    start_system(context, 1, 1, 0.03, stop_limit_s=limit_s)


def _post(running, address, path, body, organisation="org-1"):
    headers = {
        "authorization": f"Bearer {running.keys[organisation]}",
        "x-deadline-s": str(DEADLINE_S),
    }
    client = httpclient.HttpClient()
    payload = json.dumps(body).encode()
    return client.send("POST", *address, path, headers=headers, body=payload)


def _body(count, *, stream=True):
    return {
        "model": cluster.MODEL,
        "prompt": PROMPT,
        "max_tokens": count,
        "stream": stream,
    }


async def _entry_of(running, port):
    for name in running.entries:
        if running.address(name)[1] == port:
            return name
    raise AssertionError(f"no entry at port {port}")


async def _busy_engine(running):
    for name in running.engines:
        if (
            running.processes.is_running(name)
            and (await running.stats(name))["running"]
        ):
            return name
    raise AssertionError("no engine runs the stream")


async def _stream_and_disturb(context, count, seen, disturb):
    """Stream through the client library, and call ``disturb`` after ``seen`` tokens."""
    running = context.cluster
    context.count = count
    sender = running.caller("org-1")
    # The caller must have discovered every entry before one of them stops.
    await sender.complete(cluster.MODEL, "warm up", max_tokens=1)
    context.streams_before = await _sum_stats(running, "streams")
    context.texts = []
    stream = sender.stream(cluster.MODEL, PROMPT, max_tokens=count)
    async with contextlib.aclosing(stream):
        async for text in stream:
            context.texts.append(text)
            if len(context.texts) == seen:
                context.decoded_before = await _sum_stats(running, "computed_decode")
                await disturb(running)


async def _busy_entry(running):
    """Return the entry that has the only open request."""
    headers = {"authorization": f"Bearer {running.operator_key}"}
    for name in running.entries:
        async with httpclient.HttpClient().send(
            "GET", *running.address(name), "/metrics", headers=headers
        ) as response:
            text = (await response.read()).decode()
        if "acaciaward_open_requests 1.0" in text:
            return name
    raise AssertionError("no entry has an open request")


async def _sum_stats(running, field):
    names = [name for name in running.engines if running.processes.is_running(name)]
    return sum([(await running.stats(name)).get(field, 0) for name in names])


@when("a caller streams {count:d} tokens and its entry is killed after {seen:d}")
def kill_entry(context, count, seen):
    async def disturb(running):
        await running.processes.kill(await _busy_entry(running))

    context.runner.run(_stream_and_disturb(context, count, seen, disturb))


@when(
    "a caller streams {count:d} tokens and its entry and its engine are killed "
    "after {seen:d}"
)
def kill_both(context, count, seen):
    async def disturb(running):
        entry = await _busy_entry(running)
        engine = await _busy_engine(running)
        running.processes.send_signal(engine, signal.SIGKILL)
        await running.processes.kill(entry)

    context.runner.run(_stream_and_disturb(context, count, seen, disturb))


@then("the caller has the complete answer, each token once")
def check_answer(context):
    assert context.texts == tokens.expected_tokens(PROMPT, context.count)


@then("no engine started a second stream")
def check_one_stream(context):
    total = context.runner.run(_sum_stats(context.cluster, "streams"))
    assert total - context.streams_before == 1, (total, context.streams_before)


@then("the engines generated no token of the first {seen:d} again")
def check_not_generated_again(context, seen):
    # The killed engine's counters are lost; the other engine generated the rest.
    total = context.runner.run(_sum_stats(context.cluster, "computed_decode"))
    assert total <= context.count - seen + 1, total


@when("a caller aborts a stream and others try its resume token")
def try_tokens(context):
    context.runner.run(_try_tokens(context))


async def _try_tokens(context):
    running = context.cluster
    address = running.entry_addresses[0]
    body = _body(200)
    raw_body = json.dumps(body)
    texts, resume, proof = [], None, None
    async with _post(running, address, "/v1/completions", body) as response:
        async for event in sse.events(response):
            extension = event["acaciaward"]
            resume, proof = (
                extension.get("resume", resume),
                extension.get("proof", proof),
            )
            texts += [choice["text"] for choice in event["choices"]]
            if len(texts) == 10:
                break
        valid = {"resume": resume, "body": raw_body, "texts": texts, "proof": proof}
        # The last character may hold unused bits, so the one before it is altered.
        altered_digit = chr((ord(resume[-2]) + 1 - 48) % 10 + 48)
        tries = (
            (valid, "org-2"),
            (valid | {"resume": f"{resume[:-2]}{altered_digit}{resume[-1]}"}, "org-1"),
            (valid | {"resume": "x"}, "org-1"),
            (valid | {"body": json.dumps(body | {"prompt": "other"})}, "org-1"),
            (valid | {"texts": ["forged", *texts[1:]]}, "org-1"),
            (valid | {"texts": texts[:-1]}, "org-1"),
            (valid | {"proof": "AAAA"}, "org-1"),
        )
        context.refusals = [await _try(running, *attempt) for attempt in tries]
        context.accepted = await _try(running, valid, "org-1")


async def _try(running, body, organisation):
    address = running.entry_addresses[1]
    async with _post(running, address, "/v1/resume", body, organisation) as response:
        if response.status == httpclient.OK:
            return response.status, ""
        answer = json.loads(await response.read())
    answer["error"].pop("request_id")
    return response.status, json.dumps(answer, sort_keys=True)


@then("every try is refused with the same message")
def check_refusals(context):
    assert context.accepted[0] == httpclient.OK, context.accepted
    assert {status for status, _ in context.refusals} == {403}, context.refusals
    assert len({text for _, text in context.refusals}) == 1, context.refusals


@when(
    "an entry gets SIGTERM while {streams:d} streams and {unstreamed:d} unstreamed "
    "answers of {count:d} tokens run"
)
def stop_entry(context, streams, unstreamed, count):
    context.runner.run(_stop_entry(context, streams, unstreamed, count))


async def _complete_unstreamed(running, address, count):
    """Request an unstreamed answer, following redirects to other entries."""
    path = "/v1/completions"
    for _ in range(3):
        body = _body(count, stream=False)
        async with _post(running, address, path, body) as response:
            answer = json.loads(await response.read())
        if response.status != httpclient.TEMPORARY_REDIRECT:
            assert response.status == httpclient.OK, answer
            return answer["choices"][0]["text"], answer["usage"]
        host_and_path = response.headers["location"].removeprefix("http://")
        host, _, path = host_and_path.partition("/")
        path = f"/{path}"
        address = (host.partition(":")[0], int(host.partition(":")[2]))
    raise AssertionError("redirected too often")


async def _complete_streamed(running, address, count):
    sender = caller.Caller([address], key=running.keys["org-1"])
    sender.pin([address])
    answer = await sender.complete(
        cluster.MODEL, PROMPT, max_tokens=count, deadline_s=DEADLINE_S
    )
    await sender.close()
    return answer.text, answer.usage


async def _stop_entry(context, streams, unstreamed, count):
    running = context.cluster
    context.count = count
    address = running.address("entry-1")
    tasks = [
        asyncio.create_task(_complete_streamed(running, address, count))
        for _ in "x" * streams
    ]
    tasks += [
        asyncio.create_task(_complete_unstreamed(running, address, count))
        for _ in "x" * unstreamed
    ]
    while await _sum_stats(running, "running") < streams + unstreamed:
        await asyncio.sleep(0.02)
    running.processes.send_signal("entry-1", signal.SIGTERM)
    context.unlisted_after_s = await _seconds_until_unlisted(running)
    context.exit_code = await running.processes.wait("entry-1")
    context.running_at_exit = await _sum_stats(running, "running")
    context.answers = await asyncio.gather(*tasks)


async def _seconds_until_unlisted(running):
    started_at = time.monotonic()
    own_port = running.address("entry-1")[1]
    for name in ("entry-2", "entry-3"):
        while own_port in await _listed_ports(running.address(name)):
            await asyncio.sleep(0.02)
    return time.monotonic() - started_at


async def _listed_ports(address):
    async with httpclient.HttpClient().send("GET", *address, "/v1/entries") as response:
        answer = json.loads(await response.read())
    return [entry["port"] for entry in answer["entries"]]


@then("every answer is complete and no token was recomputed")
def check_stopped_answers(context):
    expected = tokens.expected_text(PROMPT, context.count)
    assert {text for text, _ in context.answers} == {expected}
    assert sum(usage["recomputed_tokens"] for _, usage in context.answers) == 0


@then("discovery dropped the entry within 1 s")
def check_unlisted(context):
    assert context.unlisted_after_s < 1.0, context.unlisted_after_s


@then("it exited while they still ran")
def check_running(context):
    assert context.running_at_exit > 0


@then("it exited with {code:d}")
def check_exit(context, code):
    assert context.exit_code == code, context.exit_code


@then("it exited with {code:d} within {limit_s:d} s")
def check_exit_in_time(context, code, limit_s):
    assert context.exit_code == code, context.exit_code
    assert context.stop_s < limit_s, context.stop_s


async def _signal_during_stream(context, name, signals, count=2000):
    running = context.cluster
    task = asyncio.create_task(
        _complete_streamed(running, running.address(name), count)
    )
    while not await _sum_stats(running, "running"):
        await asyncio.sleep(0.02)
    started_at = time.monotonic()
    for _ in range(signals):
        running.processes.send_signal(name, signal.SIGTERM)
        await asyncio.sleep(0.3)
    context.exit_code = await running.processes.wait(name)
    context.stop_s = time.monotonic() - started_at
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


@when("an entry gets two signals while a stream runs")
def signal_twice(context):
    context.runner.run(_signal_during_stream(context, "entry-1", 2))


@when("it gets SIGTERM while a stream runs")
def stop_only_entry(context):
    context.runner.run(_signal_during_stream(context, "entry-1", 1))


@when("a caller streams {count:d} tokens and its entry gets a notice of {notice_s:d} s")
def reclaim_entry(context, count, notice_s):
    async def disturb(running):
        context.entry = await _busy_entry(running)
        instance = {"name": context.entry, "port": ports.find_free_port()}
        await running.control("cloud", "/control/instances", {"instances": [instance]})
        context.reclaimed_at = time.monotonic()
        await running.reclaim([context.entry], notice_s)

    context.runner.run(_stream_and_disturb(context, count, 20, disturb))
    context.exit_code = context.runner.run(
        context.cluster.processes.wait(context.entry)
    )
    context.stop_s = time.monotonic() - context.reclaimed_at


@when("callers of a stream and an unstreamed answer disconnect while the engine stalls")
def disconnect_callers(context):
    context.runner.run(_disconnect_callers(context))


async def _disconnect_callers(context):
    running = context.cluster
    address = running.entry_addresses[0]
    while await _sum_stats(running, "running"):
        await asyncio.sleep(0.02)
    tasks = [
        asyncio.create_task(_complete_unstreamed(running, address, 2000)),
        asyncio.create_task(_complete_streamed(running, address, 2000)),
    ]
    while await _sum_stats(running, "running") < 2:
        await asyncio.sleep(0.02)
    await running.set_faults("engine-1", stall=True)
    cancelled_before = await _sum_stats(running, "cancelled")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    started_at = time.monotonic()
    while (
        await _sum_stats(running, "cancelled") < cancelled_before + 2
        and time.monotonic() - started_at < 5
    ):
        await asyncio.sleep(0.02)
    context.cancelled = await _sum_stats(running, "cancelled") - cancelled_before
    context.cancel_s = time.monotonic() - started_at


@then("the engine has cancelled both within 1 s")
def check_cancelled(context):
    assert context.cancelled == 2, context.cancelled
    assert context.cancel_s < 1.0, context.cancel_s


@when("an entry hands over while a slow call keeps it from exiting")
def hand_over(context):
    context.runner.run(_hand_over(context))


async def _hand_over(context):
    running = context.cluster
    leaving_address, other_address = (
        running.address("entry-1"),
        running.address("entry-2"),
    )
    await running.set_faults("service-1", answer_delay_s=4.0)
    sender = caller.Caller([leaving_address], key=running.keys["org-1"])
    sender.pin([leaving_address])
    call = asyncio.create_task(
        sender.call(cluster.SERVICE, "check", b"{}", deadline_s=20, idempotent=False)
    )
    while not (await running.stats("service-1"))["keys"]:
        await asyncio.sleep(0.02)
    resume_body = await _abort_stream(running, other_address, 10)
    running.processes.send_signal("entry-1", signal.SIGTERM)
    context.redirected_to = await _wait_for_redirect(running, leaving_address)
    context.resume_redirected_to = await _location(
        running, leaving_address, "/v1/resume", resume_body
    )
    async with _post(running, other_address, "/v1/resume", resume_body) as response:
        context.resumed_texts = [
            event["choices"][0]["text"]
            async for event in sse.events(response)
            if event["choices"] and "index" in event["acaciaward"]
        ]
    context.texts_before_resume = resume_body["texts"]
    context.reply = await call
    context.exit_code = await running.processes.wait("entry-1")
    await sender.close()


async def _abort_stream(running, address, seen):
    """Start a stream, abort it, and return the body of a request that resumes it."""
    body = _body(60)
    texts, resume, proof = [], None, None
    async with _post(running, address, "/v1/completions", body) as response:
        async for event in sse.events(response):
            extension = event["acaciaward"]
            resume, proof = (
                extension.get("resume", resume),
                extension.get("proof", proof),
            )
            texts += [choice["text"] for choice in event["choices"]]
            if len(texts) == seen:
                break
    raw_body = json.dumps(body)
    return {"resume": resume, "body": raw_body, "texts": texts, "proof": proof}


async def _location(running, address, path, body):
    async with _post(running, address, path, body) as response:
        await response.read()
        return response.headers.get("location")


async def _wait_for_redirect(running, address):
    body = _body(2, stream=False)
    while True:
        location = await _location(running, address, "/v1/completions", body)
        if location is not None:
            return location
        await asyncio.sleep(0.05)


@then("new requests and resumes are redirected to the other entry, which answers them")
def check_redirected(context):
    host, port = context.cluster.address("entry-2")
    # A request that had just started carries its resume token in the query.
    target_url = context.redirected_to.partition("?")[0]
    assert target_url == f"http://{host}:{port}/v1/completions", context.redirected_to
    assert context.resume_redirected_to == f"http://{host}:{port}/v1/resume", (
        context.resume_redirected_to
    )
    assert (
        context.texts_before_resume + context.resumed_texts
        == tokens.expected_tokens(PROMPT, 60)
    )


@then("the slow call is answered and the entry exits with 0")
def check_slow_call(context):
    assert json.loads(context.reply.body)["runs"] == 1
    assert context.exit_code == 0, context.exit_code
