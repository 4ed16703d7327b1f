"""Steps for the settings file of an instance, and for the seeds in it."""

import asyncio
import json
import logging
import pathlib
import subprocess
import sys
import tempfile
import types
from unittest import mock

from behave import given, then, when

from acaciaward import errors
from acaciaward.catalogue import storeview
from acaciaward.cli import gateway as gateway_command
from acaciaward.gateway import settings as gateway_settings
from acaciaward.platform import (
    nodefile,
)
from acaciaward.settings import loader
from script import settings_reference

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


def check_refused(text, word):
    try:
        check_settings(text)
    except errors.SettingsError as error:
        assert word in str(error) and "\n" not in str(error), error
        return
    raise AssertionError("accepted")


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
