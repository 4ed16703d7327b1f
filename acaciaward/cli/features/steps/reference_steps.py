"""Steps for pages and files that must agree with the program."""

import json
import pathlib
import re

import click
import prometheus_client
import yaml
from behave import then

from acaciaward.cli import main
from script import api_reference

ROOT = pathlib.Path(__file__).resolve().parents[4]
OPERATORS = ROOT / "docs/operators"
METRIC = re.compile(r"\bacaciaward_[a-z_]+")


@then("script/api_reference.py would write the same pages")
def check_pages(context):
    for path, text in (
        (api_reference.API, api_reference.describe_routes()),
        (api_reference.COMMANDS, api_reference.describe_commands()),
        (api_reference.METRICS, api_reference.describe_metrics()),
        (api_reference.NOTES_INDEX, api_reference.describe_notes()),
    ):
        assert path.read_text() == text, f"run script/api_reference.py: {path.name}"


@then("every metric of alerts.yaml and dashboard.json is one of the program's")
def check_metrics(context):
    rules = yaml.safe_load((OPERATORS / "alerts.yaml").read_text())
    panels = json.loads((OPERATORS / "dashboard.json").read_text())
    expressions = [rule["expr"] for group in rules["groups"] for rule in group["rules"]]
    recorded = {
        rule["record"]
        for group in rules["groups"]
        for rule in group["rules"]
        if "record" in rule
    }
    expressions += [
        target["expr"] for panel in panels["panels"] for target in panel["targets"]
    ]
    api_reference.describe_routes()
    known = {metric.name for metric in prometheus_client.REGISTRY.collect()}
    for expression in expressions:
        for name in METRIC.findall(expression):
            plain = name.removesuffix("_total").removesuffix("_bucket")
            assert plain in known, (name, expression)
        for name in re.findall(r"\bacaciaward:[a-z0-9:]+", expression):
            assert name in recorded, (name, expression)


@then("the operators' page lists every alert, and no other")
def check_alerts(context):
    rules = yaml.safe_load((OPERATORS / "alerts.yaml").read_text())
    alerts = {
        rule["alert"]
        for group in rules["groups"]
        for rule in group["rules"]
        if "alert" in rule
    }
    page = (OPERATORS / "operations.md").read_text()
    assert alerts == set(re.findall(r"^\| (Acaciaward\w+) \|", page, re.MULTILINE))


@then("each command in the pages is one of the program's")
def check_commands(context):
    count = 0
    for page in OPERATORS.glob("*.md"):
        for line in re.findall(r"\bacaciaward ([a-z][a-z -]*)", page.read_text()):
            _check_command(line.split())
            count += 1
    assert count > 30, count


def _check_command(words):
    command = main.cli
    for word in words:
        if not isinstance(command, click.Group):
            return
        subcommand = command.get_command(click.Context(command), word)
        assert subcommand is not None, words
        command = subcommand
