"""Steps for the heads of answers, which scripted endpoints forge or corrupt."""

from behave import given, then, when

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
