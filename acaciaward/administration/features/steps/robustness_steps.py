"""Steps for hostile input to the HTTP API and to settings."""

import asyncio
import collections
import copy
import json
import logging
import pathlib
import string
import tempfile

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward import errors
from acaciaward.callers import handling
from acaciaward.demonstration import world
from acaciaward.entry import process
from acaciaward.observability import metrics
from acaciaward.settings import loader

WAIT_S = 10.0
MODEL = "dossiers-and-replies"
UUID7 = "01890a5d-ac96-774b-bcce-b302099a8057"
HEADERS = (
    "X-Service-Class",
    "X-Deadline-S",
    "X-Idempotent",
    "Idempotency-Key",
    "Content-Type",
    "Cookie",
    "Accept-Encoding",
    "Upgrade",
    "Expect",
    "Transfer-Encoding",
)
POSTS = (
    "/v1/admin/config/patches",
    "/v1/admin/organisations",
    "/v1/admin/organisations/scoala-alba/keys",
    "/v1/admin/organisations/scoala-alba/keys/demo/rotate",
    f"/v1/admin/quarantine/{'0' * 64}/lift",
)
PATCHES = ("/v1/admin/organisations/scoala-alba", "/v1/admin/deployments/x-1")
GETS = (
    "/metrics",
    "/v1/admin/status",
    "/v1/admin/endpoints",
    "/v1/admin/config/diff?from=x&to=-1",
    "/v1/admin/burn?at=1e999",
    "/v1/admin/burn?at=nan&points=5",
    "/v1/admin/burn?at=%C3%A9&at=",
    f"/v1/admin/organisations/scoala-alba/outcomes/{UUID7}",
    f"/v1/outcomes/{UUID7}",
)


class _TracebackHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.found = []

    def emit(self, record):
        if record.exc_info or "Traceback" in record.getMessage():
            self.found.append(record)


def _start(context, **callers):
    demonstration = world.DemonstrationSystem("puzzle-agency", entry_count=1)
    settings = demonstration.entries[0]._settings
    settings["callers"] |= callers
    demonstration.entries = [process.EntryProcess(settings)]
    context.world = demonstration
    context.add_cleanup(lambda: context.runner.run(_kill(demonstration)))
    context.runner.run(demonstration.start())


async def _kill(demonstration):
    """Kill the entries instead of draining them, which other tests cover."""
    for entry in demonstration.entries:
        await entry.kill()
    demonstration.entries = []
    await demonstration.stop()


@given("one entry in process")
def start_entry(context):
    _start(context)


@given("one entry in process with header and body timeouts of half a second")
def start_with_short_timeouts(context):
    _start(context, header_timeout_s=0.5)
    default_timeout_s = handling.BODY_TIMEOUT_S
    handling.BODY_TIMEOUT_S = 0.5
    context.add_cleanup(setattr, handling, "BODY_TIMEOUT_S", default_timeout_s)


@given("one entry in process where an organisation may hold {count:d} connections")
def start_with_connection_limit(context, count):
    _start(context, max_connections_per_organisation=count)


