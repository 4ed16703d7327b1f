"""Steps for forwarding, with callers and endpoints on loopback."""

import asyncio
import time

from behave import given, when

from acaciaward.catalogue import routes
from acaciaward.gateway.features import forwardingscripts, scripted

KINDS = {
    "idempotent": routes.RequestKind.IDEMPOTENT,
    "non_idempotent": routes.RequestKind.NON_IDEMPOTENT,
}

SMUGGLED = b"POST /a/2 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"

FORGED = [
    "Tenant: other",
    "Expect-Instance: other",
    "Request-Priority: 0",
    "Kv-From: 10.0.0.1:1/x",
    "Hold: h",
    "Pin-Ms: 5",
    "Custom: kept",
]


def start(context, kind, **options):
    context.front = scripted.Front(kind, **options)
    context.runner.run(context.front.start())


@given("a front for {kind} requests")
def start_front(context, kind):
    start(context, KINDS[kind])


@given("a front for {kind} requests with a quota of 1 a minute")
def start_front_quota(context, kind):
    quota = routes.Quota(1 / 60, 1)
    start(context, KINDS[kind], quota=quota)


@given("a front for {kind} requests with {count:d} endpoints")
def start_wide_front(context, kind, count):
    start(context, KINDS[kind], count=count, attempts=3)


@given("the endpoints always die")
@when("the endpoints always die")
def always_die(context):
    context.front.always(scripted.die())


@given("the endpoints always stream 1 to 3 and reset a while later")
def always_crash_late(context):
    context.front.always(scripted.stream(1, 3, then="reset a while later"))


@given("the endpoints fail with 500, and their records go")
def fail_without_records(context):
    for name, endpoint in context.front.endpoints.items():
        endpoint.default_script = forwardingscripts.fail_and_lose_record(
            context.front, name
        )


@given("the endpoints answer again")
@when("the endpoints answer again")
def always_answer(context):
    context.front.always(scripted.answer())


@given("the endpoints say that they leave, and die")
def always_leave(context):
    for name, endpoint in context.front.endpoints.items():
        endpoint.default_script = forwardingscripts.leave_and_die(context.front, name)


@given("a front for resumable streams")
def start_resumable(context):
    start(context, routes.RequestKind.STREAM, resumable=True)


@given("a front for streams with {count:d} endpoints and as many attempts")
def start_wide_streams(context, count):
    kind = routes.RequestKind.STREAM
    start(context, kind, resumable=True, attempts=count, count=count)


@given("a front for other streams")
def start_streams(context):
    start(context, routes.RequestKind.STREAM, attempts=2)


@given("a front for other streams with {count:d} endpoints")
def start_other_wide_streams(context, count):
    start(context, routes.RequestKind.STREAM, attempts=2, count=count)


@given("the endpoints answer twice, then answer")
def answer_twice(context):
    for endpoint in context.front.endpoints.values():
        endpoint.scripts = [
            scripted.answer(extra=b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
        ]


@given("the endpoints answer 1 to 6 while the event loop is blocked for {seconds:g} s")
def answer_while_blocked(context, seconds):
    async def script(head, reader, writer):
        await asyncio.sleep(0.05)
        # Caller, entry and endpoint share the process, so the sleep blocks all of
        # them. The events are in the entry's socket when it continues.
        writer.write(b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE)
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, 7):
            scripted.write_chunk(writer, scripted.event(number))
        writer.write(b"0\r\n\r\n")
        time.sleep(seconds)  # noqa: ASYNC251
        await writer.drain()

    context.front.always(script)


@given("the endpoints keep connections for {seconds:d} s")
def keep_connections(context, seconds):
    line = b"Keep-Alive: timeout=%d\r\n" % seconds
    context.front.always(scripted.answer(lines=line))


@given("the endpoints have the versions {first} and {second}")
def set_versions(context, first, second):
    directory = context.front.directory
    for endpoint, version in zip(directory.all(), (first, second), strict=True):
        directory.update(endpoint._replace(version=version))


