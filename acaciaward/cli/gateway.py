"""The ``gateway`` command: runs one entry on the platform until a signal stops it."""

import asyncio
import logging
import pathlib
import signal
import sys

import click

from acaciaward import errors, signals
from acaciaward.cli import output
from acaciaward.gateway import process, settings as gateway_settings
from acaciaward.observability import bufferedlog, logs
from acaciaward.platform import nodefile
from acaciaward.settings import loader

log = logging.getLogger(__name__)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(),
    help="The platform's settings file; by default at the platform's own path.",
)
@click.option("--check", is_flag=True, help="Print the effective settings and exit.")
def gateway(path: str | None, check: bool):
    """Run one entry on the platform. SIGTERM stops it, SIGHUP checks the settings."""
    settings_path = pathlib.Path(path) if path else nodefile.default_path()
    settings = load(settings_path)
    if check:
        output.print_json(settings)
        return
    instance = settings["instance"]
    log_handler = bufferedlog.configure(
        settings["logging"]["level"],
        {"instance": instance["name"]},
        lines_per_s=settings["logging"]["lines_per_s"],
    )
    try:
        exit_code = asyncio.run(_run(settings, settings_path, log_handler))
    except OSError as error:
        raise errors.OperatorError(f"can't start: {error}") from error
    sys.exit(exit_code)


def load(settings_path: pathlib.Path) -> loader.Settings:
    """Return the effective settings of the platform's settings file."""
    return loader.check(
        nodefile.read(settings_path),
        name=str(settings_path),
        package=gateway_settings.PACKAGE,
        find_first_problem=gateway_settings.find_first_problem,
    )


async def _run(
    settings: loader.Settings,
    settings_path: pathlib.Path,
    log_handler: bufferedlog.BufferedHandler,
) -> int:
    log_writer = asyncio.create_task(log_handler.run())
    entry = process.Gateway(settings)
    stops: asyncio.Queue[float] = asyncio.Queue()
    handlers = {
        signal.SIGTERM: stops.put_nowait,
        signal.SIGINT: stops.put_nowait,
        signal.SIGHUP: lambda arrived_at: _check_settings(settings_path),
    }
    signals.handle(asyncio.get_running_loop(), handlers)
    await entry.start()
    await entry.stop(await stops.get())
    signals.ignore(handlers)
    log_writer.cancel()
    await asyncio.gather(log_writer, return_exceptions=True)
    return 0


def _check_settings(settings_path: pathlib.Path) -> None:
    try:
        load(settings_path)
    except errors.SettingsError as error:
        log.error("settings file is invalid", extra=logs.fields(reason=error))
        return
    log.info("settings file is valid; changes take effect after a restart")
