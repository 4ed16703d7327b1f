"""The ``entry`` command: runs one entry until it is told to stop."""

import asyncio
import logging
import signal
import sys

import click

from acaciaward import errors
from acaciaward.entry import process
from acaciaward.observability import logs
from acaciaward.settings import loader

log = logging.getLogger(__name__)

EXIT_CUT = 1


@click.command()
@click.option(
    "--settings", "path", required=True, type=click.Path(), help="JSON settings file."
)
def entry(path: str):
    """
    Run one entry. SIGTERM stops it gracefully, a second one at once.

    The exit code is 0, or 1 when requests were cut: by a second signal, or at
    the limit of the stop.
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
    running = process.EntryProcess(settings)
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    await running.start()
    ordered = asyncio.create_task(running.stop_requested.wait())
    signalled = asyncio.create_task(signals.get())
    await asyncio.wait({ordered, signalled}, return_when=asyncio.FIRST_COMPLETED)
    # After a drain, the first signal is the one that ends the entry at once.
    if not signalled.done():
        signalled.cancel()
    ordered.cancel()
    stopping = asyncio.create_task(running.stop())
    second = asyncio.create_task(signals.get())
    await asyncio.wait({stopping, second}, return_when=asyncio.FIRST_COMPLETED)
    if not stopping.done():
        log.warning("second signal, stopping at once")
        stopping.cancel()
        await running.kill()
        return EXIT_CUT
    second.cancel()
    return EXIT_CUT if stopping.result() else 0
