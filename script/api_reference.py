"""
Writes docs/reference/api.md, commands.md, metrics.md and the index of design notes.

The routes are read from an entry that is constructed but not started. A route's
description is the first paragraph of its handler's doc comment.
"""

import importlib
import inspect
import pathlib
import re

import click
import prometheus_client

from acaciaward.cli import main as cli_main
from acaciaward.entry import process
from acaciaward.settings import loader

ROOT = pathlib.Path(__file__).resolve().parent.parent
API = ROOT / "docs/reference/api.md"
COMMANDS = ROOT / "docs/reference/commands.md"
METRICS = ROOT / "docs/reference/metrics.md"
NOTES_INDEX = ROOT / "docs/design/README.md"
API_HEAD = """# HTTP API

Every path under `/v1/admin` needs `Authorization: Bearer KEY` of an operator, a viewer
or, for its own organisation, of an administrator. An entry serves this list in OpenAPI
form at `/openapi.json`. Errors have the form `{"error": {"code", "message", "verdict",
"retry_after", "request_id"}}`. This page is written by script/api_reference.py.

"""
# Modules that register metrics when they are imported.
METRIC_MODULES = ("acaciaward.gateway.process", "acaciaward.observability.bufferedlog")
METRICS_HEAD = """# Metrics

Metrics of `acaciaward entry` and `acaciaward gateway`, in Prometheus' text form. This
page is written by script/api_reference.py.

| metric | type | meaning |
| --- | --- | --- |
"""
COMMANDS_HEAD = """# Commands

What `--help` says. This page is written by script/api_reference.py.

"""
NOTES_HEAD = """# Design notes

Each note sets out the ways weighed, what decides between them, and the measurement.
This page is written by script/api_reference.py.

"""
# Settings of the entry that is constructed; it has just the keys without a default.
ENTRY_SETTINGS = {
    "instance": {"name": "entry-1", "data_centre": "dc-1", "region": "r"},
    "callers": {"port": 8100},
    "peers": {"port": 8101},
    "platform": {"log": {"address": "127.0.0.1", "port": 9100}},
}


def describe_routes() -> str:
    """Return the page of the HTTP API."""
    entry = process.EntryProcess(loader.check(ENTRY_SETTINGS))
    operations = []
    entry.application.router.apply_routes()
    for method, routes in entry.application.router.routes.items():
        for route in routes:
            path = re.sub(r":path}", "}", route.pattern.decode())
            text = inspect.getdoc(route.handler) or ""
            summary = " ".join(text.split("\n\n")[0].split())
            operations.append((path, method.decode(), summary))
    lines = [
        f"- `{method} {path}` {summary}".rstrip()
        for path, method, summary in operations
    ]
    return API_HEAD + "\n".join(sorted(lines, key=_path_and_method)) + "\n"


def _path_and_method(line: str) -> tuple[str, str]:
    method, path = line.split("`")[1].split(" ", 1)
    return path, method


def describe_commands() -> str:
    """Return the page of all commands."""
    return COMMANDS_HEAD + "\n".join(_help_sections(cli_main.cli, "acaciaward"))


def _help_sections(command: click.Command, name: str) -> list[str]:
    context = click.Context(command, info_name=name, max_content_width=84)
    lines = [f"## {name}\n", "```", command.get_help(context), "```\n"]
    if isinstance(command, click.Group):
        for subcommand in command.list_commands(context):
            lines += _help_sections(
                command.get_command(context, subcommand), f"{name} {subcommand}"
            )
    return lines


def describe_metrics() -> str:
    """Return the page of all metrics of the program, sorted by name."""
    for module in METRIC_MODULES:
        importlib.import_module(module)
    rows = {}
    for metric in prometheus_client.REGISTRY.collect():
        if metric.name.startswith("acaciaward_"):
            kind = metric.type
            # Counters are registered without the suffix that they are exported with.
            name = metric.name + ("_total" if kind == "counter" else "")
            rows[name] = f"| `{name}` | {kind} | {metric.documentation} |\n"
    return METRICS_HEAD + "".join(rows[name] for name in sorted(rows))


def describe_notes() -> str:
    """Return the index of the design notes: their titles, sorted by file name."""
    lines = []
    for path in sorted(NOTES_INDEX.parent.glob("*.md")):
        if path != NOTES_INDEX:
            title = path.read_text().splitlines()[0].removeprefix("# ")
            lines.append(f"- [{title}]({path.name})\n")
    return NOTES_HEAD + "".join(lines)


def main() -> None:
    """Write all pages."""
    NOTES_INDEX.write_text(describe_notes())
    API.write_text(describe_routes())
    COMMANDS.write_text(describe_commands())
    METRICS.write_text(describe_metrics())


if __name__ == "__main__":
    main()
