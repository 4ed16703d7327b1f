"""Steps for decoding the platform's records, settings and headers."""

import asyncio
import copy
import json
import logging
import pathlib
import signal
import subprocess
import sys
import tempfile
import types
from unittest import mock

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward import errors
from acaciaward.catalogue import endpoints, routes, storeview
from acaciaward.cli import gateway as gateway_command
from acaciaward.gateway import calls, settings as gateway_settings
from acaciaward.platform import (
    documents,
    headers,
    nodefile,
    store,
)
from acaciaward.settings import loader
from script import settings_reference
from standins import ports

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
NODE_FILE = """
NodeName=edge-1
Zone=north
Region=r
Ip=10.1.0.16
Listen.Frontend=10.1.0.16:8360
Listen.Readiness=10.1.0.16:8365
Listen.Control=10.1.0.16:8367
Listen.Directory=10.1.0.16:8364
InternalPortRange=7500,7515
Seeds=10.1.0.16:8367,10.2.0.33:8367
Bounds.LeaseMs=3000
Bounds.WindowS=5
Platform.Address=10.200.1.7:8361
Cloud.Address=10.200.0.114:8361
Cloud.Duties=usage_report,autoscale
Newer.Field=x
"""
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


def check_settings(text):
    return loader.check(
        nodefile.decode(text),
        package=gateway_settings.PACKAGE,
        find_first_problem=gateway_settings.find_first_problem,
    )


@then("the example settings file passes the check")
def check_example(context):
    settings = check_settings(NODE_FILE)
    assert settings["callers"] == {"address": "10.1.0.16", "port": 8360}
    assert settings["bounds"]["lease_s"] == 3.0
    assert settings["metrics"]["port"] == 7501
    assert settings["detours"] == {"address": "10.1.0.16", "port": 7502}
    assert len(settings["peers"]["seeds"]) == 2


@then("a settings file without a store is refused with one line")
def check_without_store(context):
    check_refused(NODE_FILE.replace("Platform.Address", "Old.Address"), "store")


@then("a settings file with a bad bound is refused with one line")
def check_bad_bound(context):
    text = NODE_FILE.replace("Bounds.LeaseMs=3000", "Bounds.LeaseMs=soon")
    try:
        check_settings(text)
    except storeview.UnreadableError as error:
        assert "LeaseMs" in str(error) and "\n" not in str(error)
        return
    raise AssertionError("accepted")


@given("a settings file whose seeds are odd but for one")
def write_odd_seeds(context):
    seeds = ["seed", "10.1.0.300:1", "10.1.0.1:0", "10.1.0.1:65536", "10.1.0.1", "é:1"]
    seeds += ["10.1.0.1:99999999999999999999", "x" * 100_000, "10.2.0.33:8367"]
    context.odd_seeds = len(seeds) - 1
    context.settings_text = NODE_FILE.replace(
        "Seeds=10.1.0.16:8367,10.2.0.33:8367", f"Seeds={','.join(seeds)}"
    )
    context.lines = []
    handler = logging.Handler()
    handler.emit = context.lines.append
    logging.getLogger(nodefile.__name__).addHandler(handler)
    context.add_cleanup(logging.getLogger(nodefile.__name__).removeHandler, handler)


@then("it passes the check with that seed alone")
def check_sound_seed(context):
    peers = check_settings(context.settings_text)["peers"]
    assert peers["seeds"] == [{"address": "10.2.0.33", "port": 8367}], peers


@then("one line says how many seeds were skipped")
def check_seeds_counted(context):
    (line,) = context.lines
    assert line.getMessage() == "seeds skipped"
    assert nodefile.INVALID_SEEDS._value.get() == context.odd_seeds


