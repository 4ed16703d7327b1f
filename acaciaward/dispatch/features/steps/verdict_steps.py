"""Steps for verdicts, with real sockets where bytes matter and fakes elsewhere."""

import asyncio
import json
import time
import types

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward import errors, httpclient, requests, verdicts
from acaciaward.client import caller
from acaciaward.dispatch import attempts, dispatcher
from acaciaward.endpoints import attempts as endpoint_attempts, service
from standins import ports

ADDRESS = "127.0.0.1"
COMPLETE_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
REFUSAL = json.dumps({"verdict": "not_run"}).encode()


def make_request(**changes):
    now = asyncio.get_running_loop().time()
    request = requests.Request(
        request_id="req-1",
        organisation="org-1",
        deployment="desk",
        kind=requests.DeploymentKind.SERVICE,
        service_class=requests.ServiceClass.URGENT,
        idempotent=False,
        key="k",
        digest="d",
        deadline=now + 5,
        body=b"{}",
    )
    return request._replace(**changes)


def make_endpoint(port):
    kind = requests.DeploymentKind.SERVICE
    return requests.Endpoint("service-1", ADDRESS, port, "dc-1", "desk", kind)


@then("only the top-level verdict of a refusal counts, whatever else its body contains")
def check_refusals(context):
    values = strategies.recursive(
        strategies.sampled_from(["not_run", "ran", 1, None]),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from(["verdict", "echo", "error"]), inner, max_size=3
            )
        ),
        max_leaves=6,
    )

    @hypothesis.settings(database=None, derandomize=True, max_examples=300)
    @hypothesis.given(strategies.sampled_from([409, 429, 500, 503]), values)
    def check(status, body):
        response = types.SimpleNamespace(status=status, retry_after_s=None)
        raw = json.dumps(body).encode()
        error = endpoint_attempts.error_from_response(response, raw)
        said = isinstance(body, dict) and body.get("verdict") == "not_run"
        is_proved = said and status != 500
        expected = verdicts.Verdict.NOT_RUN if is_proved else None
        assert error.verdict is (expected or verdicts.Verdict.MAY_HAVE_RUN), body

    check()


def answer(status, body, *headers):
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def trickle(writer):
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n")
    for _ in range(100):
        writer.write(b"x")
        await asyncio.sleep(0.05)


async def stay_silent(writer):
    await asyncio.sleep(2)


def sender_of(raw):
    async def send(writer):
        writer.write(raw)

    return send


BEHAVIOURS = {
    "closes after it has read the request": sender_of(b""),
    "says nothing": stay_silent,
    "trickles its answer past the deadline": trickle,
    "cuts its answer short": sender_of(answer(200, b"ok")[:-1]),
    "answers another attempt": sender_of(answer(200, b"ok", "x-attempt: other")),
    "refuses in its own words": sender_of(answer(503, REFUSAL)),
    "is overloaded without a word on it": sender_of(answer(503, b"{}")),
    "answers": sender_of(COMPLETE_ANSWER),
}


@given("a service that {behaviour}")
def start_service(context, behaviour):
    context.seen = []
    context.port = ports.find_free_port()
    if behaviour in BEHAVIOURS:
        serve = serving(context.seen, BEHAVIOURS[behaviour])
        context.server = context.runner.run(
            asyncio.start_server(serve, ADDRESS, context.port)
        )


def serving(seen, behave):
    async def serve(reader, writer):
        data = await reader.read(65536)
        seen.append(data)
        try:
            if data:
                await behave(writer)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    return serve


@when("it is called with {deadline_s:g} s to the deadline")
def call_service(context, deadline_s):
    async def call():
        plain_service = service.HttpPlainService(httpclient.HttpClient())
        try:
            await plain_service.call(
                make_endpoint(context.port),
                make_request(),
                attempt="a",
                deadline_s=deadline_s,
            )
        except errors.EndpointError as error:
            return error.verdict
        return verdicts.Verdict.RAN

    begin = time.monotonic()
    context.end = context.runner.run(call())
    context.took_s = time.monotonic() - begin


