"""The ``drain`` command: lets an entry leave."""

import urllib.parse

import click

from acaciaward.cli import connection


@click.command()
@click.argument("name")
@connection.options
def drain(name: str, target: connection.Connection):
    """
    Let the entry NAME leave.

    It drops out of what callers are told, finishes what runs or hands it over,
    and ends. ``acaciaward status`` shows it as leaving, then dead.
    """
    path = f"/v1/admin/entries/{urllib.parse.quote(name, safe='')}/drain"
    answer = connection.call(target, "POST", path, {})
    click.echo(f"{answer['name']}: {answer['state']}")
