"""Steps for forwarding, with callers and endpoints on loopback."""

import asyncio
import re
import time

from behave import given, then, when

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway.features import scripted

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
        endpoint.default_script = fail_and_lose_record(context.front, name)


def fail_and_lose_record(front, name):
    async def script(head, reader, writer):
        front.directory.remove_now(name, "test")
        writer.write(scripted.complete_answer(head, b"", b"500 Failed"))
        await writer.drain()

    return script


@then("{count:d} requests arrived at endpoints")
def check_arrivals(context, count):
    assert len(context.front.requests) == count, len(context.front.requests)


@given("the endpoints answer again")
@when("the endpoints answer again")
def always_answer(context):
    context.front.always(scripted.answer())


@given("the endpoints say that they leave, and die")
def always_leave(context):
    for name, endpoint in context.front.endpoints.items():
        endpoint.default_script = leave_and_die(context.front, name)


def leave_and_die(front, name):
    async def script(head, reader, writer):
        known = front.directory.get(name)
        front.directory.update(known._replace(state=endpoints.EndpointState.LEAVING))
        scripted.reset(writer)

    return script


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


SCRIPTS = {
    "die, then answer": lambda: [scripted.die(), scripted.answer()],
    "refuse, then answer": lambda: [scripted.refuse(), scripted.answer()],
    "refuse, then refuse": lambda: [scripted.refuse() for _ in range(4)],
    "answer unsigned": lambda: [scripted.answer(signed=False)],
    "hang, then answer": lambda: [scripted.hang(), scripted.answer()],
    "hang": lambda: [scripted.hang()],
    "stream 1 to 3 and reset, then 4 to 5 and reset, then 6 and end": lambda: [
        scripted.stream(1, 3, then="reset"),
        scripted.stream(4, 5, then="reset"),
        scripted.stream(6, 6),
    ],
    "stream 1 to 3 and trickle, then 4 to 6 and end": lambda: [
        scripted.stream(1, 3, then="trickle"),
        scripted.stream(4, 6),
    ],
    "stream 1 to 3 and one large event slowly": lambda: [
        scripted.stream(1, 3, then="send one large event slowly"),
    ],
    "hang, then answer a stream": lambda: [scripted.hang(), scripted.stream(1, 6)],
    "answer another request first": lambda: [answer_other_first],
    "answer another request first, saying that they leave": lambda: [
        answer_other_first_with(b"200 OK", b"Server-Leaving: 1\r\n")
    ],
    "answer another request first, refusing it for 3 s": lambda: [
        answer_other_first_with(
            b"503 Service Unavailable", b"Not-Executed: 1\r\nRetry-After: 3\r\n"
        )
    ],
    "begin a stream without chunks and close": lambda: [unframed_stream(0)],
    "stream 1 to 6 without chunks and close": lambda: [unframed_stream(6)],
    "answer without a length": lambda: [answer_unframed],
    "reset an answer without a length": lambda: [reset_unframed],
}


def unframed_stream(last):
    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE)
        writer.write(b"\r\n")
        for number in range(1, last + 1):
            writer.write(scripted.event(number))
        await writer.drain()
        writer.close()

    return script


def answer_other_first_with(status, lines):
    async def script(head, reader, writer):
        other = head.replace(b"a1", b"zz")
        writer.write(
            scripted.complete_answer(other, b"not mine", status, lines=lines)
            + scripted.complete_answer(head, b"mine")
        )
        await writer.drain()

    return script


answer_other_first = answer_other_first_with(b"200 OK", b"")


@then("the endpoint that was asked gets no more calls")
def check_unwanted(context):
    (asked,) = [
        name for name, server in context.front.endpoints.items() if server.requests
    ]
    endpoint = context.front.directory.get(asked)
    is_left_alone = context.front.occupancy.backoffs.left_s(endpoint) > 0
    assert is_left_alone or context.front.directory.is_leaving(endpoint.incarnation)


async def answer_unframed(head, reader, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE + b"\r\n"
    )
    writer.write(b"unframed")
    await writer.drain()
    writer.close()


