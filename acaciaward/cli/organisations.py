"""The ``organisation`` commands: manage organisations, their keys and outcomes."""

import typing
import urllib.parse

import click

from acaciaward.cli import connection, output

ORGANISATIONS_PATH = "/v1/admin/organisations"
LIMITS = ("requests-per-s", "tokens-per-s", "concurrency")


@click.group()
def organisation():
    """
    Create, change and suspend organisations, and rotate their keys.

    An organisation's own administrator may use show, outcome and the key
    commands for its own organisation.
    """


@organisation.command("list")
@connection.options
@output.json_option
def list_all(target: connection.Connection, as_json: bool):
    """List all organisations."""
    answer = connection.call(target, "GET", ORGANISATIONS_PATH)
    if as_json:
        output.print_json(answer["organisations"])
        return
    rows = [
        (
            listed["name"],
            "suspended" if listed["suspended"] else "active",
            listed["share"],
            listed["limits"],
            [key["name"] for key in listed["keys"]],
            listed["deployments"],
        )
        for listed in answer["organisations"]
    ]
    headings = ["organisation", "state", "share", "limits", "keys", "deployments"]
    output.print_table(headings, rows)


@organisation.command()
@click.argument("name")
@connection.options
def show(name: str, target: connection.Connection):
    """Show the organisation NAME as JSON."""
    output.print_json(connection.call(target, "GET", _path(name)))


def _organisation_options(command: typing.Callable) -> typing.Callable:
    for limit in LIMITS:
        kind = click.IntRange(min=1) if limit == "concurrency" else float
        command = click.option(f"--{limit}", type=kind)(command)
    command = click.option(
        "--deployment",
        "deployments",
        multiple=True,
        help="Deployment that it may use; repeatable.",
    )(command)
    return click.option("--share", type=float, help="Share of capacity.")(command)


def _body(
    share: float | None, deployments: tuple[str, ...], limits: dict[str, float | None]
) -> dict[str, typing.Any]:
    body: dict[str, typing.Any] = {}
    if share is not None:
        body["share"] = share
    if deployments:
        body["deployments"] = list(deployments)
    set_limits = {name: value for name, value in limits.items() if value is not None}
    if set_limits:
        body["limits"] = set_limits
    return body


@organisation.command()
@click.argument("name")
@_organisation_options
@connection.options
@output.json_option
def create(
    name: str,
    share: float | None,
    deployments: tuple[str, ...],
    target: connection.Connection,
    as_json: bool,
    **limits: float | None,
):
    """
    Create the organisation NAME and print its first key.

    Example: acaciaward organisation create library --deployment counter-desk
    """
    body = _body(share, deployments, limits) | {"name": name}
    output.print_change(
        connection.call(target, "POST", ORGANISATIONS_PATH, body), as_json
    )


@organisation.command("set")
@click.argument("name")
@_organisation_options
@connection.options
@output.json_option
def change(
    name: str,
    share: float | None,
    deployments: tuple[str, ...],
    target: connection.Connection,
    as_json: bool,
    **limits: float | None,
):
    """Change share, limits or deployments of NAME; what isn't given stays."""
    body = _body(share, deployments, limits)
    if not body:
        raise click.UsageError("nothing to change was given")
    output.print_change(connection.call(target, "PATCH", _path(name), body), as_json)


@organisation.command()
@click.argument("name")
@connection.options
@output.json_option
def suspend(name: str, target: connection.Connection, as_json: bool):
    """Refuse every request of NAME, at all entries within seconds."""
    _set_suspended(target, name, True, as_json)


@organisation.command()
@click.argument("name")
@connection.options
@output.json_option
def resume(name: str, target: connection.Connection, as_json: bool):
    """Serve NAME again after it was suspended."""
    _set_suspended(target, name, False, as_json)


def _set_suspended(
    target: connection.Connection, name: str, suspended: bool, as_json: bool
) -> None:
    body = {"suspended": suspended}
    output.print_change(connection.call(target, "PATCH", _path(name), body), as_json)


@organisation.command()
@click.argument("name")
@click.argument("key")
@connection.options
@output.json_option
def outcome(name: str, key: str, target: connection.Connection, as_json: bool):
    """Print whether the request of NAME with the idempotency key KEY ran."""
    answer = connection.call(target, "GET", f"{_path(name)}/outcomes/{_quote(key)}")
    if as_json:
        output.print_json(answer)
        return
    click.echo(f"{answer['verdict']} (status {output.format_cell(answer['status'])})")


@organisation.group()
def key():
    """Add, rotate and revoke keys of an organisation."""


@key.command()
@click.argument("name")
@click.argument("key_name")
@click.option(
    "--role", type=click.Choice(["caller", "administrator"]), default="caller"
)
@connection.options
@output.json_option
def add(
    name: str, key_name: str, role: str, target: connection.Connection, as_json: bool
):
    """Add the key KEY_NAME to the organisation NAME and print it."""
    body = {"name": key_name, "role": role}
    answer = connection.call(target, "POST", f"{_path(name)}/keys", body)
    output.print_change(answer, as_json)


@key.command()
@click.argument("name")
@click.argument("key_name")
@click.option("--new-name", help="Name of the new key.")
@click.option(
    "--overlap-s",
    type=click.FloatRange(min=0),
    default=3600.0,
    show_default=True,
    help="Seconds for which the old key stays valid.",
)
@connection.options
@output.json_option
def rotate(
    name: str,
    key_name: str,
    new_name: str | None,
    overlap_s: float,
    target: connection.Connection,
    as_json: bool,
):
    """
    Replace the key KEY_NAME of NAME by a new one and print the new one.

    Both are valid during the overlap, so callers can switch without a refused
    request.
    """
    body: dict[str, typing.Any] = {"overlap_s": overlap_s}
    if new_name is not None:
        body["name"] = new_name
    path = f"{_path(name)}/keys/{_quote(key_name)}/rotate"
    output.print_change(connection.call(target, "POST", path, body), as_json)


@key.command()
@click.argument("name")
@click.argument("key_name")
@connection.options
@output.json_option
def revoke(name: str, key_name: str, target: connection.Connection, as_json: bool):
    """Revoke the key KEY_NAME of NAME at once."""
    path = f"{_path(name)}/keys/{_quote(key_name)}"
    output.print_change(connection.call(target, "DELETE", path), as_json)


def _path(name: str) -> str:
    return f"{ORGANISATIONS_PATH}/{_quote(name)}"


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")
