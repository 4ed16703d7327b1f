"""Prints answers: tables for people, JSON for scripts."""

import json
import typing
from collections import abc

import click

Row = abc.Sequence[typing.Any]


def json_option(command: typing.Callable) -> typing.Callable:
    """Add ``--json`` to a command."""
    return click.option("--json", "as_json", is_flag=True, help="Print JSON.")(command)


def print_json(value: typing.Any) -> None:
    """Print one JSON value."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(headings: abc.Sequence[str], rows: abc.Sequence[Row]) -> None:
    """Print rows below headings, each column as wide as its widest cell."""
    cells = [list(headings), *([format_cell(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(padded).rstrip())


def format_cell(value: typing.Any) -> str:
    """Return the text of a value in a table cell."""
    if value is None or value == [] or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list):
        return ",".join(map(format_cell, value))
    if isinstance(value, dict):
        return ",".join(
            f"{name}={format_cell(part)}" for name, part in sorted(value.items())
        )
    return str(value)


def print_change(answer: dict[str, typing.Any], as_json: bool) -> None:
    """Print the outcome of a change, and a new key, which is shown only once."""
    if as_json:
        print_json(answer)
        return
    # A key is alone on standard output, so that it can be redirected to a file.
    has_key = "key" in answer
    click.echo(f"accepted as version {answer['version']}", err=has_key)
    if answer.get("missing"):
        names = ", ".join(answer["missing"])
        click.echo(f"not yet reported in force by: {names}", err=True)
    if has_key:
        click.echo("The key is shown only this once:", err=True)
        click.echo(answer["key"])