async def reset_unframed(head, reader, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE + b"\r\n"
    )
    writer.write(b"unfr")
    await writer.drain()
    await asyncio.sleep(0.05)
    scripted.reset(writer)


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


@then("no endpoint is paused")
def check_unpaused(context):
    front = context.front
    now = front.occupancy.now()
    for endpoint in front.directory.all():
        assert not front.occupancy._health_of(endpoint).is_paused(now), endpoint.name


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
    if script.startswith("stream ") and script not in SCRIPTS:
        context.front.script(*parse_streams(script))
    elif script.startswith("send the ids "):
        context.front.script(*parse_ids(script))
    else:
        context.front.script(*SCRIPTS[script]())


def parse_ids(text):
    scripts = []
    for part in text.removeprefix("send the ids ").split(", then "):
        listed, then = part.split(" and ")
        numbers = [int(number) for number in listed.split()]
        scripts.append(scripted.stream_numbers(numbers, numbers[-1] + 1, then=then))
    return scripts


def parse_streams(text):
    scripts = []
    for part in text.removeprefix("stream ").split(", then "):
        found = re.fullmatch(r"(?:(\d+) to (\d+)|nothing) and (.*)", part)
        first, last = (int(found[1]), int(found[2])) if found[1] else (1, 0)
        if found[3] == "half an event":
            half = b"id: %d\nda" % (last + 1)
            scripts.append(scripted.stream(first, last, then="reset", rest=half))
        else:
            scripts.append(scripted.stream(first, last, then=found[3]))
    return scripts


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


@then("the endpoint that leaves got nothing")
def check_left_alone(context):
    (name,) = context.left
    assert not context.front.endpoints[name].requests


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


@then("the answers are {statuses}")
def check_statuses(context, statuses):
    found = " ".join(str(scripted.status_of(data)) for data in context.answers)
    assert found == statuses, found


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


@then("the endpoint's connection closes within {seconds:g} s")
def check_closed(context, seconds):
    async def run():
        async with asyncio.timeout(seconds):
            while sum(
                endpoint.connections for endpoint in context.front.endpoints.values()
            ) != (
                sum(
                    not endpoint._tasks for endpoint in context.front.endpoints.values()
                )
                - 1
            ):
                await asyncio.sleep(0.01)

    context.runner.run(run())


@then("the endpoint gets the organisation, instance and deadline that the gateway sets")
def check_own(context):
    ((head, _),) = context.front.requests
    assert scripted.header(head, "tenant") == "org", head
    assert scripted.header(head, "expect-instance") in context.front.endpoints
    assert 1000 < int(scripted.header(head, "deadline-ms")) <= 1500
    assert scripted.header(head, "attempt-id") == "a1"


@then("the endpoint gets neither the key nor the forged headers")
def check_forged(context):
    ((head, _),) = context.front.requests
    for name in ("authorization", "kv-from", "hold", "pin-ms", "request-priority"):
        assert scripted.header(head, name) is None, name
    assert b"other" not in head
    assert scripted.header(head, "custom") == "kept"


@then("exactly one request arrives, with that body")
def check_smuggled(context):
    ((_, body),) = context.front.requests
    assert body == SMUGGLED


@then('exactly one request arrives, with the body "{text}"')
def check_body(context, text):
    ((_, body),) = context.front.requests
    assert body == text.encode()


@then("the answer is {status:d} and {count:d} request arrived")
@then("the answer is {status:d} and {count:d} requests arrived")
def check_arrived(context, status, count):
    assert scripted.status_of(context.data) == status, context.data
    assert len(context.front.requests) == count


@then("{count:d} request arrived")
def check_count(context, count):
    assert len(context.front.requests) == count


@then("{count:d} requests arrived on {opened:d} connection")
@then("{count:d} requests arrived on {opened:d} connections")
def check_connections(context, count, opened):
    assert len(context.front.requests) == count, context.front.requests
    found = sum(endpoint.connections for endpoint in context.front.endpoints.values())
    assert found == opened, found


@then("the answer is {status:d} with a retry delay")
def check_refusal(context, status):
    check_retry_delay(context.data, status)


