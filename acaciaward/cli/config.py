"""The ``config`` commands: read and patch the configuration."""

import datetime
import json
import pathlib
import typing

import click

from acaciaward import errors
from acaciaward.cli import connection


@click.group()
def config():
    """Read and patch the numbered configuration."""


@config.command()
@connection.options
def get(entry: str, key_file: str | None):
    """Print the version in force and its document as JSON."""
    view = connection.call(
        connection.connect(entry, key_file), "GET", "/v1/admin/config"
    )
    click.echo(json.dumps(view, indent=2, sort_keys=True))


@config.command()
@click.argument("path", type=click.Path())
@click.option("--base", type=int, help="Version that the patch changes.")
@click.option("--id", "patch_id", help="Patch id; repeat it to settle an unknown one.")
@connection.options
def patch(
    path: str, base: int | None, patch_id: str | None, entry: str, key_file: str | None
):
    """
    Submit the patch in PATH, a JSON object with base and changes.

    The changes are a JSON merge patch: null removes a key.
    """
    body = _read_patch(path)
    if base is not None:
        body["base"] = base
    if patch_id is not None:
        body["id"] = patch_id
    outcome = connection.call(
        connection.connect(entry, key_file),
        "POST",
        "/v1/admin/config/patches",
        body,
    )
    click.echo(f"accepted as version {outcome['version']}")


def _read_patch(path: str) -> dict[str, typing.Any]:
    try:
        body = json.loads(pathlib.Path(path).read_text())
    except OSError as error:
        raise errors.OperatorError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise errors.OperatorError(f"{path}: not JSON: {error}") from error
    if not isinstance(body, dict):
        raise errors.OperatorError(f"{path}: expected a JSON object")
    return body


@config.command()
@connection.options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def history(entry: str, key_file: str | None, as_json: bool):
    """Print the accepted patches, the newest last."""
    answer = connection.call(
        connection.connect(entry, key_file), "GET", "/v1/admin/config/history"
    )
    if as_json:
        click.echo(json.dumps(answer["history"]))
        return
    for item in answer["history"]:
        moment = datetime.datetime.fromtimestamp(item["time"], datetime.UTC)
        click.echo(
            f"{item['version']:>6}  {moment:%Y-%m-%d %H:%M:%S}Z  {item['author']}"
        )
