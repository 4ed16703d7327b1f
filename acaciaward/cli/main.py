"""
The command line: one command a duty, each in a module of its own.

A mistake of the operator is printed as one line and sets the exit code; it never
shows a traceback.
"""

import sys

import click

import acaciaward
from acaciaward import errors
from acaciaward.cli import config, demo, entry, keys, settings, status


@click.group()
@click.version_option(acaciaward.__version__, prog_name="acaciaward")
def cli():
    """Serve language models and plain services on reclaimable instances."""


for command in (
    entry.entry,
    settings.settings,
    config.config,
    keys.key,
    status.status,
    demo.demo,
):
    cli.add_command(command)


def run() -> None:
    """Run the command line and exit with its code."""
    try:
        cli.main(prog_name="acaciaward", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(130)
    except errors.OperatorError as error:
        click.echo(f"acaciaward: {error}", err=True)
        sys.exit(error.exit_code)