@given("an entry that follows the seeds of its settings file")
def follow_seeds(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = pathlib.Path(directory.name) / "boot.conf"
    context.path.write_text(NODE_FILE)
    context.contents = []


@when("the settings file becomes invalid")
def write_invalid(context):
    context.contents.append("Seeds=10.9.0.1:1")


@when("the settings file gets other seeds")
def write_seeds(context):
    context.contents.append(NODE_FILE.replace("10.2.0.33:8367", "10.3.0.1:1"))


@then("the entry has got these seeds")
def check_followed(context):
    seeds = []
    entry = types.SimpleNamespace(set_seeds=lambda peers: seeds.append(peers["seeds"]))

    async def follow():
        settings = gateway_command.load(context.path)
        with mock.patch.object(gateway_command, "SEEDS_INTERVAL_S", 0.05):
            task = asyncio.create_task(
                gateway_command.follow_seeds(entry, settings, context.path)
            )
            for content in context.contents:
                await asyncio.sleep(0.15)
                context.path.write_text(content)
            await asyncio.sleep(0.3)
            assert not task.done()
            task.cancel()

    asyncio.run(follow())
    addresses = [[seed["address"] for seed in found] for found in seeds]
    assert addresses == [["10.1.0.16", "10.3.0.1"]], addresses


@given("settings whose {key} is {value}")
def corrupt_settings(context, key, value):
    context.settings = check_settings(NODE_FILE)
    *groups, last = key.split(".")
    group = context.settings
    for name in groups:
        group = group[int(name) if isinstance(group, list) else name]
    group[last] = json.loads(value)


@then("they are refused with a line that names {key}")
def check_named(context, key):
    problem = gateway_settings.find_first_problem(context.settings)
    if key.endswith("unknown"):
        # The path names the group of an unknown key, the reason the key itself.
        assert problem.path == "store" and "unknown" in problem.reason, problem
        return
    path = problem.path.replace("[", ".").replace("]", "")
    assert path == key, problem
    assert problem.reason and "\n" not in problem.reason


@then("importing the gateway's command imports neither jsonschema nor blacksheep")
def check_imports(context):
    program = (
        "import sys, acaciaward.cli.gateway;"
        "print([name for name in ('jsonschema', 'blacksheep') if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]", found.stdout


# Raises a signal when the first module of the command line is imported. A process that
# was started with SIGHUP ignored, such as by nohup, would pass that on.
RAISE_ON_IMPORT = """
import os, signal, sys
number = signal.Signals[sys.argv.pop(1)]
signal.signal(signal.SIGHUP, signal.SIG_DFL)
import acaciaward.__main__ as program

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("acaciaward.cli"):
            os.kill(os.getpid(), number)
            sys.exit(0 if number == signal.SIGHUP else 3)

sys.meta_path.insert(0, Finder())
program.main()
"""
RAISE_ON_EXIT = """
import atexit, os, signal, sys
atexit.register(os.kill, os.getpid(), signal.Signals[sys.argv.pop(1)])
import acaciaward.__main__ as program
program.main()
"""
STOP_TIMEOUT_S = 10.0


@then('{name:w} while "{command}" imports its modules {effect}')
def check_start_signal(context, name, command, effect):
    arguments = [name, *command.split()]
    done = subprocess.run([sys.executable, "-c", RAISE_ON_IMPORT, *arguments])
    ended = -signal.Signals[name]
    expected = {"is ignored": 0, "ends it with 0": 0, "ends it": ended}[effect]
    assert done.returncode == expected, done.returncode


@then("{name:w} while a stopped gateway exits leaves its exit code at 0")
def check_exit_signal(context, name):
    fields = {"NodeName": "e-1", "Zone": "dc", "Region": "r", "Ip": "127.0.0.1"}
    fields |= {"Seeds": "", "Bounds.GraceS": 2}
    fields["Platform.Address"] = f"127.0.0.1:{ports.find_free_port()}"
    for listener in ("Frontend", "Readiness", "Control", "Directory"):
        fields[f"Listen.{listener}"] = f"127.0.0.1:{ports.find_free_port()}"
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("".join(f"{key}={value}\n" for key, value in fields.items()))
        file.flush()
        command = [sys.executable, "-c", RAISE_ON_EXIT, name]
        command += ["gateway", "--settings", file.name]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as started:
            for line in started.stdout:
                if "entry started" in line:
                    started.terminate()
            code = started.wait(STOP_TIMEOUT_S)
    assert code == 0, code


def check_refused(text, word):
    try:
        check_settings(text)
    except errors.SettingsError as error:
        assert word in str(error) and "\n" not in str(error), error
        return
    raise AssertionError("accepted")


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


@then("the gateway's check of a file without an address exits with 2 and one line")
def check_start(context):
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write(NODE_FILE.replace("Listen.Frontend", "Other"))
        file.flush()
        command = [sys.executable, "-m", "acaciaward", "gateway", "--check"]
        command += ["--settings", file.name]
        done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 2, done
    assert done.stderr.count("\n") == 1 and "callers" in done.stderr, done.stderr


@then("script/settings_reference.py would write the same pages")
def check_pages(context):
    for path, package, head in (
        (settings_reference.REFERENCE, "acaciaward.settings", settings_reference.HEAD),
        (
            settings_reference.GATEWAY_REFERENCE,
            "acaciaward.gateway",
            settings_reference.GATEWAY_HEAD,
        ),
    ):
        assert path.read_text() == settings_reference.describe(package, head), path
