"""The ``status`` command: shows what one entry knows about all entries."""

import time
import typing

import click

from acaciaward import errors
from acaciaward.cli import connection, output

EXIT_NOT_SETTLED = 6
POLL_INTERVAL_S = 0.2


class NotSettledError(errors.OperatorError):
    """The expected number of entries was not live in time."""

    exit_code = EXIT_NOT_SETTLED


@click.command()
@click.option(
    "--live",
    type=click.IntRange(min=1),
    help="Wait until exactly this many entries are live.",
)
@click.option("--wait-s", type=float, default=30.0, show_default=True)
@connection.options
@output.json_option
def status(
    live: int | None, wait_s: float, target: connection.Connection, as_json: bool
):
    """
    Show the entries with their state and configuration version.

    With --live N, waits until exactly N entries are live and have the same
    version, and exits with 6 if that takes more than --wait-s seconds.
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
            reason = "they are not all live with the same version yet"
        except connection.UnreachableError as error:
            reason = str(error)
        if time.monotonic() > deadline:
            raise NotSettledError(f"waited for {live} entries: {reason}")
        time.sleep(POLL_INTERVAL_S)


def _is_settled(answer: dict[str, typing.Any], live: int) -> bool:
    live_entries = [peer for peer in answer["entries"] if peer["state"] == "live"]
    versions = {peer["configuration_version"] for peer in live_entries}
    return len(live_entries) == live and versions == {answer["version"]}
