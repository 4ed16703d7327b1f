"""The ``demo`` command: runs the whole system in one process."""

import asyncio
import json
import sys

import click

from acaciaward.demonstration import run, world
from acaciaward.observability import logs

MAX_REQUESTS = 100_000


@click.command()
@click.option(
    "--requests",
    "count",
    type=click.IntRange(1, MAX_REQUESTS),
    default=200,
    show_default=True,
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--deployment",
    type=click.Choice(world.EXAMPLES),
    default=world.EXAMPLES[0],
    show_default=True,
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object last.")
def demo(count: int, seed: int, deployment: str, as_json: bool):
    """Serve requests with three entries on a simulated platform; reclaim an engine."""
    logs.configure("error", {"process": "demo"})
    summary = asyncio.run(
        run.run(
            deployment,
            request_count=count,
            seed=seed,
            report=lambda line: click.echo(line, err=as_json),
        )
    )
    if as_json:
        click.echo(json.dumps(summary))
    else:
        for name, value in summary.items():
            click.echo(f"{name:<12}{value:>8}")
    sys.exit(0 if run.is_success(summary) else 1)
