"""The ``completion`` command: prints a shell's completion script."""

import click
from click import shell_completion

COMPLETION_VARIABLE = "_ACACIAWARD_COMPLETE"
SHELLS = ("bash", "zsh", "fish")


@click.command()
@click.argument("shell", type=click.Choice(SHELLS))
@click.pass_context
def completion(context: click.Context, shell: str):
    """
    Print the completion script of SHELL.

    Example: eval "$(acaciaward completion bash)"
    """
    completion_class = shell_completion.get_completion_class(shell)
    completer = completion_class(
        context.find_root().command, {}, "acaciaward", COMPLETION_VARIABLE
    )
    click.echo(completer.source())
