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

# The platform may change the settings file without a signal.
SEEDS_INTERVAL_S = 5.0


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
    seeds_reader = asyncio.create_task(follow_seeds(entry, settings, settings_path))
    await entry.stop(await stops.get())
    signals.ignore(handlers)
    for task in (seeds_reader, log_writer):
        task.cancel()
    await asyncio.gather(seeds_reader, log_writer, return_exceptions=True)
    return 0


async def follow_seeds(
    entry: process.Gateway, settings: loader.Settings, settings_path: pathlib.Path
) -> None:
    """Let an entry use the seeds of the settings file whenever they change."""
    seeds = settings["peers"]["seeds"]
    # The file may have changed during the start.
    modified_at = None
    while True:
        await asyncio.sleep(SEEDS_INTERVAL_S)
        before, modified_at = modified_at, _modified_at(settings_path)
        if modified_at == before:
            continue
        try:
            peers = load(settings_path)["peers"]
        except errors.SettingsError as error:
            log.warning(
                "cannot read the seeds again; the former ones stay",
                extra=logs.fields(reason=error),
            )
            continue
        if peers["seeds"] != seeds:
            seeds = peers["seeds"]
            entry.set_seeds(peers)
            log.info("seeds changed", extra=logs.fields(seeds=seeds))


def _modified_at(path: pathlib.Path) -> int | None:
    """Return when a file was changed last, in nanoseconds, None if it isn't there."""
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log.info("settings file isn't there", extra=logs.fields(reason=error))
        return None


def _check_settings(settings_path: pathlib.Path) -> None:
    try:
        load(settings_path)
    except errors.SettingsError as error:
        log.error("settings file is invalid", extra=logs.fields(reason=error))
        return
    log.info("settings file is valid; changes of all but seeds need a restart")
