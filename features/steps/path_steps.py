"""Steps for the path from caller to engine, with separate processes."""

import asyncio
import json

from behave import given, then, when

from acaciaward import httpclient
from acaciaward.client import caller, sse
from acaciaward.identity import apikeys
from bench import cluster
from standins import tokens

PROMPT = "the long story of a box of puzzles"
STEP_S = 0.02


@given(
    "{entries:d} entries, {engines:d} engines and {services:d} services, "
    "with every engine behind a fault proxy"
)
def start_cluster(context, entries, engines, services):
    names = [f"engine-{number + 1}" for number in range(engines)]
    context.cluster = cluster.Cluster(
        entry_count=entries,
        engine_count=engines,
        service_count=services,
        proxied=names,
        faults={"engine": {"step_s": STEP_S}},
    )
    context.runner.run(context.cluster.start())


@when("a caller streams an answer of {count:d} tokens")
def plan_stream(context, count):
    # The next step opens the stream and kills its engine.
    context.count = count


@when("the engine that serves it is killed after {seen:d} tokens")
def kill_serving_engine(context, seen):
    context.runner.run(_stream_and_kill(context, seen))


async def _stream_and_kill(context, seen):
    running = context.cluster
    client = httpclient.HttpClient()
    body = {
        "model": cluster.MODEL,
        "prompt": PROMPT,
        "max_tokens": context.count,
        "stream": True,
    }
    headers = {"authorization": f"Bearer {running.keys['org-1']}"}
    context.texts = []
    context.opened_streams = 0
    context.final_event = None
    async with client.send(
        "POST",
        *running.entry_addresses[0],
        "/v1/completions",
        headers=headers,
        body=json.dumps(body).encode(),
    ) as response:
        async for event in sse.events(response):
            # An event without choices carries the resume token of a stream that opens.
            if not event["choices"]:
                context.opened_streams += 1
            elif "count" in event["acaciaward"]:
                context.final_event = event["acaciaward"]
            else:
                context.texts.append(event["choices"][0]["text"])
            if len(context.texts) == seen and context.opened_streams == 1:
                await _kill_busy_engine(running)
    await client.close()


async def _kill_busy_engine(running):
    for name in running.engines:
        if (await running.stats(name))["running"]:
            await running.processes.kill(name)
            return
    raise AssertionError("no engine was running the stream")


@then("the answer is complete and correct")
def check_complete(context):
    assert context.final_event["count"] == context.count, context.final_event
    expected = tokens.expected_text(PROMPT, context.count)
    assert "".join(context.texts) == expected


@then("the stream moved at least once")
def check_moved(context):
    assert context.opened_streams >= 2, context.opened_streams


@when('an operator adds the organisation "{name}"')
def add_organisation(context, name):
    key, key_entry = apikeys.make_organisation_key(name, "desk")
    context.cluster.keys[name] = key
    changes = {
        "organisations": {name: {"keys": {"desk": key_entry}}},
        "deployments": {
            cluster.MODEL: {"organisations": [*cluster.ORGANISATIONS, name]}
        },
    }
    outcome = context.runner.run(context.cluster.patch(changes))
    assert outcome["status"] == "accepted", outcome


@then('"{name}" gets a complete answer from every entry')
def check_every_entry(context, name):
    async def ask(address):
        key = context.cluster.keys[name]
        library_caller = caller.Caller([address], key=key)
        library_caller.pin([address])
        answer = await library_caller.complete(cluster.MODEL, PROMPT, max_tokens=12)
        await library_caller.close()
        return answer

    async def ask_all():
        addresses = context.cluster.entry_addresses
        return await asyncio.gather(*(ask(address) for address in addresses))

    answers = context.runner.run(ask_all())
    assert len(answers) == 3
    assert {answer.text for answer in answers} == {tokens.expected_text(PROMPT, 12)}


# Body, further headers, expected status and expected code (None for any).
INVALID_REQUESTS = (
    (b"{not json", {}, 400, "invalid_request_error"),
    (b"[]", {}, 400, "invalid_request_error"),
    (b'{"model": "text", "prompt": 5}', {}, 400, "invalid_request_error"),
    (b'{"model": "nothing", "prompt": "x"}', {}, 404, "not_found"),
    (b'{"model": "text", "prompt": "x"}', {"authorization": "Bearer x"}, 401, None),
    (b'{"model": "text", "prompt": "x"}', {"x-deadline-s": "soon"}, 400, None),
    (b'{"model": "text", "prompt": "x"}', {"x-deadline-s": "nan"}, 400, None),
    (b'{"model": "text", "prompt": "x"}', {"x-service-class": "rush"}, 400, None),
    (b'{"model": "text", "prompt": "x", "max_tokens": 0}', {}, 400, None),
    (b" " * 2_000_000, {}, 413, "body_too_large"),
)


@when("a caller sends each kind of invalid input on one connection")
def send_invalid(context):
    context.client = httpclient.HttpClient()
    context.refusals = context.runner.run(_send_invalid_requests(context))


async def _send_invalid_requests(context):
    return [
        await _send(context, body, extra_headers)
        for body, extra_headers, _, _ in INVALID_REQUESTS
    ]


async def _send(context, body, extra_headers):
    running = context.cluster
    headers = {"authorization": f"Bearer {running.keys['org-1']}"} | extra_headers
    async with context.client.send(
        "POST",
        *running.entry_addresses[0],
        "/v1/completions",
        headers=headers,
        body=body,
    ) as response:
        return response.status, json.loads(await response.read())


@then('each is refused as "not_run" with the expected code')
def check_refusals(context):
    for (status, body), (_, _, expected_status, expected_code) in zip(
        context.refusals, INVALID_REQUESTS, strict=True
    ):
        assert status == expected_status, (status, body, expected_status)
        assert body["error"]["verdict"] == "not_run", body
        assert body["error"]["request_id"], body
        assert expected_code in (None, body["error"]["code"]), body


@then("a good request on the same connection is answered")
def check_valid_request(context):
    body = json.dumps({"model": "text", "prompt": PROMPT, "max_tokens": 4}).encode()
    status, answer = context.runner.run(_send(context, body, {}))
    assert status == 200, answer
    assert answer["choices"][0]["text"] == tokens.expected_text(PROMPT, 4)
