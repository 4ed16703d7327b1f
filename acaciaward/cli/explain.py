"""The ``explain`` command: shows why one request ended as it did."""

import json

import click

from acaciaward import errors
from acaciaward.cli import output
from acaciaward.observability import timeline

HIDDEN_FIELDS = ("request", "level", "logger", "instance")


def _describe_missing_request(request: str, tracker: timeline.OutageTracker) -> str:
    """Return a message that no entry logged a request, with the entries' outages."""
    spans = [
        f"{outage.instance} {outage.begin} to {outage.end}"
        for outage in tracker.outages
    ]
    down = "; entries that were gone: " + ", ".join(spans) if spans else ""
    return f"no line names the request {request}: it reached no entry{down}"


@click.command()
@click.argument("request")
@click.argument("files", nargs=-1, type=click.File(errors="replace"))
@output.json_option
def explain(request: str, files: tuple, as_json: bool):
    """
    Print a request's log lines from all entries, its cause last.

    Without files, the logs are read from standard input.
    """
    sources = files or (click.get_text_stream("stdin", errors="replace"),)
    tracker = timeline.OutageTracker()
    texts = tracker.track(text for source in sources for text in source)
    lines = timeline.request_timeline(texts, request)
    if not lines:
        raise errors.OperatorError(_describe_missing_request(request, tracker))
    cause = timeline.describe_cause(lines, tracker)
    if as_json:
        line_objects = [
            {"time": line.time, "event": line.event, **line.fields} for line in lines
        ]
        click.echo(
            json.dumps({"request": request, "lines": line_objects, "cause": cause})
        )
        return
    for line in lines:
        pairs = [
            f"{name}={value}"
            for name, value in line.fields.items()
            if name not in HIDDEN_FIELDS
        ]
        instance = line.fields.get("instance", "?")
        click.echo(f"{line.time} {instance}: {line.event} {' '.join(pairs)}")
    click.echo(f"cause: {cause}")
