"""
Writes docs/reference/api.md, commands.md and metrics.md, and the notes' index.

The routes are those of an entry that is built but not started; descriptions are
the doc comments of their handlers.
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
NOTES = ROOT / "docs/design/README.md"
API_HEAD = """# HTTP API

Every path under `/v1/admin` needs `Authorization: Bearer KEY` of an operator, a viewer
or, for its own organisation, of an administrator. An entry serves this list in OpenAPI
form at `/openapi.json`. Errors have the form `{"error": {"code", "message", "verdict",
"retry_after", "request_id"}}`. This page is written by script/api_reference.py.

"""
# Modules that define metrics when they are imported.
MEASURED = ("acaciaward.gateway.process", "acaciaward.observability.outlet")
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
SETTINGS = {
    "instance": {"name": "entry-1", "data_centre": "dc-1", "region": "r"},
    "callers": {"port": 8100},
    "peers": {"port": 8101},
    "platform": {"log": {"address": "127.0.0.1", "port": 9100}},
}


def describe_routes() -> str:
    """Return the page of the HTTP API."""
    entry = process.EntryProcess(loader.check(SETTINGS))
    lines = []
    entry.application.router.apply_routes()
    for method, routes in entry.application.router.routes.items():
        for route in routes:
            path = re.sub(r":path}", "}", route.pattern.decode())
            text = inspect.getdoc(route.handler) or ""
            summary = " ".join(text.split("\n\n")[0].split())
            lines.append((path, method.decode(), summary))
    shown = [f"- `{method} {path}` {text}".rstrip() for path, method, text in lines]
    return API_HEAD + "\n".join(sorted(shown, key=_by_path)) + "\n"


def _by_path(line: str) -> tuple[str, str]:
    method, path = line.split("`")[1].split(" ", 1)
    return path, method


def describe_commands() -> str:
    """Return the page of all commands."""
    return COMMANDS_HEAD + "\n".join(_help_of(cli_main.cli, "acaciaward"))


def _help_of(command: click.Command, name: str) -> list[str]:
    context = click.Context(command, info_name=name, max_content_width=84)
    lines = [f"## {name}\n", "```", command.get_help(context), "```\n"]
    if isinstance(command, click.Group):
        for part in command.list_commands(context):
            lines += _help_of(command.get_command(context, part), f"{name} {part}")
    return lines


def describe_metrics() -> str:
    """Return the page of all metrics of the program, by their names."""
    for name in MEASURED:
        importlib.import_module(name)
    names = {}
    for metric in prometheus_client.REGISTRY.collect():
        if metric.name.startswith("acaciaward_"):
            kind = metric.type
            shown = metric.name + ("_total" if kind == "counter" else "")
            names[shown] = f"| `{shown}` | {kind} | {metric.documentation} |\n"
    return METRICS_HEAD + "".join(names[name] for name in sorted(names))


def describe_notes() -> str:
    """Return the index of the design notes, by their titles."""
    lines = []
    for path in sorted(NOTES.parent.glob("*.md")):
        if path != NOTES:
            title = path.read_text().splitlines()[0].removeprefix("# ")
            lines.append(f"- [{title}]({path.name})\n")
    return NOTES_HEAD + "".join(lines)


def main() -> None:
    """Write all pages."""
    NOTES.write_text(describe_notes())
    API.write_text(describe_routes())
    COMMANDS.write_text(describe_commands())
    METRICS.write_text(describe_metrics())


if __name__ == "__main__":
    main()
