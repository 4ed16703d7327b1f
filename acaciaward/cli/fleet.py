"""The ``fleet`` commands: show which instances would be rented and released."""

import json

import click

from acaciaward.cli import connection


@click.group()
def fleet():
    """Show what the fleet plans to rent and release."""


@fleet.command()
@connection.options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def plan(target: connection.Connection, as_json: bool):
    """Print the planned steps of the fleet with reasons, without executing them."""
    answer = connection.call(target, "GET", "/v1/admin/fleet/plan")
    if as_json:
        click.echo(json.dumps(answer))
        return
    if not answer["steps"]:
        click.echo("no deployment has a fleet rule")
    for step in answer["steps"]:
        offer = step["offer"] or {}
        place = "/".join(
            offer[field]
            for field in ("data_centre", "machine_class", "market")
            if offer
        )
        subject = place or step["instance"] or ""
        click.echo(
            f"{step['deployment']}: {step['action']} {subject}  ({step['reason']})"
        )