def check_retry_delay(data, status):
    assert scripted.status_of(data) == status, data
    head = data.partition(b"\r\n\r\n")[0] + b"\r\n"
    assert float(scripted.header(head, "retry-after")) > 0


@then('the answer is {status:d} with the body "{text}"')
def check_text(context, status, text):
    assert scripted.status_of(context.data) == status, context.data
    assert scripted.body_of(context.data) == text.encode()
    assert scripted.is_complete(context.data)


@then("the answer is {status:d} within {seconds:g} s")
def check_time(context, status, seconds):
    assert scripted.status_of(context.data) == status, context.data
    assert context.took_s < seconds, context.took_s


@then("{count:d} endpoints got it, and the last answer is 503 with a retry delay")
def check_spared(context, count):
    assert count_reached(context) == count, count_reached(context)
    check_retry_delay(context.answers[-1], 503)


@then("more than {count:d} endpoints got it")
def check_more(context, count):
    assert count_reached(context) > count, count_reached(context)


def count_reached(context):
    return sum(bool(endpoint.requests) for endpoint in context.front.endpoints.values())


@then("each answer is complete and the request's own")
def check_complete(context):
    for data in context.answers:
        assert scripted.body_of(data) == b"done", data


@then("no connection was used after the extra bytes")
def check_fresh(context):
    served = [len(endpoint.requests) for endpoint in context.front.endpoints.values()]
    opened = [endpoint.connections for endpoint in context.front.endpoints.values()]
    assert served == opened, (served, opened)


@then("an unknown key gets 401 and an unknown path 404")
def check_denied(context):
    async def run(line, path):
        reader, writer = await asyncio.open_connection("127.0.0.1", context.front.port)
        head = f"GET {path} HTTP/1.1\r\nHost: {scripted.HOST}\r\n{line}\r\n"
        writer.write(f"{head}Connection: close\r\n\r\n".encode())
        data = await reader.read()
        writer.close()
        return scripted.status_of(data)

    assert context.runner.run(run("Authorization: Bearer nobody", "/a/1")) == 401
    known = f"Authorization: Bearer {scripted.KEY}"
    assert context.runner.run(run(known, "/b/1")) == 404


@then("both answers are 503")
def check_both(context):
    assert [scripted.status_of(data) for data in context.answers] == [503, 503]


@then("the second answer is 429 with a retry delay")
def check_quota(context):
    first, second = context.answers
    assert scripted.status_of(first) == 200
    check_retry_delay(second, 429)


@then("the events are {first:d} to {last:d} and the answer is complete")
def check_events(context, first, last):
    expected = b"".join(scripted.event(number) for number in range(first, last + 1))
    assert scripted.body_of(context.data) == expected, context.data
    assert scripted.is_complete(context.data)


@then("the answer is {ending} and has the ids {text}")
def check_listed_ids(context, ending, text):
    expected = b"".join(scripted.event(int(number)) for number in text.split())
    assert scripted.body_of(context.data) == expected, context.data
    is_complete = {"complete": True, "aborted": False}[ending]
    assert scripted.is_complete(context.data) == is_complete, context.data


@then("the answer is complete")
def check_whole(context):
    assert scripted.is_complete(context.data), context.data[-200:]


@then("it took less than {seconds:g} s")
def check_duration(context, seconds):
    assert context.took_s < seconds, context.took_s


@then("{count:d} endpoints were tried")
def check_tried(context, count):
    assert count_reached(context) == count, count_reached(context)


@then("the answer is aborted and looks incomplete")
def check_cut(context):
    assert not scripted.is_complete(context.data), context.data
    assert scripted.body_of(context.data) in (
        b"",
        b"".join(scripted.event(number) for number in range(1, 4)),
    )


@then("the second request says that {number:d} was the last event")
def check_last_event(context, number):
    heads = [head for head, _ in context.front.requests]
    last_event_ids = {scripted.header(head, "last-event-id") for head in heads}
    assert last_event_ids == {None, str(number)}, last_event_ids


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


