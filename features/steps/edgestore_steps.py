"""Steps for the stand-in of the platform's store, over its own HTTP interface."""

import asyncio
import json
import random
import struct
import time

from behave import given, then, when

from standins import edgestore, edgewire

ANSWER_TIMEOUT_S = 0.3
LOG_TOPIC = "log"
KEYED_TOPIC = "keyed.values"
KEYED_RECORD = b"\x01kvalue"


async def _call(store, method, target, body=b""):
    """Return the status and the body of the answer; None without an answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", store.port)
    head = f"{method} {target} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            writer.write(head.encode() + body)
            words, headers = edgewire.parse_head(await reader.readuntil(b"\r\n\r\n"))
            length = int(headers["content-length"])
            return int(words[1]), await reader.readexactly(length)
    except TimeoutError:
        return None
    finally:
        writer.close()


async def _append(store, topic, record, condition=""):
    body = struct.pack(">I", len(record)) + record
    target = f"/api/log-append?Topic={topic}&part=0{condition}"
    return await _call(store, "POST", target, body)


async def _read(store, topic, start):
    target = f"/api/log-read?Topic={topic}&part=0&From={start}"
    status, body = await _call(store, "GET", target)
    if status != 200:
        return status, json.loads(body)
    _, first_offset = struct.unpack_from(">QQ", body)
    records = []
    position = 16
    while position < len(body):
        (size,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + size])
        position += 4 + size
    return first_offset, records


async def _records(context):
    """Return the records of each of the topics that got appends."""
    return {
        topic: (await _read(context.store, topic, 0))[1]
        for topic in context.is_answered
    }


@given("a stand-in of the store")
def start_store(context):
    # The environment stops what is called the cluster.
    context.store = context.cluster = edgestore.EdgeStore(random.Random(1))
    context.runner.run(context.store.start())


@given("a stand-in of the store that executes unanswered appends later")
def start_late_store(context):
    start_store(context)
    context.store.mode = "late"


@when("{count:d} appends are sent, each to a topic of its own")
def append_to_topics(context, count):
    async def append_all():
        context.sent_at = time.monotonic()
        topics = [f"topic-{number}" for number in range(count)]
        appends = [_append(context.store, topic, b"own", "&At=0") for topic in topics]
        replies = await asyncio.gather(*appends)
        context.is_answered = {
            topic: reply is not None
            for topic, reply in zip(topics, replies, strict=True)
        }
        context.store.mode = "pass"

    context.runner.run(append_all())
    assert set(context.is_answered.values()) == {True, False}, context.is_answered


@when("every topic gets another record meanwhile")
def append_another(context):
    async def append_all():
        for topic in context.is_answered:
            assert (await _append(context.store, topic, b"other"))[0] == 200

    context.runner.run(append_all())


@when("the store comes back from a copy older than all appends")
def restore_all(context):
    context.store.restore(time.monotonic() - context.sent_at + 0.1)


@when(
    "a topic without keys and a keyed topic get {count:d} records,"
    " and {pause_s:g} s later {more:d} more"
)
def append_twice(context, count, pause_s, more):
    async def append_all(number):
        for _ in range(number):
            assert (await _append(context.store, LOG_TOPIC, b"record"))[0] == 200
            assert (await _append(context.store, KEYED_TOPIC, KEYED_RECORD))[0] == 200

    context.runner.run(append_all(count))
    context.runner.run(asyncio.sleep(pause_s))
    context.runner.run(append_all(more))


@when("records older than {age_s:g} s expire")
def expire(context, age_s):
    context.store.expire(age_s)


@when("the store comes back from a copy {age_s:g} s old")
def restore(context, age_s):
    context.store.restore(age_s)


@then("only some get an answer, and the others are carried out within {limit_s:g} s")
def check_carried_out(context, limit_s):
    before = context.runner.run(_records(context))
    context.runner.run(asyncio.sleep(limit_s))
    after = context.runner.run(_records(context))
    for topic, is_answered in context.is_answered.items():
        assert before[topic] == [b"own"] * is_answered, (topic, before)
        assert after[topic] == [b"own"], (topic, after)


@then(
    "after {limit_s:g} s each topic holds the answered appends"
    " and the other record alone"
)
def check_not_carried_out(context, limit_s):
    context.runner.run(asyncio.sleep(limit_s))
    records = context.runner.run(_records(context))
    for topic, is_answered in context.is_answered.items():
        assert records[topic] == [b"own"] * is_answered + [b"other"], records


@then("within {limit_s:g} s exactly the unanswered appends are in their topics")
def check_only_unanswered(context, limit_s):
    assert not any(context.runner.run(_records(context)).values())
    context.runner.run(asyncio.sleep(limit_s))
    records = context.runner.run(_records(context))
    for topic, is_answered in context.is_answered.items():
        assert records[topic] == [b"own"] * (not is_answered), records


@then(
    "a read of the topic without keys from offset {start:d}"
    " is refused with first offset {first:d}"
)
def check_refused(context, start, first):
    reply = context.runner.run(_read(context.store, LOG_TOPIC, start))
    assert reply == (410, {"FirstOffset": first}), reply


@then(
    "a read of it from offset {start:d} returns {count:d} record"
    " and the first offset {first:d}"
)
def check_read(context, start, count, first):
    reply = context.runner.run(_read(context.store, LOG_TOPIC, start))
    assert reply == (first, [b"record"] * count), reply


@then("a read of the keyed topic from offset {start:d} returns {count:d} records")
def check_keyed_read(context, start, count):
    reply = context.runner.run(_read(context.store, KEYED_TOPIC, start))
    assert reply == (0, [KEYED_RECORD] * count), reply


@then("the next append to the topic without keys gets offset {offset:d}")
def check_next_offset(context, offset):
    status, body = context.runner.run(_append(context.store, LOG_TOPIC, b"record"))
    assert status == 200, body
    assert json.loads(body)["Offset"] == offset, body
