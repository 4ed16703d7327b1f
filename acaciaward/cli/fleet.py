"""The ``fleet`` commands: what the fleet would rent and give back."""

import json

import click

from acaciaward.cli import connection


@click.group()
def fleet():
    """See what the fleet rents."""


@fleet.command()
@connection.options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def plan(target: connection.Connection, as_json: bool):
    """Print the fleet's plan and why, without carrying it out."""
    answer = connection.call(target, "GET", "/v1/admin/fleet/plan")
    if as_json:
        click.echo(json.dumps(answer))
        return
    if not answer["steps"]:
        click.echo("no deployment has a fleet rule")
    for step in answer["steps"]:
        offer = step["offer"] or {}
        place = "/".join(
            offer[name] for name in ("data_centre", "machine_class", "market") if offer
        )
        what = place or step["instance"] or ""
        click.echo(f"{step['deployment']}: {step['action']} {what}  ({step['reason']})")
