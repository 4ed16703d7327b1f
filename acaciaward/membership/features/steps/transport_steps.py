"""Steps for the transport between entries and for the hint table."""

import asyncio
import random
import time
import typing

import hypothesis
import msgspec
import zmq
import zmq.asyncio
from behave import given, then, when
from hypothesis import strategies

from acaciaward import errors, wire
from acaciaward.entry import peerservices
from acaciaward.identity import curvekeys
from acaciaward.membership import connectionevents, hints, interfaces, transport
from acaciaward.membership.features import fakes
from standins import faultproxy, ports

SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Echo(typing.TypedDict):
    """A request of these tests."""

    sender: str
    text: str


class EchoAnswer(typing.TypedDict):
    """The answer to an ``Echo``."""

    text: str


KINDS = {"echo": Echo, "echo_answer": EchoAnswer, **peerservices.MESSAGE_TYPES}


def make_transport(context, pair=None, allowed=()):
    curve = None
    if pair is not None:
        curve = transport.CurveKeys(
            pair.public_key, pair.secret_key, frozenset(allowed)
        )
    peer_transport = transport.PeerTransport(
        "127.0.0.1", ports.find_free_port(), KINDS, curve=curve
    )
    context.transports.append(peer_transport)
    return peer_transport


async def answer_echo(sender, body):
    if body["text"] == "fail":
        raise KeyError("a fault of the handler")
    if body["text"] == "wait":
        await asyncio.sleep(3600)
    return {"text": body["text"]}


async def send_echo(client, server_address, text="hello", timeout_s=1.0):
    body = {"sender": "test", "text": text}
    answer = await client.request(server_address, "echo", body, timeout_s=timeout_s)
    return answer["text"] == text


def is_answered(context, client, server_address):
    try:
        return context.runner.run(send_echo(client, server_address))
    except errors.PeerUnreachableError:
        return False


def start_server(context, pair=None, allowed=()):
    context.server = make_transport(context, pair, allowed)
    context.server.handle("echo", answer_echo)
    public_key = pair.public_key if pair else None
    context.server_address = transport.PeerAddress(
        "127.0.0.1", context.server._port, public_key
    )
    context.runner.run(context.server.start())


@given("an entry with CURVE that allows one peer")
def start_encrypted(context):
    context.allowed_pair = curvekeys.make_pair()
    start_server(context, curvekeys.make_pair(), [context.allowed_pair.public_key])


@given("an entry without encryption")
def start_plain(context):
    start_server(context)
    context.dropped = transport.DROPPED_MESSAGES._value.get()


@then("the allowed peer is answered")
def check_allowed(context):
    client = make_transport(context, context.allowed_pair)
    assert is_answered(context, client, context.server_address)


@then("a peer with another key is not answered and its handshake is counted")
def check_refused(context):
    context.other_pair = curvekeys.make_pair()
    before = transport.REFUSED_KEYS._value.get()
    client = make_transport(context, context.other_pair)
    assert not is_answered(context, client, context.server_address)
    assert transport.REFUSED_KEYS._value.get() > before


@then("a peer without encryption is not answered")
def check_plain(context):
    client = make_transport(context)
    assert not is_answered(
        context, client, context.server_address._replace(public_key=None)
    )


@then("the peer with the other key is answered once that key is allowed")
def check_allowed_later(context):
    context.server.set_additional_keys([context.other_pair.public_key])
    client = make_transport(context, context.other_pair)
    assert is_answered(context, client, context.server_address)


def mutate(rng, frames):
    frames = [bytearray(frame) for frame in frames]
    for _ in range(rng.randint(1, 3)):
        mutation = rng.randrange(5)
        frame = rng.choice(frames) if frames else bytearray()
        if mutation == 0 and frame:
            frame[rng.randrange(len(frame))] = rng.randrange(256)
        elif mutation == 1 and frame:
            del frame[rng.randrange(len(frame)) :]
        elif mutation == 2:
            frame += rng.randbytes(rng.randrange(40))
        elif mutation == 3:
            frames.append(bytearray(rng.randbytes(5)))
        elif frames:
            frames.pop(rng.randrange(len(frames)))
    return [bytes(frame) for frame in frames]


SAMPLES = {
    str: "entry-1",
    int: 3,
    float: 1.5,
    bool: True,
    typing.Any: {"deep": [1, None]},
}


def sample_of(kind):
    """Return a valid value of a message type."""
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin is list:
        return [sample_of(arguments[0])]
    if origin is dict:
        return {"key": 1}
    if arguments:
        return sample_of(arguments[0])
    if isinstance(kind, type) and hasattr(kind, "__annotations__"):
        hinted = typing.get_type_hints(kind)
        return {name: sample_of(part) for name, part in hinted.items()}
    return SAMPLES.get(kind)