@then('the attempt ends in "{verdict}" within {bound_s:g} s')
def check_attempt(context, verdict, bound_s):
    assert context.end is verdicts.Verdict(verdict), context.end
    assert context.took_s < bound_s, context.took_s


@when("it is called with a claim that is no longer certain")
def call_unconfirmed(context):
    def refuse():
        raise errors.PlatformUnavailableError("no longer certain")

    async def call():
        plain_service = service.HttpPlainService(httpclient.HttpClient())
        try:
            await plain_service.call(
                make_endpoint(context.port),
                make_request(),
                attempt="a",
                deadline_s=1.0,
                before_write=refuse,
            )
        except errors.RequestError as error:
            await asyncio.sleep(0.05)
            return error.verdict

    context.end = context.runner.run(call())


@then('the call ends as "{verdict}" and the service saw no byte')
def check_no_byte(context, verdict):
    assert context.end is verdicts.Verdict(verdict), context.end
    assert b"".join(context.seen) == b"", context.seen


class LateQuarantine:
    """Quarantines a request once an endpoint has crashed while running it."""

    def __init__(self):
        self.is_dead = False

    def check(self, request):
        if self.is_dead:
            raise errors.QuarantinedError("quarantined")

    def is_suspect(self, request):
        return False

    def release_turn(self, request, endpoint, *, is_completed):
        pass

    async def report_death(self, endpoint, in_flight):
        self.is_dead = True


class DyingService:
    """Loses the connection of each call after its first byte."""

    async def call(self, endpoint, request, **options):
        raise errors.EndpointError(
            "lost", verdict=verdicts.Verdict.MAY_HAVE_RUN, may_endpoint_have_died=True
        )


class FakeDependencies:
    """A router and an admission that accept everything and know one endpoint."""

    async def admit(self, request):
        return None

    def release(self, ticket):
        pass

    def may_retry(self, organisation):
        return True

    def choose(self, request, **options):
        return make_endpoint(1)

    def record_start(self, endpoint, request):
        pass

    def record_end(self, endpoint, request, end):
        pass


@when("an attempt that may have run is followed by a quarantine")
def run_quarantined(context):
    async def run():
        fake = FakeDependencies()
        dependencies = attempts.Dependencies(
            router=fake,
            admission=fake,
            claims=None,
            quarantine=LateQuarantine(),
            engine=None,
            service=DyingService(),
        )
        limits = attempts.RetryLimits(3, 0.001, 0.001)
        runner = dispatcher.Dispatcher(dependencies, limits)
        try:
            await runner.call(make_request(idempotent=True))
        except errors.RequestError as error:
            return error.verdict

    context.end = context.runner.run(run())


@then('the final error says "{verdict}"')
def check_final(context, verdict):
    assert context.end is verdicts.Verdict(verdict), context.end


@when('a first entry drops the request and a second says "not_run"')
def ask_two_entries(context):
    refusal = json.dumps({"error": {"message": "no", "verdict": "not_run"}}).encode()
    behaviours = (sender_of(b""), sender_of(answer(400, refusal)))
    context.seen = [[], []]

    async def ask():
        addresses = []
        for seen, behave in zip(context.seen, behaviours, strict=True):
            port = ports.find_free_port()
            await asyncio.start_server(serving(seen, behave), ADDRESS, port)
            addresses.append((ADDRESS, port))
        client = caller.Caller(addresses, key="k")
        client.pin(addresses[::-1])
        try:
            await client.call("desk", "confirm", b"{}", idempotent=False)
        except caller.CallerError as error:
            return error.verdict

    context.end = context.runner.run(ask())


@then('the caller receives "{verdict}"')
def check_received(context, verdict):
    assert context.end is verdicts.Verdict(verdict), context.end


@then("the request to the second entry is marked as sent again")
def check_resend(context):
    first, second = context.seen
    assert b"x-resend" not in first[0], first
    assert b"x-resend: true" in second[0], second
