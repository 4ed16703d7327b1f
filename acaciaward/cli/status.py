"""The ``status`` command: what one entry knows of all."""

import click

from acaciaward.cli import connection, output


@click.command()
@connection.options
@output.json_option
def status(target: connection.Connection, as_json: bool):
    """Show the entries with their state and configuration version."""
    answer = connection.call(target, "GET", "/v1/admin/status")
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
