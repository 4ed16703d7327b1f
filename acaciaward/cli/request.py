"""The ``request`` commands: send one request as an organisation would."""

import asyncio
import typing

import click

from acaciaward import errors, httpclient
from acaciaward.cli import connection
from acaciaward.client import caller

EXIT_NOT_ANSWERED = 7


class NotAnsweredError(errors.OperatorError):
    """The request ended without an answer."""

    exit_code = EXIT_NOT_ANSWERED


@click.group()
def request():
    """Send a request with an organisation's key, to test an installation."""


@request.command()
@click.argument("model")
@click.argument("prompt")
@click.option("--max-tokens", type=click.IntRange(min=1), default=32)
@connection.options
def complete(model: str, prompt: str, max_tokens: int, target: connection.Connection):
    """Print the answer of MODEL to PROMPT."""
    answer = _run(
        target, lambda sender: sender.complete(model, prompt, max_tokens=max_tokens)
    )
    click.echo(answer.text)


@request.command()
@click.argument("service")
@click.argument("path")
@click.argument("body")
@click.option(
    "--once", is_flag=True, help="Run at most once, under a new idempotency key."
)
@connection.options
def call(service: str, path: str, body: str, once: bool, target: connection.Connection):
    """Call PATH of the plain service SERVICE with BODY and print the answer."""
    reply = _run(
        target,
        lambda sender: sender.call(service, path, body.encode(), idempotent=not once),
    )
    click.echo(reply.body.decode(errors="replace"))


def _run(
    target: connection.Connection,
    send: typing.Callable[[caller.Caller], typing.Awaitable],
) -> typing.Any:
    async def run() -> typing.Any:
        client = httpclient.HttpClient(tls=target.tls_context)
        sender = caller.Caller(
            [(target.address, target.port)], key=target.key, client=client
        )
        try:
            return await send(sender)
        finally:
            await sender.close()

    try:
        return asyncio.run(run())
    except caller.CallerError as error:
        verdict = error.verdict.value
        raise NotAnsweredError(f"{error} (verdict: {verdict})") from error
