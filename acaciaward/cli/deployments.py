"""The ``deployment``, ``endpoints`` and ``quarantine`` commands."""

import datetime
import json
import pathlib
import typing
import urllib.parse

import click

from acaciaward import errors
from acaciaward.cli import connection, output

DEPLOYMENTS_PATH = "/v1/admin/deployments"
QUARANTINE_PATH = "/v1/admin/quarantine"


@click.group()
def deployment():
    """Show and change deployments."""


@deployment.command("list")
@connection.options
@output.json_option
def list_all(target: connection.Connection, as_json: bool):
    """List all deployments."""
    answer = connection.call(target, "GET", DEPLOYMENTS_PATH)
    if as_json:
        output.print_json(answer["deployments"])
        return
    rows = [
        (
            listed["name"],
            listed["kind"],
            listed.get("model"),
            len(listed.get("endpoints", {})),
            listed.get("organisations"),
        )
        for listed in answer["deployments"]
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
    Create or change NAME with the JSON merge patch in the file PATH.

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
    """List the endpoints with their state as the entry sees it."""
    answer = connection.call(target, "GET", "/v1/admin/endpoints")
    if as_json:
        output.print_json(answer["endpoints"])
        return
    rows = [
        (
            endpoint["name"],
            endpoint["deployment"],
            endpoint["state"],
            endpoint["data_centre"],
            f"{endpoint['address']}:{endpoint['port']}",
            endpoint["load"],
        )
        for endpoint in answer["endpoints"]
    ]
    headings = ["endpoint", "deployment", "state", "data centre", "address", "load"]
    output.print_table(headings, rows)


@click.group()
def quarantine():
    """List and lift quarantines of requests that crash endpoints."""


@quarantine.command("list")
@connection.options
@output.json_option
def list_quarantined(target: connection.Connection, as_json: bool):
    """List the quarantined requests."""
    answer = connection.call(target, "GET", QUARANTINE_PATH)
    if as_json:
        output.print_json(answer)
        return
    rows = [
        (
            request["organisation"],
            request["digest"],
            request["origin"],
            _format_time(request["until"]),
        )
        for request in answer["quarantined"]
    ]
    output.print_table(["organisation", "digest", "seen by", "until"], rows)


@quarantine.command()
@click.argument("digest")
@connection.options
@output.json_option
def lift(digest: str, target: connection.Connection, as_json: bool):
    """Allow the request with the content digest DIGEST to run again."""
    path = f"{QUARANTINE_PATH}/{urllib.parse.quote(digest, safe='')}/lift"
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


def _format_time(unix_s: float) -> str:
    time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return f"{time:%Y-%m-%d %H:%M:%S}Z"


def _path(name: str) -> str:
    return f"{DEPLOYMENTS_PATH}/{urllib.parse.quote(name, safe='')}"
