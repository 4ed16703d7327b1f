"""
Starts the naive entry.

    python -m baseline --port 8100 --endpoints engine-1=127.0.0.1:8201
"""

import asyncio
import signal
import sys

import click

from acaciaward.observability import logs
from baseline import entry


async def _run(naive: entry.NaiveEntry) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await entry.serve(naive, stopped)


def _parse_endpoints(text: str) -> dict[str, entry.Address]:
    endpoints = {}
    for part in filter(None, text.split(",")):
        name, _, address_and_port = part.partition("=")
        address, _, port = address_and_port.rpartition(":")
        if not (name and address and port.isdigit()):
            raise click.UsageError(f"{part!r} is not NAME=ADDRESS:PORT")
        endpoints[name] = (address, int(port))
    return endpoints


@click.command()
@click.option("--address", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True, help="Port to listen on.")
@click.option("--endpoints", required=True, help="NAME=ADDRESS:PORT, parted by commas.")
def main(address: str, port: int, endpoints: str):
    """Run the naive entry until it is told to stop."""
    logs.configure("warning", {"baseline": port})
    naive = entry.NaiveEntry(_parse_endpoints(endpoints), address=address, port=port)
    asyncio.run(_run(naive))


if __name__ == "__main__":
    sys.exit(main())