@given("the store lists an endpoint of {version} by now")
def list_unseen(context, version):
    context.front.unseen_versions.add(version)


@given("the endpoint of {version} has ended")
def end_version(context, version):
    directory = context.front.directory
    for endpoint in directory.all():
        if endpoint.version == version:
            directory.remove(endpoint.name, "test")


@given("{seconds:g} s have passed")
def wait(context, seconds):
    context.runner.run(asyncio.sleep(seconds))


@given("the endpoints drop connections that were idle for {seconds:g} s")
def drop_idle(context, seconds):
    for endpoint in context.front.endpoints.values():
        endpoint.drops_after_s = seconds


@given("the endpoints {script}")
def set_scripts(context, script):
    if script.startswith("stream ") and script not in forwardingscripts.SCRIPTS:
        context.front.script(*forwardingscripts.parse_streams(script))
    elif script.startswith("send the ids "):
        context.front.script(*forwardingscripts.parse_ids(script))
    else:
        context.front.script(*forwardingscripts.SCRIPTS[script]())


@given("a caller asks once")
@when("a caller asks")
def ask(context):
    began = time.monotonic()
    context.data, context.is_reset = context.runner.run(scripted.ask(context.front))
    context.took_s = time.monotonic() - began


@given('all refuse with the line "{line}"')
def refuse_with_line(context, line):
    context.front.always(scripted.refuse(lines=line.encode() + b"\r\n"))


@given('all answer 503 without a promise, with the line "{line}"')
def fail_with_line(context, line):
    lines = line.encode() + b"\r\n"
    context.front.always(scripted.answer(status=b"503 Unavailable", lines=lines))


@when("a caller asks while the endpoint that is connected to says that it leaves")
def ask_while_leaving(context):
    directory = context.front.directory
    ask_while_withdrawn(
        context,
        lambda endpoint: directory.record_leaving(endpoint.incarnation, by_peer=False),
    )


@when("a caller asks while the endpoint that is connected to asks to back off")
def ask_while_backing_off(context):
    backoffs = context.front.occupancy.backoffs
    ask_while_withdrawn(context, lambda endpoint: backoffs.record(endpoint, 3.0))


def ask_while_withdrawn(context, withdraw):
    """Ask; ``withdraw`` is called with the first endpoint once it is connected to."""
    front = context.front
    acquire = front.pool.acquire
    context.left = []

    async def acquire_and_withdraw(endpoint, **options):
        upstream = await acquire(endpoint, **options)
        if not context.left:
            context.left.append(endpoint.name)
            withdraw(endpoint)
        return upstream

    front.pool.acquire = acquire_and_withdraw
    ask(context)


@when("a caller with a timeout of {timeout_s:g} s asks")
def ask_with_timeout(context, timeout_s):
    context.data, context.is_reset = context.runner.run(
        scripted.ask(context.front, caller_timeout_s=timeout_s)
    )


@when("a caller asks {count:d} times")
def ask_often(context, count):
    context.answers = [
        context.runner.run(scripted.ask(context.front))[0] for _ in range(count)
    ]


@when("a caller sends {count:d} calls that it names")
def ask_named(context, count):
    context.answers = [
        context.runner.run(scripted.ask(context.front, attempt=f"a{number}"))[0]
        for number in range(count)
    ]


@when("a caller sends another body")
def ask_another(context):
    context.data, _ = context.runner.run(scripted.ask(context.front, body=b"other"))


@when("a caller asks {count:d} times, {pause:g} s apart")
def ask_apart(context, count, pause):
    context.answers = []
    for _ in range(count):
        context.answers.append(context.runner.run(scripted.ask(context.front))[0])
        context.runner.run(asyncio.sleep(pause))


@when("a caller asks to go on after {number:d}")
def ask_resume(context, number):
    lines = [f"Last-Event-Id: {number}"]
    context.data, context.is_reset = context.runner.run(
        scripted.ask(context.front, lines=lines)
    )