texts = strategies.one_of(
    strategies.text(max_size=12),
    strategies.sampled_from(
        ["biblioteca-brasov", MODEL, "%00", "..", "%ff%fe", "0", "NaN", "-1", "1e400"]
    ),
)
paths = strategies.one_of(
    strategies.sampled_from(
        [
            "/v1/completions",
            "/v1/chat/completions",
            "/v1/models",
            "/v1/entries?data_centre=%ff",
            "/v1/admin/config/diff?from=x&to=-1",
            "/v1/admin/burn?at=1e999",
            "/v1/admin/burn?at=nan&points=5",
            "/v1/admin/config/patches",
            "/v1/admin/organisations",
            "/v1/admin/quarantine/zz/lift",
            "/v1/admin/entries/entry-1/nothing",
            "/openapi.json",
            "*",
            "/",
        ]
    ),
    texts.map(lambda text: f"/v1/services/counter-desk/{text}"),
    texts.map(lambda text: f"/v1/outcomes/{text}"),
    texts.map(lambda text: f"/v1/admin/organisations/{text}/keys"),
    texts.map(lambda text: f"/v1/admin/deployments/{text}"),
    texts.map(lambda text: f"/{text}"),
)
json_values = strategies.recursive(
    strategies.one_of(
        strategies.none(), strategies.booleans(), strategies.integers(), texts
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.one_of(
                texts, strategies.sampled_from(["base", "changes", "name", "keys"])
            ),
            inner,
            max_size=3,
        ),
    ),
    max_leaves=8,
)
completions = strategies.fixed_dictionaries(
    {},
    optional={
        "model": strategies.one_of(strategies.just(MODEL), json_values),
        "prompt": json_values,
        "messages": json_values,
        "max_tokens": strategies.one_of(strategies.integers(), json_values),
        "stream": json_values,
    },
)
bodies = strategies.one_of(
    strategies.binary(max_size=40),
    json_values.map(lambda value: json.dumps(value).encode()),
    completions.map(lambda value: json.dumps(value).encode()),
    strategies.just(b"[" * 5000),
)
plain_texts = strategies.one_of(
    strategies.sampled_from(["urgent", "5", "true", "false", UUID7, "gzip", "nan"]),
    strategies.text(string.ascii_letters + "0123456789-.,;=/", max_size=12),
    texts,
)
header_pairs = strategies.one_of(
    strategies.just([]),
    strategies.lists(
        strategies.tuples(strategies.sampled_from(HEADERS), plain_texts), max_size=2
    ),
)
methods = strategies.sampled_from(
    ["GET", "POST", "PATCH", "DELETE", "HEAD", "PUT", "BREW"]
)
changes = strategies.fixed_dictionaries(
    {},
    optional=dict.fromkeys(("base", "id", "name", "changes", "entry"), json_values),
)
encoded_changes = changes.map(lambda value: json.dumps(value).encode())
encoded_completions = completions.map(lambda value: json.dumps(value).encode())
random_requests = strategies.one_of(
    strategies.tuples(methods, paths, bodies),
    strategies.tuples(
        strategies.just("POST"),
        strategies.sampled_from(["/v1/completions", "/v1/chat/completions"]),
        encoded_completions,
    ),
    strategies.tuples(
        strategies.just("POST"),
        strategies.sampled_from(["confirm", "a%2Fb", "a/b?c=%ff"]).map(
            lambda path: f"/v1/services/counter-desk/{path}"
        ),
        bodies,
    ),
    strategies.tuples(
        strategies.just("POST"), strategies.sampled_from(POSTS), encoded_changes
    ),
    strategies.tuples(
        strategies.just("PATCH"), strategies.sampled_from(PATCHES), encoded_changes
    ),
    strategies.tuples(
        strategies.just("GET"), strategies.sampled_from(GETS), strategies.just(b"")
    ),
)


def _encode(method, path, pairs, body, key):
    lines = [f"{method} {path.replace(' ', '%20')} HTTP/1.1", "host: 127.0.0.1"]
    lines += [f"authorization: Bearer {key}", "connection: close"]
    lines += [f"{name}: {value}" for name, value in pairs]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("utf-8", "replace") + b"\r\n\r\n" + body


