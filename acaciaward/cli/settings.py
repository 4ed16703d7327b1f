"""The ``settings`` commands: check a file and show its effective settings."""

import json

import click

from acaciaward.settings import loader


@click.group()
def settings():
    """Check and show settings files."""


@settings.command()
@click.argument("path", type=click.Path())
def check(path: str):
    """Check the settings file PATH."""
    loader.load(path)
    click.echo(f"{path}: ok")


@settings.command()
@click.argument("path", type=click.Path())
def show(path: str):
    """Show the effective settings of PATH, defaults included."""
    click.echo(json.dumps(loader.load(path), indent=2, sort_keys=True))
