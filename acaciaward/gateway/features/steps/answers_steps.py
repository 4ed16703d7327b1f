"""Steps for the heads of answers, which scripted endpoints forge or corrupt."""

import asyncio
import time

from behave import given, then, when

from acaciaward.gateway import events
from acaciaward.gateway.features import scripted

CONNECTION_LINES = (
    b"Connection: close, Secret\r\nSecret: x\r\nKeep-Alive: timeout=3\r\n"
    b"Proxy-Connection: close\r\nUpgrade: h2c\r\n"
)
CONNECTION_NAMES = ("secret", "keep-alive", "proxy-connection", "upgrade")


def script_all(context, script):
    context.front.always(script)


@given("the endpoints answer with status {status:d}")
def answer_status(context, status):
    script_all(context, scripted.answer(b"own", b"%d Own" % status))


@given("the endpoints answer {status:d} unsigned")
def answer_unsigned(context, status):
    script_all(context, scripted.answer(b"own", b"%d Own" % status, signed=False))


@given("the endpoints send hop-by-hop headers")
def answer_connection(context):
    script_all(context, scripted.answer(lines=CONNECTION_LINES))


@given("the endpoints send two content lengths")
def answer_two_lengths(context):
    script_all(context, scripted.answer(lines=b"Content-Length: 2\r\n"))


@given("the endpoints truncate an answer of known length")
def answer_cut(context):
    async def script(head, reader, writer):
        writer.write(scripted.complete_answer(head)[:-2])
        await writer.drain()
        writer.close()

    script_all(context, script)


@given("the endpoints send bytes that aren't an HTTP answer")
def answer_garbage(context):
    async def script(head, reader, writer):
        writer.write(b"\x00\x01garbage\r\n\r\n")
        await writer.drain()

    script_all(context, script)


@given("the endpoints answer before they read the body")
def answer_early(context):
    for endpoint in context.front.endpoints.values():
        endpoint.is_early = True


@given("the endpoints send {part} without end")
def answer_endlessly(context, part):
    head_lines = b"HTTP/1.1 200 OK\r\n" + scripted.SIGNATURE
    chunk = b"10000\r\n" + bytes(0x10000) + b"\r\n"
    event_chunk = b"10000\r\ndata: " + b"x" * (0x10000 - 6) + b"\r\n"
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    begin, repeated = {
        "a head": (head_lines, b"X-Filler: " + b"x" * 0x8000),
        "interim answers": (b"", 500 * b"HTTP/1.1 102 Processing\r\n\r\n"),
        "a body of no length": (head_lines + b"\r\n", bytes(0x10000)),
        "a body in chunks": (head_lines + chunked, chunk),
        "an event": (head_lines + chunked, event_chunk),
    }[part]
    context.sent_bytes = 0

    async def script(head, reader, writer):
        writer.write(
            begin.replace(scripted.SIGNATURE, scripted.echo(head) + scripted.SIGNATURE)
        )
        while True:
            writer.write(repeated)
            await writer.drain()
            context.sent_bytes += len(repeated)
            await asyncio.sleep(0)

    script_all(context, script)


@when("{size:d} bytes of an event arrive in parts of {part_size:d} bytes")
def split_event(context, size, part_size):
    splitter = events.EventSplitter()
    started_at = time.process_time()
    for _ in range(0, size, part_size):
        splitter.feed(b"x" * part_size)
    context.size = size
    context.took_s = time.process_time() - started_at


@then("they were split in less time than a link of {rate:d} Mbit/s takes to carry them")
def check_split(context, rate):
    limit_s = context.size * 8 / (rate * 1_000_000)
    assert context.took_s < limit_s, (context.took_s, limit_s)


@then("the answer is aborted, 502 or 504")
def check_aborted(context):
    is_aborted = not scripted.is_complete(context.data)
    status = scripted.status_of(context.data)
    assert is_aborted or status in (502, 504), context.data[:300]


@then("the endpoint could send less than {limit:d} bytes")
def check_sent(context, limit):
    assert context.sent_bytes < limit, context.sent_bytes


@when("a caller sends a body of {size:d} bytes")
def ask_large(context, size):
    context.data, _ = context.runner.run(scripted.ask(context.front, body=bytes(size)))
    for endpoint in context.front.endpoints.values():
        endpoint.is_early = False


@then("the answer is {status:d} with the endpoint's signature and body")
def check_own(context, status):
    assert scripted.status_of(context.data) == status, context.data
    assert head_of(context, "server-signature") == "s1", context.data
    assert scripted.body_of(context.data) == b"own", context.data


@then("the answer is {status:d}, and it is the gateway's own")
def check_system(context, status):
    assert scripted.status_of(context.data) == status, context.data
    assert head_of(context, "server-signature") is None, context.data
    assert head_of(context, "attempt-id") == "a1", context.data
    assert scripted.body_of(context.data) == b"", context.data


@then("the caller gets no hop-by-hop header of the endpoint")
def check_connection(context):
    found = [name for name in CONNECTION_NAMES if head_of(context, name) is not None]
    assert not found, context.data


def head_of(context, name):
    head = context.data.partition(b"\r\n\r\n")[0] + b"\r\n"
    return scripted.header(head, name)