async def _send(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        return await asyncio.wait_for(reader.read(), WAIT_S)
    except ConnectionError:
        return b""
    finally:
        writer.close()


def _send_random_requests(context, count):
    port = context.world.addresses[0][1]
    operator = context.world.operator_key
    keys = [operator, operator, *list(context.world.keys.values())[:2], "x"]

    @hypothesis.settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(random_requests, header_pairs, strategies.sampled_from(keys))
    def send(request, pairs, key):
        method, path, body = request
        data = _encode(method, path, pairs, body, key)
        answer = context.runner.run(_send(port, data))
        status = int(answer.split(b" ", 2)[1]) if answer else 0
        context.statuses.append(status)
        assert status < 500, (data, answer)
        assert b"Traceback" not in answer, (data, answer)

    send()


async def _settle(context, task_limit):
    entry = context.world.entries[0]
    connections = entry._server._server.server_state.connections
    async with asyncio.timeout(WAIT_S):
        while connections or entry._dispatcher.in_flight.total():
            await asyncio.sleep(0.02)
        # Background probes and polls start and end tasks; wait until the count falls.
        while len(asyncio.all_tasks()) > task_limit:
            await asyncio.sleep(0.02)
    lines = metrics.render().count(b"\n")
    return {"tasks": len(asyncio.all_tasks()), "lines": lines}


@when("{count:d} random requests are sent twice over raw connections")
def send_twice(context, count):
    context.tracebacks = _TracebackHandler()
    logging.getLogger().addHandler(context.tracebacks)
    context.add_cleanup(logging.getLogger().removeHandler, context.tracebacks)
    context.statuses = []
    context.growth = []
    for _ in range(2):
        _send_random_requests(context, count)
        limit = context.growth[0]["tasks"] if context.growth else float("inf")
        context.growth.append(context.runner.run(_settle(context, limit)))


@then("no answer was a server error and nothing was logged with a traceback")
def check_no_server_errors(context):
    assert not context.tracebacks.found, context.tracebacks.found[:3]
    # Enough random requests reach the handlers instead of failing in the parser.
    counts = collections.Counter(context.statuses)
    assert counts[200] >= 50 and counts[422] >= 10, counts


@then("the second run left no more tasks, connections or metric lines than the first")
def check_growth(context):
    first, second = context.growth
    assert second["lines"] <= first["lines"], context.growth
    assert second["tasks"] <= first["tasks"], context.growth


def _status(answer):
    return int(answer.split(b" ", 2)[1]) if answer else None


@then("a head of {size:d} bytes is answered 431, in one piece or in many")
def check_large_head(context, size):
    port = context.world.addresses[0][1]
    head = b"GET /healthz HTTP/1.1\r\nhost: x\r\nx-large: " + b"a" * size
    in_one_piece = context.runner.run(_send(port, head + b"\r\n\r\n"))
    assert _status(in_one_piece) == 431, in_one_piece
    in_pieces = context.runner.run(_send_slowly(port, [head, b"a" * 10]))
    assert _status(in_pieces) == 431, in_pieces


async def _send_slowly(port, parts, pause_s=0.05):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        return await asyncio.wait_for(reader.read(), WAIT_S)
    except ConnectionError:
        return b""
    finally:
        writer.close()


@then("a connection that sends its head too slowly, or nothing, is closed")
def check_slow_head(context):
    port = context.world.addresses[0][1]
    for parts in ([], [b"GET /healthz HTTP/1.1\r\n", b"host: x\r\n"], [b"\r\n"]):
        assert context.runner.run(_send_slowly(port, parts)) == b""


@then("a body that arrives too slowly is answered 408 as not run")
def check_slow_body(context):
    port = context.world.addresses[0][1]
    key = context.world.keys["scoala-alba"]
    head = (
        f"POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}"
        "\r\ncontent-length: 100\r\n\r\n"
    )
    answer = context.runner.run(_send_slowly(port, [head.encode(), b"{"]))
    assert _status(answer) == 408, answer
    assert b"not_run" in answer, answer


@then("a valid request is answered")
def check_valid_request(context):
    port = context.world.addresses[0][1]
    answer = context.runner.run(
        _send(port, b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
    )
    assert _status(answer) == 200, answer


async def _ask_models(context, organisation):
    port = context.world.addresses[0][1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    key = context.world.keys[organisation]
    head = f"GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\r\n"
    writer.write(head.encode())
    line = await asyncio.wait_for(reader.readline(), WAIT_S)
    return _status(line), writer


@when("biblioteca-brasov holds {count:d} connections")
def hold_connections(context, count):
    context.open_writers = []
    for _ in range(count):
        status, writer = context.runner.run(_ask_models(context, "biblioteca-brasov"))
        assert status == 200
        context.open_writers.append(writer)


@then("its next connection is answered 429 and scoala-alba is served")
def check_bounded(context):
    for organisation, expected in (("biblioteca-brasov", 429), ("scoala-alba", 200)):
        status, writer = context.runner.run(_ask_models(context, organisation))
        writer.close()
        assert status == expected, (organisation, status)


@when("one of the connections is closed")
def close_one(context):
    context.open_writers.pop().close()


@then("its next connection is served")
def check_served(context):
    async def wait():
        async with asyncio.timeout(WAIT_S):
            while True:
                status, writer = await _ask_models(context, "biblioteca-brasov")
                writer.close()
                if status == 200:
                    return
                await asyncio.sleep(0.02)

    context.runner.run(wait())
    for writer in context.open_writers:
        writer.close()


BASE = {
    "instance": {"name": "entry-1", "data_centre": "dc-1", "region": "north"},
    "callers": {"port": 8100},
    "peers": {"port": 8101},
    "platform": {"log": {"address": "10.0.0.1", "port": 9100}},
}
SETTINGS_GROUPS = sorted(loader.merge_defaults(BASE))


def _check_settings(given):
    try:
        loader.check(given, name="entry.json")
    except errors.SettingsError as error:
        assert "\n" not in str(error), str(error)


@then(
    "{settings:d} random settings and {files:d} random files are accepted or "
    "refused with one line"
)
def check_settings(context, settings, files):
    options = {"derandomize": True, "database": None, "deadline": None}

    @hypothesis.settings(max_examples=settings, **options)
    @hypothesis.given(strategies.sampled_from(SETTINGS_GROUPS), texts, json_values)
    def draw_settings(group, key, value):
        given = copy.deepcopy(BASE)
        known = loader.merge_defaults(BASE).get(group)
        names = sorted(known) if isinstance(known, dict) and known else [key]
        given.setdefault(group, {})
        given[group][names[len(key) % len(names)]] = value
        _check_settings(given)
        _check_settings({group: value})
        _check_settings(value)

    @hypothesis.settings(max_examples=files, **options)
    @hypothesis.given(strategies.binary(max_size=60))
    def draw_files(data):
        path.write_bytes(data)
        try:
            loader.load(path)
        except errors.SettingsError as error:
            assert "\n" not in str(error), str(error)

    draw_settings()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "entry.json"
        draw_files()