@when("{count:d} mutated messages of all kinds are sent to it")
def send_mutated(context, count):
    context.runner.run(_send_mutated(context, count))


async def _send_mutated(context, count):
    rng = random.Random(1)
    table = wire.MessageTable(KINDS)
    names = sorted(KINDS)
    socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
    socket.linger = 0
    socket.connect(context.server_address.url)
    context.answers = 0
    for number in range(count):
        kind = names[number % len(names)]
        frames = [b"7", *table.encode(kind, sample_of(KINDS[kind]))]
        frames = mutate(rng, frames) or [b""]
        await socket.send_multipart(frames)
    await asyncio.sleep(0.3)
    while await socket.poll(0):
        await socket.recv_multipart()
        context.answers += 1
    socket.close()


@then("each that was not answered is counted and a valid request is answered")
def check_mutated(context):
    dropped = transport.DROPPED_MESSAGES._value.get() - context.dropped
    # Some mutated messages are still valid, but of a kind without a handler here.
    assert dropped >= 200, (dropped, context.answers)
    check_valid_answered(context)


def check_valid_answered(context):
    client = make_transport(context)
    assert is_answered(context, client, context.server_address)


@when("a message just over the limit is sent to it")
def send_oversized(context):
    async def send():
        client = make_transport(context)
        try:
            await send_echo(
                client, context.server_address, "x" * wire.MAX_MESSAGE_BYTES
            )
        except errors.PeerUnreachableError:
            return
        raise AssertionError("it was answered")

    context.runner.run(send())


@when("a handler fails on a request")
def fail_handler(context):
    client = make_transport(context)
    try:
        context.runner.run(send_echo(client, context.server_address, "fail", 0.3))
    except errors.PeerUnreachableError:
        return
    raise AssertionError("it was answered")


@then("it is counted as dropped and a valid request is answered")
def check_counted(context):
    assert transport.DROPPED_MESSAGES._value.get() == context.dropped + 1
    check_valid_answered(context)


@when("one peer has {count:d} requests pending")
def leave_pending(context, count):
    async def run():
        client = make_transport(context)
        sends = [
            send_echo(client, context.server_address, "wait", 0.5) for _ in range(count)
        ]
        await asyncio.gather(*sends, return_exceptions=True)

    context.runner.run(run())


@when("the connection of a peer to it goes silent for good")
def silence(context):
    async def run():
        server = context.server_address
        context.proxy = faultproxy.FaultProxy((server.address, server.port))
        await context.proxy.start()
        context.proxied = server._replace(port=context.proxy.port)
        assert await send_echo(context.client, context.proxied)
        context.proxy.silence_connections()

    context.client = make_transport(context)
    context.lost = connectionevents.LOST_CONNECTIONS._value.get()
    context.runner.run(run())


@then("the peer is answered again within {limit_s:g} s")
def check_replaced(context, limit_s):
    async def run():
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            try:
                return await send_echo(context.client, context.proxied, timeout_s=0.2)
            except errors.PeerUnreachableError:
                continue
            finally:
                await asyncio.sleep(0.05)

    is_replaced = context.runner.run(run())
    context.runner.run(context.proxy.stop())
    assert is_replaced


@then("the lost connection is counted")
def check_lost_counted(context):
    assert connectionevents.LOST_CONNECTIONS._value.get() > context.lost


def check_unreachable(context, addresses):
    server = context.server
    dropped = transport.DROPPED_MESSAGES._value.get()

    async def check(address):
        server.notify(address, "echo", {"sender": "test", "text": "hello"})
        try:
            await send_echo(server, address, timeout_s=0.1)
        except errors.PeerUnreachableError:
            return
        raise AssertionError(address)

    for address in addresses:
        context.runner.run(check(address))
    counted = transport.DROPPED_MESSAGES._value.get() - dropped
    assert counted >= len(addresses), counted


@then("peers at odd addresses are unreachable and counted")
def check_odd_addresses(context):
    texts = ("", "no address", "127.0.0.1:1:2", "a/b", "é", "\x00", "\ud800")
    check_unreachable(context, [transport.PeerAddress(text, 1) for text in texts])


@then("peers with odd keys are unreachable and counted")
def check_odd_keys(context):
    texts = ("", "short", "x" * 41, "é" * 40, "\x00" * 40)
    check_unreachable(
        context, [transport.PeerAddress("127.0.0.1", 1, text) for text in texts]
    )


@then("a valid request is answered")
def check_answered(context):
    check_valid_answered(context)


@then("a valid request of another peer is answered")
def check_other(context):
    assert transport.DROPPED_MESSAGES._value.get() > context.dropped
    check_valid_answered(context)


