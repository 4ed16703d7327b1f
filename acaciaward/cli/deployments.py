"""The ``deployment``, ``endpoints`` and ``quarantine`` commands."""

import json
import pathlib
import typing
import urllib.parse

import click

from acaciaward import errors
from acaciaward.cli import connection, output

DEPLOYMENTS = "/v1/admin/deployments"
QUARANTINE = "/v1/admin/quarantine"


@click.group()
def deployment():
    """Show and change deployments."""


@deployment.command("list")
@connection.options
@output.json_option
def list_all(target: connection.Connection, as_json: bool):
    """List all deployments."""
    answer = connection.call(target, "GET", DEPLOYMENTS)
    if as_json:
        output.print_json(answer["deployments"])
        return
    rows = [
        (
            one["name"],
            one["kind"],
            one.get("model"),
            len(one.get("endpoints", {})),
            one.get("organisations"),
        )
        for one in answer["deployments"]
    ]
    headings = ["deployment", "kind", "model", "endpoints", "organisations"]
    output.print_table(headings, rows)


@deployment.command()
@click.argument("name")
@connection.options
def show(name: str, target: connection.Connection):
    """Show the deployment NAME as JSON."""
    output.print_json(connection.call(target, "GET", _path(name)))


@deployment.command()
@click.argument("name")
@click.argument("path", type=click.Path())
@connection.options
@output.json_option
def apply(name: str, path: str, target: connection.Connection, as_json: bool):
    """
    Create or change NAME by the JSON merge patch in the file PATH.

    Example of a file: {"kind": "service", "endpoints": {"desk-1": {"address":
    "10.20.1.201", "port": 8000, "data_centre": "sala-brasov"}}}
    """
    body = {"entry": read_object(path)}
    output.print_change(connection.call(target, "PATCH", _path(name), body), as_json)


@deployment.command()
@click.argument("name")
@connection.options
@output.json_option
def remove(name: str, target: connection.Connection, as_json: bool):
    """Remove the deployment NAME."""
    body = {"entry": None}
    output.print_change(connection.call(target, "PATCH", _path(name), body), as_json)


@click.command()
@connection.options
@output.json_option
def endpoints(target: connection.Connection, as_json: bool):
    """List the endpoints with their state as the entry believes it."""
    answer = connection.call(target, "GET", "/v1/admin/endpoints")
    if as_json:
        output.print_json(answer["endpoints"])
        return
    rows = [
        (
            one["name"],
            one["deployment"],
            one["state"],
            one["data_centre"],
            f"{one['address']}:{one['port']}",
            one["load"],
        )
        for one in answer["endpoints"]
    ]
    headings = ["endpoint", "deployment", "state", "data centre", "address", "load"]
    output.print_table(headings, rows)


@click.group()
def quarantine():
    """List requests that crash endpoints, and let them run again."""


@quarantine.command("list")
@connection.options
@output.json_option
def list_quarantined(target: connection.Connection, as_json: bool):
    """List the quarantined requests."""
    answer = connection.call(target, "GET", QUARANTINE)
    if as_json:
        output.print_json(answer)
        return
    rows = [
        (one["subject"], one["origin"], one["until"], one["details"])
        for one in answer["quarantined"]
    ]
    output.print_table(["request", "seen by", "until", "details"], rows)


@quarantine.command()
@click.argument("digest")
@connection.options
@output.json_option
def lift(digest: str, target: connection.Connection, as_json: bool):
    """Let the request with the content digest DIGEST run again."""
    path = f"{QUARANTINE}/{urllib.parse.quote(digest, safe='')}/lift"
    output.print_change(connection.call(target, "POST", path, {}), as_json)


def read_object(path: str) -> dict[str, typing.Any]:
    """Return the JSON object in a file, or raise ``OperatorError``."""
    try:
        body = json.loads(pathlib.Path(path).read_text())
    except OSError as error:
        raise errors.OperatorError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise errors.OperatorError(f"{path}: not JSON: {error}") from error
    if not isinstance(body, dict):
        raise errors.OperatorError(f"{path}: expected a JSON object")
    return body


def _path(name: str) -> str:
    return f"{DEPLOYMENTS}/{urllib.parse.quote(name, safe='')}"
