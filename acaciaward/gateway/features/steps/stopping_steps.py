"""Steps for the stop of one entry, with callers on kept connections."""

import asyncio
import itertools
import random
import time
import types
import typing

from behave import given, then, when

from acaciaward.catalogue.features import delivery
from acaciaward.gateway import shutdown
from standins import edgeserver, edgewire

HOST = "x.example"
TIMEOUT_MS = 20_000
# Longer than any stop takes.
ANSWER_TIMEOUT_S = 12.0
# Status of a call whose connection ended without an answer.
NO_ANSWER = 0
EVENTS = 10
# Path of streams that take longer, and by how much.
LONGER_STREAM = "/s/longer/"
LONGER_BY_S = 2.0
ROUTES = [
    {"Name": "s", "PathPrefix": "/s/", "RouteType": "streaming", "Resumable": True},
    {"Name": "c", "PathPrefix": "/c/", "RouteType": "non_idempotent"},
]


class Answer(typing.NamedTuple):
    """What a caller got."""

    attempt_id: str
    status: int
    retry_after_s: float | None


class SlowServer(edgeserver.EdgeServer):
    """A server that takes the time that it is given for each kind of request."""

    stream_s = call_s = 0.0

    async def _answer(self, request, writer, headers, behaviour):
        await asyncio.sleep(self.call_s)
        return await super()._answer(request, writer, headers, behaviour)

    async def _stream(self, request, writer, headers, behaviour):
        lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        attempt_id = headers["Attempt-Id"]
        is_longer = request.path.startswith(LONGER_STREAM)
        interval_s = (self.stream_s + is_longer * LONGER_BY_S) / EVENTS
        for number in range(1, EVENTS + 1):
            writer.write(self._frame(edgeserver.event(attempt_id, number)))
            await asyncio.sleep(interval_s)
        writer.write(b"0\r\n\r\n")
        return True


class Watch:
    """Records which requests reach servers."""

    def __init__(self):
        self.arrived_ids = []

    def arrived(self, server, request):
        self.arrived_ids.append(request.headers["attempt-id"])

    def ran(self, server, request):
        pass

    def ended(self, server, request):
        pass


class Stop:
    """An entry, its server, and callers."""

    def __init__(self, stream_s, call_s, entries=1):
        common = {"Host": HOST, "Service": "app", "TimeoutMs": TIMEOUT_MS}
        routes = [route | common | {"Sticky": True} for route in ROUTES]
        self.world = delivery.World(1, entries, configuration={"Routes": routes})
        self.watch = Watch()
        self.answers = []
        # How long after its signal the entry begins to stop.
        self.held_up_s = 0.0
        self._numbers = itertools.count()
        self.server = SlowServer(
            self.world.store,
            self.watch,
            name="app-1",
            service="app",
            data_centre="dc-0",
            rng=random.Random(1),
        )
        self.server.stream_s, self.server.call_s = stream_s, call_s

    @property
    def entry(self):
        return self.world.entries[0]

    async def start(self):
        await self.world.start()
        await self.server.start()
        self.server.register(self.server.port)
        self.world.store.drop(delivery.ENDPOINTS_TOPIC, "s-0")
        await self.world.wait_until(lambda: self.entry.endpoint_names == {"app-1"}, 5.0)

    async def stop(self):
        await self.server.stop()
        await self.world.stop()

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.entry.ports["Frontend"])

    def send(self, writer, path, *lines):
        """Send a request, and return its attempt id."""
        attempt_id = f"r-{next(self._numbers)}"
        head = [f"POST {path}x HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt_id}"]
        head += [f"Deadline-Ms: {TIMEOUT_MS}", "Content-Length: 0", *lines]
        writer.write("\r\n".join([*head, "", ""]).encode())
        return attempt_id

    async def read(self, reader, attempt_id):
        """Read one answer with a length."""
        status, retry_after = NO_ANSWER, None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                words, headers = edgewire.parse_head(head)
                await reader.readexactly(int(headers.get("content-length", 0)))
            status, retry_after = int(words[1]), headers.get("retry-after")
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        self.answers.append(
            Answer(attempt_id, status, float(retry_after) if retry_after else None)
        )

    async def read_stream(self, reader):
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await reader.readuntil(b"\r\n\r\n")
            await reader.readuntil(b"0\r\n\r\n")

    async def stream(self, path):
        """Read a whole stream; return its connection."""
        reader, writer = await self.connect()
        self.send(writer, path, "Token-Usage: 10,50", "Prompt-Prefix: own:10")
        await self.read_stream(reader)
        return reader, writer

    async def call_after_stream(self):
        reader, writer = await self.stream("/s/")
        await self.read(reader, self.send(writer, "/c/"))
        writer.close()

    async def run_longer_stream(self):
        _, writer = await self.stream(LONGER_STREAM)
        writer.close()

    async def call_in_a_row(self, count):
        reader, writer = await self.connect()
        for attempt_id in [self.send(writer, "/c/") for _ in range(count)]:
            await self.read(reader, attempt_id)
        writer.close()

    async def run_stream(self):
        _, writer = await self.stream("/s/")
        writer.close()

    async def call_after(self, delay_s):
        """Send a call so long after now, on a connection that is opened now."""
        due = time.monotonic() + delay_s
        reader, writer = await self.connect()
        await asyncio.sleep(due - time.monotonic())
        await self.read(reader, self.send(writer, "/c/"))
        writer.close()

    async def stop_entry_after(self, delay_s, calls):
        requested_at = time.monotonic() + delay_s
        async with asyncio.TaskGroup() as group:
            for call in calls:
                group.create_task(call)
            await asyncio.sleep(delay_s + self.held_up_s)
            await self.entry.gateway.stop(requested_at)


