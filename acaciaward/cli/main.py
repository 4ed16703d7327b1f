"""
Defines the command line and imports each command's module when it is used.

The late import lets commands that only query an entry start without the imports
that running an entry needs. An operator's mistake is printed as one line and sets
the exit code; it never shows a traceback.
"""

import importlib
import sys
import typing

import click

import acaciaward
from acaciaward import errors

# Command name to module name; the module defines the command under its name.
COMMAND_MODULES = {
    "completion": "completion",
    "config": "config",
    "demo": "demo",
    "deployment": "deployments",
    "drain": "entries",
    "endpoints": "deployments",
    "entry": "entry",
    "explain": "explain",
    "fleet": "fleet",
    "gateway": "gateway",
    "key": "keys",
    "organisation": "organisations",
    "quarantine": "deployments",
    "report": "reports",
    "request": "request",
    "settings": "settings",
    "status": "status",
}


class _OperatorClickError(click.ClickException):
    """An operator's error as click prints it: one line, and the exit code."""

    def __init__(self, error: errors.OperatorError):
        super().__init__(str(error).replace("\n", " "))
        self.exit_code = error.exit_code

    def show(self, file: typing.IO | None = None) -> None:
        """Print the line to standard error."""
        click.echo(f"acaciaward: {self.message}", err=True)


class _LazyGroup(click.Group):
    """The top command: imports commands and turns ``OperatorError`` into click's."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMAND_MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command, None if there is none of that name."""
        if cmd_name not in COMMAND_MODULES:
            return None
        module = importlib.import_module(f"acaciaward.cli.{COMMAND_MODULES[cmd_name]}")
        return getattr(module, cmd_name)

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Run the named command."""
        try:
            return super().invoke(ctx)
        except errors.OperatorError as error:
            raise _OperatorClickError(error) from error


@click.group(cls=_LazyGroup)
@click.version_option(acaciaward.__version__, prog_name="acaciaward")
def cli():
    """Serve language models and plain services on reclaimable instances."""


def run() -> None:
    """Run the command line and exit with its code."""
    try:
        cli.main(prog_name="acaciaward", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except click.Abort:
        sys.exit(130)
