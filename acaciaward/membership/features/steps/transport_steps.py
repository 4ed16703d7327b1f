"""Steps for the transport between entries and for the board of hints."""

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
from acaciaward.entry import peerside
from acaciaward.identity import curvekeys
from acaciaward.membership import hints, interfaces, transport
from acaciaward.membership.features import fakes
from standins import ports

SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=300,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Echo(typing.TypedDict):
    """A message of the test."""

    sender: str
    text: str


class EchoAnswer(typing.TypedDict):
    """Its answer."""

    text: str


KINDS = {"echo": Echo, "echo_answer": EchoAnswer, **peerside.MESSAGE_KINDS}


def make_transport(context, pair=None, allowed=()):
    curve = None
    if pair is not None:
        curve = transport.CurveKeys(
            pair.public_key, pair.secret_key, frozenset(allowed)
        )
    made = transport.PeerTransport(
        "127.0.0.1", ports.find_free_port(), KINDS, curve=curve
    )
    context.transports.append(made)
    return made


async def answer_echo(sender, body):
    if body["text"] == "fail":
        raise KeyError("a fault of the handler")
    if body["text"] == "wait":
        await asyncio.sleep(3600)
    return {"text": body["text"]}


async def ask(one, location, text="hello", timeout_s=1.0):
    body = {"sender": "test", "text": text}
    answer = await one.request(location, "echo", body, timeout_s=timeout_s)
    return answer["text"] == text


def is_answered(context, one, location):
    try:
        return context.runner.run(ask(one, location))
    except errors.PeerUnreachableError:
        return False


def start_server(context, pair=None, allowed=()):
    context.server = make_transport(context, pair, allowed)
    context.server.handle("echo", answer_echo)
    public_key = pair.public_key if pair else None
    context.location = transport.PeerAddress(
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
    one = make_transport(context, context.allowed_pair)
    assert is_answered(context, one, context.location)


@then("a peer with another key is not answered and its handshake is counted")
def check_refused(context):
    context.other_pair = curvekeys.make_pair()
    before = transport.REFUSED_KEYS._value.get()
    one = make_transport(context, context.other_pair)
    assert not is_answered(context, one, context.location)
    assert transport.REFUSED_KEYS._value.get() > before


@then("a peer without encryption is not answered")
def check_plain(context):
    one = make_transport(context)
    assert not is_answered(context, one, context.location._replace(public_key=None))


@then("the other key is answered once it is allowed")
def check_allowed_later(context):
    context.server.allow([context.other_pair.public_key])
    one = make_transport(context, context.other_pair)
    assert is_answered(context, one, context.location)


def mutate(chooser, frames):
    frames = [bytearray(frame) for frame in frames]
    for _ in range(chooser.randint(1, 3)):
        kind = chooser.randrange(5)
        frame = chooser.choice(frames) if frames else bytearray()
        if kind == 0 and frame:
            frame[chooser.randrange(len(frame))] = chooser.randrange(256)
        elif kind == 1 and frame:
            del frame[chooser.randrange(len(frame)) :]
        elif kind == 2:
            frame += chooser.randbytes(chooser.randrange(40))
        elif kind == 3:
            frames.append(bytearray(chooser.randbytes(5)))
        elif frames:
            frames.pop(chooser.randrange(len(frames)))
    return [bytes(frame) for frame in frames]


SAMPLES = {
    str: "entry-1",
    int: 3,
    float: 1.5,
    bool: True,
    typing.Any: {"deep": [1, None]},
}


def sample_of(kind):
    """Return a sound value of a type of a message."""
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


@when("{count:d} mutated messages of every kind are sent to it")
def send_mutated(context, count):
    context.runner.run(_send_mutated(context, count))


async def _send_mutated(context, count):
    chooser = random.Random(1)
    table = wire.MessageTable(KINDS)
    names = sorted(KINDS)
    socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
    socket.linger = 0
    socket.connect(context.location.url)
    context.answers = 0
    for number in range(count):
        kind = names[number % len(names)]
        frames = [b"7", *table.encode(kind, sample_of(KINDS[kind]))]
        frames = mutate(chooser, frames) or [b""]
        await socket.send_multipart(frames)
    await asyncio.sleep(0.3)
    while await socket.poll(0):
        await socket.recv_multipart()
        context.answers += 1
    socket.close()


@then("each that was not answered is counted and a sound request is answered")
def check_mutated(context):
    dropped = transport.DROPPED_MESSAGES._value.get() - context.dropped
    # Some mutations leave a sound message of a kind without a handler here.
    assert dropped >= 200, (dropped, context.answers)
    check_sound(context)


def check_sound(context):
    one = make_transport(context)
    assert is_answered(context, one, context.location)


@when("a message just over the limit is sent to it")
def send_oversized(context):
    async def send():
        one = make_transport(context)
        try:
            await ask(one, context.location, "x" * wire.MAX_MESSAGE_BYTES)
        except errors.PeerUnreachableError:
            return
        raise AssertionError("it was answered")

    context.runner.run(send())


@when("a handler fails on a request")
def fail_handler(context):
    one = make_transport(context)
    try:
        context.runner.run(ask(one, context.location, "fail", 0.3))
    except errors.PeerUnreachableError:
        return
    raise AssertionError("it was answered")


@then("it is counted and a sound request is answered")
def check_counted(context):
    assert transport.DROPPED_MESSAGES._value.get() == context.dropped + 1
    check_sound(context)


@when("one peer leaves {count:d} requests waiting")
def leave_waiting(context, count):
    async def run():
        one = make_transport(context)
        asks = [ask(one, context.location, "wait", 0.5) for _ in range(count)]
        await asyncio.gather(*asks, return_exceptions=True)

    context.runner.run(run())


@then("a sound request of another peer is answered")
def check_other(context):
    assert transport.DROPPED_MESSAGES._value.get() > context.dropped
    check_sound(context)


@then("mutated frames of every kind raise nothing but a wire error")
def check_decoders(context):
    table = wire.MessageTable(KINDS)
    chooser = random.Random(2)
    refused = 0
    tried = 0
    for kind, body in KINDS.items():
        for _ in range(300):
            frames = mutate(chooser, table.encode(kind, sample_of(body)))
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
    }
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