@then("mutated frames of every kind raise nothing but a wire error")
def check_decoders(context):
    table = wire.MessageTable(KINDS)
    rng = random.Random(2)
    refused = 0
    tried = 0
    for kind, body in KINDS.items():
        for _ in range(300):
            frames = mutate(rng, table.encode(kind, sample_of(body)))
            tried += 1
            try:
                table.decode(frames)
            except errors.WireError:
                refused += 1
    assert 0 < refused < tried
    kind = "configuration_read_answer"
    for depth in (5000, 100_000):
        nested = msgspec.Raw(b"\x91" * depth + b"\x90")
        body = sample_of(KINDS[kind])
        body["records"][0]["data"] = nested
        try:
            table.decode(table.encode(kind, body))
        except errors.WireError:
            continue
        raise AssertionError(depth)


TEXTS = strategies.text(max_size=70) | strategies.sampled_from(("entry-1", "dc-1"))
NUMBERS = strategies.integers(-(2**63), 2**64 - 1) | strategies.sampled_from((1, 80))
FLOATS = strategies.floats()
PEERS = strategies.fixed_dictionaries(
    {
        "name": TEXTS,
        "address": TEXTS,
        "port": NUMBERS,
        "peer_address": TEXTS,
        "peer_port": NUMBERS,
        "data_centre": TEXTS,
        "region": TEXTS,
        "incarnation": strategies.integers(-(2**63), 2**64 - 1),
        "state": TEXTS | strategies.sampled_from(("live", "dead", "leaving")),
        "configuration_version": NUMBERS,
        "public_key": strategies.none() | TEXTS,
    },
    optional={
        "detour_port": NUMBERS,
        "is_isolated": strategies.booleans(),
        "counted": NUMBERS,
    },
)
HINTS = strategies.fixed_dictionaries(
    {
        "kind": TEXTS | strategies.sampled_from([k.value for k in interfaces.HintKind]),
        "subject": TEXTS,
        "value": strategies.dictionaries(TEXTS, NUMBERS, max_size=2),
        "origin": TEXTS,
        "stamp": FLOATS,
        "lifetime_s": FLOATS,
    }
)


@then("any peers and hints that decode are accepted or dropped, and hints stay bounded")
def check_any_gossip(context):
    async def make():
        cluster = fakes.Cluster()
        cluster.start("entry-1")
        return cluster

    context.cluster = context.runner.run(make())
    entry = context.cluster.entries["entry-1"]

    @SETTINGS
    @hypothesis.given(
        strategies.lists(PEERS, max_size=3), strategies.lists(HINTS, max_size=3)
    )
    def check(peers, hint_fields):
        message = {"sender": "x", "peers": peers, "hints": hint_fields}
        entry._apply_gossip(message)
        for peer in entry.peers():
            assert 0 < peer.port <= 65535
        own = entry.peers()[0]
        assert own.name == "entry-1"
        assert own.state is fakes.LIVE
        msgspec.msgpack.encode(entry._next_gossip())

    check()
    reported = entry._next_gossip()["peers"][0] | {
        "state": "dead",
        "incarnation": 2**64 - 1,
    }
    entry._apply_gossip({"sender": "x", "peers": [reported], "hints": []})
    assert entry.peers()[0].incarnation < 2**53
    msgspec.msgpack.encode(entry._next_gossip())


@then("a full hint table accepts new hints and drops what expires first")
def check_full(context):
    hint_table = hints.HintTable("entry-1")
    kind = interfaces.HintKind.ENDPOINT_LOAD
    started_at = time.monotonic()
    for number in range(hints.MAX_HINTS + 10):
        lifetime_s = 100.0 + number
        hint_table.publish(kind, f"engine-{number}", {}, lifetime_s=lifetime_s)
    assert len(hint_table) == hints.MAX_HINTS
    assert not hint_table.get(kind, "engine-9")
    assert hint_table.get(kind, f"engine-{hints.MAX_HINTS + 9}")
    # If each look-up scanned the whole table, this would take minutes.
    for number in range(hints.MAX_HINTS):
        hint_table.get(kind, f"engine-{number}")
    assert time.monotonic() - started_at < 20.0


@then("expired hints are removed completely")
def check_expired(context):
    hint_table = hints.HintTable("entry-1")
    kind = interfaces.HintKind.ENDPOINT_DEAD
    hint_table.publish(kind, "engine-1", {}, lifetime_s=0.05)
    hint_table.publish(kind, "engine-1", {}, lifetime_s=0.05)
    time.sleep(0.06)
    assert hint_table.get(kind, "engine-1") == []
    assert hint_table.all(kind) == []
    assert len(hint_table) == 0
    assert hint_table.non_bulk_fields() == []
