"""Steps for endpoints that send nothing for a while and go on."""

import asyncio
import contextlib
import re
import time

from behave import given, then, when

from acaciaward.catalogue import routes
from acaciaward.catalogue.features import delivery
from acaciaward.gateway.features import fleet, scripted
from acaciaward.gateway.features.steps import forwarding_steps
from acaciaward.membership import interfaces

STREAM_EVENTS = 80
EVENT_INTERVAL_S = 0.05
RATE = 15
TIMEOUT_MS = 12_000
WARM_UP_S = 4.5
# Streams that run when endpoints stand still have ended this much later.
STREAM_END_S = 9.0
LEAST_BEGUN = 40
WORK_END_S = 0.6
OK = 200


def others(word):
    return {
        "refuse": scripted.refuse,
        "die": scripted.die,
        "hang": scripted.hang,
    }[word]()


@given(
    "a stream is silent after {count:d} events and goes on a second later, and others"
    " {word}"
)
def fall_silent(context, count, word):
    # The endpoint sends one event after its silence, and the next two at once.
    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE)
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(1, count + 1):
            scripted.write_chunk(writer, scripted.event(number))
        await writer.drain()
        await asyncio.sleep(1.0)
        for number in range(count + 1, count + 4):
            scripted.write_chunk(writer, scripted.event(number))
        await scripted.end(reader, writer, count + 4)

    context.front.always(others(word))
    context.front.script(script)


@given("an answer comes after {seconds:g} s, and others refuse")
def answer_late(context, seconds):
    async def script(head, reader, writer):
        await asyncio.sleep(seconds)
        await scripted.answer(b"late")(head, reader, writer)

    context.front.always(scripted.refuse())
    context.front.script(script)


@given("no endpoint answers")
def hang(context):
    context.front.always(scripted.hang())


@given(
    "a stream hangs after 3 events, and the next endpoint sends 4 to 6 after"
    " {seconds:g} s"
)
def accept_slowly(context, seconds):
    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE)
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        await writer.drain()
        await asyncio.sleep(seconds)
        for number in range(4, 7):
            scripted.write_chunk(writer, scripted.event(number))
        await scripted.end(reader, writer, 7)

    context.front.script(scripted.stream(1, 3, then="hang"), script)


@then("the silent endpoint was left within {limit_s:g} s of the second request")
def check_left(context, limit_s):
    silent, second = sorted(
        context.front.endpoints.values(), key=lambda endpoint: endpoint.arrived_at
    )
    left_s = silent.ended_at[0] - second.arrived_at[0]
    assert left_s < limit_s, left_s


@when("a caller leaves {seconds:g} s later, without an answer")
def leave(context, seconds):
    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await scripted.ask(context.front, caller_timeout_s=2.9)

    context.runner.run(run())


@then("no endpoint works on the call any more")
def check_idle(context):
    async def run():
        await asyncio.sleep(WORK_END_S)
        return [endpoint.working for endpoint in context.front.endpoints.values()]

    working = context.runner.run(run())
    assert not any(working), working


@given("the budget of repeats allows {count:d} more")
def leave_budget(context, count):
    repeats = context.front.repeats
    for _ in range(2000):
        repeats.record_first_attempt("service")
    while repeats.spend("service"):
        pass
    # Each first attempt of this window allows 0.14 repeats more.
    while not repeats.may_repeat("service"):
        repeats.record_first_attempt("service")
    for _ in range((count - 1) * 7):
        repeats.record_first_attempt("service")


@given("all streams are silent after 3 events and go on a second later")
def fall_silent_always(context):
    context.front.always(scripted.stream(1, 5, then="end a second later"))


@when("{count:d} callers with a timeout of {timeout_s:g} s ask at once")
def ask_at_once(context, count, timeout_s):
    async def run():
        return await asyncio.gather(
            *(
                scripted.ask(
                    context.front, caller_timeout_s=timeout_s, attempt=f"a{number}"
                )
                for number in range(count)
            )
        )

    context.answers = context.runner.run(run())


@then("each gets the events {first:d} to {last:d} and a complete answer")
def check_all(context, first, last):
    expected = b"".join(scripted.event(number) for number in range(first, last + 1))
    for data, _ in context.answers:
        assert scripted.body_of(data) == expected, data
        assert scripted.is_complete(data), data


@then("no more than {count:d} calls were sent twice")
def check_budget(context, count):
    repeats = len(context.front.requests) - len(context.answers)
    assert repeats <= count, repeats


@given("a peer's endpoint is silent after 3 events and goes on, and others refuse")
def fall_silent_at_peer(context):
    shared = [scripted.stream(1, 5, then="end a second later")]
    for peer in context.group.peers:
        peer.always(scripted.refuse())
        for endpoint in peer.endpoints.values():
            endpoint.scripts = shared