@then("any peers and hints that decode are taken or dropped, and hints stay bounded")
def check_any_gossip(context):
    async def make():
        world = fakes.World()
        world.start("entry-1")
        return world

    context.world = context.runner.run(make())
    entry = context.world.entries["entry-1"]

    @SETTINGS
    @hypothesis.given(
        strategies.lists(PEERS, max_size=3), strategies.lists(HINTS, max_size=3)
    )
    def check(peers, found):
        news = {"sender": "x", "peers": peers, "hints": found}
        entry._apply_gossip(news)
        for peer in entry.peers():
            assert 0 < peer.port <= 65535
        own = entry.peers()[0]
        assert own.name == "entry-1"
        assert own.state is fakes.LIVE
        msgspec.msgpack.encode(entry._next_gossip())

    check()
    rumour = entry._next_gossip()["peers"][0] | {
        "state": "dead",
        "incarnation": 2**64 - 1,
    }
    entry._apply_gossip({"sender": "x", "peers": [rumour], "hints": []})
    assert entry.peers()[0].incarnation < 2**53
    msgspec.msgpack.encode(entry._next_gossip())


@then("a full board takes new hints and drops what expires first")
def check_full(context):
    board = hints.HintBoard("entry-1")
    kind = interfaces.HintKind.ENDPOINT_LOAD
    began = time.monotonic()
    for number in range(hints.MAX_HINTS + 10):
        lifetime_s = 100.0 + number
        board.publish(kind, f"engine-{number}", {}, lifetime_s=lifetime_s)
    assert len(board) == hints.MAX_HINTS
    assert not board.get(kind, "engine-9")
    assert board.get(kind, f"engine-{hints.MAX_HINTS + 9}")
    # A look-up that walks the whole board would take minutes here.
    for number in range(hints.MAX_HINTS):
        board.get(kind, f"engine-{number}")
    assert time.monotonic() - began < 20.0


@then("expired hints leave no trace")
def check_expired(context):
    board = hints.HintBoard("entry-1")
    kind = interfaces.HintKind.ENDPOINT_DEAD
    board.publish(kind, "engine-1", {}, lifetime_s=0.05)
    board.publish(kind, "engine-1", {}, lifetime_s=0.05)
    time.sleep(0.06)
    assert board.get(kind, "engine-1") == []
    assert board.all(kind) == []
    assert len(board) == 0
    assert board.to_fields() == []
