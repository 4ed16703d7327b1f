"""
The command line: one command a duty, each in a module of its own.

A mistake of the operator is printed as one line and sets the exit code; it never
shows a traceback.
"""

import sys
import typing

import click

import acaciaward
from acaciaward import errors
from acaciaward.cli import (
    completion,
    config,
    demo,
    deployments,
    entries,
    entry,
    keys,
    organisations,
    reports,
    settings,
    status,
)


class _MistakeError(click.ClickException):
    """An operator's error as click prints it: one line, and the exit code."""

    def __init__(self, error: errors.OperatorError):
        super().__init__(str(error).replace("\n", " "))
        self.exit_code = error.exit_code

    def show(self, file: typing.IO | None = None) -> None:
        """Print the line to standard error."""
        click.echo(f"acaciaward: {self.message}", err=True)


class _Group(click.Group):
    """The top command, which turns the project's errors into click's."""

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


for command in (
    entry.entry,
    settings.settings,
    config.config,
    keys.key,
    status.status,
    entries.drain,
    organisations.organisation,
    deployments.deployment,
    deployments.endpoints,
    deployments.quarantine,
    reports.report,
    completion.completion,
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
