"""The ``status`` command: what one entry knows of all."""

import time
import typing

import click

from acaciaward import errors
from acaciaward.cli import connection, output

EXIT_NOT_YET = 6
POLL_S = 0.2


class NotYetError(errors.OperatorError):
    """The wanted number of entries was not live in time."""

    exit_code = EXIT_NOT_YET


@click.command()
@click.option("--live", type=click.IntRange(min=1), help="Wait until N entries are.")
@click.option("--wait-s", type=float, default=30.0, show_default=True)
@connection.options
@output.json_option
def status(
    live: int | None, wait_s: float, target: connection.Connection, as_json: bool
):
    """
    Show the entries with their state and configuration version.

    With --live N, waits until exactly N entries are live and have the same
    version, and exits with 6 when that takes too long.
    """
    if live is None:
        answer = _ask(target)
    else:
        answer = _wait(target, live, time.monotonic() + wait_s)
    if as_json:
        output.print_json(answer)
        return
    current = "current" if answer["current"] else "NOT current"
    click.echo(f"{answer['name']}: version {answer['version']}, {current}")
    rows = [
        (
            peer["name"],
            peer["state"],
            peer["data_centre"],
            f"{peer['address']}:{peer['port']}",
            peer["configuration_version"],
        )
        for peer in answer["entries"]
    ]
    output.print_table(["entry", "state", "data centre", "address", "version"], rows)


def _ask(target: connection.Connection) -> dict[str, typing.Any]:
    return connection.call(target, "GET", "/v1/admin/status")


def _wait(
    target: connection.Connection, live: int, deadline: float
) -> dict[str, typing.Any]:
    while True:
        try:
            answer = _ask(target)
            if _is_settled(answer, live):
                return answer
            reason = "they are not live with one version yet"
        except connection.UnreachableError as error:
            reason = str(error)
        if time.monotonic() > deadline:
            raise NotYetError(f"waited for {live} entries: {reason}")
        time.sleep(POLL_S)


def _is_settled(answer: dict[str, typing.Any], live: int) -> bool:
    alive = [peer for peer in answer["entries"] if peer["state"] == "live"]
    versions = {peer["configuration_version"] for peer in alive}
    return len(alive) == live and versions == {answer["version"]}
