"""The ``drain`` command: drains an entry, which then ends."""

import urllib.parse

import click

from acaciaward.cli import connection


@click.command()
@click.argument("name")
@connection.options
def drain(name: str, target: connection.Connection):
    """
    Drain the entry NAME.

    It is removed from discovery answers, finishes its running requests or hands
    them over, and ends. ``acaciaward status`` shows it as leaving, then dead.
    """
    path = f"/v1/admin/entries/{urllib.parse.quote(name, safe='')}/drain"
    answer = connection.call(target, "POST", path, {})
    click.echo(f"{answer['name']}: {answer['state']}")
