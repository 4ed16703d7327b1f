"""Steps for the log lines of requests that end without success."""

import asyncio
import logging

from behave import given, then, when

from acaciaward.catalogue import routes
from acaciaward.gateway import metrics
from acaciaward.gateway.features import scripted
from acaciaward.observability import timeline

LOGGERS = ("acaciaward.gateway.decisions", "acaciaward.gateway.callers")


class Lines(logging.Handler):
    """Collects log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def fields(self, event):
        return [
            getattr(record, "acaciaward_fields", {})
            for record in self.records
            if record.getMessage() == event
        ]


def listen(context):
    context.lines = Lines()
    for name in LOGGERS:
        logger = logging.getLogger(name)
        logger.setLevel(logging.INFO)
        logger.addHandler(context.lines)
        context.add_cleanup(logger.removeHandler, context.lines)


@given("there is no configuration yet")
def lose_configuration(context):
    context.front.index = None


@given("the caller's key is unknown")
def lose_key(context):
    catalogue = context.front.index.catalogue
    known = catalogue.organisations["org"]
    organisations = {"org": known._replace(keys=frozenset({"another"}))}
    context.front.index = routes.Index(catalogue._replace(organisations=organisations))


@given("the route was removed")
def lose_route(context):
    catalogue = context.front.index.catalogue
    context.front.index = routes.Index(catalogue._replace(routes=()))


@given("all endpoints have gone")
def lose_endpoints(context):
    for name in list(context.front.endpoints):
        context.front.directory.remove_now(name, "gone")


@given("the endpoints are full")
def fill_endpoints(context):
    context.front.occupancy.receive_load(
        dict.fromkeys(context.front.endpoints, (500.0, 0.0))
    )


@given("the budget of repeats is spent and the endpoints die")
def spend_budget(context):
    context.front.always(scripted.die())
    spend_repeats(context)


@given("the budget of repeats is spent")
def spend_repeats(context):
    while context.front.repeats.spend("service"):
        pass


@given("there is one endpoint")
def keep_one(context):
    for name in list(context.front.endpoints)[1:]:
        context.front.directory.remove_now(name, "gone")


@when("a caller sends bytes that aren't an HTTP request")
def send_garbage(context):
    listen(context)

    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.front.port)
        writer.write(b"\x00\x01garbage\r\n\r\n")
        await reader.read()
        writer.close()

    context.runner.run(run())


@when("a caller sends {header} of {digits:d} digits")
def send_long_number(context, header, digits):
    listen(context)
    number = "9" * digits
    value = f"{number},1" if header == "Token-Usage" else number

    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", context.front.port)
        lines = ["GET /a/x HTTP/1.1", "Host: shop.example", f"{header}: {value}"]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        context.data = await reader.read()
        writer.close()

    context.runner.run(run())


@then("the caller gets {status:d}")
def check_status(context, status):
    assert context.data.startswith(b"HTTP/1.1 %d " % status), context.data[:80]


@then('the request ends with {outcome}, and a line "{event}" says {field} {value}')
def check_line(context, outcome, event, field, value):
    data = context.answers[-1] if hasattr(context, "answers") else context.data
    if outcome == "cut":
        assert not scripted.is_complete(data), data
    elif outcome == "nothing":
        context.runner.run(asyncio.sleep(0.3))
    else:
        assert scripted.status_of(data) == int(outcome), data
    check_field(context, event, field, value)
    fields = context.lines.fields(event)[-1]
    assert fields["request"] == "a1", fields
    if outcome not in ("cut", "nothing"):
        assert fields["status"] == int(outcome), fields


@then('a line "{event}" says {field} {value}')
def check_field(context, event, field, value):
    found = context.lines.fields(event)
    assert found, [record.getMessage() for record in context.lines.records]
    assert str(found[-1][field]) == value, found[-1]


@then('there is no line "{event}"')
def check_no_line(context, event):
    assert not context.lines.fields(event), context.lines.fields(event)


@then('the line "{event}" has {expected}')
def check_fields(context, event, expected):
    (fields,) = context.lines.fields(event)
    for key, text in [pair.split(" ") for pair in expected.split(", ")]:
        assert str(fields[key]) == text, (key, fields)


@then("its field failed names {count:d} endpoints with {kind}")
def check_failed(context, count, kind):
    (fields,) = context.lines.fields("answer cut")
    failed = [part.split(":") for part in fields["failed"].split(",")]
    assert len(failed) == count, failed
    assert {word for _, word in failed} == {kind}, failed


@then('cuts are counted by the cause "{cause}"')
def check_cuts(context, cause):
    assert metrics.CUTS.labels(cause)._value.get() >= 1


@then("the cause that is explained names {text}")
def check_explained(context, text):
    lines = [
        timeline.Line("", record.getMessage(), as_text(record))
        for record in context.lines.records
    ]
    cause = timeline.describe_cause(lines)
    assert text in cause, cause


def as_text(record):
    fields = getattr(record, "acaciaward_fields", {})
    return {name: str(value) for name, value in fields.items()}


@when("the entry stops while {count:d} streams run, and its process ends")
def stop_with_streams(context, count):
    async def run():
        connections = [await context.group.connect() for _ in range(count)]
        for reader, writer in connections:
            lines = ("Token-Usage: 10,50", "Prompt-Prefix: own:10")
            context.group.send(writer, "/s/", *lines)
            await reader.readuntil(b"\r\n\r\n")
        await context.group.entry.gateway.stop()

    context.runner.run(run())


@then('{count:d} lines "{event}" say cause {cause} and stopping {text}')
def check_cut_lines(context, count, event, cause, text):
    found = context.lines.fields(event)
    assert len(found) == count, found
    assert {(line["cause"], str(line["stopping"])) for line in found} == {(cause, text)}
