"""The ``entry`` command: runs one entry until a signal or a drain stops it."""

import asyncio
import logging
import signal
import sys

import click

from acaciaward import errors, signals
from acaciaward.entry import process
from acaciaward.observability import logs
from acaciaward.settings import loader

log = logging.getLogger(__name__)

EXIT_ABORTED = 1


@click.command()
@click.option(
    "--settings", "path", required=True, type=click.Path(), help="JSON settings file."
)
def entry(path: str):
    """
    Run one entry. SIGTERM stops it gracefully, a second one at once.

    The exit code is 0, or 1 when requests were aborted: by a second signal, or
    at the time limit of the stop (callers.stop_limit_s).
    """
    settings = loader.load(path)
    instance = settings["instance"]
    logs.configure(
        settings["logging"]["level"],
        {"instance": instance["name"], "data_centre": instance["data_centre"]},
    )
    try:
        exit_code = asyncio.run(_run(settings))
    except OSError as error:
        raise errors.OperatorError(f"can't start: {error}") from error
    sys.exit(exit_code)


async def _run(settings: loader.Settings) -> int:
    entry_process = process.EntryProcess(settings)
    received: asyncio.Queue[float] = asyncio.Queue()
    handlers = dict.fromkeys((signal.SIGTERM, signal.SIGINT), received.put_nowait)
    signals.handle(asyncio.get_running_loop(), handlers)
    try:
        return await _run_until_stopped(entry_process, received)
    finally:
        signals.ignore(handlers)


async def _run_until_stopped(
    entry_process: process.EntryProcess, received: asyncio.Queue[float]
) -> int:
    await entry_process.start()
    drain_stop = asyncio.create_task(entry_process.stop_requested.wait())
    first_signal = asyncio.create_task(received.get())
    await asyncio.wait({drain_stop, first_signal}, return_when=asyncio.FIRST_COMPLETED)
    # After a drain no signal has arrived yet, so the next one is already the one
    # that stops the entry at once.
    if not first_signal.done():
        first_signal.cancel()
    drain_stop.cancel()
    stopping = asyncio.create_task(entry_process.stop())
    second_signal = asyncio.create_task(received.get())
    await asyncio.wait({stopping, second_signal}, return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        log.warning("second signal, stopping at once")
        stopping.cancel()
        await entry_process.kill()
        return EXIT_ABORTED
    second_signal.cancel()
    return EXIT_ABORTED if stopping.result() else 0
