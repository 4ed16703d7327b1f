"""The ``gateway`` command: runs one entry on the platform until it is stopped."""

import asyncio
import logging
import pathlib
import signal
import sys

import click

from acaciaward import errors
from acaciaward.cli import output
from acaciaward.gateway import process, settings as gateway_settings
from acaciaward.observability import logs, outlet
from acaciaward.platform import nodefile
from acaciaward.settings import loader

log = logging.getLogger(__name__)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(),
    help="The platform's settings file; by default where the platform puts it.",
)
@click.option("--check", is_flag=True, help="Print the settings and don't run.")
def gateway(path: str | None, check: bool):
    """Run one entry on the platform. SIGTERM stops it, SIGHUP reads the settings."""
    place = pathlib.Path(path) if path else nodefile.path()
    settings = load(place)
    if check:
        output.print_json(settings)
        return
    instance = settings["instance"]
    lines = outlet.configure(
        settings["logging"]["level"],
        {"instance": instance["name"]},
        lines_per_s=settings["logging"]["lines_per_s"],
    )
    try:
        exit_code = asyncio.run(_run(settings, place, lines))
    except OSError as error:
        raise errors.OperatorError(f"can't start: {error}") from error
    sys.exit(exit_code)


def load(place: pathlib.Path) -> loader.Settings:
    """Return the effective settings of the platform's file."""
    return loader.check(
        nodefile.read(place),
        name=str(place),
        package=gateway_settings.PACKAGE,
        first_mistake=gateway_settings.first_mistake,
    )


async def _run(
    settings: loader.Settings, place: pathlib.Path, lines: outlet.BufferedHandler
) -> int:
    writing = asyncio.create_task(lines.run())
    running = process.Gateway(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, place)
    await running.start()
    await stop.wait()
    await running.stop()
    writing.cancel()
    await asyncio.gather(writing, return_exceptions=True)
    return 0


def _reload(place: pathlib.Path) -> None:
    try:
        load(place)
    except errors.SettingsError as error:
        log.error("settings not reloaded", extra=logs.fields(reason=error))
        return
    log.info("settings read again, nothing to change while running")
