"""The ``completion`` command: a script that completes commands in a shell."""

import click
from click import shell_completion

VARIABLE = "_ACACIAWARD_COMPLETE"
SHELLS = ("bash", "zsh", "fish")


@click.command()
@click.argument("shell", type=click.Choice(SHELLS))
@click.pass_context
def completion(context: click.Context, shell: str):
    """
    Print the completion script of SHELL.

    Example: eval "$(acaciaward completion bash)"
    """
    maker = shell_completion.get_completion_class(shell)
    made = maker(context.find_root().command, {}, "acaciaward", VARIABLE)
    click.echo(made.source())
