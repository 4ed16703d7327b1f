"""
Connects commands to an entry: their shared options, and calls of its API.

The entry is given by ``--entry`` or ``ACACIAWARD_ENTRY``. The key comes from
``ACACIAWARD_KEY`` or from the file given by ``--key-file``, never from the
command line itself, where other users of the machine could read it. With
``--ca-file`` or ``ACACIAWARD_CA_FILE`` the connection is encrypted, and the entry
must show a certificate for its IP address that this authority has signed.
"""

import asyncio
import functools
import ipaddress
import json
import os
import pathlib
import re
import ssl
import typing
from collections import abc

import click

from acaciaward import errors, httpclient
from acaciaward.identity import tls

EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
MAX_CONCURRENT_CALLS = 16
KEY_PATTERN = re.compile(r"[!-~]+\Z")


class Connection(typing.NamedTuple):
    """An entry's address, the operator's key, and how to verify the entry."""

    address: str
    port: int
    key: str
    tls_context: ssl.SSLContext | None = None


class RefusedError(errors.OperatorError):
    """The entry refused the operator's request."""

    exit_code = EXIT_REFUSED


class UnreachableError(errors.OperatorError):
    """The entry could not be reached."""

    exit_code = EXIT_UNREACHABLE


def options(command: typing.Callable) -> typing.Callable:
    """Add connection options; the command receives a ``Connection`` as ``target``."""

    @functools.wraps(command)
    def with_connection(
        *args: typing.Any,
        entry: str,
        key_file: str | None,
        ca_file: str | None,
        **kwargs: typing.Any,
    ):
        return command(*args, target=connect(entry, key_file, ca_file), **kwargs)

    for option in (
        click.option(
            "--ca-file",
            envvar="ACACIAWARD_CA_FILE",
            type=click.Path(),
            help="PEM file of the entries' certificate authority; enables TLS.",
        ),
        click.option(
            "--key-file",
            envvar="ACACIAWARD_KEY_FILE",
            type=click.Path(),
            help="File that holds the operator's key.",
        ),
        click.option(
            "--entry",
            envvar="ACACIAWARD_ENTRY",
            default="127.0.0.1:8100",
            show_default=True,
            help="ADDRESS:PORT of any entry.",
        ),
    ):
        with_connection = option(with_connection)
    return with_connection


def connect(entry: str, key_file: str | None, ca_file: str | None = None) -> Connection:
    """Return the connection that the options describe."""
    address, _, port = entry.rpartition(":")
    address = address.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(address)
        port_number = int(port)
    except ValueError as error:
        raise errors.OperatorError(f"--entry {entry!r} is not ADDRESS:PORT") from error
    tls_context = tls.client_context(ca_file) if ca_file else None
    return Connection(address, port_number, _read_key(key_file), tls_context)


def _read_key(key_file: str | None) -> str:
    key = os.environ.get("ACACIAWARD_KEY", "")
    if key_file is not None:
        try:
            key = pathlib.Path(key_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not text"
            raise errors.OperatorError(f"{key_file}: {reason}") from error
    if not KEY_PATTERN.match(key):
        raise errors.OperatorError(
            "no usable key: set ACACIAWARD_KEY, or give a file with --key-file"
        )
    return key


def call(
    connection: Connection, method: str, path: str, body: typing.Any = None
) -> dict[str, typing.Any]:
    """Call the entry and return the JSON body, or raise an ``OperatorError``."""
    return asyncio.run(_call(connection, method, path, body))


def call_each(
    connections: abc.Sequence[Connection], method: str, path: str
) -> list[dict[str, typing.Any] | errors.OperatorError]:
    """Call several entries at once; return an error in place of a failed answer."""
    return asyncio.run(_call_each(connections, method, path))


async def _call_each(
    connections: abc.Sequence[Connection], method: str, path: str
) -> list[typing.Any]:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def call_or_error(connection: Connection) -> typing.Any:
        async with semaphore:
            try:
                return await _call(connection, method, path, None)
            except errors.OperatorError as error:
                return error

    return await asyncio.gather(*(call_or_error(target) for target in connections))


async def _call(
    connection: Connection, method: str, path: str, body: typing.Any
) -> dict[str, typing.Any]:
    client = httpclient.HttpClient(tls=connection.tls_context)
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
        fields = json.loads(answer)
    except ValueError as error:
        raise UnreachableError("the entry's answer is not JSON") from error
    if response.status >= 300:
        raise RefusedError(describe(response.status, fields))
    return fields


def describe(status: int, answer: typing.Any) -> str:
    """Return one line that says why the entry refused."""
    if isinstance(answer, dict) and "error" in answer:
        return f"refused: {answer['error']['message']}"
    if isinstance(answer, dict) and "status" in answer:
        reason = f"{answer['status']}: {answer.get('reason', '')}"
        return f"{reason} (now {answer['version']}, patch id {answer.get('id')})"
    return f"refused with status {status}"
