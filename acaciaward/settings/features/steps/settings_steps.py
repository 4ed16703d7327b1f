"""Steps for checked settings."""

import copy
import json
import pathlib

import click.testing
from behave import given, then, when

from acaciaward import errors, shipped
from acaciaward.cli import settings as settings_command
from acaciaward.settings import loader

ROOT = pathlib.Path(__file__).resolve().parents[4]
MINIMAL = {
    "instance": {"name": "entry-1", "data_centre": "dc-1", "region": "north"},
    "callers": {"port": 8100},
    "peers": {"port": 8101},
    "platform": {"log": {"address": "10.0.0.1", "port": 9100}},
}


@given("the settings of an entry")
def set_minimal_settings(context):
    context.settings = copy.deepcopy(MINIMAL)
    loader.check(context.settings)


@when("{path} is set to {value}")
def set_key(context, path, value):
    *parents, last = path.split(".")
    group = context.settings
    for parent in parents:
        group = group.setdefault(parent, {})
    group[last] = json.loads(value)


@when("{path} is left out")
def leave_out(context, path):
    group, key = path.split(".")
    del context.settings[group][key]


@then("they are refused with one line that names {named}")
def check_refusal(context, named):
    try:
        loader.check(context.settings, name="entry.json")
    except errors.SettingsError as error:
        text = str(error)
    else:
        raise AssertionError("the settings were accepted")
    assert named in text, text
    assert text.startswith("entry.json: "), text
    assert "\n" not in text, text


def _paths(schema, prefix=""):
    for name, subschema in schema.get("properties", {}).items():
        yield f"{prefix}{name}", subschema
        yield from _paths(subschema, f"{prefix}{name}.")


@then("every key of the schema is described in the reference")
def check_described(context):
    schema = shipped.read("acaciaward.settings", "schema.json")
    reference = (ROOT / "docs/reference/settings.md").read_text()
    paths = list(_paths(schema))
    assert len(paths) > 50
    for path, subschema in paths:
        assert subschema["description"], path
        assert f"`{path}`" in reference, path


@then("every default satisfies the schema")
def check_defaults(context):
    loader.check(copy.deepcopy(MINIMAL))


@then("settings check passes on all {count:d} examples")
def check_examples(context, count):
    paths = sorted((ROOT / "examples").glob("*/entry-*.json"))
    assert len(paths) == count, paths
    runner = click.testing.CliRunner()
    for path in paths:
        result = runner.invoke(settings_command.settings, ["check", str(path)])
        assert result.exit_code == 0, result.output
