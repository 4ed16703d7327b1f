"""Steps for the budgets of bytes and connections, and for the parser."""

import random
import re

import h11
from behave import given, then, when

from acaciaward.gateway import bodybudget, connectionlimit, guarding, requestparser

NOW = 1000.0
LIMIT = 4
LARGEST_BODY = 4 << 20
MAX_HEAD_BYTES = 16384
HOLDING = re.compile(r"(\w) of (\w) (\d+) kB(?: (\d+) s ago)?( running)?( trickling)?")
CONNECTION = re.compile(r"(\w) of (\w)( busy)?( active)?")
GOOD_PARTS = (
    b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
    b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
    b"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nab\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
    b"POST /d HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\n\n"
    b"1 \r\na\r\n003\r\n\r\n\r\r\n0\r\nX-Trailer: t\r\nY: z\r\n\r\n",
    b"POST /e HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
    b"Content-Length: 3\r\n\r\n\r\n\r",
)
BAD_PARTS = (
    b"POST /f HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
    b"POST /g HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"POST /h HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
    b"POST /i HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
    b"\r\n\r\nGET /j HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /k HTTP/1.1\r\n\r\n",
    b"\x16\x03\x01",
)


class Clock:
    def __init__(self):
        self.now = NOW

    def __call__(self):
        return self.now


class Connection:
    def __init__(self, name, sender, is_busy=False):
        self.name, self.sender, self.is_busy = name, sender, is_busy
        self.is_closed = False

    def abort(self):
        self.is_closed = True


def _open(context, name, sender):
    return context.budget.open(sender, lambda: context.dropped.append(name))


@given("a budget of {size:d} kB")
def make_budget(context, size, largest=0):
    context.clock = Clock()
    context.dropped = []
    context.budget = bodybudget.BodyBudget(
        size * 1000, largest_body=lambda: largest * 1000, clock=context.clock
    )


@given("a budget of {size:d} kB for bodies of at most {largest:d} kB")
def make_budget_for_bodies(context, size, largest):
    make_budget(context, size, largest)


@given("holdings {text}")
def add_holdings(context, text):
    for name, sender, size, age_s, running, trickling in HOLDING.findall(text):
        holding = _open(context, name, sender)
        context.clock.now = NOW - int(age_s or 0)
        assert context.budget.resize(holding, int(size) * 1000)
        holding.is_droppable = not running
        context.clock.now = NOW
        # Less than what counts as progress.
        if trickling:
            assert context.budget.resize(holding, int(size) * 1000 + 10)


@when("e asks for {size:d} kB")
def ask(context, size):
    holding = _open(context, "e", "z")
    context.has_room = context.budget.resize(holding, size * 1000)


@then("{dropped} is dropped, and e {result}")
def check_dropped(context, dropped, result):
    expected = [] if dropped == "nobody" else [dropped]
    assert context.dropped == expected, context.dropped
    assert context.has_room == (result == "has room")


@then("20,000 random steps keep the budget's bounds, and leave nothing held")
def check_random_steps(context):
    rng = random.Random(1)
    clock = Clock()
    budget = bodybudget.BodyBudget(1_000_000, clock=clock)
    dropped = []
    sizes = {}

    def open_one():
        holding = budget.open(rng.choice("xyz"), lambda: dropped.append(holding))
        sizes[holding] = 0

    for _ in range(50):
        open_one()
    for _ in range(20_000):
        clock.now += rng.random() / 10
        holding = rng.choice(list(sizes))
        holding.is_droppable = rng.random() < 0.8
        size = rng.choice([0, sizes[holding] + rng.randrange(60_000)])
        sizes[holding] = size if budget.resize(holding, size) else 0
        for victim in dropped:
            sizes[victim] = 0
        dropped.clear()
        counted = [size for size in sizes.values() if size > bodybudget.UNCOUNTED_BYTES]
        assert budget.held_bytes == sum(counted) <= 1_000_000
    for holding in sizes:
        budget.close(holding)
    assert budget.held_bytes == 0


@then(
    "its entry may hold {size:d} bytes and {count:d} connections",
)
def check_machine(context, size, count):
    row = context.active_outline
    memory_mb = None if row["memory"] == "none" else float(row["memory"])
    limits = {"memory_mb": memory_mb, "max_fds": int(row["descriptors"])}
    guard = guarding.build(limits | {"body_s": 300.0}, lambda: LARGEST_BODY)
    assert guard.budget.capacity_bytes == size, guard.budget.capacity_bytes
    assert guard.connections.max_count == count, guard.connections.max_count


@given("connections {text}")
def add_connections(context, text):
    context.limit = connectionlimit.ConnectionLimit(LIMIT)
    context.connections = []
    active = []
    for name, sender, busy, is_active in CONNECTION.findall(text):
        connection = Connection(name, sender, bool(busy))
        context.limit.add(connection)
        context.connections.append(connection)
        active += [connection] if is_active else []
    for connection in active:
        context.limit.touch(connection)


@when("e of {sender} connects")
def connect(context, sender):
    connection = Connection("e", sender)
    context.connections.append(connection)
    context.limit.add(connection)


@then("the closed connection is {name}")
def check_closed(context, name):
    closed = [one.name for one in context.connections if one.is_closed]
    assert closed == ([] if name == "nobody" else [name]), closed
    # The server removes a closed connection once more.
    for connection in context.connections:
        context.limit.remove(connection)
    assert context.limit.count == 0


def _run(parser, connection, pieces):
    """
    Return the events that pieces give, neighbouring data joined.

    Data of a request that ends with an error is left out, as nobody gets that.
    """
    found = []
    try:
        for piece in pieces:
            parser.receive_data(piece)
            while (event := parser.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Data):
                    if found and isinstance(found[-1], bytes):
                        found[-1] += bytes(event.data)
                    else:
                        found.append(bytes(event.data))
                elif isinstance(event, h11.Request):
                    found.append((event.method, event.target, list(event.headers)))
                else:
                    found.append((type(event), list(event.headers)))
                    answer = h11.Response(
                        status_code=200, headers=[(b"content-length", b"0")]
                    )
                    connection.send(answer)
                    connection.send(h11.EndOfMessage())
                    connection.start_next_cycle()
    except h11.RemoteProtocolError as error:
        if found and isinstance(found[-1], bytes):
            found.pop()
        found.append(error.error_status_hint)
    return found


@then("3,000 random inputs in random pieces give the events that h11 gives")
def check_same_events(context):
    rng = random.Random(1)
    for _ in range(3_000):
        data = b"".join(rng.choices(GOOD_PARTS, k=rng.randint(1, 4)))
        if rng.random() < 0.3:
            data += rng.choice(BAD_PARTS)
        cuts = sorted(rng.choices(range(len(data)), k=rng.randint(0, 12)))
        bounds = [0, *cuts, len(data)]
        pieces = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False) if a < b]
        plain = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        expected = _run(plain, plain, pieces)
        parser = requestparser.RequestParser(MAX_HEAD_BYTES)
        found = _run(parser, parser.connection, pieces)
        assert found == expected, (pieces, found, expected)


@then("10,000 chunks of 2 bytes give one event with 20,000 bytes")
def check_joined(context):
    parser = requestparser.RequestParser(MAX_HEAD_BYTES)
    head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    parser.receive_data(head + b"2\r\nxy\r\n" * 10_000)
    assert isinstance(parser.next_event(), h11.Request)
    assert len(parser.next_event().data) == 20_000
    assert parser.has_tiny_chunks
    assert parser.next_event() is h11.NEED_DATA
