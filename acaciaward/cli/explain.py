"""The ``explain`` command: why one request ended as it did."""

import json

import click

from acaciaward import errors
from acaciaward.cli import output
from acaciaward.observability import timeline

HIDDEN = ("request", "level", "logger", "instance")


def _not_found(request: str, outages: timeline.Outages) -> str:
    """Say that a request reached no entry, and which entries were gone when."""
    spans = [f"{one.instance} {one.begin} to {one.end}" for one in outages.found]
    gone = "; entries that were gone: " + ", ".join(spans) if spans else ""
    return f"no line names the request {request}: it reached no entry{gone}"


@click.command()
@click.argument("request")
@click.argument("files", nargs=-1, type=click.File(errors="replace"))
@output.json_option
def explain(request: str, files: tuple, as_json: bool):
    """
    Print what entries' logs say of a request, its cause last.

    Without files, the logs are read from standard input.
    """
    sources = files or (click.get_text_stream("stdin", errors="replace"),)
    outages = timeline.Outages()
    lines = outages.watch(line for source in sources for line in source)
    found = timeline.timeline(lines, request)
    if not found:
        raise errors.OperatorError(_not_found(request, outages))
    cause = timeline.cause_of(found, outages)
    if as_json:
        shown = [
            {"time": line.time, "event": line.event, **line.fields} for line in found
        ]
        click.echo(json.dumps({"request": request, "lines": shown, "cause": cause}))
        return
    for line in found:
        pairs = [f"{k}={v}" for k, v in line.fields.items() if k not in HIDDEN]
        where = line.fields.get("instance", "?")
        click.echo(f"{line.time} {where}: {line.event} {' '.join(pairs)}")
    click.echo(f"cause: {cause}")