@given(
    "the peers are counted as gone {after_s:g} s later, and one is back after"
    " {back_s:g} s"
)
def lose_peers(context, after_s, back_s):
    group = context.group
    entry = group.memberships[0]

    async def change(known):
        gone = [
            peer._replace(state=interfaces.PeerState.DEAD)
            if peer.name != entry.name
            else peer
            for peer in known
        ]
        await asyncio.sleep(after_s)
        entry.known = gone
        await asyncio.sleep(back_s)
        used = next(name for name in ("e-1", "e-2") if group.came[name])
        entry.known = [
            peer if peer.name != used else other
            for peer, other in zip(known, gone, strict=True)
        ]

    async def start():
        context.change = asyncio.create_task(change(entry.known))

    context.runner.run(start())


@given("{entries:d} entries with {count:d} endpoints, and streams of 4 s")
def start_fleet(context, entries, count):
    context.front = fleet.Fleet(
        1,
        entries,
        count,
        events=STREAM_EVENTS,
        event_interval_s=EVENT_INTERVAL_S,
        timeout_ms=TIMEOUT_MS,
    )
    context.runner.run(context.front.start(RATE))
    context.runner.run(asyncio.sleep(WARM_UP_S))


@given("records lapse {seconds:g} s after the last heartbeat")
def let_lapse(context, seconds):
    context.lapse_s = seconds


@when("{count:d} of the endpoints stand still for {seconds:g} s, and the others {word}")
def stand_still(context, count, seconds, word):
    stand_still_often(context, count, seconds, 1, word)


@when(
    "{count:d} of the endpoints stand still for {seconds:g} s, {times:d} times, and the"
    " others {word}"
)
def stand_still_often(context, count, seconds, times, word):
    servers = sorted(context.front.servers, key=lambda server: server.name)
    still, well = servers[:count], servers[count:]
    context.still_names = {server.name for server in still}

    async def run():
        for _ in range(times):
            for server in well:
                server.behaviour = "refuse" if word == "refuse" else "pass"
            tasks = [
                asyncio.create_task(server.stand_still(seconds)) for server in still
            ]
            lapse = asyncio.create_task(lapse_records(context, still))
            await asyncio.wait(tasks, timeout=STREAM_END_S)
            for server in well:
                server.behaviour = "pass"
            lapse.cancel()
            context.went_on_at = time.monotonic()
            await asyncio.sleep(EVENT_INTERVAL_S)
        await asyncio.sleep(STREAM_END_S)

    context.runner.run(run())


async def lapse_records(context, servers):
    """Let the records of servers that send no heartbeats lapse."""
    lapse_s = getattr(context, "lapse_s", None)
    if lapse_s is None:
        return
    await asyncio.sleep(lapse_s)
    for server in servers:
        context.front.world.store.drop(delivery.ENDPOINTS_TOPIC, server.name)


@when("configurations change the time-out, the attempts, the limits and a route")
def change_configurations(context):
    world = context.front.world
    changes = (
        {"TimeoutMs": TIMEOUT_MS * 2},
        {"MaxAttempts": 3},
        {"MaxAttempts": 2, "GapTargetMs": 300},
    )

    async def run():
        for change in changes:
            world._route = world._route | change
            world.change()
            await asyncio.sleep(0.2)
        world._configuration = {"Limits": {"IdleTimeoutMs": 2000}}
        world.change()

    context.runner.run(run())


@when("an entry begins to stop")
def begin_stop(context):
    entry = context.front.world.entries[0]

    async def run():
        context.front.stopping.add(entry.name)
        context.stop = asyncio.create_task(entry.gateway.stop())
        await asyncio.sleep(0.1)

    context.runner.run(run())


@then("no stream that had begun is cut")
def check_uncut(context):
    tries = [one for one in context.front.tries if one.status == OK]
    begun = [one for one in tries if one.events]
    cut = [one for one in begun if not one.is_complete]
    assert len(begun) >= LEAST_BEGUN, len(begun)
    assert not cut, f"{len(cut)} of {len(begun)} were cut"


@then("the endpoints that stood still got calls again within {limit_s:g} s")
def check_used_again(context, limit_s):
    reached = {
        arrival.endpoint
        for arrival in context.front.arrivals
        if 0 <= arrival.at - context.went_on_at <= limit_s
    }
    assert context.still_names <= reached, (context.still_names, reached)


