"""Checks of what callers and endpoints of the forwarding features got."""

import asyncio
import re

from behave import then

from acaciaward.gateway.features import forwardingscripts, scripted
from acaciaward.gateway.features.steps import forwarding_steps


@then("{count:d} requests arrived at endpoints")
def check_arrivals(context, count):
    assert len(context.front.requests) == count, len(context.front.requests)


@then("the endpoint that was asked gets no more calls")
def check_unwanted(context):
    (asked,) = [
        name for name, server in context.front.endpoints.items() if server.requests
    ]
    endpoint = context.front.directory.get(asked)
    is_left_alone = context.front.occupancy.backoffs.left_s(endpoint) > 0
    assert is_left_alone or context.front.directory.is_leaving(endpoint.incarnation)


@then("no endpoint is paused")
def check_unpaused(context):
    front = context.front
    now = front.occupancy.now()
    for endpoint in front.directory.all():
        assert not front.occupancy._health_of(endpoint).is_paused(now), endpoint.name


@then("the endpoint that leaves got nothing")
def check_left_alone(context):
    (name,) = context.left
    assert not context.front.endpoints[name].requests


@then("the answers are {statuses}")
def check_statuses(context, statuses):
    found = " ".join(str(scripted.status_of(data)) for data in context.answers)
    assert found == statuses, found


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
    assert body == forwarding_steps.SMUGGLED


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


@then("no call was refused and each arrived once")
def check_not_refused(context):
    statuses = [scripted.status_of(data) for data in context.answers]
    assert 503 not in statuses, statuses
    assert len(context.front.requests) == len(statuses), statuses


@then("the answer is aborted and looks incomplete, with nothing but a comment")
def check_comment(context):
    assert not scripted.is_complete(context.data), context.data
    assert scripted.body_of(context.data) == forwardingscripts.COMMENT, context.data


@then("the ids of its events are {first:d} to {last:d}")
def check_ids(context, first, last):
    body = scripted.body_of(context.data)
    found = [int(number) for number in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]
    assert found == list(range(first, last + 1)), body