@then("no call was refused and each arrived once")
def check_not_refused(context):
    statuses = [scripted.status_of(data) for data in context.answers]
    assert 503 not in statuses, statuses
    assert len(context.front.requests) == len(statuses), statuses


@given("all answer without naming the call")
def answer_unnamed(context):
    async def script(head, reader, writer):
        named = scripted.complete_answer(head)
        writer.write(named.replace(scripted.echo(head), b""))
        await writer.drain()

    context.front.always(script)


@given("all begin an answer without a length and close")
def begin_and_close(context):
    context.front.always(bodiless(b"200 OK"))


@given("all answer 204 without a length")
def answer_no_content(context):
    context.front.always(bodiless(b"204 No Content"))


def bodiless(status):
    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 " + status + b"\r\n" + scripted.echo(head))
        writer.write(scripted.SIGNATURE + b"\r\n")
        await writer.drain()
        writer.close()

    return script


UNNUMBERED = b"event: error\ndata: overloaded\n\n"
FAILURE_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
JSON = b"Content-Type: application/json\r\n"
COMMENT = b": waiting\n\n"
FINAL = b"data: [DONE]\n\n"


def write_answer(status, lines, *pieces):
    """Return a script that answers with chunks, or without a length, and closes."""

    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 " + status + b"\r\n" + scripted.echo(head))
        writer.write(scripted.SIGNATURE + lines + b"\r\n")
        for piece in pieces:
            if CHUNKED in lines:
                scripted.write_chunk(writer, piece)
            else:
                writer.write(piece)
        if CHUNKED in lines:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        writer.close()

    return script


EVENTS_4_TO_6 = [scripted.event(number) for number in (4, 5, 6)]
NEXT_ANSWERS = {
    "a failure": scripted.answer(b"overloaded\n\n", b"500 Internal Server Error"),
    "a failure without a length": write_answer(b"500 Failed", b"", UNNUMBERED),
    "a success of another media type": scripted.answer(
        b'{"error": "overloaded"}\n\n', lines=JSON
    ),
    "a success of another type, in chunks": write_answer(
        b"200 OK", JSON + CHUNKED, b'{"error": "overloaded"}\n\n'
    ),
    "an event without an id": write_answer(b"200 OK", CHUNKED, UNNUMBERED),
    "an event without an id, and an end": write_answer(
        b"200 OK", CHUNKED, UNNUMBERED, FINAL
    ),
    "the head of a failure as text": write_answer(b"200 OK", CHUNKED, FAILURE_HEAD),
    "comments and 4 to 6 and an end": write_answer(
        b"200 OK",
        b"Content-Type: text/event-stream; charset=utf-8\r\n" + CHUNKED,
        COMMENT,
        b"retry: 500\n\n",
        *EVENTS_4_TO_6,
        FINAL,
    ),
}


@given("a stream stops after 3 events, and the next answer is {answer}")
def stop_and_answer(context, answer):
    context.front.script(
        scripted.stream(1, 3, then="reset"), *[NEXT_ANSWERS[answer]] * 3
    )


@given("a stream stops after a comment, and the next answer is {answer}")
def stop_after_comment(context, answer):
    begun = scripted.stream(1, 0, then="reset", rest=COMMENT)
    context.front.script(begun, *[NEXT_ANSWERS[answer]] * 3)


@then("the answer is aborted and looks incomplete, with nothing but a comment")
def check_comment(context):
    assert not scripted.is_complete(context.data), context.data
    assert scripted.body_of(context.data) == COMMENT, context.data


@given("each next answer is {answer}")
def answer_next(context, answer):
    context.front.always(NEXT_ANSWERS[answer])


@given("a stream without chunks goes on with the head of another answer")
def stream_with_head(context):
    numbered = [scripted.event(number) for number in (1, 2, 3)]
    context.front.always(write_answer(b"200 OK", b"", *numbered, FAILURE_HEAD))


@then("the ids of its events are {first:d} to {last:d}")
def check_ids(context, first, last):
    body = scripted.body_of(context.data)
    found = [int(number) for number in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]
    assert found == list(range(first, last + 1)), body