def numbered(numbers, pause_at=None, pause_s=0.0, end_s=0.0):
    """Return a script that streams numbers, with pauses before one and the end."""

    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE)
        writer.write(b"Transfer-Encoding: chunked\r\n\r\n")
        for number in numbers:
            if number == pause_at:
                await writer.drain()
                await asyncio.sleep(pause_s)
            scripted.write_chunk(writer, scripted.event(number))
            await writer.drain()
            # Each event comes by itself.
            await asyncio.sleep(0.02)
        await asyncio.sleep(end_s)
        await scripted.end(reader, writer, 0)

    return script


def after(seconds, script):
    """Return a script that begins later."""

    async def later(head, reader, writer):
        await asyncio.sleep(seconds)
        await script(head, reader, writer)

    return later


async def go_on(head, reader, writer):
    """Stream the events up to 6 that the caller lacks."""
    known = int(scripted.header(head, "last-event-id") or 0)
    await numbered(range(known + 1, 7))(head, reader, writer)


@given("a front for streams with {count:d} endpoints and {attempts:d} attempts")
def start_front(context, count, attempts):
    forwarding_steps.start(
        context,
        routes.RequestKind.STREAM,
        resumable=True,
        count=count,
        attempts=attempts,
        timeout_s=4,
    )


@given(
    "a peer's endpoint refuses after {refused_s:g} s, and the other's streams 1 to 3"
    " after {streamed_s:g} s"
)
def refuse_late(context, refused_s, streamed_s):
    shared = [
        after(refused_s, scripted.refuse()),
        after(streamed_s, scripted.stream(1, 3)),
    ]
    for peer in context.group.peers:
        for endpoint in peer.endpoints.values():
            endpoint.scripts = shared


@given("the peers' endpoints are silent after 3 events, and go on {seconds:g} s later")
def fall_silent_at_peers(context, seconds):
    for peer in context.group.peers:
        peer.always(numbered(range(1, 7), pause_at=4, pause_s=seconds, end_s=0.2))


@then("the peers are not left alone")
def check_not_avoided(context):
    came = sum(map(len, context.group.came.values()))
    assert came > len(context.answers), came
    peers = context.group.entry.forwarder._deps.peers
    now = time.monotonic()
    avoided = {key for key, until in peers._avoided_until.items() if until > now}
    assert not avoided, avoided


def hide(front, name):
    """Take an endpoint out of the directory; return what lists it again."""
    endpoint = front.directory.get(name)
    front.directory.remove_now(name, "hidden")
    return lambda: front.directory.update(endpoint)


@given(
    "one endpoint is silent after 3 events and goes on {seconds:g} s later, the other"
    " {word}"
)
def pair_endpoints(context, seconds, word):
    front = context.front
    silent = numbered(range(1, 7), pause_at=4, pause_s=seconds, end_s=0.2)
    front.endpoints["s-0"].default_script = silent
    other = after(2.0, go_on) if word == "is slow" else go_on
    front.endpoints["s-1"].default_script = other
    # All calls begin at the first endpoint; the other one is listed before they fall
    # silent for long.
    show = hide(front, "s-1")

    async def list_again():
        asyncio.get_running_loop().call_later(0.2, show)

    context.runner.run(list_again())


@then("the slow endpoint has no failure")
def check_well(context):
    front = context.front
    assert front.endpoints["s-1"].requests
    health = front.occupancy._health_of(front.directory.get("s-1"))
    assert not health.consecutive_failures, health
    assert not health.failed_share, health


@given("a stream hangs after 3 events, the next is refused, and others go on after 3")
def hang_and_refuse(context):
    context.front.always(go_on)
    context.front.script(scripted.stream(1, 3, then="hang"), scripted.refuse())


@when(
    "a caller with a timeout of {timeout_s:g} s asks, and the first endpoint ends after"
    " {seconds:g} s"
)
def ask_and_end(context, timeout_s, seconds):
    front = context.front

    def end_first():
        first = min(
            (name for name in front.endpoints if front.endpoints[name].arrived_at),
            key=lambda name: front.endpoints[name].arrived_at[0],
        )
        front.directory.remove_now(first, "ended")

    async def run():
        asyncio.get_running_loop().call_later(seconds, end_first)
        return await scripted.ask(front, caller_timeout_s=timeout_s)

    context.data, _ = context.runner.run(run())


@then("{count:d} calls were sent twice")
def check_repeats(context, count):
    repeats = len(context.front.requests) - len(context.answers)
    assert repeats == count, repeats


@given("a stream sends 10, 20, 30, and a second later 45 and 60, and others send 45")
def send_unevenly(context):
    context.front.always(numbered([45]))
    context.front.script(numbered([10, 20, 30, 45, 60], pause_at=45, pause_s=1.0))


@then("the ids of its events are {ids}")
def check_ids(context, ids):
    found = re.findall(rb"id: (\d+)", scripted.body_of(context.data))
    assert [int(number) for number in found] == [
        int(number) for number in ids.split(", ")
    ], context.data
