"""The ``status`` command: what one entry knows of all."""

import json

import click

from acaciaward.cli import connection


@click.command()
@connection.options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(entry: str, key_file: str | None, as_json: bool):
    """Show the entries with their state and configuration version."""
    answer = connection.call(
        connection.connect(entry, key_file), "GET", "/v1/admin/status"
    )
    if as_json:
        click.echo(json.dumps(answer))
        return
    current = "current" if answer["current"] else "NOT current"
    click.echo(f"{answer['name']}: version {answer['version']}, {current}")
    for peer in answer["entries"]:
        click.echo(
            f"{peer['name']:<24} {peer['state']:<8} {peer['data_centre']:<20} "
            f"{peer['address']}:{peer['port']}  version {peer['configuration_version']}"
        )
