"""The ``config`` commands: read and patch the configuration."""

import datetime
import json
import typing
import urllib.parse

import click

from acaciaward.cli import connection, deployments, output


@click.group()
def config():
    """Read and patch the versioned configuration."""


@config.command()
@connection.options
def get(target: connection.Connection):
    """Print the version in force and its document as JSON."""
    output.print_json(connection.call(target, "GET", "/v1/admin/config"))


@config.command()
@click.argument("path", type=click.Path())
@click.option("--base", type=int, help="Version that the patch is based on.")
@click.option(
    "--id", "patch_id", help="Patch id; reuse it to retry after an unknown outcome."
)
@connection.options
def patch(
    path: str, base: int | None, patch_id: str | None, target: connection.Connection
):
    """
    Submit the patch in PATH, a JSON object with base and changes.

    The changes are a JSON merge patch: null removes a key.
    """
    body = deployments.read_object(path)
    if base is not None:
        body["base"] = base
    if patch_id is not None:
        body["id"] = patch_id
    outcome = connection.call(target, "POST", "/v1/admin/config/patches", body)
    output.print_change(outcome, as_json=False)


@config.command()
@connection.options
@output.json_option
def history(target: connection.Connection, as_json: bool):
    """Print the accepted patches, newest last."""
    answer = connection.call(target, "GET", "/v1/admin/config/history")
    _print_patches(answer["history"], as_json)


@config.command()
@click.argument("first", type=click.IntRange(min=0))
@click.argument("last", type=click.IntRange(min=0))
@connection.options
@output.json_option
def diff(first: int, last: int, target: connection.Connection, as_json: bool):
    """Print the patches that lead from version FIRST to version LAST."""
    path = f"/v1/admin/config/diff?from={first}&to={last}"
    answer = connection.call(target, "GET", path)
    if as_json:
        output.print_json(answer)
        return
    for accepted in answer["patches"]:
        click.echo(f"version {accepted['version']} by {accepted['author']}")
        click.echo(json.dumps(accepted["changes"], indent=2, sort_keys=True))


@config.command()
@click.argument("patch_id")
@connection.options
@output.json_option
def outcome(patch_id: str, target: connection.Connection, as_json: bool):
    """
    Print the outcome of the patch PATCH_ID.

    For patches whose submission ended with an unknown outcome.
    """
    quoted = urllib.parse.quote(patch_id, safe="")
    answer = connection.call(target, "GET", f"/v1/admin/config/patches/{quoted}")
    if as_json:
        output.print_json(answer)
        return
    click.echo(f"{answer['status']} (version {answer['version']}) {answer['reason']}")


def _print_patches(patches: list[dict[str, typing.Any]], as_json: bool) -> None:
    if as_json:
        output.print_json(patches)
        return
    rows = [
        (
            accepted["version"],
            _format_time(accepted["time"]),
            accepted["author"],
            accepted["patch_id"],
        )
        for accepted in patches
    ]
    output.print_table(["version", "time", "author", "patch id"], rows)


def _format_time(unix_s: float) -> str:
    time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return f"{time:%Y-%m-%d %H:%M:%S}Z"
