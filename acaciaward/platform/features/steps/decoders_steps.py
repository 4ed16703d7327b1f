"""Steps that feed extreme values to every decoder of what others write."""

import functools
import json

import hypothesis
import msgspec
from behave import then
from hypothesis import strategies

from acaciaward import decoding, errors, wire
from acaciaward.admission import quotastore
from acaciaward.catalogue import storeview
from acaciaward.leases import conditionallease
from acaciaward.membership import messages as membership_messages
from acaciaward.platform import detours, documents, headers, nodefile
from acaciaward.relays import messages
from acaciaward.resumption import servingversions, streamlog
from acaciaward.usage import decisions

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=300, deadline=None
)
DEEP = b"[" * 100_000
# Deep enough to be decoded, and too deep for what goes through it level by level.
NESTED = functools.reduce(lambda inner, _: [inner], range(900), [])
NUMBERS = strategies.sampled_from(
    [0, 1, -1, 2**53, 2**53 + 1, 2**63, 2**64, 10**400, -(10**400), 1e300, -1e300]
)
TEXTS = strategies.sampled_from(
    ["", "ready", "127.0.0.1:0", "127.0.0.1:" + "9" * 5000, "\u0661", "\u00b2"]
    + ["9" * 5000, "x" * 100_000, "\r\n", "\x00", "nan", "inf", "1e999", "-1"]
)
SCALARS = strategies.none() | strategies.booleans() | NUMBERS | TEXTS
FIELDS = strategies.sampled_from(
    ["State", "Address", "Slots", "born", "Zone", "Service", "Version", "Routes"]
    + ["Name", "Limits", "Services", "Tenants", "RatePerS", "RouteType", "leaves_ms"]
    + ["holder", "nonce", "fence", "window", "start", "counts", "era", "position"]
    + ["at", "entries", "levels", "service", "version", "streams", "sends", "limit"]
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(FIELDS, inner, max_size=8)
    ),
    max_leaves=12,
)
OBJECTS = strategies.dictionaries(FIELDS, VALUES, max_size=8)
JSON = (
    OBJECTS.map(lambda value: json.dumps(value).encode())
    | strategies.binary(max_size=40)
    | strategies.sampled_from([DEEP, b'{"a":' + DEEP, b'{"State":' * 100_000, b"\xff"])
)
ENDPOINT = {"State": "ready", "Address": "127.0.0.1:1234", "Zone": "dc-0"}
ENDPOINT |= {"Service": "app", "Version": "v1", "Slots": 4, "born": 1}
ENDPOINT |= {"ColdRemainingMs": 0, "leaves_ms": 1}
ROUTE = {"Name": "r", "Host": "x.example", "PathPrefix": "/a/", "Service": "app"}
ROUTE |= {"RouteType": "idempotent", "TimeoutMs": 1, "TargetLatencyMs": 1}
ROUTE |= {"Priority": 1, "MaxAttempts": 1, "GapTargetMs": 1}
SERVICE = {"Name": "app", "MaxConnections": 9, "Engine": {"Slots": 1}}
TENANT = {"Name": "o", "ApiKeys": ["k"], "RatePerS": 1, "Burst": 1, "Priority": 1}


def spoil(document):
    """Return a strategy of valid documents in which two fields are replaced."""
    replaced = strategies.dictionaries(
        strategies.sampled_from(sorted(document)),
        SCALARS | strategies.just(NESTED),
        max_size=2,
    )
    return replaced.map(lambda fields: document | fields)


ENDPOINTS = spoil(ENDPOINT).map(lambda value: json.dumps(value).encode()) | JSON
CONFIGURATIONS = JSON | strategies.builds(
    lambda version, route, service, tenant: json.dumps(
        {
            "Version": version,
            "Routes": [route],
            "Services": [service],
            "Tenants": [tenant],
        }
    ).encode(),
    SCALARS | strategies.just(1),
    spoil(ROUTE),
    spoil(SERVICE),
    spoil(TENANT),
)
HEADER_NAMES = strategies.sampled_from(
    [b"Token-Usage", b"Last-Event-Id", b"Deadline-Ms", b"Prompt-Prefix", b"Resumes"]
    + [b"Authorization", b"Acaciaward-Detour", b"Retry-After", b"Server-Limit"]
    + [b"Server-Brittle"]
    + [b"Server-Leaving", b"Keep-Alive", b"Connection", b"Content-Type"]
)
HEADER_VALUES = JSON | strategies.sampled_from(
    [b"9" * 5000, b"9" * 5000 + b",1", b"1," + b"9" * 5000, b"a:" + b"9" * 5000]
    + [b"\xb2", b"1e999", b"nan", b"-1", b"timeout=" + b"9" * 5000, b"bearer \xff"]
)
HEADERS = strategies.lists(strategies.tuples(HEADER_NAMES, HEADER_VALUES), max_size=5)
MESSAGE_TABLE = wire.MessageTable(
    messages.MESSAGE_TYPES | membership_messages.MESSAGE_TYPES
)


def pack(value):
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b"\xc1"


MESSAGES = strategies.tuples(
    strategies.sampled_from(sorted(messages.MESSAGE_TYPES)).map(str.encode),
    OBJECTS.map(pack)
    | strategies.binary(max_size=40)
    | strategies.just(b"\x91" * 100_000),
)
MSGPACK = VALUES.map(pack) | strategies.binary(max_size=40)
LINES = strategies.lists(strategies.tuples(FIELDS, TEXTS), max_size=6).map(
    lambda pairs: "".join(f"{name}={value}\n" for name, value in pairs)
)


def from_json(record_type):
    return lambda data: decoding.from_json(data, record_type)


# What is fed to each decoder, and the decoder.
DECODERS = {
    "configurations": (CONFIGURATIONS, documents.decode_catalogue),
    "endpoints": (ENDPOINTS, lambda data: documents.decode_endpoint("e", data)),
    "callers' heads": (HEADERS, headers.decode_call),
    "answers' heads": (HEADERS, lambda given: headers.decode_reply(200, given)),
    "peers' calls": (HEADERS, detours.decode_call),
    "peers' answers": (HEADERS, lambda given: detours.decode_reply(200, given)),
    "messages": (MESSAGES, MESSAGE_TABLE.decode),
    "lease records": (JSON, from_json(conditionallease.Record)),
    "usage records": (JSON, from_json(decisions.Record)),
    "quota records": (JSON, from_json(quotastore.Record)),
    "version records": (JSON, from_json(servingversions.Record)),
    "stream records": (
        MSGPACK,
        lambda data: decoding.from_msgpack(data, list[streamlog.Batch]),
    ),
    "settings": (LINES, nodefile.decode),
}
ERRORS = {
    "none": (),
    "UnreadableError": storeview.UnreadableError,
    "DecodingError": errors.DecodingError,
    "WireError": errors.WireError,
    "SettingsError": errors.SettingsError,
}


@then("{decoder} of extreme values raises no error but {error}")
def check_decoder(context, decoder, error):
    given_values, decode = DECODERS[decoder]

    @SETTINGS
    @hypothesis.given(given_values)
    def check(value):
        try:
            decode(value)
        except ERRORS[error] as raised:
            assert str(raised)

    check()
