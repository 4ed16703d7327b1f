"""Steps for decoding the platform's records and headers."""

import copy
import json

import hypothesis
from behave import then
from hypothesis import strategies

from acaciaward import errors
from acaciaward.catalogue import endpoints, routes, storeview
from acaciaward.gateway import calls
from acaciaward.platform import (
    documents,
    headers,
    store,
)

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=300, deadline=None
)
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-1",
            "Host": "shop.example",
            "PathPrefix": "/a/",
            "RouteType": "streaming",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 1200,
            "Priority": 1,
            "Service": "llm",
            "MaxAttempts": 2,
            "Sticky": True,
            "Resumable": True,
            "GapTargetMs": 600,
        },
        {
            "Name": "r-2",
            "Host": "shop.example",
            "PathPrefix": "/b/",
            "RouteType": "idempotent",
            "Backends": [
                {"Service": "llm", "Weight": 90},
                {"Service": "app", "Weight": 10},
            ],
        },
    ],
    "Services": [
        {
            "Name": "llm",
            "MaxConnections": 370,
            "Engine": {"Slots": 64, "KvCapacity": 1000},
            "Scaling": {
                "Min": 1,
                "Max": 4,
                "BootTimeS": 4.0,
                "SpotPrice": 0.18,
                "ZonePrices": {"north": 0.85, "south": 1.2},
            },
        },
        {"Name": "app"},
    ],
    "Limits": {"MaxHeaderBytes": 100, "IdleTimeoutMs": 15000},
    "Tenants": [
        {
            "Name": "org",
            "ApiKeys": ["k1", "k2"],
            "Unit": "tokens",
            "UncachedTokens": 200,
            "RatePerS": 1000,
            "Burst": 2000,
        }
    ],
}
ENTRY = {
    "Service": "llm",
    "Address": "10.0.0.1:80",
    "Zone": "north",
    "Slots": 64,
    "State": "draining",
    "ColdRemainingMs": 500,
    "Spot": True,
    "leaves_ms": 2500,
    "born": 12,
    "Sequence": 4,
}
JUNK = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


def encode(document):
    return json.dumps(document).encode()


@then("the example configuration gives its routes, services and organisations")
def check_configuration(context):
    found = documents.decode_catalogue(encode(CONFIGURATION))
    first, second = found.routes
    assert found.version == 7
    assert first.kind is routes.RequestKind.STREAM and first.may_repeat
    assert (first.timeout_s, first.target_s, first.max_gap_s) == (3.0, 1.2, 0.6)
    assert second.shares == (("llm", 90), ("app", 10))
    scaling = found.services["llm"].scaling
    assert scaling.reclaimable_price == 0.18 and scaling.prices["south"] == 1.2
    assert found.services["app"].scaling is None
    quota = found.organisations["org"].quota
    assert quota == routes.Quota(1000, 2000, True, 200)
    assert found.limits.header_bytes == 100 and found.limits.idle_s == 15.0


def paths(document, prefix=()):
    items = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in items:
        yield (*prefix, key)
        if isinstance(value, dict | list):
            yield from paths(value, (*prefix, key))


def spoil(document, path, value):
    spoilt = copy.deepcopy(document)
    place = spoilt
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return spoilt


@then("decoding a corrupted document raises no error but one with a reason")
def check_corrupted(context):
    @SETTINGS
    @hypothesis.given(
        strategies.sampled_from([CONFIGURATION, ENTRY]), strategies.data(), JUNK
    )
    def check(document, data, junk):
        path = data.draw(strategies.sampled_from(list(paths(document))))
        spoilt = encode(spoil(document, path, junk))
        decode = (
            documents.decode_catalogue
            if document is CONFIGURATION
            else lambda text: documents.decode_endpoint("e", text)
        )
        try:
            decode(spoilt)
        except storeview.UnreadableError as error:
            assert str(error)

    check()
    for data in (b"", b"\xff\xfe", b"[]", b"null", b"{" * 5000):
        for decode in (
            documents.decode_catalogue,
            lambda text: documents.decode_endpoint("e", text),
        ):
            try:
                decode(data)
            except storeview.UnreadableError:
                continue
            raise AssertionError(data)


@then("endpoint records with a missing, unknown or malformed field are refused")
def check_malformed(context):
    found = documents.decode_endpoint("e", encode(ENTRY))
    assert found.state is endpoints.EndpointState.LEAVING
    assert (found.born, found.leaves_s, found.is_reclaimable) == (12, 2.5, True)
    for name, value in (
        ("State", None),
        ("State", "resting"),
        ("Address", "nowhere"),
        ("Address", "10.0.0.1:99999"),
        ("Service", 5),
        ("born", "x"),
        ("Slots", -1),
    ):
        try:
            documents.decode_endpoint("e", encode(ENTRY | {name: value}))
        except storeview.UnreadableError:
            continue
        raise AssertionError((name, value))


@then("any records are decoded again, and a truncated body gives a prefix of them")
def check_records(context):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=20), max_size=5),
        strategies.integers(0, 30),
    )
    def check(records, cut):
        data = store.encode_records(records)
        assert store.decode_records(data) == records
        found = store.decode_records(data[: max(0, len(data) - cut)])
        assert found == records[: len(found)]

    check()
    assert store.split_keyed(store.join_keyed("name", b"value")) == ("name", b"value")
    try:
        store.split_keyed(b"\x09ab")
    except errors.PlatformUnknownError:
        return
    raise AssertionError("a record truncated within its key was accepted")


@then("no header that the system sets reaches an endpoint from a caller")
def check_forged(context):
    forged = [(name.title(), b"forged") for name in sorted(headers.SYSTEM_HEADERS)]
    forged += [
        (b"Attempt-Id", b"a1"),
        (b"Connection", b"close, X-Own"),
        (b"X-Own", b"1"),
    ]
    call = calls.Call(b"GET", b"/", "h", forged, b"", 0.0, "a1")
    found = headers.encode_forwarded(call, calls.Forwarding("e-1", "org", 3, 1.5))
    assert not [header for header in found if header[1] == b"forged"], found
    named = {name.lower(): value for name, value in found}
    assert named[b"deadline-ms"] == b"1500"
    assert named[b"expect-instance"] == b"e-1"
    assert named[b"tenant"] == b"org"
    assert named[b"attempt-id"] == b"a1"
    assert b"x-own" not in named


@then("only the endpoint's own headers or an unsigned misdirection make a refusal")
def check_refusals(context):
    own = [(b"Not-Executed", b"1")]
    signed = [(b"Server-Signature", b"s")]
    assert headers.decode_reply(503, own).is_refusal
    assert not headers.decode_reply(503, []).is_refusal
    assert not headers.decode_reply(500, signed).is_refusal
    assert headers.decode_reply(421, []).is_misdirected
    assert not headers.decode_reply(421, signed).is_misdirected
