"""
The command line: one command a duty, each in a module of its own.

A command's module is imported when the command is named, so that asking an entry
doesn't wait for the imports of running one. A mistake of the operator is printed
as one line and sets the exit code; it never shows a traceback.
"""

import importlib
import sys
import typing

import click

import acaciaward
from acaciaward import errors

# The module of each command, which holds it under the command's own name.
MODULES = {
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


class _MistakeError(click.ClickException):
    """An operator's error as click prints it: one line, and the exit code."""

    def __init__(self, error: errors.OperatorError):
        super().__init__(str(error).replace("\n", " "))
        self.exit_code = error.exit_code

    def show(self, file: typing.IO | None = None) -> None:
        """Print the line to standard error."""
        click.echo(f"acaciaward: {self.message}", err=True)


class _Group(click.Group):
    """The top command: finds commands and turns the project's errors into click's."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(MODULES)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command."""
        if cmd_name not in MODULES:
            return None
        module = importlib.import_module(f"acaciaward.cli.{MODULES[cmd_name]}")
        return getattr(module, cmd_name)

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Run the command that was named."""
        try:
            return super().invoke(ctx)
        except errors.OperatorError as error:
            raise _MistakeError(error) from error


@click.group(cls=_Group)
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
