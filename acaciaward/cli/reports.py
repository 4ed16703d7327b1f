"""The ``report`` commands: merge the counts and logs of all entries."""

import json
import pathlib
import typing
import urllib.parse

import click

from acaciaward import documents, errors
from acaciaward.cli import connection, output
from acaciaward.observability import burn, timeline

EXIT_INCOMPLETE = 5
NO_VALUE = "-"


class MergedBurn(typing.TypedDict):
    """
    The burn report, up to ``at``, Unix time in seconds.

    ``answered`` maps each entry that answered to the time at which it began to
    count, ``silent`` each other entry to the reason.
    """

    at: float
    objectives: list[burn.ObjectiveBurn]
    answered: dict[str, float]
    silent: dict[str, str]


class CollectedCounts(typing.NamedTuple):
    """The entries' answers, and why others did not answer, by name."""

    at: float
    objectives: dict[str, documents.Objective]
    answers: list[burn.EntryBurn]
    silent: dict[str, str]


class IncompleteError(errors.OperatorError):
    """Some entries did not answer, so the report lacks what they counted."""

    exit_code = EXIT_INCOMPLETE


@click.group()
def report():
    """Report service levels of all entries and failures in logs."""


@report.command("burn")
@connection.options
@output.json_option
@click.option("--plot", type=click.Path(), help="Plot the burn rates into this file.")
def report_burn(target: connection.Connection, as_json: bool, plot: str | None):
    """
    Show how fast each objective's error budget is being spent.

    Any entry can list the others, and each is asked for its counts. A burn rate
    of 1 spends the budget exactly within the objective's window. The exit code is
    5 when an entry did not respond: its counts are missing from the report.

    Example: acaciaward report burn --entry 10.20.1.11:8100 --plot burn.png
    """
    collected = collect(target, with_points=plot is not None)
    merged = merge(collected)
    if as_json:
        output.print_json(merged)
    else:
        _print_burn(merged)
    if plot is not None:
        _plot(collected, pathlib.Path(plot))
    if merged["silent"]:
        names = ", ".join(sorted(merged["silent"]))
        raise IncompleteError(f"the report lacks entries that did not answer: {names}")


def collect(
    target: connection.Connection, *, with_points: bool = False
) -> CollectedCounts:
    """Ask every entry that ``target`` lists for its counts up to the same time."""
    points = int(with_points)
    first = connection.call(target, "GET", f"/v1/admin/burn?points={points}")
    status = connection.call(target, "GET", "/v1/admin/status")
    at = first["burn"]["at"]
    path = f"/v1/admin/burn?{urllib.parse.urlencode({'at': at, 'points': points})}"
    peers = [peer for peer in status["entries"] if peer["name"] != status["name"]]
    peer_connections = [
        target._replace(address=peer["address"], port=peer["port"]) for peer in peers
    ]
    answers = [first["burn"]]
    silent = {}
    for peer, answer in zip(
        peers, connection.call_each(peer_connections, "GET", path), strict=True
    ):
        if isinstance(answer, errors.OperatorError):
            silent[peer["name"]] = str(answer)
        else:
            answers.append(answer["burn"])
    return CollectedCounts(at, first["objectives"], answers, silent)


def merge(collected: CollectedCounts) -> MergedBurn:
    """Return the report over the collected counts."""
    return {
        "at": collected.at,
        "objectives": burn.report(collected.objectives, collected.answers),
        "answered": {answer["name"]: answer["since"] for answer in collected.answers},
        "silent": collected.silent,
    }


def _print_burn(merged: MergedBurn) -> None:
    rows = []
    for row in merged["objectives"]:
        full_window = row["windows"][-1]
        rates = [
            f"{_format_window(window['window_s'])}:{_format_rate(window)}"
            for window in row["windows"]
        ]
        rows.append(
            [
                row["objective"],
                row["deployment"],
                f"{row['share']:.4%} in {row['deadline_s']:g} s",
                full_window["total"],
                full_window["total"] - full_window["good"],
                " ".join(rates),
                _format_budget(row["budget_left"]),
                ",".join(sorted({alert["severity"] for alert in row["alerts"]}))
                or NO_VALUE,
            ]
        )
    headings = ["objective", "deployment", "target", "answers", "bad"]
    output.print_table([*headings, "burn rates", "budget left", "alert"], rows)
    click.echo(f"entries that answered: {', '.join(sorted(merged['answered']))}")
    for name, reason in sorted(merged["silent"].items()):
        click.echo(f"entry without an answer: {name} ({reason})")


def _format_window(seconds: float) -> str:
    for size, unit in ((86400, "d"), (3600, "h"), (60, "m")):
        if seconds >= size:
            return f"{seconds / size:g}{unit}"
    return f"{seconds:g}s"


def _format_rate(window: burn.WindowBurn) -> str:
    return NO_VALUE if window["rate"] is None else f"{window['rate']:.2f}"


def _format_budget(budget_left: float | None) -> str:
    return NO_VALUE if budget_left is None else f"{budget_left:.1%}"


def _plot(collected: CollectedCounts, path: pathlib.Path) -> None:
    try:
        # Imported here because it is an optional extra.
        from matplotlib import figure
    except ImportError as error:
        raise errors.OperatorError(
            "--plot needs matplotlib: pip install 'acaciaward[plot]'"
        ) from error
    chart = figure.Figure(figsize=(10, 5), layout="constrained")
    axes = chart.subplots()
    for name, objective in sorted(collected.objectives.items()):
        points = burn.points(name, collected.answers)
        rates = [burn.burn_rate(tally, objective["share"]) for _, tally in points]
        hours = [(start - collected.at) / 3600 for start, _ in points]
        axes.step(hours, rates, where="post", label=name)
    axes.axhline(1.0, linestyle="--", linewidth=1)
    axes.set(xlabel="hours before now", ylabel="burn rate")
    if collected.objectives:
        axes.legend()
    try:
        chart.savefig(path)
    except (OSError, ValueError) as error:
        raise errors.OperatorError(f"{path}: {error}") from error


@report.command("failures")
@click.argument("files", nargs=-1, type=click.File(errors="replace"))
@output.json_option
def report_failures(files: tuple, as_json: bool):
    """
    Sum requests and failures in entries' logs by cause, endpoint and second.

    Without files, the logs are read from standard input. One bar per second
    shows answered requests as =, refused ones as r and failed ones as F.

    Example: acaciaward report failures entry-1.log entry-2.log
    """
    summary = timeline.Summary()
    for source in files or (click.get_text_stream("stdin", errors="replace"),):
        for line in source:
            summary.add_line(line)
    fields = summary.to_fields()
    if as_json:
        click.echo(json.dumps(fields))
        return
    totals = (fields[name] for name in ("requests", "refused", "failed"))
    click.echo("{} requests, {} refused, {} failed".format(*totals))
    for title in ("causes", "endpoints"):
        click.echo(f"{title}:")
        for name, count in fields[title].items():
            click.echo(f"{count:7} {name}")
    for row in timeline.plot(summary):
        click.echo(row)