@given(
    "an entry whose endpoints take {stream_s:g} s for a stream and {call_s:g} s for a"
    " call"
)
def start(context, stream_s, call_s, entries=1):
    context.group = Stop(stream_s, call_s, entries=entries)
    context.runner.run(context.group.start())


@given(
    "an entry and a peer whose endpoints take {stream_s:g} s for a stream and"
    " {call_s:g} s for a call"
)
def start_with_peer(context, stream_s, call_s):
    start(context, stream_s, call_s, entries=2)


@when("the entry stops under a stream just after its peer has gone")
def lose_peer(context):
    group = context.group
    context.runner.run(group.world.end_entry(group.world.entries.pop()))


@when("the entry is held up for {held_up_s:g} s as it is told to stop under a stream")
def hold_up(context, held_up_s):
    context.group.held_up_s = held_up_s


@then(
    "a call that comes {early_s:g} s after is served, and one {late_s:g} s after"
    " reaches no endpoint"
)
def check_close(context, early_s, late_s):
    group = context.group
    calls = [group.run_stream(), group.call_after(early_s), group.call_after(late_s)]
    context.runner.run(group.stop_entry_after(0.0, calls))
    early, late = group.answers
    assert early.status == 200, early
    assert late.attempt_id not in group.watch.arrived_ids, late


@when(
    "the entry stops {delay_s:g} s after a stream has begun on each of {count:d}"
    " connections"
)
def prepare_streams(context, delay_s, count):
    context.stop_after_s, context.count = delay_s, count


@when("each of them carries a call as its stream has ended, while another stream runs")
def call_after_streams(context):
    group = context.group
    calls = [group.call_after_stream() for _ in range(context.count)]
    calls.append(group.run_longer_stream())
    context.runner.run(group.stop_entry_after(context.stop_after_s, calls))


@when(
    "the entry stops {delay_s:g} s after {count:d} calls were sent on each of"
    " {connections:d} connections"
)
def call_in_rows(context, delay_s, count, connections):
    group = context.group
    calls = [group.call_in_a_row(count) for _ in range(connections)]
    context.runner.run(group.stop_entry_after(delay_s, calls))


@given("a call whose answer has begun, and one without an answer")
def make_calls(context):
    context.shutdown = shutdown.Shutdown()


async def wait_in(known, responder):
    try:
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        progress = types.SimpleNamespace(deadline=deadline)
        async with known.limit(progress, responder):
            await asyncio.get_running_loop().create_future()
    except TimeoutError:
        return


@when("the stop gives up")
def give_up(context):
    async def run():
        waiting = [
            asyncio.create_task(
                wait_in(context.shutdown, types.SimpleNamespace(has_begun=has_begun))
            )
            for has_begun in (True, False)
        ]
        await asyncio.sleep(0)
        context.shutdown.give_up()
        await asyncio.wait(waiting, timeout=0.2)
        context.has_ended = [task.done() for task in waiting]
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    context.runner.run(run())


@then("only the call without an answer ends")
def check_given_up(context):
    assert context.has_ended == [False, True], context.has_ended


@then("every call is refused with a time to retry, and no endpoint got it")
def check_refused(context):
    answers = context.group.answers
    wrong = [
        answer for answer in answers if answer.status != 503 or not answer.retry_after_s
    ]
    passed_on = {answer.attempt_id for answer in answers}.intersection(
        context.group.watch.arrived_ids
    )
    assert answers and not wrong and not passed_on, (wrong, passed_on)


@then("every call is answered")
@then("every call is answered with {status:d}")
def check_answered(context, status=None):
    answers = context.group.answers
    wrong = [
        answer
        for answer in answers
        if answer.status not in ((status,) if status else (200, 503))
    ]
    assert answers and not wrong, (len(answers), wrong)
