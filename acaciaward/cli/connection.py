"""
Options and calls that all commands share that talk to an entry.

The entry is named by ``--entry`` or ``ACACIAWARD_ENTRY``, the key comes from
``ACACIAWARD_KEY`` or from the file named by ``--key-file``, never from the
command line itself, where other users of the machine could read it. With
``--ca-file`` or ``ACACIAWARD_CA_FILE`` the connection is encrypted, and the entry
must show a certificate for its IP number that this authority has signed.
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
MAX_CALLS_AT_ONCE = 16
KEY = re.compile(r"[!-~]+\Z")


class Connection(typing.NamedTuple):
    """Where the entry is, the operator's key, and the authority to trust."""

    address: str
    port: int
    key: str
    trust: ssl.SSLContext | None = None


class RefusedError(errors.OperatorError):
    """The entry refused what the operator asked for."""

    exit_code = EXIT_REFUSED


class UnreachableError(errors.OperatorError):
    """The entry could not be reached."""

    exit_code = EXIT_UNREACHABLE


def options(command: typing.Callable) -> typing.Callable:
    """Add the options of a connection; the command gets it as ``target``."""

    @functools.wraps(command)
    def connected(
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
            help="Certificate authority of the entries; turns TLS on.",
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
        connected = option(connected)
    return connected


def connect(entry: str, key_file: str | None, ca_file: str | None = None) -> Connection:
    """Return the connection that the options name."""
    address, _, port = entry.rpartition(":")
    address = address.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(address)
        number = int(port)
    except ValueError as error:
        raise errors.OperatorError(f"--entry {entry!r} is not ADDRESS:PORT") from error
    trust = tls.client_context(ca_file) if ca_file else None
    return Connection(address, number, _read_key(key_file), trust)


def _read_key(key_file: str | None) -> str:
    key = os.environ.get("ACACIAWARD_KEY", "")
    if key_file is not None:
        try:
            key = pathlib.Path(key_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not text"
            raise errors.OperatorError(f"{key_file}: {reason}") from error
    if not KEY.match(key):
        raise errors.OperatorError(
            "no usable key: set ACACIAWARD_KEY, or name a file by --key-file"
        )
    return key


def call(
    connection: Connection, method: str, path: str, body: typing.Any = None
) -> dict[str, typing.Any]:
    """Call the entry and return the JSON body, or raise an operator's error."""
    return asyncio.run(_call(connection, method, path, body))


def call_each(
    connections: abc.Sequence[Connection], method: str, path: str
) -> list[dict[str, typing.Any] | errors.OperatorError]:
    """Call several entries at once; an entry that fails gives its error."""
    return asyncio.run(_call_each(connections, method, path))


async def _call_each(
    connections: abc.Sequence[Connection], method: str, path: str
) -> list[typing.Any]:
    turns = asyncio.Semaphore(MAX_CALLS_AT_ONCE)

    async def call_one(connection: Connection) -> typing.Any:
        async with turns:
            try:
                return await _call(connection, method, path, None)
            except errors.OperatorError as error:
                return error

    return await asyncio.gather(*(call_one(one) for one in connections))


async def _call(
    connection: Connection, method: str, path: str, body: typing.Any
) -> dict[str, typing.Any]:
    client = httpclient.HttpClient(tls=connection.trust)
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
