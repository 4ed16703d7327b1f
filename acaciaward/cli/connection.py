"""
Options and calls that all commands share that talk to an entry.

The entry is named by ``--entry`` or ``ACACIAWARD_ENTRY``, the key comes from
``ACACIAWARD_KEY`` or from the file named by ``--key-file``, never from the
command line itself, where other users of the machine could read it.
"""

import asyncio
import ipaddress
import json
import os
import pathlib
import typing

import click

from acaciaward import errors, httpclient

EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4


class Connection(typing.NamedTuple):
    """Where the entry is and the operator's key."""

    address: str
    port: int
    key: str


class RefusedError(errors.OperatorError):
    """The entry refused what the operator asked for."""

    exit_code = EXIT_REFUSED


class UnreachableError(errors.OperatorError):
    """The entry could not be reached."""

    exit_code = EXIT_UNREACHABLE


def options(command: typing.Callable) -> typing.Callable:
    """Add the options of a connection to a command."""
    command = click.option(
        "--key-file", type=click.Path(), help="File that holds the operator's key."
    )(command)
    return click.option(
        "--entry",
        "entry",
        envvar="ACACIAWARD_ENTRY",
        default="127.0.0.1:8100",
        show_default=True,
        help="ADDRESS:PORT of any entry.",
    )(command)


def connect(entry: str, key_file: str | None) -> Connection:
    """Return the connection that the options name."""
    address, _, port = entry.rpartition(":")
    try:
        ipaddress.ip_address(address)
        number = int(port)
    except ValueError as error:
        raise errors.OperatorError(f"--entry {entry!r} is not ADDRESS:PORT") from error
    return Connection(address, number, _read_key(key_file))


def _read_key(key_file: str | None) -> str:
    if key_file is None:
        return os.environ.get("ACACIAWARD_KEY", "")
    try:
        return pathlib.Path(key_file).read_text().strip()
    except OSError as error:
        raise errors.OperatorError(f"{key_file}: {error.strerror}") from error


def call(
    connection: Connection, method: str, path: str, body: typing.Any = None
) -> dict[str, typing.Any]:
    """Call the entry and return the JSON body, or raise an operator's error."""
    status, answer = asyncio.run(_call(connection, method, path, body))
    if status < 300:
        return answer
    raise RefusedError(describe(status, answer))


async def _call(
    connection: Connection, method: str, path: str, body: typing.Any
) -> tuple[int, dict[str, typing.Any]]:
    client = httpclient.HttpClient()
    payload = b"" if body is None else json.dumps(body).encode()
    headers = {
        "authorization": f"Bearer {connection.key}",
        "content-type": "application/json",
    }
    try:
        async with client.send(
            method,
            connection.address,
            connection.port,
            path,
            headers=headers,
            body=payload,
        ) as response:
            answer = await response.read()
    except httpclient.HttpError as error:
        raise UnreachableError(f"no answer from the entry: {error}") from error
    finally:
        await client.close()
    try:
        return response.status, json.loads(answer)
    except ValueError as error:
        raise UnreachableError("the entry's answer is not JSON") from error


def describe(status: int, answer: dict[str, typing.Any]) -> str:
    """Return one line that says why the entry refused."""
    if "error" in answer:
        return f"refused: {answer['error']['message']}"
    if "status" in answer:
        return (
            f"{answer['status']}: {answer.get('reason', '')} (now {answer['version']})"
        )
    return f"refused with status {status}"
