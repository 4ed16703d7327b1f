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
    cells = [list(headings), *([show(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        click.echo("  ".join(padded).rstrip())


def show(value: typing.Any) -> str:
    """Return a value as a cell shows it."""
    if value is None or value == [] or value == {}:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list):
        return ",".join(map(show, value))
    if isinstance(value, dict):
        return ",".join(f"{name}={show(one)}" for name, one in sorted(value.items()))
    return str(value)


def print_change(answer: dict[str, typing.Any], as_json: bool) -> None:
    """Print what became of a change, and a key that is told only once."""
    if as_json:
        print_json(answer)
        return
    # With a key, standard output holds nothing else and can go into a file.
    has_key = "key" in answer
    click.echo(f"accepted as version {answer['version']}", err=has_key)
    if answer.get("missing"):
        names = ", ".join(answer["missing"])
        click.echo(f"not yet reported in force by: {names}", err=True)
    if has_key:
        click.echo("The key is shown only this once:", err=True)
        click.echo(answer["key"])