@when("a caller asks and takes the stream up after {first:d} and after {second:d}")
def ask_thrice(context, first, second):
    async def run():
        await scripted.ask(context.front)
        for number, after in enumerate((first, second), start=1):
            lines = [f"Last-Event-Id: {after}", f"Resumes: a{number}"]
            context.data, _ = await scripted.ask(
                context.front, lines=lines, attempt=f"a{number + 1}"
            )

    context.runner.run(run())


@when("a caller sends the forged headers")
def ask_forged(context):
    context.data, _ = context.runner.run(scripted.ask(context.front, lines=FORGED))


@when("a caller sends a body that looks like a request")
def ask_smuggled(context):
    context.data, _ = context.runner.run(scripted.ask(context.front, body=SMUGGLED))


@when("a caller sends its body in chunks")
def ask_chunked(context):
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.front.port)
        writer.write(
            f"POST /a/1 HTTP/1.1\r\nHost: {scripted.HOST}\r\nAttempt-Id: a1\r\n"
            f"Authorization: Bearer {scripted.KEY}\r\nConnection: close\r\n"
            "Transfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n".encode()
        )
        await asyncio.sleep(0.02)
        writer.write(b"5\r\nworld\r\n0\r\n\r\n")
        await reader.read()
        writer.close()

    context.runner.run(run())


@when("a caller leaves after {seconds:g} s")
def leave(context, seconds):
    async def run():
        _, writer = await asyncio.open_connection("127.0.0.1", context.front.port)
        writer.write(
            f"POST /a/1 HTTP/1.1\r\nHost: {scripted.HOST}\r\nAttempt-Id: a1\r\n"
            f"Authorization: Bearer {scripted.KEY}\r\nContent-Length: 0\r\n\r\n"
            "".encode()
        )
        await asyncio.sleep(seconds)
        assert len(context.front.requests) == 1
        writer.close()

    context.runner.run(run())


@given("all answer, and before the next answer write a refusal that {names}")
def answer_after_refusal(context, names):
    named = names == "names an earlier call"

    class Connection:
        """What was written on one connection."""

        earlier = b""

    connections = {}

    async def script(head, reader, writer):
        state = connections.setdefault(writer, Connection())
        if state.earlier:
            line = state.earlier if named else b""
            writer.write(
                b"HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\n"
                + line
                + b"Content-Length: 0\r\n\r\n"
            )
        state.earlier = scripted.echo(head)
        writer.write(scripted.complete_answer(head))
        await writer.drain()

    context.front.always(script)


@given("all answer without naming the call")
def answer_unnamed(context):
    async def script(head, reader, writer):
        named = scripted.complete_answer(head)
        writer.write(named.replace(scripted.echo(head), b""))
        await writer.drain()

    context.front.always(script)


@given("all begin an answer without a length and close")
def begin_and_close(context):
    context.front.always(forwardingscripts.bodiless(b"200 OK"))


@given("all answer 204 without a length")
def answer_no_content(context):
    context.front.always(forwardingscripts.bodiless(b"204 No Content"))


@given("a stream stops after 3 events, and the next answer is {answer}")
def stop_and_answer(context, answer):
    context.front.script(
        scripted.stream(1, 3, then="reset"),
        *[forwardingscripts.NEXT_ANSWERS[answer]] * 3,
    )


@given("a stream stops after a comment, and the next answer is {answer}")
def stop_after_comment(context, answer):
    begun = scripted.stream(1, 0, then="reset", rest=forwardingscripts.COMMENT)
    context.front.script(begun, *[forwardingscripts.NEXT_ANSWERS[answer]] * 3)


@given("each next answer is {answer}")
def answer_next(context, answer):
    context.front.always(forwardingscripts.NEXT_ANSWERS[answer])


@given("a stream without chunks goes on with the head of another answer")
def stream_with_head(context):
    numbered = [scripted.event(number) for number in (1, 2, 3)]
    context.front.always(
        forwardingscripts.write_answer(
            b"200 OK", b"", *numbered, forwardingscripts.FAILURE_HEAD
        )
    )
